//! Scripted scenarios that take the whole machine; a test file of its own, so that no other test
//! runs beside them.

mod common;
mod scenario;
mod zone;

#[test]
fn flood_of_patient_then_urgent_work() {
    let file = "tests/scenarios/faults/flood_of_patient_then_urgent_work.txt";
    datadriven::walk(file, scenario::run_file);
}
