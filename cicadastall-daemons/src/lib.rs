//! Code shared by the programs: logging, address output, stop signals and operator commands.

pub mod demo;
pub mod exit;
pub mod explain_table;
pub mod operator;
pub mod print;
pub mod settings_cli;
pub mod status_cli;
pub mod where_cli;

use cicadastall::{
    instance::InstanceAddresses,
    logs,
    name::{InstanceName, ZoneName},
    stop::DrainingInstance,
};
use env_logger::{Builder, Env};
use eyre::WrapErr;
use serde_json::json;
use std::io::{Write, stdout};
use tokio::signal::unix::{SignalKind, signal};

/// Starts logging to standard error, as one JSON object per line.
///
/// `RUST_LOG` overrides the default levels.
pub fn init_logging(instance: &InstanceName, zone: &ZoneName) {
    let instance = instance.clone();
    let zone = zone.clone();
    Builder::from_env(Env::default().default_filter_or("info,tarpc=warn,ractor=warn"))
        .format(move |output, record| logs::write_line(output, record, &instance, &zone))
        .init();
}

/// Prints the addresses of a started instance as one line of JSON on standard output.
///
/// Fails if standard output cannot be written.
pub fn print_addresses(addresses: &InstanceAddresses) -> eyre::Result<()> {
    let line = json!({
        "caller": addresses.caller,
        "operator": addresses.operator,
        "peer": addresses.peer,
    });
    print_line(&line)
}

/// Prints one line of JSON on standard output; fails if it cannot be written.
pub fn print_line(line: &serde_json::Value) -> eyre::Result<()> {
    let mut output = stdout().lock();
    writeln!(output, "{line}").wrap_err("cannot write to standard output")?;
    output.flush().wrap_err("cannot write to standard output")
}

/// Waits for SIGTERM or SIGINT, which request a graceful stop; fails if no handler can be installed.
pub async fn wait_for_stop_signal() -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Waits for the requests in flight of a stopping instance and prints the summary.
///
/// A second signal cuts off the remaining requests. Fails if any request was cut off.
pub async fn finish_stop(mut draining: DrainingInstance) -> eyre::Result<()> {
    let finished = tokio::select! {
        summary = draining.finish() => Some(summary),
        second = wait_for_stop_signal() => {
            second?;
            None
        }
    };
    let summary = match finished {
        Some(summary) => summary,
        None => draining.abort().await,
    };
    print_line(&serde_json::to_value(summary)?)?;
    if summary.cut_off > 0 {
        eyre::bail!("{} requests were cut off by the stop", summary.cut_off);
    }
    Ok(())
}
