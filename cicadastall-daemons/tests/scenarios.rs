//! Scripted scenarios, one folder per guarantee; their expected output is part of the scenario files.
//!
//! `REWRITE=1 cargo test -p cicadastall-daemons --test scenarios` updates the expected output.
//! `RUN=FILE` runs one file of each folder.

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
    control_isolated_in_silence: "faults/control_isolated_in_silence.txt";
    forwarded_over_25_ms: "faults/forwarded_over_25_ms.txt";
    operators_race_and_resend: "faults/operators_race_and_resend.txt";
    request_that_crashes_upstreams: "faults/request_that_crashes_upstreams.txt";
    restart_after_many_changes: "faults/restart_after_many_changes.txt";
    returning_traffic: "faults/returning_traffic.txt";
    second_control_lost_after_repair: "faults/second_control_lost_after_repair.txt";
    second_control_lost_during_repair: "faults/second_control_lost_during_repair.txt";
}
