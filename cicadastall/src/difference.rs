//! Differences between two JSON values, for operators whose changes conflict.

use crate::fault::ValuePath;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Most differences that are listed.
const MAX_DIFFERENCES: usize = 50;

/// One value that differs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ValueDifference {
    /// Path of the value.
    pub path: String,
    /// The value in force; null if there is none.
    pub in_force: Value,
    /// The value that was wanted; null if there is none.
    pub wanted: Value,
}

/// Lists where `wanted` differs from `in_force`, at most the first 50 places.
pub fn list_differences(in_force: &Value, wanted: &Value) -> Vec<ValueDifference> {
    let mut differences = Vec::new();
    compare(&ValuePath::root(), in_force, wanted, &mut differences);
    differences
}

fn compare(path: &ValuePath, in_force: &Value, wanted: &Value, found: &mut Vec<ValueDifference>) {
    if in_force == wanted || found.len() >= MAX_DIFFERENCES {
        return;
    }
    match (in_force, wanted) {
        (Value::Object(in_force), Value::Object(wanted)) => {
            compare_fields(path, in_force, wanted, found)
        }
        _ => found.push(ValueDifference {
            path: path.to_string(),
            in_force: in_force.clone(),
            wanted: wanted.clone(),
        }),
    }
}

fn compare_fields(
    path: &ValuePath,
    in_force: &Map<String, Value>,
    wanted: &Map<String, Value>,
    found: &mut Vec<ValueDifference>,
) {
    for (key, value) in in_force {
        compare(&path.key(key), value, wanted.get(key).unwrap_or(&Value::Null), found);
    }
    for (key, value) in wanted.iter().filter(|(key, _)| !in_force.contains_key(*key)) {
        compare(&path.key(key), &Value::Null, value, found);
    }
}
