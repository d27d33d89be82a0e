//! Simulates one workload with one seed under several routing policies and reports on each.

use bpaf::Bpaf;
use eyre::WrapErr;
use std::{fs, path::PathBuf};

pub mod fleet;
pub mod metrics;
pub mod policies;
pub mod requests;
pub mod simulation;
pub mod workload;

use metrics::{PolicyReport, render_table};
use policies::{NamedPolicy, list_policies};
use simulation::Simulation;
use workload::{Workload, load_workload};

/// Options of `compare`.
#[derive(Debug, Clone, Bpaf)]
pub struct CompareOptions {
    /// Workload file
    #[bpaf(argument("FILE"))]
    pub workload: PathBuf,
    /// Seed of all random choices
    #[bpaf(argument("N"))]
    pub seed: u64,
    /// Names of the policies to run, separated by commas; all by default
    #[bpaf(argument("NAMES"), optional)]
    pub policies: Option<String>,
    /// Entries in each availability zone; overrides the workload
    #[bpaf(argument("N"), optional)]
    pub entries: Option<u32>,
    /// Factor by which the speed of every upstream is multiplied
    #[bpaf(argument("FACTOR"), fallback(1.0))]
    pub speed: f64,
    /// Print JSON
    #[bpaf(switch)]
    pub json: bool,
}

/// Simulates the workload under the chosen policies and prints the reports; fails if the file
/// cannot be read or decoded.
pub fn run_compare(options: &CompareOptions) -> eyre::Result<()> {
    let text = fs::read_to_string(&options.workload)
        .wrap_err_with(|| format!("cannot read {}", options.workload.display()))?;
    let mut workload = load_workload(&text)?;
    workload.entries_per_zone = options.entries.unwrap_or(workload.entries_per_zone);
    workload.scale_speed(options.speed);
    let names = options.policies.as_deref();
    let chosen: Vec<_> = list_policies()
        .into_iter()
        .filter(|policy| names.is_none_or(|names| names.split(',').any(|name| name == policy.name)))
        .collect();
    let reports = compare_policies(&workload, &chosen, options.seed);
    if options.json {
        println!("{}", serde_json::to_string_pretty(&reports)?);
    } else {
        println!("{} seed {}\n{}", workload.name, options.seed, render_table(&reports));
    }
    Ok(())
}

/// Simulates the workload under each policy, each on its own thread; reports are in the order of
/// `policies`.
pub fn compare_policies(
    workload: &Workload,
    policies: &[NamedPolicy],
    seed: u64,
) -> Vec<PolicyReport> {
    std::thread::scope(|scope| {
        let runs: Vec<_> = policies
            .iter()
            .map(|policy| scope.spawn(|| Simulation::new(workload, policy, seed).run()))
            .collect();
        runs.into_iter().map(|run| run.join().expect("the simulation panicked")).collect()
    })
}
