//! Runs every role of oriolecrank in one process: `oriolecrank-local [--self-check] [--data FOLDER]
//! [--port PORT]`.
//!
//! Without `--data` the control instance stores its data in a temporary folder. With `--self-check`
//! the program stops after the checks and exits with 1 if one fails.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::prelude::{Long, ValueExt as _};
use oriolecrank_local::{LOCAL_KEY, LocalCluster, LocalOptions, self_check};
use oriolecrank_net::logging::{self, LogFormat};
use oriolecrank_net::shutdown::termination_signal;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Port on which the entry listens for callers if `--port` is absent; with `--self-check` a free
/// port is used instead.
const DEFAULT_PORT: u16 = 8080;

#[derive(Debug, Default)]
struct LocalArguments {
    self_check: bool,
    data_folder: Option<PathBuf>,
    port: Option<u16>,
}

impl LocalArguments {
    fn parse(mut parser: lexopt::Parser) -> Result<Self, lexopt::Error> {
        let mut arguments = Self::default();
        while let Some(argument) = parser.next()? {
            match argument {
                Long("self-check") => arguments.self_check = true,
                Long("data") => arguments.data_folder = Some(parser.value()?.into()),
                Long("port") => arguments.port = Some(parser.value()?.parse()?),
                other => return Err(other.unexpected()),
            }
        }
        Ok(arguments)
    }
}

fn main() -> ExitCode {
    let arguments = match LocalArguments::parse(lexopt::Parser::from_env()) {
        Ok(arguments) => arguments,
        Err(error) => {
            eprintln!("oriolecrank-local: {error}");
            eprintln!("usage: oriolecrank-local [--self-check] [--data FOLDER] [--port PORT]");
            return ExitCode::from(2);
        }
    };
    logging::start(LogFormat::Text);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run(arguments)),
        Err(error) => Err(error.to_string()),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("oriolecrank-local: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(arguments: LocalArguments) -> Result<bool, String> {
    let temporary = tempfile::tempdir().map_err(|error| error.to_string())?;
    let default_port = if arguments.self_check {
        0
    } else {
        DEFAULT_PORT
    };
    let port = arguments.port.unwrap_or(default_port);
    let options = LocalOptions {
        data_folder: arguments
            .data_folder
            .unwrap_or_else(|| temporary.path().to_owned()),
        caller_listen: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        ..LocalOptions::default()
    };
    let cluster = LocalCluster::start(options)
        .await
        .map_err(|error| error.to_string())?;
    let passed = if arguments.self_check {
        let results = self_check(&cluster).await;
        for result in &results {
            println!("{result}");
        }
        results.iter().all(|result| result.failure.is_none())
    } else {
        print_usage(cluster.caller_address);
        termination_signal().await;
        true
    };
    cluster.stop().await;
    Ok(passed)
}

fn print_usage(address: SocketAddr) {
    println!("oriolecrank is running; try:\n");
    println!(
        "curl http://{address}/v1/chat/completions -H 'Authorization: Bearer {LOCAL_KEY}' \
         -H 'Content-Type: application/json' -d '{{\"model\":\"demo\",\"max_tokens\":8,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'\n"
    );
    println!("Stop with Ctrl-C.");
}
