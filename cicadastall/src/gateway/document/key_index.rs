//! Index by which the workspace of a caller's key is found.

use crate::gateway::document::routes::{KeyDigest, WorkspaceRule};
use sha2::{Digest, Sha256};
use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

/// Maximum number of removed keys that are remembered.
const MAX_REMOVED_KEYS: usize = 4_096;

impl KeyDigest {
    /// Digest of `key`, its SHA-256.
    pub fn compute(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl From<KeyDigest> for String {
    /// The digest in hexadecimal digits.
    fn from(digest: KeyDigest) -> Self {
        digest.0.iter().fold(Self::with_capacity(64), |mut text, byte| {
            for half in [byte >> 4, byte & 15] {
                text.extend(char::from_digit(u32::from(half), 16));
            }
            text
        })
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = &'static str;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let half = |digit: u8| char::from(digit).to_digit(16).map(|half| half as u8);
        let bytes: Option<Vec<u8>> = text
            .as_bytes()
            .chunks(2)
            .map(|pair| match pair {
                [high, low] => Some(half(*high)? << 4 | half(*low)?),
                _ => None,
            })
            .collect();
        let bytes = bytes.and_then(|bytes| bytes.try_into().ok());
        bytes.map(Self).ok_or("a digest of a key must have 64 hexadecimal digits")
    }
}

/// Workspaces by the digests of their keys.
///
/// Time to find a key depends on its digest only, which a caller can't choose byte by byte.
#[derive(Debug, Default)]
pub struct KeyIndex {
    workspaces: HashMap<KeyDigest, Arc<WorkspaceRule>>,
    /// Keys that earlier documents had and this one has not.
    removed: HashSet<KeyDigest>,
}

impl KeyIndex {
    /// Builds the index of `workspaces`, which replace those of `earlier`. If two hold one key, the first
    /// has it.
    pub fn new(workspaces: &[Arc<WorkspaceRule>], earlier: &Self) -> Self {
        let mut index = Self::default();
        for workspace in workspaces {
            for key in &workspace.keys {
                index.workspaces.entry(*key).or_insert_with(|| Arc::clone(workspace));
            }
        }
        let known = earlier.workspaces.keys().chain(&earlier.removed);
        let removed = known.filter(|key| !index.workspaces.contains_key(*key)).copied();
        index.removed = removed.take(MAX_REMOVED_KEYS).collect();
        index
    }

    /// Whether an earlier document had the key of `digest`, and this one has not.
    pub fn is_removed(&self, digest: &KeyDigest) -> bool {
        self.removed.contains(digest)
    }

    /// The workspace that holds the key of `digest`.
    pub fn find(&self, digest: &KeyDigest) -> Option<&Arc<WorkspaceRule>> {
        self.workspaces.get(digest)
    }
}
