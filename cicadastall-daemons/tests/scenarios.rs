//! Scripted scenarios, one folder for each promise; their printouts are the golden text.
//!
//! `REWRITE=1 cargo test -p cicadastall-daemons --test scenarios` writes the printouts anew.

mod common;
mod scenario;
mod zone;

macro_rules! scenario_folders {
    ($($name:ident: $folder:literal;)*) => {$(
        #[test]
        fn $name() {
            datadriven::walk(concat!("tests/scenarios/", $folder), scenario::run_file);
        }
    )*};
}

scenario_folders! {
    residency: "residency";
    no_loops: "no-loops";
    partition: "partition";
    whole_answers: "whole-answers";
    not_run: "not-run";
    at_most_once: "at-most-once";
    leaving: "leaving";
    graceful_stop: "graceful-stop";
    settings: "settings";
    faults: "faults";
}
