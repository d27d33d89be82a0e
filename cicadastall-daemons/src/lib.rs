//! Start-up that the programs share: logs, settings, signals and the line with their addresses.

pub mod demo;
pub mod exit;
pub mod explain_table;
pub mod operator;
pub mod print;
pub mod settings_cli;
pub mod status_cli;

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

/// Starts logging as JSON lines on standard error.
pub fn init_logging(instance: &InstanceName, zone: &ZoneName) {
    let instance = instance.clone();
    let zone = zone.clone();
    Builder::from_env(Env::default().default_filter_or("info,tarpc=warn,ractor=warn"))
        .format(move |output, record| logs::write_line(output, record, &instance, &zone))
        .init();
}

/// Prints the addresses of a started instance as one line of JSON on standard output.
pub fn print_addresses(addresses: &InstanceAddresses) -> eyre::Result<()> {
    let line = json!({
        "caller": addresses.caller,
        "operator": addresses.operator,
        "peer": addresses.peer,
    });
    print_line(&line)
}

/// Prints one line of JSON on standard output.
pub fn print_line(line: &serde_json::Value) -> eyre::Result<()> {
    let mut output = stdout().lock();
    writeln!(output, "{line}").wrap_err("cannot write to standard output")?;
    output.flush().wrap_err("cannot write to standard output")
}

/// Waits for the signal that asks for a graceful stop: SIGTERM or SIGINT.
pub async fn wait_for_stop_signal() -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Finishes what a stopping instance has in flight and prints the summary; a second signal ends it
/// at once.
///
/// Fails if requests were cut off.
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
        None => draining.cut().await,
    };
    print_line(&serde_json::to_value(summary)?)?;
    if summary.cut_off > 0 {
        eyre::bail!("{} requests were cut off by the stop", summary.cut_off);
    }
    Ok(())
}
