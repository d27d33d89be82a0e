//! A control instance: the settings group's replica and the region's ledger, beside the entries.

use crate::{
    follow::SettingsHolder,
    http::{self, AnswerBody, ListenerLimits, json_answer, text_answer},
    instance::{InstanceAddresses, InstanceCore},
    ledger::{LedgerLimits, LedgerState},
    ledger_host::{LedgerHost, LedgerService},
    membership::MembershipMessage,
    node::NodeSettings,
    replicated::LocalGroup,
    settings::{FleetSettings, Revision, SettingsSnapshot},
};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use ractor::ActorRef;
use serde_json::json;
use std::{fmt, io, sync::Arc};
use tokio::{runtime::Handle, sync::watch, task::JoinSet};

/// A running control instance.
pub struct ControlServer {
    addresses: InstanceAddresses,
    membership: ActorRef<MembershipMessage>,
    stop: watch::Sender<bool>,
    _tasks: JoinSet<()>,
}

impl fmt::Debug for ControlServer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("ControlServer").field("addresses", &self.addresses).finish()
    }
}

impl ControlServer {
    /// Starts a control instance on `control`.
    pub async fn start(node: NodeSettings, control: &Handle) -> io::Result<Self> {
        let ledger = LedgerState::new(node.region.clone(), LedgerLimits::default());
        let ledger = LedgerHost::new(LocalGroup::new(ledger));
        Self::start_with(node, Arc::new(ledger), control).await
    }

    /// Starts a control instance that hosts `ledger`.
    pub async fn start_with(
        node: NodeSettings,
        ledger: Arc<dyn LedgerService>,
        control: &Handle,
    ) -> io::Result<Self> {
        let node = Arc::new(node);
        let core = InstanceCore::start(&node, None, Some(ledger), control).await?;
        if let Some(path) = &node.founding_settings {
            let text = std::fs::read(path)?;
            let tree: FleetSettings = serde_json::from_slice(&text).map_err(io::Error::other)?;
            core.settings.accept(Arc::new(SettingsSnapshot { revision: Revision(1), tree }));
        }
        let (stop, stopped) = watch::channel(false);
        let mut tasks = core.tasks;
        let settings = Arc::clone(&core.settings);
        let handler =
            move |_, request| answer_operator(Arc::clone(&node), Arc::clone(&settings), request);
        tasks.spawn_on(
            http::serve(core.operator, ListenerLimits::default(), stopped, handler),
            control,
        );
        Ok(Self { addresses: core.addresses, membership: core.membership, stop, _tasks: tasks })
    }

    /// Addresses on which the instance listens.
    pub fn addresses(&self) -> InstanceAddresses {
        self.addresses
    }

    /// Stops the instance.
    pub async fn stop(self) {
        let _ = self.stop.send(true);
        self.membership.stop(None);
    }
}

async fn answer_operator(
    node: Arc<NodeSettings>,
    settings: Arc<SettingsHolder>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => text_answer(StatusCode::OK, "ok\n"),
        (&Method::GET, "/v1/settings") => json_answer(StatusCode::OK, &*settings.newest()),
        (&Method::GET, "/v1/status") => {
            let status = json!({
                "instance": node.instance,
                "region": node.region,
                "zone": node.zone,
                "revision": settings.newest().revision,
            });
            json_answer(StatusCode::OK, &status)
        }
        _ => text_answer(StatusCode::NOT_FOUND, "no such path\n"),
    }
}
