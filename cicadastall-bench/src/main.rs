//! Runs experiments of cicadastall from the command line.

use bpaf::Bpaf;
use cicadastall_bench::compare::{CompareOptions, compare_options, run_compare};

/// An experiment.
#[derive(Debug, Bpaf)]
#[bpaf(options, version)]
enum BenchCommand {
    /// Runs one workload over the shipped policy and over baselines
    #[bpaf(command("compare"))]
    Compare(#[bpaf(external(compare_options))] CompareOptions),
}

fn main() -> eyre::Result<()> {
    match bench_command().run() {
        BenchCommand::Compare(options) => run_compare(&options),
    }
}
