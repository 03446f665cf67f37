//! Entry point of the operators' command-line tool.

use std::io::Write as _;
use std::process::ExitCode;

use oriolecrank_ctl::{CtlEnvironment, run};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let environment = CtlEnvironment::from_env();
    let output = run(lexopt::Parser::from_env(), &environment).await;
    // A write error, such as a closed pipe, does not change the outcome of the command, which the
    // exit code reports.
    let _ = std::io::stdout().write_all(output.stdout.as_bytes());
    let _ = std::io::stderr().write_all(output.stderr.as_bytes());
    ExitCode::from(output.code as u8)
}
