//! Damaged storage of a replica: an incomplete last write is cut off, other damage is refused.

use cicadastall::{
    journal::{JournalError, JournalWriter, OpenedJournal},
    replica_message::{
        EntryPayload, Epoch, HardState, JournalWrite, LogEntry, LogIndex, LogPosition,
        SnapshotImage, StoredReplica, Term,
    },
};
use std::{
    fs,
    path::{Path, PathBuf},
    sync::Arc,
};

fn fresh_folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("journals").join(name);
    let _ = fs::remove_dir_all(&folder);
    folder
}

fn position(index: u64) -> LogPosition {
    LogPosition { term: Term(1), index: LogIndex(index) }
}

fn entry(index: u64) -> LogEntry {
    let payload = EntryPayload::Command(format!("command {index}").into());
    LogEntry { position: position(index), payload }
}

fn snapshot(index: u64) -> Arc<SnapshotImage> {
    let data = format!("state {index}").into();
    Arc::new(SnapshotImage { position: position(index), data, ..SnapshotImage::default() })
}

fn hard_state() -> HardState {
    HardState { epoch: Epoch(5), term: Term(1), vote: None }
}

fn open(folder: &Path) -> OpenedJournal {
    JournalWriter::open(folder).unwrap_or_else(|error| panic!("{error}"))
}

/// Writes a journal with one batch for the hard state and one for each of `entries` entries.
fn write_entries(folder: &Path, entries: u64) {
    let mut writer = open(folder).writer;
    writer.write(&[JournalWrite::Hard(hard_state())]).expect("write");
    for index in 1..=entries {
        writer.write(&[JournalWrite::Append(vec![entry(index)])]).expect("write");
    }
}

fn indexes(stored: &StoredReplica) -> Vec<u64> {
    stored.entries.iter().map(|entry| entry.position.index.0).collect()
}

/// Applies `change` to the bytes of the log file.
fn damage(folder: &Path, change: impl FnOnce(&mut Vec<u8>)) {
    let path = folder.join("log");
    let mut bytes = fs::read(&path).expect("read");
    change(&mut bytes);
    fs::write(&path, bytes).expect("write");
}

fn find(bytes: &[u8], text: &str) -> usize {
    bytes.windows(text.len()).position(|window| window == text.as_bytes()).expect("text")
}

#[test]
fn a_reopened_journal_has_the_same_content_and_identity() {
    let folder = fresh_folder("whole");
    write_entries(&folder, 3);
    let first = open(&folder);
    assert_eq!(
        (indexes(&first.stored), first.stored.hard_state.clone()),
        (vec![1, 2, 3], hard_state())
    );
    let identity = first.identity;
    drop(first);
    assert_eq!(open(&folder).identity, identity);
}

#[test]
fn a_torn_tail_is_cut_off_at_every_length() {
    let folder = fresh_folder("torn");
    write_entries(&folder, 2);
    let whole = fs::read(folder.join("log")).expect("read");
    write_entries(&fresh_folder("torn"), 3);
    let longer = fs::read(folder.join("log")).expect("read");
    for length in whole.len() + 1..longer.len() {
        fs::write(folder.join("log"), &longer[..length]).expect("write");
        let opened = open(&folder);
        assert_eq!(indexes(&opened.stored), [1, 2], "length {length}");
        assert_eq!(opened.cut_bytes, (length - whole.len()) as u64);
        let mut writer = opened.writer;
        writer.write(&[JournalWrite::Append(vec![entry(3)])]).expect("write");
        drop(writer);
        assert_eq!(indexes(&open(&folder).stored), [1, 2, 3]);
    }
}

#[test]
fn a_last_write_whose_sectors_are_missing_is_cut_off() {
    let folder = fresh_folder("sectors");
    write_entries(&folder, 2);
    damage(&folder, |bytes| bytes.extend([0; 1_024]));
    assert_eq!(indexes(&open(&folder).stored), [1, 2]);
}

#[test]
fn a_flipped_byte_anywhere_is_refused() {
    let folder = fresh_folder("flipped");
    write_entries(&folder, 3);
    let whole = fs::read(folder.join("log")).expect("read");
    for offset in 0..whole.len() {
        damage(&folder, |bytes| bytes[offset] ^= 0x10);
        let error = JournalWriter::open(&folder).err();
        assert!(matches!(error, Some(JournalError::Corrupt { .. })), "byte {offset}: {error:?}");
        fs::write(folder.join("log"), &whole).expect("write");
    }
    let offset = find(&whole, "command 2");
    damage(&folder, |bytes| bytes[offset] ^= 1);
    let error = JournalWriter::open(&folder).expect_err("refused").to_string();
    assert!(error.contains("is corrupt at byte") && error.ends_with("checksum differs"), "{error}");
}

#[test]
fn a_flipped_byte_in_snapshot_or_identity_is_refused() {
    for name in ["snapshot", "identity"] {
        let folder = fresh_folder("flipped-files");
        let stored = StoredReplica {
            hard_state: hard_state(),
            snapshot: snapshot(4),
            ..StoredReplica::default()
        };
        open(&folder).writer.write(&[JournalWrite::Replace(Box::new(stored))]).expect("write");
        let path = folder.join(name);
        let mut bytes = fs::read(&path).expect("read");
        let last = bytes.len() - 1;
        bytes[last] ^= 1;
        fs::write(&path, bytes).expect("write");
        let error = JournalWriter::open(&folder).err();
        assert!(matches!(error, Some(JournalError::Corrupt { .. })), "{name}: {error:?}");
    }
}

#[test]
fn a_replica_that_lost_its_disk_has_a_new_identity() {
    let folder = fresh_folder("empty");
    write_entries(&folder, 3);
    let identity = open(&folder).identity;
    fs::remove_dir_all(&folder).expect("remove");
    let opened = open(&folder);
    assert_ne!(opened.identity, identity);
    assert_eq!(opened.stored, StoredReplica::default());
}

#[test]
fn a_missing_file_is_not_treated_as_an_empty_disk() {
    for name in ["log", "identity"] {
        let folder = fresh_folder("lost-file");
        write_entries(&folder, 3);
        fs::remove_file(folder.join(name)).expect("remove");
        let error = JournalWriter::open(&folder).err();
        assert!(matches!(error, Some(JournalError::Missing(_))), "{name}: {error:?}");
    }
}

#[test]
fn a_log_that_starts_before_the_snapshot_continues_it() {
    let folder = fresh_folder("continued");
    let stored = StoredReplica {
        hard_state: hard_state(),
        snapshot: snapshot(4),
        entries: vec![entry(5), entry(6)],
        commit_index: LogIndex(5),
    };
    let mut writer = open(&folder).writer;
    writer.write(&[JournalWrite::Replace(Box::new(stored.clone()))]).expect("write");
    drop(writer);
    assert_eq!(open(&folder).stored, stored);
    // Power loss between the renames of a newer snapshot and of its log leaves the old log.
    let log = fs::read(folder.join("log")).expect("read");
    let newer = StoredReplica { snapshot: snapshot(5), entries: vec![entry(6)], ..stored };
    let write = JournalWrite::Replace(Box::new(newer.clone()));
    open(&folder).writer.write(&[write]).expect("write");
    fs::write(folder.join("log"), log).expect("write");
    assert_eq!(open(&folder).stored, newer);
}

#[test]
fn a_gap_between_snapshot_and_log_is_refused() {
    let folder = fresh_folder("gap");
    let stored = StoredReplica {
        hard_state: hard_state(),
        snapshot: snapshot(4),
        ..StoredReplica::default()
    };
    open(&folder).writer.write(&[JournalWrite::Replace(Box::new(stored))]).expect("write");
    let old = fs::read(folder.join("snapshot")).expect("read");
    let stored = StoredReplica {
        hard_state: hard_state(),
        snapshot: snapshot(8),
        entries: vec![entry(9)],
        commit_index: LogIndex(8),
    };
    open(&folder).writer.write(&[JournalWrite::Replace(Box::new(stored))]).expect("write");
    fs::write(folder.join("snapshot"), old).expect("write");
    let error = JournalWriter::open(&folder).expect_err("refused");
    assert_eq!(error.to_string(), "entries 4 to 8 are in neither snapshot nor log");
}

#[test]
fn two_processes_do_not_share_a_folder() {
    let folder = fresh_folder("locked");
    let first = open(&folder);
    assert!(matches!(JournalWriter::open(&folder), Err(JournalError::Locked(_))));
    drop(first);
    open(&folder);
}

#[test]
fn truncated_entries_are_not_restored() {
    let folder = fresh_folder("truncated");
    write_entries(&folder, 4);
    let writes = [JournalWrite::Truncate(LogIndex(3)), JournalWrite::Append(vec![entry(3)])];
    open(&folder).writer.write(&writes).expect("write");
    assert_eq!(indexes(&open(&folder).stored), [1, 2, 3]);
}
