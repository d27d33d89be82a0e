//! Shapes of the values in a document of settings, and the walk that compares a document with them.

use crate::{
    document::JsonNode,
    fault::{FaultKind, FaultList, ValuePath},
};
use serde_json::Number;
use std::collections::BTreeSet;

/// Longest name, in bytes; names travel in HTTP headers.
const MAX_NAME_BYTES: usize = 200;

/// Longest free text, in bytes.
const MAX_TEXT_BYTES: usize = 1_000;

/// What a value must be.
#[derive(Debug)]
pub(crate) enum ValueShape {
    /// Free text.
    Text,
    /// `true` or `false`.
    Flag,
    /// A whole number from `least` to `most`.
    Whole { least: u64, most: u64 },
    /// A number above `above` and at most `most`.
    Decimal { above: f64, most: f64 },
    /// A name.
    Name,
    /// A list of distinct names, not empty.
    Names,
    /// An object from names to values of one shape.
    Map(&'static ValueShape),
    /// An object with these fields.
    Object(&'static [FieldShape]),
    /// One of the words, or an object with one of the tagged values.
    Choice { words: &'static [&'static str], tagged: &'static [FieldShape] },
}

/// A field of an object.
#[derive(Debug)]
pub(crate) struct FieldShape {
    name: &'static str,
    required: bool,
    shape: ValueShape,
}

const fn required(name: &'static str, shape: ValueShape) -> FieldShape {
    FieldShape { name, required: true, shape }
}

const fn optional(name: &'static str, shape: ValueShape) -> FieldShape {
    FieldShape { name, required: false, shape }
}

/// Longest target and deadline, in milliseconds: one day.
const MAX_MS: u64 = 86_400_000;

/// Greatest worth and share.
const MAX_WEIGHT: f64 = 1_000_000.0;

const WEIGHT: ValueShape = ValueShape::Decimal { above: 0.0, most: MAX_WEIGHT };

const MILLIS: ValueShape = ValueShape::Whole { least: 1, most: MAX_MS };

static REGION: ValueShape = ValueShape::Object(&[
    required("zones", ValueShape::Names),
    optional("link_bytes_per_s", ValueShape::Whole { least: 1, most: 1_000_000_000_000 }),
]);

/// Shape of the regions' subtree.
pub(crate) static REGIONS: ValueShape = ValueShape::Map(&REGION);

static POOL: ValueShape = ValueShape::Object(&[
    required(
        "serves",
        ValueShape::Choice {
            words: &["plain_service"],
            tagged: &[required(
                "model_engine",
                ValueShape::Object(&[required("models", ValueShape::Names)]),
            )],
        },
    ),
    optional("checks_fencing", ValueShape::Flag),
    optional("min_upstreams", ValueShape::Whole { least: 0, most: 100_000 }),
]);

static KIND: ValueShape = ValueShape::Object(&[
    required("pool", ValueShape::Name),
    optional("model", ValueShape::Name),
    required("rank", ValueShape::Choice { words: &["urgent", "patient"], tagged: &[] }),
    required("first_token_ms", MILLIS),
    required("deadline_ms", MILLIS),
    optional("worth", WEIGHT),
    required(
        "answered_in",
        ValueShape::Choice {
            words: &["home", "anywhere"],
            tagged: &[required("regions", ValueShape::Names)],
        },
    ),
    optional("repeatable", ValueShape::Flag),
]);

static WORKSPACE: ValueShape = ValueShape::Object(&[
    required("home", ValueShape::Name),
    required("resides_in", ValueShape::Names),
    optional("share", WEIGHT),
]);

/// Shape of one team's subtree.
pub(crate) static TEAM: ValueShape = ValueShape::Object(&[
    required("owner", ValueShape::Text),
    required("pools", ValueShape::Map(&POOL)),
    required("kinds", ValueShape::Map(&KIND)),
    required("workspaces", ValueShape::Map(&WORKSPACE)),
]);

/// Shape of the whole tree.
pub(crate) static FLEET: ValueShape = ValueShape::Object(&[
    required("regions", ValueShape::Map(&REGION)),
    required("teams", ValueShape::Map(&TEAM)),
]);

impl ValueShape {
    /// Adds every fault of `node`, which stands at `path`.
    pub(crate) fn check(&self, node: &JsonNode, path: &ValuePath, faults: &mut FaultList) {
        match (self, node) {
            (Self::Text, JsonNode::Text(text)) => check_text(text, path, faults),
            (Self::Name, JsonNode::Text(name)) => check_name(name, path, faults),
            (Self::Flag, JsonNode::Flag(_)) => {}
            (Self::Whole { least, most }, JsonNode::Number(number)) => {
                if number.as_u64().is_none_or(|number| number < *least || number > *most) {
                    faults.add(path, FaultKind::OutOfRange, node.describe(), self.describe());
                }
            }
            (Self::Decimal { above, most }, JsonNode::Number(number)) => {
                let fits = |number: f64| number > *above && number <= *most;
                if !number.as_f64().is_some_and(fits) {
                    faults.add(path, FaultKind::OutOfRange, node.describe(), self.describe());
                } else if !survives_encoding(number) {
                    let allowed = "a number of at most 15 digits";
                    faults.add(path, FaultKind::OutOfRange, node.describe(), allowed);
                }
            }
            (Self::Names, JsonNode::List(elements)) => check_names(elements, path, faults),
            (Self::Map(shape), JsonNode::Object(fields)) => {
                check_duplicates(fields, path, faults);
                for (name, value) in fields {
                    check_name(name, &path.key(name), faults);
                    shape.check(value, &path.key(name), faults);
                }
            }
            (Self::Object(shapes), JsonNode::Object(fields)) => {
                check_object(shapes, fields, path, faults);
            }
            (Self::Choice { words, tagged }, JsonNode::Text(word)) => {
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
            Self::Flag => "true or false".into(),
            Self::Whole { least, most } => format!("a whole number from {least} to {most}"),
            Self::Decimal { above, most } => format!("a number above {above} and at most {most}"),
            Self::Name => format!("a name of 1 to {MAX_NAME_BYTES} visible ASCII characters"),
            Self::Names => "a list of names, not empty".into(),
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

/// Whether the number is the same after it was written and read again, as in a log of changes.
fn survives_encoding(number: &Number) -> bool {
    let again: Option<f64> = serde_json::from_str(&number.to_string()).ok();
    again == number.as_f64()
}

fn check_text(text: &str, path: &ValuePath, faults: &mut FaultList) {
    if text.is_empty() || text.len() > MAX_TEXT_BYTES {
        let found = format!("{} bytes", text.len());
        faults.add(path, FaultKind::OutOfRange, found, ValueShape::Text.describe());
    }
}

fn check_name(name: &str, path: &ValuePath, faults: &mut FaultList) {
    let visible = name.bytes().all(|byte| byte.is_ascii_graphic());
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !visible {
        let found = format!("{:?}", crate::document::excerpt(name));
        faults.add(path, FaultKind::OutOfRange, found, ValueShape::Name.describe());
    }
}

fn check_names(elements: &[JsonNode], path: &ValuePath, faults: &mut FaultList) {
    if elements.is_empty() {
        faults.add(path, FaultKind::OutOfRange, "an empty list", ValueShape::Names.describe());
    }
    let mut seen = BTreeSet::new();
    for (index, element) in elements.iter().enumerate() {
        let path = path.index(index);
        ValueShape::Name.check(element, &path, faults);
        if let Some(name) = element.text()
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
    shapes: &[FieldShape],
    fields: &[(String, JsonNode)],
    path: &ValuePath,
    faults: &mut FaultList,
) {
    check_duplicates(fields, path, faults);
    for (key, value) in fields {
        match shapes.iter().find(|field| field.name == key) {
            Some(field) => field.shape.check(value, &path.key(key), faults),
            None => {
                let known = shapes.iter().map(|field| field.name);
                faults.add_unknown(&path.key(key), FaultKind::UnknownField, key, known);
            }
        }
    }
    for field in shapes.iter().filter(|field| field.required) {
        if fields.iter().all(|(key, _)| key != field.name) {
            let path = path.key(field.name);
            faults.add(&path, FaultKind::MissingField, "nothing", field.shape.describe());
        }
    }
}

fn check_tagged(
    tagged: &'static [FieldShape],
    fields: &[(String, JsonNode)],
    path: &ValuePath,
    faults: &mut FaultList,
) {
    if let [(key, value)] = fields
        && let Some(field) = tagged.iter().find(|field| field.name == key)
    {
        return field.shape.check(value, &path.key(key), faults);
    }
    match fields {
        [(key, _)] => {
            let known = tagged.iter().map(|field| field.name);
            faults.add_unknown(&path.key(key), FaultKind::UnknownField, key, known);
        }
        _ => {
            let allowed = ValueShape::Choice { words: &[], tagged }.describe();
            let found = format!("an object with {} fields", fields.len());
            faults.add(path, FaultKind::WrongType, found, allowed);
        }
    }
}
