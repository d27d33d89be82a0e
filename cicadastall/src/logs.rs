//! Logs as JSON lines on standard error.

use crate::{
    clock::unix_ms,
    name::{InstanceName, ZoneName},
};
use log::{
    Record,
    kv::{Error as KvError, Key, Value, VisitSource},
};
use serde_json::{Map, json};
use std::io::Write;

struct FieldVisitor<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), KvError> {
        let value = serde_json::to_value(&value).unwrap_or_else(|_| json!(value.to_string()));
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

/// Encodes one record as a line of JSON without its newline.
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

/// Writes one record as a line of JSON, for use as the format of a logger.
pub fn write_line(
    output: &mut impl Write,
    record: &Record<'_>,
    instance: &InstanceName,
    zone: &ZoneName,
) -> std::io::Result<()> {
    writeln!(output, "{}", encode_line(record, instance, zone))
}
