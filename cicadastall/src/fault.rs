//! Faults that validation finds in settings.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Minimum Jaro-Winkler similarity of a suggested name to the unknown name, from 0 to 1.
const MIN_SUGGESTION_SIMILARITY: f64 = 0.75;

/// Category of a fault.
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
    /// The name refers to something that is not defined.
    UnknownReference,
    /// The name must be unique but is used twice.
    NotUnique,
    /// No region may answer the kind for a workspace.
    NowhereAnswered,
    /// The home region is not one where the workspace's data may reside.
    HomeNotResident,
}

/// One fault of the settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsFault {
    /// Path of the value, for example `$.teams.trust.owner`.
    pub path: String,
    /// Category of the fault.
    pub kind: FaultKind,
    /// What the document contains at the path.
    pub found: String,
    /// What is allowed at the path.
    pub allowed: String,
    /// A known name similar to the one found.
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

/// Path of a value in a document.
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

/// Faults collected during validation.
#[derive(Debug, Default)]
pub(crate) struct FaultList(pub(crate) Vec<SettingsFault>);

impl FaultList {
    /// Adds a fault without a suggested name.
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

    /// Adds a fault for a name that is not in `known`, and suggests the most similar known name.
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

/// The known name that is most similar to `found`, if any is similar enough.
fn suggest_name(found: &str, known: &[&str]) -> Option<String> {
    let found = crate::json_document::excerpt(found).to_lowercase();
    let similar = |name: &&str| strsim::jaro_winkler(&found, &name.to_lowercase());
    let (near, similarity) =
        known.iter().map(|name| (name, similar(name))).max_by(|(_, a), (_, b)| a.total_cmp(b))?;
    (similarity >= MIN_SUGGESTION_SIMILARITY).then(|| (*near).to_owned())
}
