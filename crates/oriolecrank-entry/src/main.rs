//! Entry point of the entry process: `oriolecrank-entry --settings FILE [--check]`.

use std::process::ExitCode;

use oriolecrank_entry::{EntryError, EntryOptions, EntryProcess};
use oriolecrank_net::{logging, run_process};
use oriolecrank_schema::settings::EntrySettings;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    run_process::<EntrySettings, EntryOptions, EntryError, _>(
        "oriolecrank-entry",
        |options, shutdown| async move {
            logging::start(options.log_format);
            EntryProcess::bind(options).await?.run(shutdown).await
        },
    )
}
