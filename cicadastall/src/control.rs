//! A control instance: the settings group's replica and the region's ledger, beside the entries.

use crate::{
    follow::SettingsHolder,
    group::GroupHost,
    http::{self, AnswerBody, ListenerLimits, json_answer, text_answer},
    instance::{InstanceAddresses, InstanceCore},
    membership::MembershipMessage,
    node::NodeSettings,
    settings::{FleetSettings, Revision, SettingsSnapshot},
    stop::{DrainingInstance, StopSwitch},
};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use ractor::ActorRef;
use serde_json::json;
use std::{
    fmt, io,
    sync::{Arc, atomic::AtomicU32},
    time::Duration,
};
use tokio::{runtime::Handle, sync::watch, task::JoinSet};

/// A running control instance.
pub struct ControlServer {
    addresses: InstanceAddresses,
    node: Arc<NodeSettings>,
    membership: ActorRef<MembershipMessage>,
    in_flight: Arc<AtomicU32>,
    stop: Arc<StopSwitch>,
    close: watch::Sender<bool>,
    groups: GroupHost,
    tasks: JoinSet<()>,
}

impl fmt::Debug for ControlServer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("ControlServer").field("addresses", &self.addresses).finish()
    }
}

impl ControlServer {
    /// Starts a control instance on `control`.
    pub async fn start(node: NodeSettings, control: &Handle) -> io::Result<Self> {
        let node = Arc::new(node);
        let core = InstanceCore::start(&node, None, control).await?;
        if let Some(path) = &node.founding_settings {
            let text = std::fs::read(path)?;
            let tree: FleetSettings = serde_json::from_slice(&text).map_err(io::Error::other)?;
            core.settings.accept(Arc::new(SettingsSnapshot { revision: Revision(1), tree }));
        }
        let (close, closed) = watch::channel(false);
        let stop = Arc::new(StopSwitch::default());
        let mut tasks = core.tasks;
        let operators = OperatorContext {
            node: Arc::clone(&node),
            settings: Arc::clone(&core.settings),
            stop: Arc::clone(&stop),
        };
        let handler = move |_, request| answer_operator(operators.clone(), request);
        tasks.spawn_on(
            http::serve(core.operator, ListenerLimits::default(), closed, handler),
            control,
        );
        Ok(Self {
            addresses: core.addresses,
            node,
            membership: core.membership,
            in_flight: core.in_flight,
            groups: core.groups,
            stop,
            close,
            tasks,
        })
    }

    /// Addresses on which the instance listens.
    pub fn addresses(&self) -> InstanceAddresses {
        self.addresses
    }

    /// Starts replicas of the instance.
    pub fn groups(&self) -> &GroupHost {
        &self.groups
    }

    /// Waits until an operator asks for a stop.
    pub async fn stop_asked(&self) {
        self.stop.asked().await;
    }

    /// Takes no new work from now on.
    pub fn drain(self) -> DrainingInstance {
        let draining = DrainingInstance {
            switch: self.stop,
            membership: self.membership,
            in_flight: self.in_flight,
            close: self.close,
            callers: None,
            grace: Duration::ZERO,
            bound: self.node.stop_bound(),
            at_start: 0,
            tasks: self.tasks,
            _groups: Some(self.groups),
        };
        draining.begin()
    }
}

/// What operators ask about.
#[derive(Debug, Clone)]
struct OperatorContext {
    node: Arc<NodeSettings>,
    settings: Arc<SettingsHolder>,
    stop: Arc<StopSwitch>,
}

async fn answer_operator(
    context: OperatorContext,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let OperatorContext { node, settings, stop } = context;
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => text_answer(StatusCode::OK, "ok\n"),
        (&Method::POST, "/v1/drain") => {
            stop.ask();
            json_answer(StatusCode::ACCEPTED, &json!({ "in_flight": 0 }))
        }
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
