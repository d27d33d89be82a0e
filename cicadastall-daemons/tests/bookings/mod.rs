//! A small fleet for booking tests: entry processes, and a ledger that tests pause at chosen points.

#![allow(dead_code)] // each test file uses a part of this module

use crate::common::{ENTRY, Process, TestFolder, instance_settings, reserved::ReservedAddress};
use bytes::Bytes;
use cicadastall::{
    answer::{Ran, Refusal, RefusalCode},
    claim::{ClaimError, ClaimOutcome, HeldClaim, LedgerClient, PlannedKey},
    control::ControlServer,
    decode::{RequestPath, decode_request},
    http::client,
    instance::ControlThread,
    ledger::{
        LedgerLimits, LedgerState,
        command::{LedgerChange, LedgerReply},
    },
    ledger_host::{LedgerHost, LedgerService, LocalLedger},
    node::NodeSettings,
    peer::PeerClients,
    replicated::GroupError,
    wire::{
        CallAnswer, CallRequest, ErrorBody, KEY_HEADER, KIND_HEADER, REQUEST_HEADER, RESENT_HEADER,
        SESSION_HEADER, SessionReply, WORKSPACE_HEADER,
    },
};
use cicadastall_standins::{announce::StandinConfig, service::ServiceStandin};
use futures::{FutureExt, future::BoxFuture};
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode, header::RETRY_AFTER};
use serde_json::{Value, json};
use std::{
    net::{Ipv4Addr, SocketAddr},
    process::ExitStatus,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

/// Deadline of a booking.
pub const DEADLINE: Duration = Duration::from_millis(1_500);

/// Longest retry pause while a lost attempt holds its key; afterwards the outcome is unknown.
pub const MAX_RETRY_PAUSE: Duration = Duration::from_millis(3_500);

/// Timeout of waits that have no specified time limit.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Point at which the ledger pauses a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PausePoint {
    Disabled,
    BeforeClaim,
    AfterClaim,
    AfterComplete,
    /// Pauses no change, and fails those that were paused.
    Discard,
}

/// A ledger whose changes can be paused.
#[derive(Debug)]
pub struct PausableLedger {
    host: LedgerHost<LocalLedger>,
    pause_point: watch::Sender<PausePoint>,
    paused: watch::Sender<bool>,
}

impl PausableLedger {
    fn new(limits: LedgerLimits) -> Self {
        let state = LedgerState::new("viti-west".into(), limits);
        Self {
            host: LedgerHost::new(LocalLedger::new(state)),
            pause_point: watch::Sender::new(PausePoint::Disabled),
            paused: watch::Sender::new(false),
        }
    }

    /// Pauses subsequent changes at `pause_point`.
    pub fn pause_at(&self, pause_point: PausePoint) {
        self.paused.send_replace(false);
        self.pause_point.send_replace(pause_point);
    }

    /// Waits until a change is paused.
    pub async fn wait_paused(&self) {
        let mut paused = self.paused.subscribe();
        let waited = timeout(WAIT_TIMEOUT, paused.wait_for(|paused| *paused)).await;
        waited.expect("a change is paused").expect("the sender is alive");
    }

    /// Resumes paused changes and pauses no others.
    pub fn resume(&self) {
        self.pause_point.send_replace(PausePoint::Disabled);
    }

    /// Fails the paused changes with `GroupError::Stopped`, and pauses no others.
    pub fn discard(&self) {
        self.pause_point.send_replace(PausePoint::Discard);
    }

    async fn pause_if_at(&self, stage: PausePoint, matches: bool) -> Result<(), GroupError> {
        let mut pause_point = self.pause_point.subscribe();
        if !matches || *pause_point.borrow() != stage {
            return Ok(());
        }
        self.paused.send_replace(true);
        match pause_point.wait_for(|pause_point| *pause_point != stage).await.as_deref() {
            Ok(PausePoint::Discard) => Err(GroupError::Stopped),
            _ => Ok(()),
        }
    }
}

impl LedgerService for PausableLedger {
    fn change(&self, change: LedgerChange) -> BoxFuture<'_, Result<LedgerReply, GroupError>> {
        async move {
            let claim = matches!(change, LedgerChange::Claim(_));
            let complete = matches!(change, LedgerChange::Complete { .. });
            self.pause_if_at(PausePoint::BeforeClaim, claim).await?;
            let reply = self.host.change(change).await?;
            self.pause_if_at(PausePoint::AfterClaim, claim).await?;
            self.pause_if_at(PausePoint::AfterComplete, complete).await?;
            Ok(reply)
        }
        .boxed()
    }
}

/// Outcome of a booking as seen by its caller.
#[derive(Debug, Clone, PartialEq)]
pub enum BookOutcome {
    Result(Value),
    Refusal { body: Refusal, retry_after: bool },
    NoAnswer,
}

impl BookOutcome {
    /// Code of a refusal and whether the booking ran, as in `ledger_full ran=no`.
    pub fn code(&self) -> String {
        match self {
            Self::Result(_) => "result".into(),
            Self::Refusal { body, .. } => {
                let code = serde_json::to_value(body.code).expect("a code");
                let ran = serde_json::to_value(body.ran).expect("a word");
                format!("{} ran={}", code.as_str().unwrap(), ran.as_str().unwrap())
            }
            Self::NoAnswer => "nothing".into(),
        }
    }
}

/// Two entries in the home region, one in a remote region, and the booking service.
pub struct BookingFleet {
    pub ledger: Arc<PausableLedger>,
    pub entries: Vec<Process>,
    pub service: Arc<ServiceStandin>,
    control: Option<ControlServer>,
    control_node: NodeSettings,
    thread: ControlThread,
    _reserved: ReservedAddress,
    _folder: TestFolder,
}

/// Indices of the entries: two in the home region, one in a remote region.
pub const FIRST: usize = 0;
pub const SECOND: usize = 1;
pub const REMOTE: usize = 2;

pub fn fleet_settings() -> Value {
    json!({
        "regions": {
            "viti-west": { "zones": ["viti-west-a"] },
            "vanua-north": { "zones": ["vanua-north-a"] },
        },
        "teams": { "grazing": {
            "owner": "herd office",
            "pools": { "bookings": { "serves": "plain_service" } },
            "kinds": { "muster-booking": {
                "pool": "bookings", "rank": "urgent", "first_token_ms": 300,
                "deadline_ms": DEADLINE.as_millis() as u64,
                "answered_in": "home", "repeatable": false,
            } },
            "workspaces": {
                "ba-delta": { "home": "viti-west", "resides_in": ["viti-west"] },
                "macuata": { "home": "vanua-north", "resides_in": ["vanua-north"] },
            },
        } },
    })
}

impl BookingFleet {
    pub async fn start(name: &str, limits: LedgerLimits) -> Self {
        let folder = TestFolder::new(name);
        let thread = ControlThread::start("test-control").expect("a thread");
        let mut settings = instance_settings("viti-west-control", "viti-west");
        settings["founding_settings"] = json!(folder.write("fleet.json", &fleet_settings()));
        let mut control_node: NodeSettings = serde_json::from_value(settings).expect("settings");
        let reserved = ReservedAddress::on(Ipv4Addr::LOCALHOST);
        control_node.peer_listen = reserved.address;
        let ledger = Arc::new(PausableLedger::new(limits));
        let service = Arc::clone(&ledger) as Arc<dyn LedgerService>;
        let control =
            ControlServer::start_with_ledger(control_node.clone(), service, thread.handle())
                .await
                .expect("a control instance");
        let peer = control.addresses().peer;
        let mut entries = Vec::new();
        for (name, region) in
            [("viti-west-1", "viti-west"), ("viti-west-2", "viti-west"), ("vanua-1", "vanua-north")]
        {
            let mut settings = instance_settings(name, region);
            settings["control"] = json!([peer]);
            settings["seeds"] = json!([peer]);
            settings["stop_grace_ms"] = json!(50);
            let path = folder.write(&format!("{name}.json"), &settings);
            entries.push(Process::start(ENTRY, &["--settings".into(), path.display().to_string()]));
        }
        let service = start_service(&entries[..REMOTE]).await;
        let fleet = Self {
            ledger,
            entries,
            service,
            control: Some(control),
            control_node,
            thread,
            _reserved: reserved,
            _folder: folder,
        };
        for entry in [FIRST, SECOND, REMOTE] {
            fleet.book_until_served(entry).await;
        }
        fleet
    }

    async fn book_until_served(&self, entry: usize) {
        let key = format!("warm-{entry}");
        for _ in 0..200 {
            if let Some(session) = self.try_session(entry).await
                && let BookOutcome::Result(_) = self.book(entry, &session, &key, json!({})).await
            {
                return;
            }
            sleep(Duration::from_millis(50)).await;
        }
        panic!("entry {entry} booked nothing within 10 s");
    }

    pub fn address(&self, entry: usize) -> SocketAddr {
        self.entries[entry].address("caller")
    }

    pub async fn session(&self, entry: usize) -> String {
        self.try_session(entry).await.expect("a session")
    }

    async fn try_session(&self, entry: usize) -> Option<String> {
        ask_session(self.address(entry)).await
    }

    /// Sends a booking for the first time.
    pub async fn book(
        &self,
        entry: usize,
        session: &str,
        key: &str,
        arguments: Value,
    ) -> BookOutcome {
        let address = self.address(entry);
        send_booking(address, &self.service, session, key, arguments, false).await
    }

    /// Sends a booking for the first time; retries while the only upstream is paused after a failure.
    pub async fn book_after_backoff(
        &self,
        entry: usize,
        session: &str,
        key: &str,
        arguments: Value,
    ) -> BookOutcome {
        for _ in 0..200 {
            let outcome = self.book(entry, session, key, arguments.clone()).await;
            if outcome.code() != "no_upstream ran=no" {
                return outcome;
            }
            sleep(Duration::from_millis(50)).await;
        }
        panic!("the upstream is paused for more than 10 s");
    }

    /// Resends a booking.
    pub async fn resend(&self, entry: usize, session: &str, key: &str) -> BookOutcome {
        self.resend_with(entry, session, key, json!({})).await
    }

    async fn resend_with(
        &self,
        entry: usize,
        session: &str,
        key: &str,
        arguments: Value,
    ) -> BookOutcome {
        let address = self.address(entry);
        send_booking(address, &self.service, session, key, arguments, true).await
    }

    /// Resends a booking until the answer has no `Retry-After` header.
    pub async fn resend_until_settled(
        &self,
        entry: usize,
        session: &str,
        key: &str,
    ) -> BookOutcome {
        self.settle_with(entry, session, key, json!({})).await
    }

    /// Resends a booking with `arguments` until the answer has no `Retry-After` header.
    pub async fn settle_with(
        &self,
        entry: usize,
        session: &str,
        key: &str,
        arguments: Value,
    ) -> BookOutcome {
        for _ in 0..75 {
            let outcome = self.resend_with(entry, session, key, arguments.clone()).await;
            let settled = match &outcome {
                BookOutcome::Refusal { retry_after, .. } => !retry_after,
                _ => true,
            };
            if settled {
                return outcome;
            }
            sleep(Duration::from_millis(200)).await;
        }
        panic!("{key} was not settled within 15 s");
    }

    /// Resends a booking while another attempt holds its key, each time after the pause from the
    /// refusal, which must not exceed `bound`.
    pub async fn resend_while_in_progress(
        &self,
        entry: usize,
        session: &str,
        key: &str,
        arguments: Value,
        bound: Duration,
    ) -> BookOutcome {
        let started = Instant::now();
        while started.elapsed() < WAIT_TIMEOUT {
            let outcome = self.resend_with(entry, session, key, arguments.clone()).await;
            let refusal = match &outcome {
                BookOutcome::Refusal { body, .. } if body.code == RefusalCode::InProgress => body,
                _ => return outcome,
            };
            let pause = refusal.retry_after_ms.map(Duration::from_millis).expect("a pause");
            assert!(pause <= bound, "{key} is held for {pause:?} more");
            sleep(pause).await;
        }
        panic!("{key} is held for more than {WAIT_TIMEOUT:?}");
    }

    /// Sends a booking in the background.
    pub fn start_booking(
        &self,
        entry: usize,
        session: &str,
        key: &str,
    ) -> tokio::task::JoinHandle<BookOutcome> {
        let (address, service) = (self.address(entry), Arc::clone(&self.service));
        let (session, key) = (session.to_owned(), key.to_owned());
        tokio::spawn(async move {
            send_booking(address, &service, &session, &key, json!({}), false).await
        })
    }

    /// Claims `key` for `holder` as an entry does, without sending the request to an upstream; the
    /// request must be answered within `remaining`.
    pub async fn claim(
        &self,
        session: &str,
        key: &str,
        holder: &str,
        remaining: Duration,
    ) -> Result<ClaimOutcome, ClaimError> {
        let request = Request::post("/v1/calls")
            .header(WORKSPACE_HEADER, "ba-delta")
            .header(KIND_HEADER, "muster-booking")
            .header(SESSION_HEADER, session)
            .header(KEY_HEADER, key)
            .body(())
            .expect("a request");
        let tree = serde_json::from_value(fleet_settings()).expect("settings");
        let body = br#"{"arguments":{}}"#;
        let plan =
            decode_request(RequestPath::Call, request.headers(), body, &tree, "request".into())
                .expect("a plan");
        let call = CallRequest { arguments: json!({}) };
        let planned = PlannedKey::read(&plan, &call).expect("a key");
        HeldClaim::claim(&self.ledger_client(), &planned, &plan, holder.into(), remaining).await
    }

    /// A client of the control instance that hosts the ledger.
    pub fn ledger_client(&self) -> LedgerClient {
        LedgerClient::new(vec![self.control_node.peer_listen], Arc::new(PeerClients::new(None)))
    }

    pub fn executions(&self, key: &str) -> u32 {
        executions(&self.service, key)
    }

    pub fn kill(&mut self, entry: usize) {
        self.entries[entry].child.kill().expect("kill an entry");
        self.entries[entry].child.wait().expect("the entry ends");
    }

    /// Waits until a stopping entry has exited; `None` after `WAIT_TIMEOUT`.
    pub async fn wait_ended(&mut self, entry: usize) -> Option<ExitStatus> {
        let until = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.entries[entry].child.try_wait() {
                return Some(status);
            }
            sleep(Duration::from_millis(20)).await;
        }
        None
    }

    pub fn signal(&self, entry: usize, signal: &str) {
        send_signal(&self.entries[entry], signal);
    }

    /// Stops the control instance, which loses its state.
    pub async fn stop_control(&mut self) {
        self.control.take().expect("a control instance").stop().await;
    }

    /// Starts the control instance again, with an empty state.
    pub async fn restart_control(&mut self) {
        self.ledger = Arc::new(PausableLedger::new(LedgerLimits::default()));
        for _ in 0..100 {
            let service = Arc::clone(&self.ledger) as Arc<dyn LedgerService>;
            let node = self.control_node.clone();
            match ControlServer::start_with_ledger(node, service, self.thread.handle()).await {
                Ok(control) => return self.control = Some(control),
                Err(_) => sleep(Duration::from_millis(20)).await,
            }
        }
        panic!("the control instance did not start again within 2 s");
    }

    /// Checks that no key ran more than once.
    pub fn assert_at_most_once(&self) {
        for (key, count) in self.service.executions() {
            assert!(count <= 1, "{key} ran {count} times");
        }
    }
}

/// Sends a signal, named without `SIG`; after `STOP`, returns once the process is stopped.
pub fn send_signal(process: &Process, signal: &str) {
    process.signal(&format!("-{signal}"));
}

/// Starts the booking service, announced to `entries`.
pub async fn start_service(entries: &[Process]) -> Arc<ServiceStandin> {
    let config = StandinConfig {
        name: "viti-west-b1".into(),
        region: "viti-west".into(),
        zone: "viti-west-a".into(),
        pool: "bookings".into(),
        entries: entries.iter().map(|entry| entry.address("caller")).collect(),
    };
    let listen = "127.0.0.1:0".parse().expect("an address");
    let service = ServiceStandin::start(config, listen, Duration::from_millis(20)).await;
    Arc::new(service.expect("a service"))
}

/// Opens a session at an entry; `None` if the entry issues none.
pub async fn ask_session(entry: SocketAddr) -> Option<String> {
    let request = Request::post(format!("http://{entry}/v1/sessions"))
        .header(WORKSPACE_HEADER, "ba-delta")
        .body(Full::new(Bytes::new()))
        .expect("a request");
    let answer = client(0).request(request).await.ok()?;
    let body = answer.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice::<SessionReply>(&body).ok().map(|reply| reply.session)
}

pub fn executions(service: &ServiceStandin, key: &str) -> u32 {
    service.executions().get(key).copied().unwrap_or(0)
}

/// Sends a booking whose request id is its key; checks that a refusal with `ran=no` is true.
pub async fn send_booking(
    address: SocketAddr,
    service: &ServiceStandin,
    session: &str,
    key: &str,
    arguments: Value,
    resent: bool,
) -> BookOutcome {
    let body = serde_json::to_vec(&CallRequest { arguments }).expect("encode");
    let mut request = Request::post(format!("http://{address}/v1/calls"))
        .header(WORKSPACE_HEADER, "ba-delta")
        .header(KIND_HEADER, "muster-booking")
        .header(SESSION_HEADER, session)
        .header(KEY_HEADER, key)
        .header(REQUEST_HEADER, key);
    if resent {
        request = request.header(RESENT_HEADER, "true");
    }
    let request = request.body(Full::new(Bytes::from(body))).expect("a request");
    let Ok(answer) = client(0).request(request).await else {
        return BookOutcome::NoAnswer;
    };
    let success = answer.status() == StatusCode::OK;
    let retry_after = answer.headers().contains_key(RETRY_AFTER);
    let Ok(bytes) = answer.into_body().collect().await else {
        return BookOutcome::NoAnswer;
    };
    let bytes = bytes.to_bytes();
    if success {
        let answer: CallAnswer = serde_json::from_slice(&bytes).expect("a result");
        return BookOutcome::Result(answer.result);
    }
    let body = serde_json::from_slice::<ErrorBody>(&bytes).expect("a refusal").error;
    if body.ran == Ran::No {
        assert_eq!(executions(service, key), 0, "{key} ran, but the refusal denies it: {body}");
    }
    BookOutcome::Refusal { body, retry_after }
}

/// Awaits `work` and measures its duration.
pub async fn measure<T>(work: impl Future<Output = T>) -> (T, Duration) {
    let started = Instant::now();
    let result = work.await;
    (result, started.elapsed())
}
