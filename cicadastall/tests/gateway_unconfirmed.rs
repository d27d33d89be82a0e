//! Entries that have a document which no majority of control confirms.

mod gateway;

use cicadastall::gateway::entry::wait_ready;
use gateway::{TestFleet, document};
use std::time::Duration;
use tokio::time::sleep;

/// Longer than an entry waits for control that it does not hear.
const CUT_OFF_BOUND: Duration = Duration::from_secs(9);

/// Time after which a control instance knows after a restart that the document is committed.
const COMMIT_STORED_TIME: Duration = Duration::from_millis(1_500);

impl TestFleet {
    /// Ends all control instances and entries, and removes the disks of the control instances in `lost`.
    async fn lose_power(&mut self, lost: &[usize]) {
        self.crash_entries().await;
        for index in 0..self.controls.len() {
            self.kill_control(index).await;
            self.controls[index].node.founding = false;
        }
        for index in lost {
            let folder = self.controls[*index].node.data_folder.as_ref().expect("a folder");
            std::fs::remove_dir_all(folder).expect("removed");
        }
    }

    async fn becomes_ready(&mut self) -> bool {
        self.start_entry(0).await;
        let server = self.entries[0].server.as_ref().expect("a running entry");
        wait_ready(server, CUT_OFF_BOUND).await
    }
}

async fn start_fleet(name: &str) -> TestFleet {
    let mut fleet = TestFleet::start(name, 3, &[]).await;
    fleet.isolates_entries = true;
    fleet.add_entry("entry", "west-a").await;
    fleet.put_document(&document(1)).await;
    fleet.wait_ready().await;
    sleep(COMMIT_STORED_TIME).await;
    fleet
}

#[tokio::test]
async fn no_caller_is_served_by_a_document_that_a_majority_in_reach_does_not_confirm() {
    let mut fleet = start_fleet("unconfirmed").await;
    fleet.lose_power(&[1, 2]).await;
    for index in 0..3 {
        fleet.start_control(index).await;
    }
    assert!(!fleet.becomes_ready().await, "takes callers by a document that may be old");
    assert_eq!(fleet.status(0).await["document"], 1, "it has that document");
}

#[tokio::test]
async fn an_entry_that_is_cut_off_from_a_majority_of_control_serves_callers() {
    let mut fleet = start_fleet("cut-off").await;
    fleet.lose_power(&[]).await;
    fleet.start_control(0).await;
    assert!(fleet.becomes_ready().await);
}
