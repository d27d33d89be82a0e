//! Exit codes of the operators' command line.

use std::process::ExitCode;

/// Outcome of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandOutcome {
    /// Code 0: done.
    Done,
    /// Code 1: bad arguments, or a file or answer that can't be read.
    Failed,
    /// Code 2: the settings have faults; nothing was changed.
    Faults,
    /// Code 3: the subtree no longer has the expected version; nothing was changed.
    Conflict,
    /// Code 4: the operation id belongs to another change; nothing was changed.
    OperationReused,
    /// Code 5: refused, or an instance was not reachable; nothing was changed.
    Refused,
    /// Code 6: the change may have been accepted; resend it with the same operation id.
    Unknown,
    /// Code 7: the change is accepted, but not every region has confirmed it.
    Unconfirmed,
}

impl From<CommandOutcome> for ExitCode {
    fn from(outcome: CommandOutcome) -> Self {
        Self::from(outcome as u8)
    }
}
