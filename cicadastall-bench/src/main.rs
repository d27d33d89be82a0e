//! Load, experiments and slopes for cicadastall.

mod overhead;

use bpaf::Bpaf;

/// Measures cicadastall; every command prints JSON or a table and ends by itself.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum BenchCommand {
    /// Processor time, latency and memory that an entry adds to requests and tokens
    #[bpaf(command)]
    Overhead(#[bpaf(external(overhead::overhead_options))] overhead::OverheadOptions),
}

fn main() -> eyre::Result<()> {
    match bench_command().run() {
        BenchCommand::Overhead(options) => overhead::run(&options),
    }
}
