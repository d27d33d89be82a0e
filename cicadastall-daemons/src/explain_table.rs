//! Tables of the answers to `explain`: routing decisions and upstream records.

use crate::print::{cell_text, print_table};
use serde_json::Value;
use std::io;

/// Prints one routing decision: the request, its candidates and the upstreams that were filtered out.
pub fn print_decision(decision: &Value) -> io::Result<()> {
    let field = |pointer: &str| cell_text(decision, pointer);
    print_table(
        ["REQUEST", "WORKSPACE", "KIND", "RANK", "REVISION", "LIMIT MS", "DECISION"],
        &[[
            field("/request"),
            field("/workspace"),
            field("/kind"),
            field("/rank"),
            field("/revision"),
            field("/limit_ms"),
            describe_outcome(&decision["outcome"]),
        ]],
    )?;
    println!();
    let rows: Vec<_> = candidate_rows(decision).chain(filter_rows(decision)).collect();
    print_table(["UPSTREAM", "SCORE", "FIRST TOKEN MS", "WAIT MS", "FILTERED"], &rows)?;
    println!();
    Ok(())
}

/// Prints the record that an entry holds of an upstream, and whether the entry uses it.
pub fn print_upstream(upstream: &Value) -> io::Result<()> {
    let field = |pointer: &str| cell_text(upstream, pointer);
    let used = if upstream["used"] == true { "yes".to_owned() } else { field("/unused") };
    let models = upstream.pointer("/record/models").and_then(Value::as_array);
    let models: Vec<_> = models.into_iter().flatten().filter_map(Value::as_str).collect();
    print_table(
        ["UPSTREAM", "ZONE", "POOL", "MODELS", "STATE", "RUNNING", "QUEUED", "AGE MS", "USED"],
        &[[
            field("/record/name"),
            field("/record/zone"),
            field("/record/pool"),
            if models.is_empty() { "-".to_owned() } else { models.join(",") },
            field("/record/state"),
            field("/record/load/running"),
            field("/record/load/queued"),
            field("/age_ms"),
            used,
        ]],
    )
}

fn candidate_rows(decision: &Value) -> impl Iterator<Item = [String; 5]> {
    decision["candidates"].as_array().into_iter().flatten().map(|candidate| {
        let field = |pointer: &str| cell_text(candidate, pointer);
        [
            field("/upstream"),
            field("/score"),
            field("/first_token_ms"),
            field("/wait_ms"),
            "-".to_owned(),
        ]
    })
}

fn filter_rows(decision: &Value) -> impl Iterator<Item = [String; 5]> {
    decision["filtered"].as_array().into_iter().flatten().map(|filtered| {
        let dash = || "-".to_owned();
        [cell_text(filtered, "/0"), dash(), dash(), dash(), cell_text(filtered, "/1")]
    })
}

/// Text of an outcome, such as `upstream aqaba-m1` or `refused overloaded`.
fn describe_outcome(outcome: &Value) -> String {
    let Some((name, detail)) = outcome.as_object().and_then(|outcome| outcome.iter().next()) else {
        return cell_text(outcome, "");
    };
    let subject = ["/upstream", "/zone", "/code"].iter().find(|key| detail.pointer(key).is_some());
    format!("{name} {}", subject.map_or_else(|| "-".to_owned(), |key| cell_text(detail, key)))
}
