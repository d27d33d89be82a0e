//! Scripted scenarios that need the whole machine, in a separate test binary so that no other test
//! runs at the same time.

mod common;
mod scenario;
mod zone;

#[test]
fn flood_of_patient_then_urgent_work() {
    let file = "tests/scenarios/faults/flood_of_patient_then_urgent_work.txt";
    datadriven::walk(file, scenario::run_file);
}
