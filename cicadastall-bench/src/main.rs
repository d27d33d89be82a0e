//! Command line of the cicadastall benchmarks and simulations.

mod acknowledgements;
mod bookings;
mod bound;
mod decisions;
mod group;
mod memory;
mod overhead;
mod placement;
mod schedules;
mod settings_distribution;
mod slopes;

use bpaf::Bpaf;
use cicadastall_bench::compare::{CompareOptions, compare_options, run_compare};

/// Benchmarks and simulations of cicadastall; every command prints JSON or a table and then exits.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum BenchCommand {
    /// Storage, memory and throughput of a ledger with or without acknowledgements
    #[bpaf(command)]
    Acknowledgements(
        #[bpaf(external(acknowledgements::acknowledgement_options))]
        acknowledgements::AcknowledgementOptions,
    ),
    /// Latency and throughput of non-repeatable calls, compared with repeatable ones
    #[bpaf(command)]
    Bookings(#[bpaf(external(bookings::booking_options))] bookings::BookingOptions),
    /// Commit throughput and latency of a replicated group on loopback, and its idle cost
    #[bpaf(command)]
    Group(#[bpaf(external(group::group_options))] group::GroupOptions),
    /// Processor time, latency and memory that an entry adds to requests and streamed tokens
    #[bpaf(command)]
    Overhead(#[bpaf(external(overhead::overhead_options))] overhead::OverheadOptions),
    /// Upper bound on the patient work that one simulated upstream does beside urgent work
    #[bpaf(command)]
    Bound(#[bpaf(external(bound::bound_options))] bound::BoundOptions),
    /// Processor time of a routing decision by the number of upstreams
    #[bpaf(command)]
    Decisions(#[bpaf(external(decisions::decision_options))] decisions::DecisionOptions),
    /// Simulates one workload under the shipped routing policy and under baselines
    #[bpaf(command)]
    Compare(#[bpaf(external(compare_options))] CompareOptions),
    /// Runs random fault schedules against the replication core
    #[bpaf(command)]
    Schedules(#[bpaf(external(schedules::schedule_options))] schedules::ScheduleOptions),
    /// Accelerator-hours of model placement over simulated days, and without placement
    #[bpaf(command)]
    Placement(#[bpaf(external(placement::placement_options))] placement::PlacementOptions),
    /// Traffic, cost and propagation time of membership by number of nodes
    #[bpaf(command)]
    Slopes(#[bpaf(external(slopes::slopes_options))] slopes::SlopesOptions),
    /// Traffic, processor time and delay until a change of settings is in force everywhere
    #[bpaf(command)]
    Settings(
        #[bpaf(external(settings_distribution::settings_options))]
        settings_distribution::SettingsOptions,
    ),
}

fn main() -> eyre::Result<()> {
    match bench_command().run() {
        BenchCommand::Acknowledgements(options) => acknowledgements::run(&options),
        BenchCommand::Bookings(options) => bookings::run(&options),
        BenchCommand::Group(options) => group::run(&options),
        BenchCommand::Overhead(options) => overhead::run(&options),
        BenchCommand::Bound(options) => bound::run(&options),
        BenchCommand::Decisions(options) => decisions::run(&options),
        BenchCommand::Compare(options) => run_compare(&options),
        BenchCommand::Schedules(options) => schedules::run(&options),
        BenchCommand::Placement(options) => placement::run(&options),
        BenchCommand::Slopes(options) => slopes::run(&options),
        BenchCommand::Settings(options) => settings_distribution::run(&options),
    }
}
