//! Runs one control instance.

use bpaf::Bpaf;
use cicadastall::{control::ControlServer, instance::ControlThread, node::NodeSettings};
use cicadastall_daemons::{finish_stop, init_logging, print_addresses, wait_for_stop_signal};
use std::path::PathBuf;

/// Keeps the fleet's settings and the region's ledger.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct ControlOptions {
    /// JSON file with the settings of this instance
    #[bpaf(long, argument("FILE"))]
    settings: PathBuf,
}

fn main() -> eyre::Result<()> {
    let options = control_options().run();
    let node = NodeSettings::read(&options.settings)?;
    init_logging(&node.instance, &node.zone);
    let control = ControlThread::start("control")?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let server = ControlServer::start(node, control.handle()).await?;
        print_addresses(&server.addresses())?;
        tokio::select! {
            signal = wait_for_stop_signal() => signal?,
            () = server.stop_requested() => {}
        }
        finish_stop(server.drain()).await
    })
}
