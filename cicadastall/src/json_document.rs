//! JSON values that keep duplicate keys, so that validation can report them.

use serde::{
    Deserialize, Deserializer,
    de::{MapAccess, SeqAccess, Visitor},
};
use serde_json::Number;
use std::fmt;

/// Maximum length of an excerpt of a value in a message, in characters.
const MAX_EXCERPT_CHARS: usize = 60;

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum JsonNode {
    /// `null`.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A number.
    Number(Number),
    /// A string.
    String(String),
    /// An array.
    Array(Vec<JsonNode>),
    /// An object, in which a key may occur more than once.
    Object(Vec<(String, JsonNode)>),
}

impl JsonNode {
    /// The fields of an object; empty for other values.
    pub fn fields(&self) -> &[(String, JsonNode)] {
        match self {
            Self::Object(fields) => fields,
            _ => &[],
        }
    }

    /// The elements of an array; empty for other values.
    pub fn elements(&self) -> &[JsonNode] {
        match self {
            Self::Array(elements) => elements,
            _ => &[],
        }
    }

    /// The last field named `key`.
    pub fn get(&self, key: &str) -> Option<&JsonNode> {
        self.fields().iter().rev().find(|(name, _)| name == key).map(|(_, value)| value)
    }

    /// The content of a string.
    pub fn as_str(&self) -> Option<&str> {
        match self {
            Self::String(text) => Some(text),
            _ => None,
        }
    }

    /// A short description for messages.
    pub fn describe(&self) -> String {
        match self {
            Self::Null => "null".into(),
            Self::Bool(value) => value.to_string(),
            Self::Number(number) => number.to_string(),
            Self::String(text) => format!("{:?}", excerpt(text)),
            Self::Array(elements) => format!("a list of {}", elements.len()),
            Self::Object(fields) => format!("an object with {} fields", fields.len()),
        }
    }
}

/// The first characters of `text`, followed by an ellipsis if `text` is longer than the limit.
pub(crate) fn excerpt(text: &str) -> String {
    let mut short: String = text.chars().take(MAX_EXCERPT_CHARS).collect();
    if short.len() < text.len() {
        short.push('…');
    }
    short
}

impl<'de> Deserialize<'de> for JsonNode {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(JsonVisitor)
    }
}

struct JsonVisitor;

impl<'de> Visitor<'de> for JsonVisitor {
    type Value = JsonNode;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a JSON value")
    }

    fn visit_unit<E>(self) -> Result<JsonNode, E> {
        Ok(JsonNode::Null)
    }

    fn visit_bool<E>(self, value: bool) -> Result<JsonNode, E> {
        Ok(JsonNode::Bool(value))
    }

    fn visit_i64<E>(self, number: i64) -> Result<JsonNode, E> {
        Ok(JsonNode::Number(number.into()))
    }

    fn visit_u64<E>(self, number: u64) -> Result<JsonNode, E> {
        Ok(JsonNode::Number(number.into()))
    }

    fn visit_f64<E>(self, number: f64) -> Result<JsonNode, E> {
        Ok(Number::from_f64(number).map_or(JsonNode::Null, JsonNode::Number))
    }

    fn visit_str<E>(self, text: &str) -> Result<JsonNode, E> {
        Ok(JsonNode::String(text.to_owned()))
    }

    fn visit_string<E>(self, text: String) -> Result<JsonNode, E> {
        Ok(JsonNode::String(text))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<JsonNode, A::Error> {
        let mut elements = Vec::new();
        while let Some(element) = sequence.next_element()? {
            elements.push(element);
        }
        Ok(JsonNode::Array(elements))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<JsonNode, A::Error> {
        let mut fields = Vec::new();
        while let Some(field) = map.next_entry()? {
            fields.push(field);
        }
        Ok(JsonNode::Object(fields))
    }
}
