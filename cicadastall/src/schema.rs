//! Schema of the settings, and the validation of a JSON document against it.

use crate::{
    fault::{FaultKind, FaultList, ValuePath},
    json_document::JsonNode,
};
use serde_json::Number;
use std::collections::BTreeSet;

/// Maximum length of a name, in bytes; names are sent in HTTP headers.
const MAX_NAME_BYTES: usize = 200;

/// Maximum length of free text, in bytes.
const MAX_TEXT_BYTES: usize = 1_000;

/// Schema of one value.
#[derive(Debug)]
pub(crate) enum ValueSchema {
    /// Free text.
    Text,
    /// `true` or `false`.
    Bool,
    /// An integer from `min` to `max`.
    Integer { min: u64, max: u64 },
    /// A number above `above` and at max `max`.
    Float { above: f64, max: f64 },
    /// A name.
    Name,
    /// A non-empty list of distinct names.
    NameList,
    /// An object whose keys are names and whose values have one schema.
    Map(&'static ValueSchema),
    /// An object with these fields.
    Object(&'static [FieldSchema]),
    /// One of the words as a string, or an object with exactly one of the tagged fields.
    Choice { words: &'static [&'static str], tagged: &'static [FieldSchema] },
}

/// Schema of one field of an object.
#[derive(Debug)]
pub(crate) struct FieldSchema {
    name: &'static str,
    required: bool,
    schema: ValueSchema,
}

const fn required(name: &'static str, schema: ValueSchema) -> FieldSchema {
    FieldSchema { name, required: true, schema }
}

const fn optional(name: &'static str, schema: ValueSchema) -> FieldSchema {
    FieldSchema { name, required: false, schema }
}

/// Maximum target and deadline, in milliseconds: one day.
const MAX_MS: u64 = 86_400_000;

/// Maximum worth and share.
const MAX_WEIGHT: f64 = 1_000_000.0;

const WEIGHT: ValueSchema = ValueSchema::Float { above: 0.0, max: MAX_WEIGHT };

const MILLIS: ValueSchema = ValueSchema::Integer { min: 1, max: MAX_MS };

static REGION: ValueSchema = ValueSchema::Object(&[
    required("zones", ValueSchema::NameList),
    optional("link_bytes_per_s", ValueSchema::Integer { min: 1, max: 1_000_000_000_000 }),
]);

/// Schema of the regions' subtree.
pub(crate) static REGIONS: ValueSchema = ValueSchema::Map(&REGION);

static POOL: ValueSchema = ValueSchema::Object(&[
    required(
        "serves",
        ValueSchema::Choice {
            words: &["plain_service"],
            tagged: &[required(
                "model_engine",
                ValueSchema::Object(&[required("models", ValueSchema::NameList)]),
            )],
        },
    ),
    optional("checks_fencing", ValueSchema::Bool),
    optional("min_upstreams", ValueSchema::Integer { min: 0, max: 100_000 }),
]);

static KIND: ValueSchema = ValueSchema::Object(&[
    required("pool", ValueSchema::Name),
    optional("model", ValueSchema::Name),
    required("rank", ValueSchema::Choice { words: &["urgent", "patient"], tagged: &[] }),
    required("first_token_ms", MILLIS),
    required("deadline_ms", MILLIS),
    optional("worth", WEIGHT),
    required(
        "answered_in",
        ValueSchema::Choice {
            words: &["home", "anywhere"],
            tagged: &[required("regions", ValueSchema::NameList)],
        },
    ),
    optional("repeatable", ValueSchema::Bool),
]);

static WORKSPACE: ValueSchema = ValueSchema::Object(&[
    required("home", ValueSchema::Name),
    required("resides_in", ValueSchema::NameList),
    optional("share", WEIGHT),
]);

/// Schema of one team's subtree.
pub(crate) static TEAM: ValueSchema = ValueSchema::Object(&[
    required("owner", ValueSchema::Text),
    required("pools", ValueSchema::Map(&POOL)),
    required("kinds", ValueSchema::Map(&KIND)),
    required("workspaces", ValueSchema::Map(&WORKSPACE)),
]);

/// Schema of the whole tree.
pub(crate) static FLEET: ValueSchema = ValueSchema::Object(&[
    required("regions", ValueSchema::Map(&REGION)),
    required("teams", ValueSchema::Map(&TEAM)),
]);

impl ValueSchema {
    /// Adds every fault of `node`, the value at `path`.
    pub(crate) fn check(&self, node: &JsonNode, path: &ValuePath, faults: &mut FaultList) {
        match (self, node) {
            (Self::Text, JsonNode::String(text)) => check_text(text, path, faults),
            (Self::Name, JsonNode::String(name)) => check_name(name, path, faults),
            (Self::Bool, JsonNode::Bool(_)) => {}
            (Self::Integer { min, max }, JsonNode::Number(number)) => {
                if number.as_u64().is_none_or(|number| number < *min || number > *max) {
                    faults.add(path, FaultKind::OutOfRange, node.describe(), self.describe());
                }
            }
            (Self::Float { above, max }, JsonNode::Number(number)) => {
                let fits = |number: f64| number > *above && number <= *max;
                if !number.as_f64().is_some_and(fits) {
                    faults.add(path, FaultKind::OutOfRange, node.describe(), self.describe());
                } else if !round_trips(number) {
                    let allowed = "a number of at most 15 digits";
                    faults.add(path, FaultKind::OutOfRange, node.describe(), allowed);
                }
            }
            (Self::NameList, JsonNode::Array(elements)) => check_names(elements, path, faults),
            (Self::Map(schema), JsonNode::Object(fields)) => {
                check_duplicates(fields, path, faults);
                for (name, value) in fields {
                    check_name(name, &path.key(name), faults);
                    schema.check(value, &path.key(name), faults);
                }
            }
            (Self::Object(schemas), JsonNode::Object(fields)) => {
                check_object(schemas, fields, path, faults);
            }
            (Self::Choice { words, tagged }, JsonNode::String(word)) => {
                if !words.contains(&word.as_str()) {
                    let known = words.iter().copied().chain(tagged.iter().map(|field| field.name));
                    faults.add_unknown(path, FaultKind::OutOfRange, word, known);
                }
            }
            (Self::Choice { tagged, .. }, JsonNode::Object(fields)) if !tagged.is_empty() => {
                check_tagged(tagged, fields, path, faults);
            }
            _ => faults.add(path, FaultKind::WrongType, node.describe(), self.describe()),
        }
    }

    fn describe(&self) -> String {
        match self {
            Self::Text => format!("text of 1 to {MAX_TEXT_BYTES} bytes"),
            Self::Bool => "true or false".into(),
            Self::Integer { min, max } => format!("a whole number from {min} to {max}"),
            Self::Float { above, max } => format!("a number above {above} and at most {max}"),
            Self::Name => format!("a name of 1 to {MAX_NAME_BYTES} visible ASCII characters"),
            Self::NameList => "a list of names, not empty".into(),
            Self::Map(_) => "an object with a field for each name".into(),
            Self::Object(fields) => {
                format!(
                    "an object with {}",
                    fields.iter().map(|field| field.name).collect::<Vec<_>>().join(", ")
                )
            }
            Self::Choice { words, tagged } => {
                let tags = tagged.iter().map(|field| format!("{{{:?}: …}}", field.name));
                let words = words.iter().map(|word| format!("{word:?}"));
                words.chain(tags).collect::<Vec<_>>().join(" or ")
            }
        }
    }
}

/// Whether the number is unchanged after encoding and decoding, as in the log of changes.
fn round_trips(number: &Number) -> bool {
    let again: Option<f64> = serde_json::from_str(&number.to_string()).ok();
    again == number.as_f64()
}

fn check_text(text: &str, path: &ValuePath, faults: &mut FaultList) {
    if text.is_empty() || text.len() > MAX_TEXT_BYTES {
        let found = format!("{} bytes", text.len());
        faults.add(path, FaultKind::OutOfRange, found, ValueSchema::Text.describe());
    }
}

fn check_name(name: &str, path: &ValuePath, faults: &mut FaultList) {
    let visible = name.bytes().all(|byte| byte.is_ascii_graphic());
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !visible {
        let found = format!("{:?}", crate::json_document::excerpt(name));
        faults.add(path, FaultKind::OutOfRange, found, ValueSchema::Name.describe());
    }
}

fn check_names(elements: &[JsonNode], path: &ValuePath, faults: &mut FaultList) {
    if elements.is_empty() {
        faults.add(path, FaultKind::OutOfRange, "an empty list", ValueSchema::NameList.describe());
    }
    let mut seen = BTreeSet::new();
    for (index, element) in elements.iter().enumerate() {
        let path = path.index(index);
        ValueSchema::Name.check(element, &path, faults);
        if let Some(name) = element.as_str()
            && !seen.insert(name)
        {
            faults.add(&path, FaultKind::NotUnique, element.describe(), "each name once");
        }
    }
}

fn check_duplicates(fields: &[(String, JsonNode)], path: &ValuePath, faults: &mut FaultList) {
    let mut seen = BTreeSet::new();
    for (key, _) in fields {
        if !seen.insert(key) {
            faults.add(&path.key(key), FaultKind::DuplicateKey, "the key again", "each key once");
        }
    }
}

fn check_object(
    schemas: &[FieldSchema],
    fields: &[(String, JsonNode)],
    path: &ValuePath,
    faults: &mut FaultList,
) {
    check_duplicates(fields, path, faults);
    for (key, value) in fields {
        match schemas.iter().find(|field| field.name == key) {
            Some(field) => field.schema.check(value, &path.key(key), faults),
            None => {
                let known = schemas.iter().map(|field| field.name);
                faults.add_unknown(&path.key(key), FaultKind::UnknownField, key, known);
            }
        }
    }
    for field in schemas.iter().filter(|field| field.required) {
        if fields.iter().all(|(key, _)| key != field.name) {
            let path = path.key(field.name);
            faults.add(&path, FaultKind::MissingField, "nothing", field.schema.describe());
        }
    }
}

fn check_tagged(
    tagged: &'static [FieldSchema],
    fields: &[(String, JsonNode)],
    path: &ValuePath,
    faults: &mut FaultList,
) {
    if let [(key, value)] = fields
        && let Some(field) = tagged.iter().find(|field| field.name == key)
    {
        return field.schema.check(value, &path.key(key), faults);
    }
    match fields {
        [(key, _)] => {
            let known = tagged.iter().map(|field| field.name);
            faults.add_unknown(&path.key(key), FaultKind::UnknownField, key, known);
        }
        _ => {
            let allowed = ValueSchema::Choice { words: &[], tagged }.describe();
            let found = format!("an object with {} fields", fields.len());
            faults.add(path, FaultKind::WrongType, found, allowed);
        }
    }
}
