//! Program of an entry instance.

use bpaf::Bpaf;
use cicadastall::{entry::EntryServer, instance::ControlThread, node::NodeSettings};
use cicadastall_daemons::{init_logs, print_addresses, print_line, wait_for_stop};
use std::path::PathBuf;

/// Serves callers of one availability zone.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct EntryOptions {
    /// JSON file with the settings of this instance
    #[bpaf(long, argument("FILE"))]
    settings: PathBuf,
}

fn main() -> eyre::Result<()> {
    let options = entry_options().run();
    let node = NodeSettings::read(&options.settings)?;
    init_logs(&node.instance, &node.zone);
    let control = ControlThread::start("control")?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let server = EntryServer::start(node, control.handle()).await?;
        print_addresses(&server.addresses())?;
        wait_for_stop().await?;
        let summary = tokio::select! {
            summary = server.stop() => summary,
            second = wait_for_stop() => {
                second?;
                eyre::bail!("stopped at once by a second signal");
            }
        };
        print_line(&serde_json::to_value(summary)?)?;
        if summary.cut_off > 0 {
            eyre::bail!("{} requests were cut off by the stop's bound", summary.cut_off);
        }
        Ok(())
    })
}
