//! Log output as JSON lines, written by a thread of its own.

use crate::{
    clock::unix_ms,
    name::{InstanceName, ZoneName},
};
use log::{
    Record,
    kv::{Error as KvError, Key, Value, VisitSource},
};
use serde_json::{Map, json};
use std::{
    io::Write,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{self, SyncSender},
    },
    time::{Duration, Instant},
};

struct FieldVisitor<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), KvError> {
        let value = serde_json::to_value(&value).unwrap_or_else(|_| json!(value.to_string()));
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

/// Encodes one record as a line of JSON without the newline.
pub fn encode_line(record: &Record<'_>, instance: &InstanceName, zone: &ZoneName) -> String {
    let mut fields = Map::new();
    fields.insert("time_ms".into(), json!(unix_ms()));
    fields.insert("level".into(), json!(record.level().as_str()));
    fields.insert("instance".into(), json!(instance));
    fields.insert("zone".into(), json!(zone));
    fields.insert("module".into(), json!(record.target()));
    fields.insert("message".into(), json!(record.args().to_string()));
    let _ = record.key_values().visit(&mut FieldVisitor(&mut fields));
    serde_json::Value::Object(fields).to_string()
}

/// Writes one record as a line of JSON; suitable as the format function of a logger.
pub fn write_line(
    output: &mut impl Write,
    record: &Record<'_>,
    instance: &InstanceName,
    zone: &ZoneName,
) -> std::io::Result<()> {
    writeln!(output, "{}", encode_line(record, instance, zone))
}

/// Limits lines of one kind to a number per second and process.
#[derive(Debug)]
pub struct LineLimiter {
    max_per_s: u64,
    second: AtomicU64,
    lines: AtomicU64,
}

impl LineLimiter {
    /// Allows `max_per_s` lines per second.
    pub const fn new(max_per_s: u64) -> Self {
        Self { max_per_s, second: AtomicU64::new(0), lines: AtomicU64::new(0) }
    }

    /// Whether another line may be written in this second.
    pub fn take(&self) -> bool {
        let second = unix_ms() / 1_000;
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        self.lines.fetch_add(1, Ordering::Relaxed) < self.max_per_s
    }
}

/// Capacity of the queue, in lines; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 4_096;

/// Maximum number of queued lines that are added to one write.
const MAX_LINES_PER_WRITE: usize = 64;

/// Minimum time between two reports of dropped lines.
const DROP_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Queues lines for a writer thread, so that a slow output does not block the threads that log.
#[derive(Debug, Clone)]
pub struct LineQueue {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl LineQueue {
    /// Starts the writer thread, which writes to `output` until the queue is dropped.
    pub fn start(mut output: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (lines, queued) = mpsc::sync_channel::<Vec<u8>>(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let drop_counter = Arc::clone(&dropped);
        std::thread::Builder::new().name("log".to_owned()).spawn(move || {
            let mut reported_at = Instant::now();
            while let Ok(mut text) = queued.recv() {
                for line in queued.try_iter().take(MAX_LINES_PER_WRITE) {
                    text.extend(line);
                }
                if reported_at.elapsed() > DROP_REPORT_INTERVAL {
                    reported_at = Instant::now();
                    let dropped = drop_counter.swap(0, Ordering::Relaxed);
                    if dropped > 0 {
                        let report = json!({
                            "time_ms": unix_ms(),
                            "level": "WARN",
                            "message": "log lines dropped",
                            "dropped": dropped,
                        });
                        text.extend(format!("{report}\n").into_bytes());
                    }
                }
                // A failure to write the log has nowhere else to be reported.
                let _ = output.write_all(&text).and_then(|()| output.flush());
            }
        })?;
        Ok(Self { lines, dropped })
    }
}

impl Write for LineQueue {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if self.lines.try_send(bytes.to_vec()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
