//! Simulation of requests that follow the rules for suspects; one of them crashes every engine that
//! runs it.

use std::collections::BTreeMap;

use oriolecrank_schema::control::{CommandOutcome, SuspectState};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

use crate::cluster_fixture::{TestCluster, announce, clear_suspect, report_crash, rerun_suspect};

const ENGINES: [&str; 4] = ["engine-1", "engine-2", "engine-3", "engine-4"];

/// Fingerprints of the requests; the one of the request that crashes engines is `culprit`.
const FINGERPRINTS: [&str; 6] = ["culprit", "f-1", "f-2", "f-3", "f-4", "f-5"];

/// Number of steps of one run. Each takes less than 1 s, so a run ends before a refusal expires.
const STEPS: u64 = 400;

/// Simulated engines with the fingerprints of the requests that run on them.
#[derive(Debug)]
struct EngineSimulation {
    cluster: TestCluster,
    running: BTreeMap<&'static str, Vec<&'static str>>,
    /// Number of crashes so far; the newest crash id.
    crashes: u64,
    /// Number of requests so far; part of the request ids.
    requests: u64,
}

impl EngineSimulation {
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

    fn suspect_state(&self, fingerprint: &str) -> Option<SuspectState> {
        let suspects = self.cluster.suspects();
        let mut suspects = suspects.iter();
        let found = suspects.find(|record| record.fingerprint == fingerprint);
        found.map(|record| record.state)
    }

    /// Starts a request as an entry process does; a suspect starts only if its rerun is granted.
    fn start_request(&mut self, fingerprint: &'static str, engine: &'static str) {
        self.requests += 1;
        let may_run = match self.suspect_state(fingerprint) {
            None => true,
            Some(SuspectState::Refused) => false,
            Some(SuspectState::Suspect) => {
                let request = format!("r-{}", self.requests);
                let outcome = self
                    .cluster
                    .send(rerun_suspect(fingerprint, engine, &request));
                outcome == CommandOutcome::Accepted
            }
        };
        if may_run {
            self.running.entry(engine).or_default().push(fingerprint);
        }
    }

    /// Ends all requests on an engine, by a crash if the culprit is among them.
    fn end_requests(&mut self, engine: &'static str) {
        let running = self.running.remove(engine).unwrap_or_default();
        if running.contains(&"culprit") {
            self.crashes += 1;
            let reported: Vec<(&str, &str)> = running
                .iter()
                .map(|fingerprint| ("grove", *fingerprint))
                .collect();
            self.cluster
                .send(report_crash(engine, self.crashes, &reported));
            return;
        }
        for fingerprint in running {
            self.cluster.send(clear_suspect("grove", fingerprint));
        }
    }
}

/// Guards against a request that crashes more than two engines, and against harmless requests that
/// are refused because they often ran at the same time as it.
#[test]
fn culprit_crashes_two_engines_and_only_it_is_refused() {
    for seed in 0..100 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut simulation = EngineSimulation::new();
        for _ in 0..STEPS {
            simulation.cluster.time_ms += random.random_range(0..1_000);
            let engine = ENGINES[random.random_range(0..ENGINES.len())];
            let fingerprint = FINGERPRINTS[random.random_range(0..FINGERPRINTS.len())];
            // The caller sends the culprit again only after it has failed.
            let culprit_runs = simulation
                .running
                .values()
                .flatten()
                .any(|other| *other == "culprit");
            if random.random_bool(0.3) {
                simulation.end_requests(engine);
            } else if fingerprint != "culprit" || !culprit_runs {
                simulation.start_request(fingerprint, engine);
            }
        }
        assert_eq!(simulation.crashes, 2, "seed {seed}");
        let refused = simulation.cluster.suspects().into_iter();
        let refused: Vec<String> = refused
            .filter(|record| record.state == SuspectState::Refused)
            .map(|record| record.fingerprint)
            .collect();
        assert_eq!(refused, ["culprit"], "seed {seed}");
    }
}
