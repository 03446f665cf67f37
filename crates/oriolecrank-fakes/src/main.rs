//! Fake upstreams as a program, to try the separate processes by hand:
//! `oriolecrank-fakes engine|ledger ADDRESS`.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use lexopt::prelude::{Value, ValueExt as _};
use oriolecrank_fakes::{FakeEngine, FakeLedger};
use oriolecrank_net::logging::{self, LogFormat};
use oriolecrank_net::shutdown::{ShutdownSignal, shutdown_channel, termination_signal};
use oriolecrank_net::{HttpHandler, serve};
use oriolecrank_schema::event::LogEvent;
use tokio::net::TcpListener;

/// Text for wrong arguments.
const USAGE: &str = "usage: oriolecrank-fakes engine|ledger ADDRESS";

/// Kind and address of the fake.
#[derive(Debug)]
struct FakeArguments {
    kind: String,
    address: SocketAddr,
}

impl FakeArguments {
    fn parse(mut parser: lexopt::Parser) -> Result<Self, lexopt::Error> {
        let mut words = Vec::new();
        while let Some(argument) = parser.next()? {
            match argument {
                Value(word) => words.push(word.string()?),
                other => return Err(other.unexpected()),
            }
        }
        let [kind, address] = words
            .try_into()
            .map_err(|_| "expected a kind and an address")?;
        let address = address
            .parse()
            .map_err(|_| "the address is not of the form IP:port")?;
        Ok(Self { kind, address })
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = match FakeArguments::parse(lexopt::Parser::from_env()) {
        Ok(arguments) => arguments,
        Err(error) => {
            eprintln!("oriolecrank-fakes: {error}\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    logging::start(LogFormat::Json);
    let (trigger, signal) = shutdown_channel();
    tokio::spawn(async move {
        termination_signal().await;
        trigger.trigger();
        // Keeps the trigger alive until the process ends.
        std::future::pending::<()>().await;
    });
    let result = match arguments.kind.as_str() {
        "engine" => run(arguments.address, FakeEngine::default(), signal).await,
        "ledger" => run(arguments.address, FakeLedger::default(), signal).await,
        _ => {
            eprintln!("{USAGE}");
            return ExitCode::from(2);
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!(
                "oriolecrank-fakes: cannot listen on {}: {error}",
                arguments.address
            );
            ExitCode::FAILURE
        }
    }
}

async fn run<H: HttpHandler>(
    address: SocketAddr,
    handler: H,
    signal: ShutdownSignal,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    tracing::info!(event = LogEvent::ProcessStarted.number(), %address, "fake started");
    serve(listener, Arc::new(handler), signal).await;
    Ok(())
}
