//! Requests that follow the rules for suspects, one of which crashes every engine.

use std::collections::BTreeMap;

use oriolecrank_schema::control::{CommandOutcome, SuspectState};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

use crate::cluster_fixture::{TestCluster, announce, clear, crash, rerun};

const ENGINES: [&str; 4] = ["engine-1", "engine-2", "engine-3", "engine-4"];

const FINGERPRINTS: [&str; 6] = ["culprit", "f-1", "f-2", "f-3", "f-4", "f-5"];

/// Steps of one run; with at most 1 s each, they stay within the time of a refusal.
const STEPS: u64 = 400;

/// Engines with the requests that run on them.
#[derive(Debug)]
struct EngineFloor {
    cluster: TestCluster,
    running: BTreeMap<&'static str, Vec<&'static str>>,
    crashes: u64,
    requests: u64,
}

impl EngineFloor {
    fn new() -> Self {
        let mut cluster = TestCluster::ready();
        for engine in ENGINES {
            cluster.send(announce(engine, 1, 1));
        }
        Self {
            cluster,
            running: BTreeMap::new(),
            crashes: 0,
            requests: 0,
        }
    }

    fn state_of(&self, fingerprint: &str) -> Option<SuspectState> {
        let suspects = self.cluster.suspects();
        let mut suspects = suspects.iter();
        let found = suspects.find(|record| record.fingerprint == fingerprint);
        found.map(|record| record.state)
    }

    /// Starts a request as an entry does; a suspect needs its rerun granted.
    fn start(&mut self, fingerprint: &'static str, engine: &'static str) {
        self.requests += 1;
        let may_run = match self.state_of(fingerprint) {
            None => true,
            Some(SuspectState::Refused) => false,
            Some(SuspectState::Suspect) => {
                let request = format!("r-{}", self.requests);
                let outcome = self.cluster.send(rerun(fingerprint, engine, &request));
                outcome == CommandOutcome::Accepted
            }
        };
        if may_run {
            self.running.entry(engine).or_default().push(fingerprint);
        }
    }

    /// Ends what runs on an engine: by a crash if the culprit is there.
    fn finish(&mut self, engine: &'static str) {
        let running = self.running.remove(engine).unwrap_or_default();
        if running.contains(&"culprit") {
            self.crashes += 1;
            let reported: Vec<(&str, &str)> = running
                .iter()
                .map(|fingerprint| ("grove", *fingerprint))
                .collect();
            self.cluster.send(crash(engine, self.crashes, &reported));
            return;
        }
        for fingerprint in running {
            self.cluster.send(clear("grove", fingerprint));
        }
    }
}

/// Guards against a request that takes down more than two engines, and against requests that are
/// refused because they often ran beside it.
#[test]
fn culprit_takes_two_engines_and_innocents_go_free() {
    for seed in 0..100 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut floor = EngineFloor::new();
        for _ in 0..STEPS {
            floor.cluster.time_ms += random.random_range(0..1_000);
            let engine = ENGINES[random.random_range(0..ENGINES.len())];
            let fingerprint = FINGERPRINTS[random.random_range(0..FINGERPRINTS.len())];
            // The caller sends the culprit again only after it has failed.
            let runs_already = floor
                .running
                .values()
                .flatten()
                .any(|other| *other == "culprit");
            if random.random_bool(0.3) {
                floor.finish(engine);
            } else if fingerprint != "culprit" || !runs_already {
                floor.start(fingerprint, engine);
            }
        }
        assert_eq!(floor.crashes, 2, "seed {seed}");
        let refused = floor.cluster.suspects().into_iter();
        let refused: Vec<String> = refused
            .filter(|record| record.state == SuspectState::Refused)
            .map(|record| record.fingerprint)
            .collect();
        assert_eq!(refused, ["culprit"], "seed {seed}");
    }
}
