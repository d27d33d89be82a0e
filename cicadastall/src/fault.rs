//! Faults that a checker finds in a document of settings.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Least similarity of a name that is suggested for an unknown one, from 0 to 1.
const MIN_SUGGESTION_SIMILARITY: f64 = 0.75;

/// Sort of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The document is not JSON.
    Syntax,
    /// The object has no field of that name.
    UnknownField,
    /// The object holds a key twice.
    DuplicateKey,
    /// A required field is absent.
    MissingField,
    /// The value has another type.
    WrongType,
    /// The value is outside its range.
    OutOfRange,
    /// The name refers to nothing.
    UnknownReference,
    /// The name is used twice where it must be unique.
    NotUnique,
    /// No region may answer the kind for a workspace.
    NowhereAnswered,
    /// The home region is not one where the workspace's data may reside.
    HomeNotResident,
}

/// One fault of a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsFault {
    /// Path of the value, as `$.teams.trust.owner`.
    pub path: String,
    /// Sort of the fault.
    pub kind: FaultKind,
    /// What the document holds there.
    pub found: String,
    /// What may stand there.
    pub allowed: String,
    /// A known name that resembles the one found.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub near: Option<String>,
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { path, found, allowed, near, .. } = self;
        write!(formatter, "{path}: found {found}; allowed: {allowed}")?;
        match near {
            Some(near) => write!(formatter, " (did you mean {near:?}?)"),
            None => Ok(()),
        }
    }
}

/// Path of a value inside a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ValuePath(String);

impl ValuePath {
    /// The path of the document itself.
    pub(crate) fn root() -> Self {
        Self("$".into())
    }

    /// The path of the field `key` below this one.
    pub(crate) fn key(&self, key: &str) -> Self {
        let plain = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'_' || byte == b'-';
        if !key.is_empty() && key.bytes().all(plain) {
            Self(format!("{}.{key}", self.0))
        } else {
            Self(format!("{}[{:?}]", self.0, crate::json_document::excerpt(key)))
        }
    }

    /// The path of the element `index` below this one.
    pub(crate) fn index(&self, index: usize) -> Self {
        Self(format!("{}[{index}]", self.0))
    }
}

impl fmt::Display for ValuePath {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// Collects faults.
#[derive(Debug, Default)]
pub(crate) struct FaultList(pub(crate) Vec<SettingsFault>);

impl FaultList {
    /// Adds a fault without a near name.
    pub(crate) fn add(
        &mut self,
        path: &ValuePath,
        kind: FaultKind,
        found: impl Into<String>,
        allowed: impl Into<String>,
    ) {
        let path = path.0.clone();
        self.0.push(SettingsFault {
            path,
            kind,
            found: found.into(),
            allowed: allowed.into(),
            near: None,
        });
    }

    /// Adds a fault of a name that is none of `known`.
    pub(crate) fn add_unknown<'a>(
        &mut self,
        path: &ValuePath,
        kind: FaultKind,
        found: &str,
        known: impl IntoIterator<Item = &'a str>,
    ) {
        let known: Vec<&str> = known.into_iter().collect();
        let allowed = if known.is_empty() { "none is defined".into() } else { known.join(", ") };
        self.add(path, kind, format!("{:?}", crate::json_document::excerpt(found)), allowed);
        if let Some(fault) = self.0.last_mut() {
            fault.near = suggest_name(found, &known);
        }
    }
}

/// The known name that resembles `found` most, if any does.
fn suggest_name(found: &str, known: &[&str]) -> Option<String> {
    let found = crate::json_document::excerpt(found).to_lowercase();
    let similar = |name: &&str| strsim::jaro_winkler(&found, &name.to_lowercase());
    let (near, similarity) =
        known.iter().map(|name| (name, similar(name))).max_by(|(_, a), (_, b)| a.total_cmp(b))?;
    (similarity >= MIN_SUGGESTION_SIMILARITY).then(|| (*near).to_owned())
}
