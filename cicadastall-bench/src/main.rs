//! Runs experiments of cicadastall from the command line.

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

/// Measures cicadastall; every command prints JSON or a table and ends by itself.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum BenchCommand {
    /// Stored replies, memory, bytes and throughput of a ledger with and without acknowledgements
    #[bpaf(command)]
    Acknowledgements(
        #[bpaf(external(acknowledgements::acknowledgement_options))]
        acknowledgements::AcknowledgementOptions,
    ),
    /// Latency and throughput of calls that may not be repeated, beside those that may
    #[bpaf(command)]
    Bookings(#[bpaf(external(bookings::booking_options))] bookings::BookingOptions),
    /// Commits of a replicated group on loopback, and what an idle group costs
    #[bpaf(command)]
    Group(#[bpaf(external(group::group_options))] group::GroupOptions),
    /// Processor time, latency and memory that an entry adds to requests and tokens
    #[bpaf(command)]
    Overhead(#[bpaf(external(overhead::overhead_options))] overhead::OverheadOptions),
    /// Most patient work that one upstream of the model can do beside urgent work
    #[bpaf(command)]
    Bound(#[bpaf(external(bound::bound_options))] bound::BoundOptions),
    /// Processor time of a routing decision by the number of upstreams
    #[bpaf(command)]
    Decisions(#[bpaf(external(decisions::decision_options))] decisions::DecisionOptions),
    /// Runs one workload over the shipped policy and over baselines
    #[bpaf(command)]
    Compare(#[bpaf(external(compare_options))] CompareOptions),
    /// Arbitrary schedules of faults against the replication core
    #[bpaf(command)]
    Schedules(#[bpaf(external(schedules::schedule_options))] schedules::ScheduleOptions),
    /// Accelerator-hours of placement over days of demand, against everything always on
    #[bpaf(command)]
    Placement(#[bpaf(external(placement::placement_options))] placement::PlacementOptions),
    /// Traffic, cost and speed of membership by the number of nodes
    #[bpaf(command)]
    Slopes(#[bpaf(external(slopes::slopes_options))] slopes::SlopesOptions),
    /// Bytes, processor time and time until a change of settings is in force everywhere
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
