//! Command-line tool for operators.
//!
//! [`run`] parses the arguments, executes the command and returns what the process prints and its
//! exit code. [`ExitCode`] lists the codes.
//!
//! - [`CtlArguments`] are the parsed arguments.
//! - `ControlSession` sends commands and queries to the control instances.
//! - `document_commands` validates, submits and shows documents; `key_commands` issues and
//!   withdraws keys; `member_commands` lists and changes the members of the control group;
//!   `drain_command` drains upstreams; `read_commands` lists upstreams, the status and the audit
//!   trail.
//! - `explain_command` reads log files and contacts no control instance.

mod arguments;
mod control_session;
mod ctl_error;
mod ctl_report;
mod document_commands;
mod drain_command;
mod explain_command;
mod key_commands;
mod member_commands;
mod read_commands;

pub use arguments::{CtlArguments, CtlCommand, CtlEnvironment, HELP_TEXT};
pub use ctl_error::{CtlError, ExitCode};
pub use ctl_report::{CtlOutput, CtlReport};

/// Runs one invocation. Errors become output and an exit code; an error in the arguments themselves
/// is printed as text even with `--json`.
pub async fn run(parser: lexopt::Parser, environment: &CtlEnvironment) -> CtlOutput {
    let arguments = match CtlArguments::parse(parser, environment) {
        Ok(arguments) => arguments,
        Err(error) => return CtlOutput::from_error(&error, false),
    };
    match execute(&arguments).await {
        Ok(report) => CtlOutput::from_report(report, arguments.json),
        Err(error) => CtlOutput::from_error(&error, arguments.json),
    }
}

async fn execute(arguments: &CtlArguments) -> Result<CtlReport, CtlError> {
    match &arguments.command {
        CtlCommand::Help => Ok(CtlReport::text_only(HELP_TEXT)),
        CtlCommand::Validate { file } => document_commands::validate(file),
        CtlCommand::Submit(options) => document_commands::submit(arguments, options).await,
        CtlCommand::Show { format } => document_commands::show(arguments, *format).await,
        CtlCommand::IssueKey(options) => key_commands::issue(arguments, options).await,
        CtlCommand::WithdrawKey(options) => key_commands::withdraw(arguments, options).await,
        CtlCommand::Drain(options) => drain_command::place_order(arguments, options).await,
        CtlCommand::Explain { request, files } => explain_command::explain(request, files),
        CtlCommand::Members => member_commands::list(arguments).await,
        CtlCommand::ChangeMembers(action) => member_commands::change(arguments, action).await,
        CtlCommand::Upstreams => read_commands::upstreams(arguments).await,
        CtlCommand::Status => read_commands::status(arguments).await,
        CtlCommand::Audit { first_index, limit } => {
            read_commands::audit(arguments, *first_index, *limit).await
        }
    }
}
