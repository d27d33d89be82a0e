//! Load, experiments and slopes for cicadastall.

mod overhead;
mod slopes;

use bpaf::Bpaf;

/// Measures cicadastall; every command prints JSON or a table and ends by itself.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum BenchCommand {
    /// Processor time, latency and memory that an entry adds to requests and tokens
    #[bpaf(command)]
    Overhead(#[bpaf(external(overhead::overhead_options))] overhead::OverheadOptions),
    /// Traffic, cost and speed of membership by the number of nodes
    #[bpaf(command)]
    Slopes(#[bpaf(external(slopes::slopes_options))] slopes::SlopesOptions),
}

fn main() -> eyre::Result<()> {
    match bench_command().run() {
        BenchCommand::Overhead(options) => overhead::run(&options),
        BenchCommand::Slopes(options) => slopes::run(&options),
    }
}
