//! Measures oriolecrank and prints one JSON object per line.
//!
//! `oriolecrank-bench MEASURE [--seed N] [--seeds N] [--scenario NAME] [--variant NAME] [--quick]`
//! exits with 0 if all targets are met, 1 if one is missed and 2 for invalid arguments. Each
//! measurement except `codec` is a module of the library. `oriolecrank-bench report FILE...` plots
//! printed lines and measures nothing.

use std::process::ExitCode;

use oriolecrank_bench::arguments::BenchArguments;
use oriolecrank_bench::measurement::{Measurement, Target, size};
use oriolecrank_bench::route;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Printed after an invalid argument.
const USAGE: &str = "usage: oriolecrank-bench codec|control|path|policy|route|subscribers [--seed N] [--seeds N] [--scenario NAME] \
                     [--variant NAME] [--quick] [--json]";

fn main() -> ExitCode {
    let arguments = match BenchArguments::parse(lexopt::Parser::from_env()) {
        Ok(arguments) => arguments,
        Err(error) => {
            eprintln!("oriolecrank-bench: {error}\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    let passed = match arguments.measure.as_str() {
        "codec" => codec_size(&arguments),
        "control" => oriolecrank_bench::control::run(&arguments),
        "policy" => oriolecrank_bench::policy::run(&arguments),
        "path" => oriolecrank_bench::path::run(&arguments),
        "report" => oriolecrank_bench::report::run(&arguments),
        "route" => route::run(&arguments),
        "subscribers" => oriolecrank_bench::subscribers::run(&arguments),
        _ => {
            eprintln!("{USAGE}");
            return ExitCode::from(2);
        }
    };
    if passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Prints the size of one encoded freshness ping without demand entries.
fn codec_size(arguments: &BenchArguments) -> bool {
    let ping = oriolecrank_schema::control::PingRequest {
        subscriber: "entry-1".to_owned(),
        ping: 1,
        revision: 1,
        demand: Vec::new(),
    };
    let value = oriolecrank_schema::codec::encode(&ping).len() as f64;
    let measurement = Measurement {
        measure: "ping_bytes".to_owned(),
        size: size([("demand_entries", 0)]),
        value,
        unit: "bytes",
        target: Some(Target::AtMost(3_000.0)),
        seed: arguments.seed,
    };
    measurement.print()
}
