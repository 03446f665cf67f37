//! Entry point of a control instance: `oriolecrank-control --settings FILE [--check]`.

use std::process::ExitCode;

use oriolecrank_control::{ControlError, ControlOptions, ControlProcess};
use oriolecrank_net::{logging, run_process};
use oriolecrank_schema::settings::ControlSettings;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    run_process::<ControlSettings, ControlOptions, ControlError, _>(
        "oriolecrank-control",
        |options, shutdown| async move {
            logging::start(options.log_format);
            ControlProcess::bind(options).await?.run(shutdown).await
        },
    )
}
