//! Short run of the soak test, and the reproducibility of its schedules.

use std::path::PathBuf;
use std::time::Duration;

use oriolecrank_soak::{SoakOptions, run_soak, schedule_of};

/// Seeds of the short run.
const SEEDS: [u64; 1] = [1];

/// Seeds of earlier failures, each with its cause.
const REGRESSIONS: [u64; 0] = [];

/// Folder of the built programs: the one above the folder of the test binary.
fn programs() -> PathBuf {
    let test = std::env::current_exe().expect("a test has a path");
    let folder = test.parent().and_then(std::path::Path::parent);
    folder.expect("tests are built two folders deep").to_owned()
}

/// Guards against bookings that run twice or are wrongly reported as not run, streams with the text
/// of another one, and reads of an outdated document, while processes are killed, suspended and
/// stopped and links are cut; also against a cluster that does not serve after the faults.
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_under_seeded_faults() {
    let programs = programs();
    for program in [
        "oriolecrank-control",
        "oriolecrank-agent",
        "oriolecrank-entry",
    ] {
        let built = programs.join(program).exists();
        assert!(built, "{program} is not built; run cargo test --workspace");
    }
    for seed in SEEDS.into_iter().chain(REGRESSIONS) {
        let options = SoakOptions {
            programs: programs.clone(),
            seed,
            length: Duration::from_secs(6),
            limits: true,
        };
        let report = run_soak(&options).await.expect("the programs start");
        assert!(report.violations.is_empty(), "seed {seed}: {report}");
        // Without any served call the checks above would pass without checking anything.
        assert!(
            report.booked > 0 && report.complete > 0,
            "seed {seed}: no booking was confirmed or no stream was complete: {report}"
        );
        assert!(
            report.documents > 1,
            "seed {seed}: no second document was accepted: {report}"
        );
    }
}

/// Guards against a run whose schedule cannot be reproduced from its seed.
#[test]
fn a_seed_gives_one_schedule() {
    let options = |seed| SoakOptions {
        programs: PathBuf::new(),
        seed,
        length: Duration::from_mins(1),
        limits: true,
    };
    assert_eq!(schedule_of(&options(7)), schedule_of(&options(7)));
    assert_ne!(schedule_of(&options(7)), schedule_of(&options(8)));
    let faults = schedule_of(&options(7)).0;
    assert!(faults.windows(2).all(|pair| pair[0].at <= pair[1].at));
    let overlapping =
        |pair: &&[oriolecrank_soak::PlannedFault]| pair[0].at + pair[0].duration > pair[1].at;
    assert!(faults.windows(2).filter(overlapping).count() > faults.len() / 4);
}
