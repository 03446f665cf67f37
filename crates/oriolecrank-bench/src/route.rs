//! `bench route`: cost of choosing an upstream, and load balance when load reports arrive late.

use std::collections::{BinaryHeap, HashMap};
use std::hint::black_box;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use oriolecrank_policy::load_estimate::LoadReport;
use oriolecrank_policy::prefix_map::{PrefixHash, hash_prompt};
use oriolecrank_policy::subset::EntryIdentity;
use oriolecrank_policy::upstream_chooser::{
    ChoiceRequest, ChooserSettings, DispatchTicket, UpstreamChooser,
};
use oriolecrank_policy::upstream_state::{
    NetworkLocation, UpstreamPhase, UpstreamRole, UpstreamState,
};
use oriolecrank_policy::{BlockCount, TokenCount, WorkClass};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::document::UpstreamId;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Map, Value};

use crate::arguments::BenchArguments;
use crate::measurement::{Measurement, Target, size};

/// Numbers of upstreams for which the cost is measured.
const COST_SIZES: [usize; 3] = [8, 400, 1_600];
/// Number of organisations that send requests.
const ORGANISATIONS: usize = 340;
/// Target for the 99th percentile of the time of one choice, in microseconds.
const COST_TARGET_US: f64 = 20.0;
/// Upper bound of the histogram of choice times, in nanoseconds.
const MAX_CHOICE_NS: u64 = 10_000_000_000;
/// Engine memory of each upstream, in blocks.
const CAPACITY: BlockCount = BlockCount::new(64);
/// Mean fraction of the engine memory in use while the balance is measured.
const MEAN_UTILISATION: f64 = 0.6;
/// Mean duration of a request while the balance is measured, in milliseconds.
const MEAN_DURATION_MS: f64 = 8_000.0;
/// Interval of the load reports of an upstream, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 1_000;
/// Range of the time until a report reaches the entries, in milliseconds.
const REPORT_LAG_MS: (u64, u64) = (500, 1_500);

/// Runs the measurement and returns whether all targets are met.
pub fn run(arguments: &BenchArguments) -> bool {
    let mut passed = true;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        passed &= measure_cost(arguments.quick, seed);
        passed &= measure_balance(arguments.quick, seed);
    }
    passed
}

/// Size of the simulated cluster in one measurement of balance.
#[derive(Debug, Clone, Copy)]
struct BalanceSize {
    entries: usize,
    upstreams: usize,
    /// Number of failure domains.
    domains: usize,
}

fn location_of(domain: usize, domains: usize) -> NetworkLocation {
    // At the design size, ten failure domains are in four regions.
    let region = domain * 4 / domains.max(4);
    NetworkLocation {
        failure_domain: format!("domain-{domain}").into(),
        region: format!("region-{region}").into(),
    }
}

fn upstreams(count: usize, domains: usize) -> Vec<UpstreamState> {
    let states = (0..count).map(|number| UpstreamState {
        upstream: format!("upstream-{number}").into(),
        incarnation: 1,
        location: location_of(number % domains, domains),
        address: ([127, 0, 0, 1], 1).into(),
        role: UpstreamRole::Mixed,
        phase: UpstreamPhase::Ready,
        capacity: CAPACITY,
        model: None,
        version: None,
    });
    states.collect()
}

fn chooser(entry: usize, domains: usize, states: &[UpstreamState]) -> UpstreamChooser {
    let identity = EntryIdentity {
        name: format!("entry-{entry}"),
        location: location_of(entry % domains, domains),
    };
    let mut chooser = UpstreamChooser::new(ChooserSettings::default(), identity);
    chooser.update(states);
    chooser
}

/// Hashes of four prompts for each organisation. A prompt starts with a common prefix of random
/// length, followed by a part of its own; the hashes also depend on the organisation.
fn prompts(rng: &mut ChaCha8Rng) -> Vec<Vec<PrefixHash>> {
    let prompts = (0..ORGANISATIONS * 4).map(|number| {
        let organisation = format!("organisation-{}", number / 4);
        let mut prompt = vec![b'p'; 4_000 * rng.random_range(1..8)];
        prompt.extend(std::iter::repeat_n(
            number as u8,
            4_000 * rng.random_range(0..8),
        ));
        hash_prompt(&organisation, &prompt)
    });
    prompts.collect()
}

fn measure_cost(quick: bool, seed: u64) -> bool {
    let choices = if quick { 20_000 } else { 400_000 };
    let mut passed = true;
    let mut means = Vec::new();
    for count in COST_SIZES {
        let histogram = cost_histogram(count, choices, seed);
        let sizes = || {
            size([
                ("upstreams", count as u64),
                ("organisations", ORGANISATIONS as u64),
            ])
        };
        for (name, quantile, target) in [
            ("route_choice_p50", 0.5, None),
            (
                "route_choice_p99",
                0.99,
                Some(Target::AtMost(COST_TARGET_US)),
            ),
        ] {
            let measurement = Measurement {
                measure: name.to_owned(),
                size: sizes(),
                value: histogram.value_at_quantile(quantile) as f64 / 1e3,
                unit: "us",
                target,
                seed,
            };
            passed &= measurement.print();
        }
        means.push(histogram.mean());
    }
    passed &= measure_update(seed);
    let first = COST_SIZES[0] as f64;
    for (count, mean) in COST_SIZES.into_iter().zip(&means).skip(1) {
        let measurement = Measurement {
            measure: "route_choice_growth".to_owned(),
            size: size([
                ("upstreams", count as u64),
                ("base_upstreams", COST_SIZES[0] as u64),
            ]),
            value: mean / means[0],
            unit: "ratio of means",
            // At most logarithmic growth from the smallest size.
            target: Some(Target::AtMost((count as f64).ln() / first.ln())),
            seed,
        };
        passed &= measurement.print();
    }
    passed
}

/// Measures the time in which an entry applies a changed list of upstreams, as it does whenever an
/// upstream joins or leaves.
fn measure_update(seed: u64) -> bool {
    let count = COST_SIZES[COST_SIZES.len() - 1];
    let states = upstreams(count, 10);
    let mut chooser = chooser(0, 10, &states);
    let mut times: Vec<Duration> = (0..101)
        .map(|round| {
            let started_at = Instant::now();
            chooser.update(black_box(&states[round % 2..]));
            started_at.elapsed()
        })
        .collect();
    times.sort();
    let measurement = Measurement {
        measure: "route_update_p50".to_owned(),
        size: size([("upstreams", count as u64)]),
        value: times[times.len() / 2].as_secs_f64() * 1e6,
        unit: "us",
        target: None,
        seed,
    };
    measurement.print()
}

/// Times of the choices of one entry, in nanoseconds. Load reports arrive and requests end in
/// between; these are not timed.
fn cost_histogram(count: usize, choices: u64, seed: u64) -> Histogram<u64> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let domains = count.min(10);
    let states = upstreams(count, domains);
    let mut chooser = chooser(0, domains, &states);
    let members: Vec<UpstreamId> = chooser
        .members()
        .map(|state| state.upstream.clone())
        .collect();
    let prompts = prompts(&mut rng);
    let bounds = Histogram::new_with_bounds(1, MAX_CHOICE_NS, 3);
    let mut histogram = bounds.expect("the bounds are valid");
    let mut running: Vec<DispatchTicket> = Vec::new();
    let in_flight = members.len() * 16;
    for number in 0..choices {
        let now = TimePoint::from_millis(10_000 + number);
        if number % 20 == 0 {
            let upstream = &members[rng.random_range(0..members.len())];
            let blocks = rng.random_range(0.0..CAPACITY.get() as f64 * 1.5);
            let measured_at = TimePoint::from_millis(now.as_millis() - 700);
            chooser.record_load(
                upstream,
                LoadReport {
                    blocks,
                    measured_at,
                },
            );
        }
        let request = ChoiceRequest {
            class: WorkClass::Standard,
            model: None,
            prompt: TokenCount::new(rng.random_range(100..8_000)),
            output: TokenCount::new(rng.random_range(10..1_000)),
            prefixes: &prompts[rng.random_range(0..prompts.len())],
            deadline: now + Duration::from_millis(rng.random_range(500..30_000)),
            excluded: &[],
        };
        let started_at = Instant::now();
        let choice = black_box(chooser.choose(black_box(&request), now, &mut rng));
        let elapsed = started_at.elapsed();
        histogram.saturating_record(elapsed.as_nanos() as u64);
        running.extend(choice.ok().map(|choice| choice.ticket));
        if running.len() > in_flight {
            let ended = running.swap_remove(rng.random_range(0..running.len()));
            chooser.finish(&ended, true, now);
        }
    }
    histogram
}

/// Policy by which the simulated entries choose upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChoicePolicy {
    /// The chooser that real entries use.
    Shipped,
    /// A random upstream of the entry's subset in its own failure domain.
    Random,
    /// The upstream with the least load in its latest report, of the entry's subset in its own
    /// failure domain.
    LeastReported,
}

impl ChoicePolicy {
    const ALL: [Self; 3] = [Self::Shipped, Self::Random, Self::LeastReported];

    fn name(self) -> &'static str {
        match self {
            Self::Shipped => "shipped",
            Self::Random => "random",
            Self::LeastReported => "least_reported",
        }
    }
}

fn measure_balance(quick: bool, seed: u64) -> bool {
    let sizes = [
        BalanceSize {
            entries: 1,
            upstreams: 8,
            domains: 1,
        },
        BalanceSize {
            entries: 20,
            upstreams: 400,
            domains: 10,
        },
        BalanceSize {
            entries: 410,
            upstreams: 1_600,
            domains: 10,
        },
    ];
    let seconds = if quick { 20 } else { 60 };
    let mut passed = true;
    for cluster_size in sizes {
        let values = ChoicePolicy::ALL.map(|policy| imbalance(cluster_size, policy, seconds, seed));
        for (policy, value) in ChoicePolicy::ALL.into_iter().zip(values) {
            let mut sizes = balance_size(cluster_size);
            sizes.insert("policy".to_owned(), Value::from(policy.name()));
            let measurement = Measurement {
                measure: "route_imbalance".to_owned(),
                size: sizes,
                value,
                unit: "max over mean",
                target: None,
                seed,
            };
            passed &= measurement.print();
        }
        for (policy, value) in ChoicePolicy::ALL.into_iter().zip(values).skip(1) {
            let mut sizes = balance_size(cluster_size);
            sizes.insert("against".to_owned(), Value::from(policy.name()));
            let measurement = Measurement {
                measure: "route_imbalance_ratio".to_owned(),
                size: sizes,
                value: values[0] / value,
                unit: "ratio",
                target: Some(Target::AtMost(1.0)),
                seed,
            };
            passed &= measurement.print();
        }
    }
    passed
}

fn balance_size(cluster_size: BalanceSize) -> Map<String, Value> {
    size([
        ("entries", cluster_size.entries as u64),
        ("upstreams", cluster_size.upstreams as u64),
        ("failure_domains", cluster_size.domains as u64),
    ])
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    /// A request arrives at an entry.
    Arrival,
    /// The request with this index ends.
    End { request: usize },
    /// The upstream with this index measures its load.
    Measure { upstream: usize },
    /// A load report of an upstream reaches the entries.
    Report {
        upstream: usize,
        blocks: u64,
        measured_ms: u64,
    },
    /// The balance is sampled.
    Sample,
}

#[derive(Debug)]
struct SimulatedRequest {
    entry: usize,
    upstream: usize,
    blocks: u64,
    /// Ticket of the chooser; `None` under other policies.
    ticket: Option<DispatchTicket>,
}

#[derive(Debug)]
struct SimulatedEntry {
    chooser: UpstreamChooser,
    /// Indices of those upstreams of the entry's subset that are in its own failure domain.
    domain_members: Vec<usize>,
}

/// Simulation in virtual time. Upstreams start each request when it arrives, without a queue.
struct BalanceSimulation {
    policy: ChoicePolicy,
    rng: ChaCha8Rng,
    /// Separate generator for the choices, so that all policies get the same requests.
    choice_rng: ChaCha8Rng,
    names: Vec<UpstreamId>,
    entries: Vec<SimulatedEntry>,
    /// For each upstream, the entries whose subset contains it.
    entries_by_upstream: Vec<Vec<usize>>,
    /// Blocks in use on each upstream.
    loads: Vec<u64>,
    /// Blocks in the latest report of each upstream.
    reported: Vec<u64>,
    requests: Vec<SimulatedRequest>,
    events: BinaryHeap<std::cmp::Reverse<(u64, u64, SimulationEvent)>>,
    /// Number of scheduled events; orders events of the same time.
    event_count: u64,
    /// Mean time between two arrivals.
    mean_arrival_interval_ms: f64,
    /// Samples of the largest load divided by the mean load.
    samples: Vec<f64>,
}

/// Mean over time of the largest load of an upstream divided by the mean load.
fn imbalance(cluster_size: BalanceSize, policy: ChoicePolicy, seconds: u64, seed: u64) -> f64 {
    let mut simulation = BalanceSimulation::new(cluster_size, policy, seed);
    // The load takes several mean request durations to reach its steady level.
    let warm_up_ms = 4 * MEAN_DURATION_MS as u64;
    simulation.run(warm_up_ms, warm_up_ms + seconds * 1_000);
    simulation.samples.iter().sum::<f64>() / simulation.samples.len() as f64
}

impl BalanceSimulation {
    fn new(cluster_size: BalanceSize, policy: ChoicePolicy, seed: u64) -> Self {
        let states = upstreams(cluster_size.upstreams, cluster_size.domains);
        let names: Vec<UpstreamId> = states.iter().map(|state| state.upstream.clone()).collect();
        let numbers: HashMap<&UpstreamId, usize> = names
            .iter()
            .enumerate()
            .map(|(number, name)| (name, number))
            .collect();
        let mut entries_by_upstream = vec![Vec::new(); names.len()];
        let mut entries = Vec::new();
        for entry in 0..cluster_size.entries {
            let chooser = chooser(entry, cluster_size.domains, &states);
            let entry_location = location_of(entry % cluster_size.domains, cluster_size.domains);
            let mut domain_members = Vec::new();
            for member in chooser.members() {
                let number = numbers[&member.upstream];
                entries_by_upstream[number].push(entry);
                if member.location == entry_location {
                    domain_members.push(number);
                }
            }
            entries.push(SimulatedEntry {
                chooser,
                domain_members,
            });
        }
        // Requests use 1 to 8 blocks, 4.5 on average.
        let in_flight = CAPACITY.get() as f64 * MEAN_UTILISATION / 4.5 * names.len() as f64;
        Self {
            policy,
            rng: ChaCha8Rng::seed_from_u64(seed),
            choice_rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5EED),
            entries,
            entries_by_upstream,
            loads: vec![0; names.len()],
            reported: vec![0; names.len()],
            names,
            requests: Vec::new(),
            events: BinaryHeap::new(),
            event_count: 0,
            mean_arrival_interval_ms: MEAN_DURATION_MS / in_flight,
            samples: Vec::new(),
        }
    }

    fn run(&mut self, warm_up_ms: u64, end_ms: u64) {
        self.schedule(0, SimulationEvent::Arrival);
        for upstream in 0..self.names.len() {
            let first = self.rng.random_range(0..REPORT_INTERVAL_MS);
            self.schedule(first, SimulationEvent::Measure { upstream });
        }
        self.schedule(warm_up_ms, SimulationEvent::Sample);
        // Arrivals can be less than a millisecond apart, so their time is kept as a fraction.
        let mut arrival_ms = 0.0;
        while let Some(std::cmp::Reverse((now, _, event))) = self.events.pop()
            && now < end_ms
        {
            match event {
                SimulationEvent::Arrival => {
                    self.arrive(now);
                    arrival_ms += exponential(&mut self.rng, self.mean_arrival_interval_ms);
                    self.schedule(arrival_ms as u64, SimulationEvent::Arrival);
                }
                SimulationEvent::End { request } => self.end(request, now),
                SimulationEvent::Measure { upstream } => self.measure(upstream, now),
                SimulationEvent::Report {
                    upstream,
                    blocks,
                    measured_ms,
                } => {
                    self.report(upstream, blocks, measured_ms);
                }
                SimulationEvent::Sample => {
                    self.sample();
                    self.schedule(now + 500, SimulationEvent::Sample);
                }
            }
        }
    }

    fn schedule(&mut self, at_ms: u64, event: SimulationEvent) {
        self.event_count += 1;
        self.events
            .push(std::cmp::Reverse((at_ms, self.event_count, event)));
    }

    fn arrive(&mut self, now: u64) {
        let entry = self.rng.random_range(0..self.entries.len());
        let blocks = self.rng.random_range(1..=8);
        let duration_ms = exponential(&mut self.rng, MEAN_DURATION_MS) as u64;
        let (upstream, ticket) = self.choose(entry, blocks, now);
        self.loads[upstream] += blocks;
        self.requests.push(SimulatedRequest {
            entry,
            upstream,
            blocks,
            ticket,
        });
        let request = self.requests.len() - 1;
        self.schedule(now + duration_ms.max(1), SimulationEvent::End { request });
    }

    fn choose(&mut self, entry: usize, blocks: u64, now: u64) -> (usize, Option<DispatchTicket>) {
        let SimulatedEntry {
            chooser,
            domain_members,
        } = &mut self.entries[entry];
        match self.policy {
            ChoicePolicy::Random => (
                domain_members[self.choice_rng.random_range(0..domain_members.len())],
                None,
            ),
            ChoicePolicy::LeastReported => {
                let least = domain_members
                    .iter()
                    .min_by_key(|upstream| self.reported[**upstream]);
                (
                    *least
                        .expect("the failure domain of each entry contains members of its subset"),
                    None,
                )
            }
            ChoicePolicy::Shipped => {
                let now = TimePoint::from_millis(now);
                let request = ChoiceRequest {
                    class: WorkClass::Standard,
                    model: None,
                    prompt: TokenCount::new(blocks * 1_000),
                    output: TokenCount::new(0),
                    prefixes: &[],
                    deadline: now + Duration::from_mins(1),
                    excluded: &[],
                };
                let choice = chooser.choose(&request, now, &mut self.choice_rng);
                let choice = choice.expect("there are upstreams");
                let number = choice.upstream["upstream-".len()..].parse();
                (number.expect("names end in numbers"), Some(choice.ticket))
            }
        }
    }

    fn end(&mut self, request: usize, now: u64) {
        let SimulatedRequest {
            entry,
            upstream,
            blocks,
            ticket,
        } = &self.requests[request];
        self.loads[*upstream] -= blocks;
        if let Some(ticket) = ticket {
            let chooser = &mut self.entries[*entry].chooser;
            chooser.finish(ticket, true, TimePoint::from_millis(now));
        }
    }

    fn measure(&mut self, upstream: usize, now: u64) {
        let lag = self.rng.random_range(REPORT_LAG_MS.0..REPORT_LAG_MS.1);
        let report = SimulationEvent::Report {
            upstream,
            blocks: self.loads[upstream],
            measured_ms: now,
        };
        self.schedule(now + lag, report);
        self.schedule(
            now + REPORT_INTERVAL_MS,
            SimulationEvent::Measure { upstream },
        );
    }

    fn report(&mut self, upstream: usize, blocks: u64, measured_ms: u64) {
        self.reported[upstream] = blocks;
        if self.policy != ChoicePolicy::Shipped {
            return;
        }
        let report = LoadReport {
            blocks: blocks as f64,
            measured_at: TimePoint::from_millis(measured_ms),
        };
        for entry in &self.entries_by_upstream[upstream] {
            let chooser = &mut self.entries[*entry].chooser;
            chooser.record_load(&self.names[upstream], report);
        }
    }

    fn sample(&mut self) {
        let most = self.loads.iter().max().copied().unwrap_or(0) as f64;
        let mean = self.loads.iter().sum::<u64>() as f64 / self.loads.len() as f64;
        self.samples.push(most / mean.max(f64::MIN_POSITIVE));
    }
}

/// Draws from an exponential distribution.
fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}
