//! Durable storage of one replica: identity, snapshot and log in one folder.
//!
//! The log is a sequence of frames, one for each synced batch of writes. A power loss can leave
//! only the last frame incomplete, which is then cut off; any other damage is an error.

use crate::replica_message::{
    HardState, JournalWrite, LogEntry, LogIndex, LogPosition, ReplicaIdentity, SnapshotImage,
    StoredReplica,
};
use rand::RngExt;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::{
    fmt,
    fs::{self, File, OpenOptions, TryLockError},
    io::{self, Seek, SeekFrom, Write},
    path::{Path, PathBuf},
    sync::Arc,
};

const IDENTITY_FILE: &str = "identity";
const SNAPSHOT_FILE: &str = "snapshot";
const LOG_FILE: &str = "log";
const LOCK_FILE: &str = "lock";

/// Size of a frame's header in bytes: length of the content, its CRC-32, and the CRC-32 of both.
const HEADER_BYTES: usize = 12;

/// Unit of disk writes in bytes; a sector that was never written reads as zeros.
const SECTOR_BYTES: usize = 512;

/// Why a replica's storage cannot be used.
#[derive(Debug)]
pub enum JournalError {
    /// A file could not be read, written or synced.
    Io {
        /// The file or folder.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// Another process has locked the folder.
    Locked(PathBuf),
    /// Synced content is damaged.
    Corrupt {
        /// The file.
        path: PathBuf,
        /// Offset of the damaged part in bytes.
        offset: u64,
        /// What is wrong.
        cause: String,
    },
    /// A required file is missing.
    Missing(PathBuf),
    /// Entries between the end of the snapshot and the start of the log are missing.
    Gap {
        /// Last entry of the snapshot.
        snapshot: LogIndex,
        /// Entry after which the log starts.
        base: LogIndex,
    },
    /// An earlier write failed, so the content of the files is unknown.
    Poisoned,
}

impl fmt::Display for JournalError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io { path, source } => write!(formatter, "{}: {source}", path.display()),
            Self::Locked(path) => {
                write!(formatter, "{} is used by another process", path.display())
            }
            Self::Corrupt { path, offset, cause } => {
                write!(formatter, "{} is corrupt at byte {offset}: {cause}", path.display())
            }
            Self::Missing(path) => write!(formatter, "{} is missing", path.display()),
            Self::Gap { snapshot, base } => {
                write!(formatter, "entries {snapshot} to {base} are in neither snapshot nor log")
            }
            Self::Poisoned => formatter.write_str("an earlier write failed"),
        }
    }
}

impl std::error::Error for JournalError {}

/// Record of the log file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum JournalRecord {
    Base(LogPosition),
    Hard(HardState),
    Truncate(LogIndex),
    Entry(LogEntry),
    Commit(LogIndex),
}

/// Header of the snapshot file; the encoded state follows in a frame of its own.
#[derive(Debug, Serialize, Deserialize)]
struct SnapshotHeader {
    position: LogPosition,
    configuration: crate::replica_message::GroupConfiguration,
}

/// Opened or newly created storage of a replica.
#[derive(Debug)]
pub struct OpenedJournal {
    /// Writer for further changes.
    pub writer: JournalWriter,
    /// Identity of the storage.
    pub identity: ReplicaIdentity,
    /// Stored content.
    pub stored: StoredReplica,
    /// Size of an incomplete last write that was cut off, in bytes.
    pub cut_bytes: u64,
}

/// Writer of one replica's storage.
#[derive(Debug)]
pub struct JournalWriter {
    folder: PathBuf,
    log: File,
    poisoned: bool,
    _lock: File,
}

impl JournalWriter {
    /// Opens the storage in `folder`, or creates one with a new identity if the folder is empty.
    ///
    /// Fails if the folder is locked, if a required file is missing, or if the content is damaged
    /// or cannot be read or written.
    pub fn open(folder: &Path) -> Result<OpenedJournal, JournalError> {
        fs::create_dir_all(folder).map_err(|source| io_error(folder, source))?;
        let lock = lock_folder(folder)?;
        let identity = match read_identity(folder)? {
            Some(identity) => identity,
            None => create_storage(folder)?,
        };
        let path = folder.join(LOG_FILE);
        let bytes = read_file(&path)?.ok_or_else(|| JournalError::Missing(path.clone()))?;
        let (records, valid) = read_log(&path, &bytes)?;
        let stored = replay_records(&path, records, read_snapshot(folder)?)?;
        let mut log = open_log(&path)?;
        let cut_bytes = bytes.len() as u64 - valid;
        if cut_bytes > 0 {
            log::warn!(cut_bytes; "removed an incomplete last write from {}", path.display());
            log.set_len(valid).map_err(|source| io_error(&path, source))?;
            log.sync_all().map_err(|source| io_error(&path, source))?;
        }
        log.seek(SeekFrom::End(0)).map_err(|source| io_error(&path, source))?;
        let writer = Self { folder: folder.to_owned(), log, poisoned: false, _lock: lock };
        Ok(OpenedJournal { writer, identity, stored, cut_bytes })
    }

    /// Makes `writes` durable. After an error, every further write fails with
    /// [`JournalError::Poisoned`].
    pub fn write(&mut self, writes: &[JournalWrite]) -> Result<(), JournalError> {
        if std::mem::replace(&mut self.poisoned, true) {
            return Err(JournalError::Poisoned);
        }
        let last = writes.iter().rposition(|write| matches!(write, JournalWrite::Replace(_)));
        if let Some(JournalWrite::Replace(stored)) = last.map(|last| &writes[last]) {
            self.replace(stored)?;
        }
        let rest = &writes[last.map_or(0, |last| last + 1)..];
        if !rest.is_empty() {
            self.append(&rest.iter().flat_map(to_records).collect::<Vec<_>>())?;
        }
        self.poisoned = false;
        Ok(())
    }

    fn append(&mut self, records: &[JournalRecord]) -> Result<(), JournalError> {
        let frame = encode_json_frame(records);
        let written = self.log.write_all(&frame).and_then(|()| self.log.sync_data());
        written.map_err(|source| io_error(&self.folder.join(LOG_FILE), source))
    }

    /// Replaces the snapshot first and then the log, so that a power loss in between leaves no gap.
    fn replace(&mut self, stored: &StoredReplica) -> Result<(), JournalError> {
        write_snapshot(&self.folder, &stored.snapshot)?;
        write_log(&self.folder, stored)?;
        let path = self.folder.join(LOG_FILE);
        self.log = open_log(&path)?;
        self.log.seek(SeekFrom::End(0)).map_err(|source| io_error(&path, source))?;
        Ok(())
    }
}

fn to_records(write: &JournalWrite) -> Vec<JournalRecord> {
    match write {
        JournalWrite::Hard(hard_state) => vec![JournalRecord::Hard(hard_state.clone())],
        JournalWrite::Truncate(from) => vec![JournalRecord::Truncate(*from)],
        JournalWrite::Append(entries) => {
            entries.iter().cloned().map(JournalRecord::Entry).collect()
        }
        JournalWrite::Commit(index) => vec![JournalRecord::Commit(*index)],
        JournalWrite::Replace(_) => Vec::new(),
    }
}

fn io_error(path: &Path, source: io::Error) -> JournalError {
    JournalError::Io { path: path.to_owned(), source }
}

fn corrupt_error(path: &Path, offset: u64, cause: impl Into<String>) -> JournalError {
    JournalError::Corrupt { path: path.to_owned(), offset, cause: cause.into() }
}

fn lock_folder(folder: &Path) -> Result<File, JournalError> {
    let path = folder.join(LOCK_FILE);
    let lock = File::create(&path).map_err(|source| io_error(&path, source))?;
    match lock.try_lock() {
        Ok(()) => Ok(lock),
        Err(TryLockError::WouldBlock) => Err(JournalError::Locked(folder.to_owned())),
        Err(TryLockError::Error(source)) => Err(io_error(&path, source)),
    }
}

fn read_file(path: &Path) -> Result<Option<Vec<u8>>, JournalError> {
    match fs::read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(source) => Err(io_error(path, source)),
    }
}

fn open_log(path: &Path) -> Result<File, JournalError> {
    OpenOptions::new().read(true).write(true).open(path).map_err(|source| io_error(path, source))
}

/// Atomically replaces the content of a file by `bytes`: syncs a temporary file and renames it.
fn replace_file(folder: &Path, name: &str, bytes: &[u8]) -> Result<(), JournalError> {
    let path = folder.join(name);
    let temporary = folder.join(format!("{name}.new"));
    let write = || {
        let mut file = File::create(&temporary)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&temporary, &path)?;
        File::open(folder)?.sync_all()
    };
    write().map_err(|source| {
        // A part of the file would keep the room that a full disk lacks.
        if let Err(error) = fs::remove_file(&temporary) {
            log::warn!("cannot remove {}: {error}", temporary.display());
        }
        io_error(&path, source)
    })
}

fn create_storage(folder: &Path) -> Result<ReplicaIdentity, JournalError> {
    let path = folder.join(LOG_FILE);
    let is_unused = match read_file(&path)? {
        None => !folder.join(SNAPSHOT_FILE).exists(),
        Some(bytes) => bytes == encode_log(&StoredReplica::default()),
    };
    if !is_unused {
        return Err(JournalError::Missing(folder.join(IDENTITY_FILE)));
    }
    // The log is written first, so that an identity without a log means that the log was lost.
    write_log(folder, &StoredReplica::default())?;
    let identity = create_identity();
    replace_file(folder, IDENTITY_FILE, &encode_json_frame(&identity))?;
    Ok(identity)
}

/// Creates a random identity for empty storage.
pub fn create_identity() -> ReplicaIdentity {
    ReplicaIdentity(rand::rng().random_range(1..=u64::MAX))
}

fn read_identity(folder: &Path) -> Result<Option<ReplicaIdentity>, JournalError> {
    let path = folder.join(IDENTITY_FILE);
    let Some(bytes) = read_file(&path)? else { return Ok(None) };
    match read_frame(&bytes) {
        FrameOutcome::Complete { content, .. } => decode_json(&path, 0, content).map(Some),
        _ => Err(corrupt_error(&path, 0, "checksum differs")),
    }
}

fn write_snapshot(folder: &Path, snapshot: &SnapshotImage) -> Result<(), JournalError> {
    let SnapshotImage { position, configuration, data } = snapshot;
    let header = SnapshotHeader { position: *position, configuration: configuration.clone() };
    let mut bytes = encode_json_frame(&header);
    bytes.extend(encode_frame(data));
    replace_file(folder, SNAPSHOT_FILE, &bytes)
}

fn read_snapshot(folder: &Path) -> Result<SnapshotImage, JournalError> {
    let path = folder.join(SNAPSHOT_FILE);
    let Some(bytes) = read_file(&path)? else { return Ok(SnapshotImage::default()) };
    let FrameOutcome::Complete { content, rest } = read_frame(&bytes) else {
        return Err(corrupt_error(&path, 0, "checksum of the header differs"));
    };
    let header: SnapshotHeader = decode_json(&path, 0, content)?;
    let offset = bytes.len() - rest.len();
    let FrameOutcome::Complete { content, .. } = read_frame(rest) else {
        return Err(corrupt_error(&path, offset as u64, "checksum of the state differs"));
    };
    let SnapshotHeader { position, configuration } = header;
    Ok(SnapshotImage { position, configuration, data: content.to_vec().into() })
}

fn encode_log(stored: &StoredReplica) -> Vec<u8> {
    let mut records = vec![
        JournalRecord::Base(stored.snapshot.position),
        JournalRecord::Hard(stored.hard_state.clone()),
    ];
    records.extend(stored.entries.iter().cloned().map(JournalRecord::Entry));
    records.push(JournalRecord::Commit(stored.commit_index));
    encode_json_frame(&records)
}

fn write_log(folder: &Path, stored: &StoredReplica) -> Result<(), JournalError> {
    replace_file(folder, LOG_FILE, &encode_log(stored))
}

/// Reads all complete frames; returns their records and their total size in bytes.
fn read_log(path: &Path, bytes: &[u8]) -> Result<(Vec<JournalRecord>, u64), JournalError> {
    let mut records = Vec::new();
    let mut rest = bytes;
    while !rest.is_empty() {
        let offset = (bytes.len() - rest.len()) as u64;
        match read_frame(rest) {
            FrameOutcome::Complete { content, rest: after } => {
                records.extend(decode_json::<Vec<JournalRecord>>(path, offset, content)?);
                rest = after;
            }
            FrameOutcome::Incomplete if offset > 0 => return Ok((records, offset)),
            // A last frame with a wrong checksum was synced and then damaged, unless a sector of it
            // was never written.
            FrameOutcome::Corrupt if offset > 0 && is_torn_write(rest, offset as usize) => {
                return Ok((records, offset));
            }
            _ => return Err(corrupt_error(path, offset, "checksum differs")),
        }
    }
    Ok((records, bytes.len() as u64))
}

/// Whether damaged `bytes` at `offset` of a file can be a last write with an unwritten sector: at
/// least one sector is all zeros, and no valid frame follows.
fn is_torn_write(bytes: &[u8], offset: usize) -> bool {
    let later_frame = (1..bytes.len())
        .any(|start| matches!(read_frame(&bytes[start..]), FrameOutcome::Complete { .. }));
    let first = SECTOR_BYTES - offset % SECTOR_BYTES;
    let (head, sectors) = bytes.split_at(first.min(bytes.len()));
    let is_missing = |sector: &[u8]| !sector.is_empty() && sector.iter().all(|byte| *byte == 0);
    !later_frame && (is_missing(head) || sectors.chunks(SECTOR_BYTES).any(is_missing))
}

fn replay_records(
    path: &Path,
    records: Vec<JournalRecord>,
    snapshot: SnapshotImage,
) -> Result<StoredReplica, JournalError> {
    let mut base = LogPosition::default();
    let mut stored = StoredReplica::default();
    for record in records {
        match record {
            JournalRecord::Base(position) => base = position,
            JournalRecord::Hard(hard_state) => stored.hard_state = hard_state,
            JournalRecord::Commit(index) => stored.commit_index = index,
            JournalRecord::Truncate(from) => stored.apply(&JournalWrite::Truncate(from)),
            JournalRecord::Entry(entry) => {
                let last = stored.entries.last().map_or(base, |last| last.position);
                if entry.position.index != last.index.next() {
                    return Err(corrupt_error(
                        path,
                        0,
                        format!("entry after index {} is missing", last.index),
                    ));
                }
                stored.entries.push(entry);
            }
        }
    }
    if base.index > snapshot.position.index {
        return Err(JournalError::Gap { snapshot: snapshot.position.index, base: base.index });
    }
    // A replica that stopped while it joined has a snapshot but no epoch, and joins again.
    if stored.hard_state.epoch.0 == 0 {
        return Ok(StoredReplica { hard_state: stored.hard_state, ..StoredReplica::default() });
    }
    // A log that starts before the snapshot's position continues the snapshot only if it holds the
    // entry at that position.
    let position = snapshot.position;
    let continues =
        base == position || stored.entries.iter().any(|entry| entry.position == position);
    stored.entries.retain(|entry| continues && entry.position.index > position.index);
    stored.snapshot = Arc::new(snapshot);
    Ok(stored)
}

/// Result of reading a frame at the start of a buffer.
enum FrameOutcome<'a> {
    Complete {
        content: &'a [u8],
        rest: &'a [u8],
    },
    /// The buffer ends before the frame does.
    Incomplete,
    Corrupt,
}

fn encode_frame(content: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + content.len());
    bytes.extend((content.len() as u32).to_le_bytes());
    bytes.extend(crc32fast::hash(content).to_le_bytes());
    bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
    bytes.extend(content);
    bytes
}

fn read_frame(bytes: &[u8]) -> FrameOutcome<'_> {
    let Some((header, rest)) = bytes.split_at_checked(HEADER_BYTES) else {
        return FrameOutcome::Incomplete;
    };
    let number = |at: usize| {
        u32::from_le_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]])
    };
    if crc32fast::hash(&header[..8]) != number(8) {
        return FrameOutcome::Corrupt;
    }
    match rest.split_at_checked(number(0) as usize) {
        None => FrameOutcome::Incomplete,
        Some((content, _)) if crc32fast::hash(content) != number(4) => FrameOutcome::Corrupt,
        Some((content, rest)) => FrameOutcome::Complete { content, rest },
    }
}

fn encode_json_frame<T: Serialize + ?Sized>(content: &T) -> Vec<u8> {
    // Serialization cannot fail, since all map keys are strings and no serializer returns an error.
    encode_frame(&serde_json::to_vec(content).unwrap_or_default())
}

fn decode_json<T: DeserializeOwned>(
    path: &Path,
    offset: u64,
    content: &[u8],
) -> Result<T, JournalError> {
    serde_json::from_slice(content).map_err(|error| corrupt_error(path, offset, error.to_string()))
}
