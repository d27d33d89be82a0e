//! Tables of what an entry explains: its decisions on a request, and an upstream.

use crate::print::{cell, print_table};
use serde_json::Value;
use std::io;

/// Prints one decision on a request: what it was made from, its candidates and its filters.
pub fn print_decision(decision: &Value) -> io::Result<()> {
    let at = |pointer: &str| cell(decision, pointer);
    print_table(
        ["REQUEST", "WORKSPACE", "KIND", "RANK", "REVISION", "LIMIT MS", "DECISION"],
        &[[
            at("/request"),
            at("/workspace"),
            at("/kind"),
            at("/rank"),
            at("/revision"),
            at("/limit_ms"),
            describe_outcome(&decision["outcome"]),
        ]],
    )?;
    println!();
    let rows: Vec<_> = candidate_rows(decision).chain(filter_rows(decision)).collect();
    print_table(["UPSTREAM", "SCORE", "FIRST TOKEN MS", "WAIT MS", "FILTERED"], &rows)?;
    println!();
    Ok(())
}

/// Prints what an entry knows of an upstream.
pub fn print_upstream(upstream: &Value) -> io::Result<()> {
    let at = |pointer: &str| cell(upstream, pointer);
    let used = if upstream["used"] == true { "yes".to_owned() } else { at("/unused") };
    let models = upstream.pointer("/record/models").and_then(Value::as_array);
    let models: Vec<_> = models.into_iter().flatten().filter_map(Value::as_str).collect();
    print_table(
        ["UPSTREAM", "ZONE", "POOL", "MODELS", "STATE", "RUNNING", "QUEUED", "AGE MS", "USED"],
        &[[
            at("/record/name"),
            at("/record/zone"),
            at("/record/pool"),
            if models.is_empty() { "-".to_owned() } else { models.join(",") },
            at("/record/state"),
            at("/record/load/running"),
            at("/record/load/queued"),
            at("/age_ms"),
            used,
        ]],
    )
}

fn candidate_rows(decision: &Value) -> impl Iterator<Item = [String; 5]> {
    decision["candidates"].as_array().into_iter().flatten().map(|candidate| {
        let at = |pointer: &str| cell(candidate, pointer);
        [at("/upstream"), at("/score"), at("/first_token_ms"), at("/wait_ms"), "-".to_owned()]
    })
}

fn filter_rows(decision: &Value) -> impl Iterator<Item = [String; 5]> {
    decision["filtered"].as_array().into_iter().flatten().map(|filtered| {
        let dash = || "-".to_owned();
        [cell(filtered, "/0"), dash(), dash(), dash(), cell(filtered, "/1")]
    })
}

/// Text of an outcome, such as `upstream aqaba-m1` or `refused overloaded`.
fn describe_outcome(outcome: &Value) -> String {
    let Some((name, detail)) = outcome.as_object().and_then(|outcome| outcome.iter().next()) else {
        return cell(outcome, "");
    };
    let subject = ["/upstream", "/zone", "/code"].iter().find(|key| detail.pointer(key).is_some());
    format!("{name} {}", subject.map_or_else(|| "-".to_owned(), |key| cell(detail, key)))
}
