//! Load, experiments and slopes for cicadastall.

mod overhead;
mod settings_bench;

use bpaf::Bpaf;

/// Measures cicadastall; every command prints JSON or a table and ends by itself.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum BenchCommand {
    /// Processor time, latency and memory that an entry adds to requests and tokens
    #[bpaf(command)]
    Overhead(#[bpaf(external(overhead::overhead_options))] overhead::OverheadOptions),
    /// Bytes, processor time and time until a change of settings is in force everywhere
    #[bpaf(command)]
    Settings(#[bpaf(external(settings_bench::settings_options))] settings_bench::SettingsOptions),
}

fn main() -> eyre::Result<()> {
    match bench_command().run() {
        BenchCommand::Overhead(options) => overhead::run(&options),
        BenchCommand::Settings(options) => settings_bench::run(&options),
    }
}
