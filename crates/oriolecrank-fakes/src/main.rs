//! Runs one fake as a program: `oriolecrank-fakes engine|ledger|platform|usage ADDRESS`.
//!
//! `--between-tokens-ms N` and `--crash-on-marker` apply to `engine`, `--lose-answers` to `ledger`.
//!
//! Used to try the separate processes by hand and by the tests of `oriolecrank-local`.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use lexopt::prelude::{Long, Value, ValueExt as _};
use oriolecrank_fakes::{EngineOptions, FakeEngine, FakeLedger, FakePlatform, FakeUsage};
use oriolecrank_net::logging::{self, LogFormat};
use oriolecrank_net::shutdown::{ShutdownSignal, shutdown_channel, termination_signal};
use oriolecrank_net::{HttpHandler, serve};
use oriolecrank_schema::event::LogEvent;
use tokio::net::TcpListener;

/// Printed after an invalid argument.
const USAGE: &str = "usage: oriolecrank-fakes engine|ledger|platform|usage ADDRESS";

#[derive(Debug)]
struct FakeArguments {
    kind: String,
    address: SocketAddr,
    /// Time between two tokens of an engine.
    between_tokens: Duration,
    /// Whether a prompt with the crash marker crashes the engine.
    crash_on_marker: bool,
    /// Whether the answers to writes to the ledger are lost, although the writes take effect.
    lose_answers: bool,
}

impl FakeArguments {
    fn parse(mut parser: lexopt::Parser) -> Result<Self, lexopt::Error> {
        let mut positional = Vec::new();
        let mut between_tokens = EngineOptions::default().between_tokens;
        let (mut crash_on_marker, mut lose_answers) = (false, false);
        while let Some(argument) = parser.next()? {
            match argument {
                Long("between-tokens-ms") => {
                    between_tokens = Duration::from_millis(parser.value()?.parse()?);
                }
                Long("crash-on-marker") => crash_on_marker = true,
                Long("lose-answers") => lose_answers = true,
                Value(value) => positional.push(value.string()?),
                other => return Err(other.unexpected()),
            }
        }
        let [kind, address] = positional
            .try_into()
            .map_err(|_| "expected two arguments: the kind of fake and the address")?;
        let address = address
            .parse()
            .map_err(|_| "expected an address of the form IP:port, such as 127.0.0.1:9000")?;
        Ok(Self {
            kind,
            address,
            between_tokens,
            crash_on_marker,
            lose_answers,
        })
    }

    fn engine(&self) -> FakeEngine {
        let options = EngineOptions {
            between_tokens: self.between_tokens,
            ..EngineOptions::default()
        };
        let engine = FakeEngine::new(options);
        engine
            .faults()
            .crash_on_marker
            .store(self.crash_on_marker, Ordering::SeqCst);
        engine
    }

    fn ledger(&self) -> FakeLedger {
        let ledger = FakeLedger::default();
        ledger.lose_answers(self.lose_answers);
        ledger
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
        // Keeps the trigger from being dropped before the process ends.
        std::future::pending::<()>().await;
    });
    let result = match arguments.kind.as_str() {
        "engine" => run(arguments.address, arguments.engine(), signal).await,
        "ledger" => run(arguments.address, arguments.ledger(), signal).await,
        "platform" => run(arguments.address, FakePlatform::default(), signal).await,
        "usage" => run(arguments.address, FakeUsage::default(), signal).await,
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
