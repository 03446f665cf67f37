//! Common `main` of the programs: arguments, settings and signals.

use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::prelude::{Long, Short};
use serde::de::DeserializeOwned;

use crate::settings_file::{self, SettingsError};
use crate::shutdown::{ShutdownSignal, shutdown_channel, termination_signal};

/// Exit code for invalid arguments or settings.
const EXIT_USAGE: u8 = 2;

/// Command-line arguments of a server process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProcessArguments {
    /// Path of the settings file.
    pub settings: PathBuf,
    /// Whether to exit after validating the settings.
    pub check: bool,
}

impl ProcessArguments {
    /// Parses the command line. `--settings` is required.
    pub fn parse(mut parser: lexopt::Parser) -> Result<Self, lexopt::Error> {
        let mut settings = None;
        let mut check = false;
        while let Some(argument) = parser.next()? {
            match argument {
                Short('s') | Long("settings") => settings = Some(parser.value()?.into()),
                Long("check") => check = true,
                other => return Err(other.unexpected()),
            }
        }
        let settings = settings.ok_or("missing option '--settings FILE'")?;
        Ok(Self { settings, check })
    }
}

/// Loads settings of the file format `S`, validates and converts them into `O`, and runs the
/// process until SIGTERM or SIGINT. `name` is the program name in messages.
///
/// With `--check`, returns after the settings are validated. The exit code is 0 after a graceful
/// shutdown or a successful check, 1 if the process failed and 2 for invalid arguments or settings.
pub fn run_process<S, O, E, F>(name: &str, start: impl FnOnce(O, ShutdownSignal) -> F) -> ExitCode
where
    S: DeserializeOwned,
    O: TryFrom<S, Error = SettingsError>,
    E: std::fmt::Display,
    F: Future<Output = Result<(), E>>,
{
    let arguments = match ProcessArguments::parse(lexopt::Parser::from_env()) {
        Ok(arguments) => arguments,
        Err(error) => {
            eprintln!("{name}: {error}\nusage: {name} --settings FILE [--check]");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let loaded = settings_file::load::<S>(&arguments.settings).and_then(O::try_from);
    let options = match loaded {
        Ok(options) => options,
        Err(error @ SettingsError::BadValue { .. }) => {
            eprintln!("{name}: {}: {error}", arguments.settings.display());
            return ExitCode::from(EXIT_USAGE);
        }
        Err(error) => {
            eprintln!("{name}: {error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if arguments.check {
        println!("{}: settings are valid", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("{name}: cannot start the worker threads: {error}");
            return ExitCode::FAILURE;
        }
    };
    let (trigger, signal) = shutdown_channel();
    let result = runtime.block_on(async move {
        tokio::spawn(async move {
            termination_signal().await;
            trigger.trigger();
            // Keeps the trigger alive until the runtime shuts down.
            std::future::pending::<()>().await;
        });
        start(options, signal).await
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{name}: {error}");
            ExitCode::FAILURE
        }
    }
}
