//! Differences between two JSON values, which are reported to an operator whose change conflicts.

use crate::fault::ValuePath;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Maximum number of differences in a list.
const MAX_DIFFERENCES: usize = 50;

/// A value that differs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ValueDifference {
    /// Path of the value.
    pub path: String,
    /// Value in force; null if absent.
    pub in_force: Value,
    /// Value of the rejected change; null if absent.
    pub wanted: Value,
}

/// Lists the first 50 differences of `wanted` from `in_force`.
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
        (Value::Object(old), Value::Object(new)) => compare_fields(path, old, new, found),
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
