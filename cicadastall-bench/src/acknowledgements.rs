//! Storage that selective acknowledgements save in a ledger, and their cost.

use crate::memory::resident_bytes;
use bpaf::Bpaf;
use cicadastall::{
    ledger::{
        LedgerLimits, LedgerState,
        command::{HeldKey, KeyClaim, LedgerChange, LedgerCommand, LedgerReply},
        session::{LedgerEpoch, SessionId},
    },
    name::IdempotencyKey,
    replicated::ReplicatedState,
};
use eyre::{OptionExt, bail};
use serde_json::json;
use std::time::Instant;

/// Simulated time between two bookings of one caller, in milliseconds.
const BOOKING_INTERVAL_MS: u64 = 1_000;

/// Simulated time between two samples of the ledger's size, in milliseconds.
const SAMPLE_INTERVAL_MS: u64 = 2_000;

/// Epoch of the measured ledger.
const EPOCH: LedgerEpoch = LedgerEpoch(1);

/// Options of the measurement.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct AcknowledgementOptions {
    /// Callers, each of which makes one booking per second
    #[bpaf(long, argument("COUNT"), fallback(500))]
    callers: u64,
    /// Simulated seconds to run
    #[bpaf(long, argument("SECONDS"), fallback(60))]
    seconds: u64,
    /// Lifetime of a session in simulated seconds
    #[bpaf(long, argument("SECONDS"), fallback(20))]
    session_seconds: u64,
    /// Size of a reply in bytes
    #[bpaf(long, argument("BYTES"), fallback(200))]
    reply_bytes: usize,
    /// Acknowledge each reply with the next booking of its caller
    #[bpaf(long)]
    acknowledge: bool,
}

/// State of one caller between two bookings.
#[derive(Debug, Default)]
struct BookingCaller {
    session: Option<SessionId>,
    unacknowledged: Option<IdempotencyKey>,
    bookings: u64,
}

/// Applies encoded and decoded commands to a ledger, as a replica does with its log.
#[derive(Debug)]
struct LedgerDriver {
    state: LedgerState,
    now_ms: u64,
    commands: u64,
    command_bytes: u64,
}

impl LedgerDriver {
    fn apply(&mut self, change: LedgerChange) -> eyre::Result<LedgerReply> {
        let command = LedgerCommand { at_ms: self.now_ms, epoch: EPOCH, change };
        let encoded = serde_json::to_vec(&command)?;
        self.commands += 1;
        self.command_bytes += encoded.len() as u64;
        let command: LedgerCommand = serde_json::from_slice(&encoded)?;
        Ok(self.state.apply(&command))
    }

    fn open_session(&mut self) -> eyre::Result<SessionId> {
        match self.apply(LedgerChange::OpenSession { workspace: "ba-delta".into() })? {
            LedgerReply::Session(session) => Ok(session),
            reply => bail!("the ledger did not open a session: {reply:?}"),
        }
    }

    fn book(
        &mut self,
        caller: &mut BookingCaller,
        number: u64,
        options: &AcknowledgementOptions,
    ) -> eyre::Result<()> {
        let expired = |session: &SessionId| session.key.expires_ms <= self.now_ms;
        if caller.session.as_ref().is_none_or(expired) {
            caller.session = Some(self.open_session()?);
            caller.unacknowledged = None;
        }
        let session = caller.session.clone().ok_or_eyre("the session was not opened")?;
        caller.bookings += 1;
        let key = IdempotencyKey::new(format!("booking-{number}-{}", caller.bookings));
        let acknowledged = caller.unacknowledged.take().filter(|_| options.acknowledge);
        let claim = LedgerChange::Claim(KeyClaim {
            session: session.clone(),
            workspace: "ba-delta".into(),
            key: key.clone(),
            digest: number,
            holder: format!("viti-west-1/viti-west-1-{number:016x}.1").into(),
            run_ms: 5_000,
            acknowledged: acknowledged.into_iter().collect(),
        });
        let LedgerReply::Granted(claim) = self.apply(claim)? else {
            bail!("the claim of {key} was not granted");
        };
        let held = HeldKey { session, key: key.clone(), claim };
        let reply = "r".repeat(options.reply_bytes).into();
        self.apply(LedgerChange::Complete { held, reply })?;
        caller.unacknowledged = Some(key);
        Ok(())
    }
}

/// Runs the measurement and prints one line of JSON.
pub(crate) fn run(options: &AcknowledgementOptions) -> eyre::Result<()> {
    let limits = LedgerLimits {
        sessions: usize::MAX,
        keys: usize::MAX,
        session_keys: usize::MAX,
        replies: usize::MAX,
        session_ms: options.session_seconds * 1_000,
        ..LedgerLimits::default()
    };
    let state = LedgerState::new("viti-west".into(), limits);
    let mut driver = LedgerDriver { state, now_ms: 0, commands: 0, command_bytes: 0 };
    driver.apply(LedgerChange::Found)?;
    let mut callers: Vec<_> = (0..options.callers).map(|_| BookingCaller::default()).collect();
    let resident_before = resident_bytes()?;
    let started = Instant::now();
    let mut samples = Vec::new();
    let mut bookings = 0u64;
    for round in 0..options.seconds {
        for (number, caller) in (0u64..).zip(&mut callers) {
            driver.now_ms =
                (round * BOOKING_INTERVAL_MS) + number * BOOKING_INTERVAL_MS / options.callers;
            driver.book(caller, number, options)?;
            bookings += 1;
        }
        if ((round + 1) * BOOKING_INTERVAL_MS).is_multiple_of(SAMPLE_INTERVAL_MS)
            && round >= options.session_seconds
        {
            samples.push(driver.state.sizes());
        }
    }
    let elapsed = started.elapsed().as_secs_f64();
    let grown_bytes = resident_bytes()?.saturating_sub(resident_before);
    let sizes = driver.state.sizes();
    let started = Instant::now();
    let snapshot = driver.state.snapshot();
    let snapshot_ms = started.elapsed().as_millis() as u64;
    let started = Instant::now();
    LedgerState::restore(&snapshot)?;
    let restore_ms = started.elapsed().as_millis() as u64;
    let mean = |value: fn(&cicadastall::ledger::LedgerSizes) -> usize| {
        samples.iter().map(value).sum::<usize>() as f64 / samples.len().max(1) as f64
    };
    let line = json!({
        "callers": options.callers,
        "acknowledge": options.acknowledge,
        "session_seconds": options.session_seconds,
        "stored_replies_mean": mean(|sizes| sizes.replies).round(),
        "stored_reply_bytes_mean": mean(|sizes| sizes.reply_bytes).round(),
        "keys_mean": mean(|sizes| sizes.keys).round(),
        "keys_at_end": sizes.keys,
        "resident_bytes_at_end": grown_bytes,
        "snapshot_bytes": snapshot.len(),
        "snapshot_ms": snapshot_ms,
        "restore_ms": restore_ms,
        "commands_per_booking": driver.commands as f64 / bookings as f64,
        "command_bytes_per_booking": (driver.command_bytes as f64 / bookings as f64).round(),
        "bookings_per_second": (bookings as f64 / elapsed).round(),
    });
    println!("{line}");
    Ok(())
}
