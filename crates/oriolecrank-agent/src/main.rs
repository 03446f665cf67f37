//! Entry point of the agent: `oriolecrank-agent --settings FILE [--check]`.

use std::process::ExitCode;

use oriolecrank_agent::{AgentError, AgentOptions, AgentProcess};
use oriolecrank_net::{logging, run_process};
use oriolecrank_schema::settings::AgentSettings;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    run_process::<AgentSettings, AgentOptions, AgentError, _>(
        "oriolecrank-agent",
        |options, shutdown| async move {
            logging::start(options.log_format);
            AgentProcess::bind(options).await?.run(shutdown).await
        },
    )
}
