//! Command line for operators.

use bpaf::Bpaf;
use cicadastall_daemons::{
    demo::{self, DemoOptions, demo_options},
    exit::CommandOutcome,
    settings_cli::{self, CheckOptions, SettingsOptions, check_options, settings_options},
    status_cli::{
        self, DrainOptions, ExplainOptions, GroupsOptions, RefoundOptions, StatusOptions,
        drain_options, explain_options, groups_options, refound_options, status_options,
    },
    where_cli::{self, WhereOptions, where_options},
};
use std::process::ExitCode;

/// Operates a fleet of cicadastall.
///
///
/// Exit codes: 0 done, 1 failed, 2 faults in settings, 3 conflict with another change, 4 operation
/// id used for another change, 5 refused or not reachable, 6 outcome unknown, 7 accepted but not
/// confirmed by every region.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum OperatorCommand {
    /// Check a settings file and list all its faults
    ///
    ///
    /// Example: cicadastall check examples/trust.json
    #[bpaf(command)]
    Check(#[bpaf(external(check_options))] CheckOptions),
    /// Read and change the settings of a fleet
    ///
    ///
    /// Example: cicadastall settings get --control 127.0.0.1:7101
    #[bpaf(command)]
    Settings(#[bpaf(external(settings_options))] SettingsOptions),
    /// Show the status of instances
    ///
    ///
    /// Example: cicadastall status 127.0.0.1:7101 127.0.0.1:7102
    #[bpaf(command)]
    Status(#[bpaf(external(status_options))] StatusOptions),
    /// Show the replicated groups of instances, with their leaders, voters and learners
    ///
    ///
    /// Example: cicadastall groups 127.0.0.1:7101 127.0.0.1:7102
    #[bpaf(command)]
    Groups(#[bpaf(external(groups_options))] GroupsOptions),
    /// Explain the routing of a request, or show the record of an upstream
    ///
    ///
    /// Example: cicadastall explain --entry 127.0.0.1:7102 aqaba-1-4218e4cee84c8a92
    #[bpaf(command)]
    Explain(#[bpaf(external(explain_options))] ExplainOptions),
    /// Tell where a request would go now, and why, without sending it
    ///
    ///
    /// Example: cicadastall where --entry 127.0.0.1:7102 --host example.test --path /read/1
    #[bpaf(command)]
    Where(#[bpaf(external(where_options))] WhereOptions),
    /// Tell an entry to accept no new callers
    ///
    ///
    /// Example: cicadastall drain 127.0.0.1:7102
    #[bpaf(command)]
    Drain(#[bpaf(external(drain_options))] DrainOptions),
    /// Recreate a group that has permanently lost its majority
    ///
    ///
    /// Example: cicadastall refound --control 127.0.0.1:7101 --accept-loss settings
    #[bpaf(command)]
    Refound(#[bpaf(external(refound_options))] RefoundOptions),
    /// Run a small fleet of three regions in one process and send it example requests
    ///
    ///
    /// Example: cicadastall demo
    #[bpaf(command)]
    Demo(#[bpaf(external(demo_options))] DemoOptions),
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(operator_command().run()).await {
        Ok(outcome) => outcome.into(),
        Err(error) => {
            eprintln!("{error:#}");
            CommandOutcome::Failed.into()
        }
    }
}

async fn run(command: OperatorCommand) -> eyre::Result<CommandOutcome> {
    match command {
        OperatorCommand::Check(options) => settings_cli::check(&options),
        OperatorCommand::Settings(options) => settings_cli::run(&options).await,
        OperatorCommand::Status(options) => status_cli::status(&options).await,
        OperatorCommand::Groups(options) => status_cli::groups(&options).await,
        OperatorCommand::Explain(options) => status_cli::explain(&options).await,
        OperatorCommand::Where(options) => where_cli::run(&options).await,
        OperatorCommand::Drain(options) => status_cli::drain(&options).await,
        OperatorCommand::Refound(options) => status_cli::refound(&options).await,
        OperatorCommand::Demo(options) => demo::run(&options).await,
    }
}
