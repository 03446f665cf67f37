//! Runs the soak test: `oriolecrank-soak --seed N --seeds M --seconds S --programs FOLDER`.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use lexopt::prelude::{Long, Short, ValueExt as _};
use oriolecrank_soak::{FaultSchedule, SoakOptions, run_soak, schedule_of};

const USAGE: &str = "usage: oriolecrank-soak [OPTIONS]

  --seed N           first seed (default: 1)
  --seeds N          number of seeds, one after the other (default: 1)
  --seconds N        time with faults for each seed (default: 20)
  --programs FOLDER  folder of the programs (default: target/debug)
  --without-limits   the organisation of the callers has no limits
  --print            print the schedule of each seed and run nothing
  --help             print this text";

/// Exit code for invalid arguments.
const EXIT_USAGE: u8 = 2;

struct Arguments {
    options: SoakOptions,
    seeds: u64,
    print: bool,
}

fn parse(mut parser: lexopt::Parser) -> Result<Option<Arguments>, lexopt::Error> {
    let mut arguments = Arguments {
        options: SoakOptions {
            programs: PathBuf::from("target/debug"),
            seed: 1,
            length: Duration::from_secs(20),
            limits: true,
        },
        seeds: 1,
        print: false,
    };
    while let Some(argument) = parser.next()? {
        let options = &mut arguments.options;
        match argument {
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("seeds") => arguments.seeds = parser.value()?.parse()?,
            Long("seconds") => options.length = Duration::from_secs(parser.value()?.parse()?),
            Long("programs") => options.programs = parser.value()?.into(),
            Long("without-limits") => options.limits = false,
            Long("print") => arguments.print = true,
            Long("help") | Short('h') => return Ok(None),
            other => return Err(other.unexpected()),
        }
    }
    Ok(Some(arguments))
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = match parse(lexopt::Parser::from_env()) {
        Ok(Some(arguments)) => arguments,
        Ok(None) => {
            println!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("oriolecrank-soak: {error}\n{USAGE}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let mut failed = 0_u32;
    let first = arguments.options.seed;
    for seed in first..first.saturating_add(arguments.seeds) {
        let options = SoakOptions {
            seed,
            ..arguments.options.clone()
        };
        let schedule: FaultSchedule = schedule_of(&options);
        if arguments.print {
            println!("seed {seed}\n{schedule}");
            continue;
        }
        match run_soak(&options).await {
            Ok(report) => {
                println!("seed {seed}: {report}");
                failed += u32::from(!report.violations.is_empty());
            }
            Err(error) => {
                println!("seed {seed}: not run: {error}");
                failed += 1;
            }
        }
    }
    if failed > 0 {
        println!("{failed} seeds failed");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
