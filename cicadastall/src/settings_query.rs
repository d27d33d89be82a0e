//! HTTP handler for operators' queries of the settings.

use crate::{
    http::{AnswerBody, json_answer},
    replicated::ReplicatedGroup,
    settings::{FleetSettings, Revision},
    settings_command::{FailureAnswer, parse_subtree},
    settings_host::SettingsHost,
    settings_state::{RevisionRecord, SettingsState},
    subtree::{SubtreeName, SubtreeVersions},
};
use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::timeout;

/// Time limit for a majority to confirm that no newer revision exists.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Default number of revisions in a history response.
const DEFAULT_HISTORY_LIMIT: usize = 20;

/// Maximum number of revisions in a history response.
const MAX_HISTORY_LIMIT: usize = 1_000;

/// The whole settings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SettingsView {
    /// The revision.
    pub revision: Revision,
    /// Whether a majority confirmed that no newer revision exists.
    pub confirmed: bool,
    /// Version of each subtree.
    pub versions: SubtreeVersions,
    /// The whole tree.
    pub tree: FleetSettings,
}

/// One subtree of the settings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SubtreeView {
    /// Version to send with a change of the subtree.
    pub version: Revision,
    /// Revision of the whole tree.
    pub revision: Revision,
    /// Whether a majority confirmed that no newer revision exists.
    pub confirmed: bool,
    /// The content; null if the subtree does not exist.
    pub content: serde_json::Value,
}

/// A part of the history, newest revision first.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HistoryView {
    /// Whether a majority confirmed that no newer revision exists.
    pub confirmed: bool,
    /// The revisions.
    pub revisions: Vec<RevisionRecord>,
}

/// Handles a query of the path below `/v1/settings`.
pub(crate) async fn answer_query<G: ReplicatedGroup<SettingsState>>(
    host: &SettingsHost<G>,
    path: &str,
    query: &str,
) -> Response<AnswerBody> {
    let confirmed = timeout(CONFIRM_TIMEOUT, host.group().read(|_| ())).await;
    let confirmed = matches!(confirmed, Ok(Ok(())));
    let group = host.group();
    let path = path.trim_start_matches('/');
    if path.is_empty() {
        let view = group.read_local(|state| view_settings(state, confirmed));
        return json_answer(StatusCode::OK, &view);
    }
    if path == "history" {
        return match HistoryQuery::parse(query) {
            Some(query) => {
                let view = group.read_local(|state| query.run(state, confirmed));
                json_answer(StatusCode::OK, &view)
            }
            None => {
                error_answer(StatusCode::BAD_REQUEST, "query may hold subtree, after and limit")
            }
        };
    }
    match parse_subtree(path) {
        Some(name) => {
            let view = group.read_local(|state| view_subtree(state, &name, confirmed));
            json_answer(StatusCode::OK, &view)
        }
        None => error_answer(StatusCode::NOT_FOUND, "no such subtree: use regions or teams/NAME"),
    }
}

fn error_answer(status: StatusCode, error: &str) -> Response<AnswerBody> {
    json_answer(status, &FailureAnswer { error: error.to_owned() })
}

fn view_settings(state: &SettingsState, confirmed: bool) -> SettingsView {
    let newest = state.newest();
    SettingsView {
        revision: newest.revision,
        confirmed,
        versions: newest.versions.clone(),
        tree: newest.tree.clone(),
    }
}

fn view_subtree(state: &SettingsState, name: &SubtreeName, confirmed: bool) -> SubtreeView {
    let newest = state.newest();
    SubtreeView {
        version: newest.version(name),
        revision: newest.revision,
        confirmed,
        content: newest.subtree(name).to_value(),
    }
}

#[derive(Debug, Default)]
struct HistoryQuery {
    subtree: Option<SubtreeName>,
    after: Revision,
    limit: Option<usize>,
}

impl HistoryQuery {
    fn parse(text: &str) -> Option<Self> {
        let mut query = Self::default();
        for pair in text.split('&').filter(|pair| !pair.is_empty()) {
            match pair.split_once('=')? {
                ("subtree", name) => query.subtree = Some(parse_subtree(name)?),
                ("after", number) => query.after = Revision(number.parse().ok()?),
                ("limit", number) => query.limit = Some(number.parse().ok()?),
                _ => return None,
            }
        }
        Some(query)
    }

    fn run(&self, state: &SettingsState, confirmed: bool) -> HistoryView {
        let limit = self.limit.unwrap_or(DEFAULT_HISTORY_LIMIT).min(MAX_HISTORY_LIMIT);
        let revisions = state.history(self.subtree.as_ref(), self.after);
        HistoryView { confirmed, revisions: revisions.take(limit).cloned().collect() }
    }
}
