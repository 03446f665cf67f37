//! `bench subscribers`: delay and cost of distributing the configuration to subscribers.
//!
//! One control instance serves subscribers over loopback. Each subscriber has its own connections
//! and applies the frames it receives to an [`EntryState`], as an entry does. The control instance
//! and the subscribers run in this process on threads of different names, by which their CPU times
//! are distinguished. Bytes are counted at the sockets of the subscribers, in both directions.

mod counted_stream;
mod design_document;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt as _, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use oriolecrank_control::{ControlOptions, ControlProcess, InitialMember};
use oriolecrank_entry::EntryState;
use oriolecrank_net::frame::decode_frame;
use oriolecrank_net::logging::LogFormat;
use oriolecrank_net::shutdown::shutdown_channel;
use oriolecrank_net::{BootClock, ClusterSecret, ControlClient, HttpClient, peer_request};
use oriolecrank_schema::codec;
use oriolecrank_schema::control::{
    Command, CommandOutcome, DemandEntry, PingAnswer, PingRequest, Query, QueryResult,
    SubscribeRequest, SubscriptionFrame,
};
use oriolecrank_state::Revision;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use snafu::{OptionExt as _, ResultExt as _, Snafu, whatever};
use tokio::net::TcpStream;
use tokio::runtime::Runtime;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, interval, sleep, timeout};

use counted_stream::CountedStream;
use design_document::document;

use crate::arguments::BenchArguments;
use crate::measurement::{Measurement, Target, size};

/// Target for the time until a submitted revision is in force at all subscribers, in seconds.
const IN_FORCE_TARGET_S: f64 = 4.0;

/// Target for the control traffic of one subscriber, in bytes per second.
const SUBSCRIBER_TARGET_BYTES_PER_S: f64 = 3_000.0;

/// Target for the CPU time that one subscriber uses, and that the control instance uses for it, in
/// percent of a core.
const SUBSCRIBER_CPU_TARGET_PERCENT: f64 = 2.7;

/// Number of entries among the subscribers at the design size.
const ENTRIES: u64 = 410;

/// Number of subscribers at the design size: entries and agents.
const DESIGN_SUBSCRIBERS: u64 = 2_010;

/// Number of organisations in the document.
const ORGANISATIONS: u64 = 340;

/// Number of models in the document.
const MODELS: u64 = 11;

/// Number of demand entries in each ping of an entry: at 2,200 requests/s in total, an entry gets
/// 2.7 requests between two pings.
const DEMAND_ENTRIES: u64 = 3;

/// Interval of pings; the same as that of entries.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Freshness lease of entries.
const LEASE: Duration = Duration::from_secs(3);

/// Time between two changes at 3,000 changes per day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(28_800);

/// Number of changes that are timed at each size; the slowest one is reported.
const TIMED_CHANGES: u64 = 5;

/// Interval of the queries whether a revision is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time limit for a command, a query, a revision to be in force and the shutdown of the
/// subscribers.
const STEP_TIMEOUT: Duration = Duration::from_mins(1);

/// Name of the worker threads of the control instance. CPU times are assigned by the names of the
/// threads; Linux keeps at most 15 bytes of a name.
const CONTROL_THREADS: &str = "control-worker";

/// Name that the control instance gives to the thread of its replica.
const REPLICA_THREAD: &str = "replica";

/// Name of the worker threads of the subscribers.
const SUBSCRIBER_THREADS: &str = "sub-worker";

/// Error that prevents a measurement from finishing.
#[derive(Debug, Snafu)]
#[snafu(whatever, display("{message}{}", cause(source.as_deref())))]
struct SubscribersError {
    /// Description of the failed step.
    message: String,
    #[snafu(source(from(Box<dyn std::error::Error + Send + Sync>, Some)))]
    source: Option<Box<dyn std::error::Error + Send + Sync>>,
}

/// Formats the cause of an error as a suffix of its message.
fn cause(source: Option<&(dyn std::error::Error + Send + Sync + 'static)>) -> String {
    source
        .map(|source| format!(": {source}"))
        .unwrap_or_default()
}

/// Runs the measurement and returns whether the targets are met.
pub fn run(arguments: &BenchArguments) -> bool {
    let (sizes, idle_window, change_window): (&[u64], _, _) = if arguments.quick {
        (&[20, 40], Duration::from_secs(1), Duration::from_secs(2))
    } else {
        let sizes = &[250, 500, 1_000, DESIGN_SUBSCRIBERS];
        (sizes, Duration::from_secs(5), CHANGE_INTERVAL)
    };
    let mut passed = true;
    for (position, count) in sizes.iter().enumerate() {
        let plan = RunPlan {
            seed: arguments.seed,
            subscribers: *count,
            idle_window,
            change_window: (position + 1 == sizes.len()).then_some(change_window),
        };
        match run_size(&plan) {
            Ok(met) => passed &= met,
            Err(error) => {
                eprintln!("oriolecrank-bench subscribers: {error}");
                return false;
            }
        }
    }
    passed
}

/// Parameters of one run.
#[derive(Debug, Clone)]
struct RunPlan {
    seed: u64,
    /// Number of subscribers.
    subscribers: u64,
    /// Length of the window without changes.
    idle_window: Duration,
    /// Length of the window with one change; `None` skips this window.
    change_window: Option<Duration>,
}

fn run_size(plan: &RunPlan) -> Result<bool, SubscribersError> {
    let control_runtime = named_runtime(CONTROL_THREADS)?;
    let subscriber_runtime = named_runtime(SUBSCRIBER_THREADS)?;
    let folder = tempfile::tempdir().whatever_context("cannot create a temporary folder")?;
    let options = control_options(&folder)?;
    let (trigger, signal) = shutdown_channel();
    let process = control_runtime
        .block_on(ControlProcess::bind(options))
        .whatever_context("the control instance cannot start")?;
    let address = process.address();
    let running = control_runtime.spawn(process.run(signal));
    let passed = subscriber_runtime.block_on(measure(plan, address));
    // The control instance stops only when the connections of the subscribers have ended.
    subscriber_runtime.shutdown_timeout(STEP_TIMEOUT);
    trigger.trigger();
    let stopped = control_runtime.block_on(running);
    let ended = stopped.whatever_context("the task of the control instance panicked")?;
    ended.whatever_context("the control instance failed")?;
    passed
}

fn named_runtime(name: &str) -> Result<Runtime, SubscribersError> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .thread_name(name)
        .enable_all()
        .build()
        .whatever_context("cannot start a tokio runtime")
}

fn control_options(folder: &tempfile::TempDir) -> Result<ControlOptions, SubscribersError> {
    let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    Ok(ControlOptions {
        cluster: "bench".to_owned(),
        instance: "control-1".to_owned(),
        listen: loopback,
        operator_listen: loopback,
        secret: secret()?,
        data_folder: folder.path().join("control"),
        members: vec![InitialMember {
            instance: "control-1".to_owned(),
            address: loopback,
        }],
        platform: None,
        usage: None,
        shutdown_limit: Duration::from_secs(5),
        log_format: LogFormat::Text,
    })
}

fn secret() -> Result<ClusterSecret, SubscribersError> {
    ClusterSecret::new("secret-of-the-benchmark").whatever_context("the cluster secret is invalid")
}

/// Prints the measurements with one number of subscribers; returns whether the targets are met.
async fn measure(plan: &RunPlan, address: SocketAddr) -> Result<bool, SubscribersError> {
    let mut bench = SubscriberBench::start(plan, address).await?;
    let mut passed = true;
    // No target: all subscribers start in this process within half a second, without a lease.
    bench.report_stale(plan, "start_stale_confirmations", None);
    let (mut in_force, mut known) = (Duration::ZERO, Duration::ZERO);
    for _ in 0..TIMED_CHANGES {
        let (change_in_force, change_known) = bench.timed_change().await?;
        in_force = in_force.max(change_in_force);
        known = known.max(change_known);
    }
    for (measure, value) in [
        ("revision_in_force_slowest", in_force),
        ("revision_known_in_force_slowest", known),
    ] {
        let value = value.as_secs_f64();
        passed &= plan.report(measure, value, "s", Some(Target::AtMost(IN_FORCE_TARGET_S)));
    }
    let zero = Some(Target::AtMost(0.0));
    passed &= bench.report_stale(plan, "timed_changes_stale_confirmations", zero);
    let idle = bench.measure_window(plan.idle_window, false).await?;
    passed &= plan.report_window("idle", &idle);
    passed &= bench.report_stale(plan, "idle_stale_confirmations", zero);
    if let Some(length) = plan.change_window {
        let changes = bench.measure_window(length, true).await?;
        passed &= plan.report_window("changes", &changes);
        passed &= bench.report_stale(plan, "changes_stale_confirmations", zero);
    }
    Ok(passed)
}

impl RunPlan {
    fn report(
        &self,
        measure: &str,
        value: f64,
        unit: &'static str,
        target: Option<Target>,
    ) -> bool {
        let measurement = Measurement {
            measure: measure.to_owned(),
            size: size([
                ("subscribers", self.subscribers),
                ("organisations", ORGANISATIONS),
            ]),
            value,
            unit,
            target,
            seed: self.seed,
        };
        measurement.print()
    }

    fn report_window(&self, name: &str, figures: &WindowFigures) -> bool {
        let cpu = Some(Target::AtMost(SUBSCRIBER_CPU_TARGET_PERCENT));
        let bytes = Some(Target::AtMost(SUBSCRIBER_TARGET_BYTES_PER_S));
        let (control, subscribers) = (figures.control_percent, figures.subscriber_percent);
        let count = self.subscribers as f64;
        let lines = [
            (
                "bytes_per_subscriber",
                figures.bytes_per_s / count,
                "bytes/s",
                bytes,
            ),
            (
                "control_cpu_per_subscriber",
                control / count,
                "% of a core",
                cpu,
            ),
            ("subscriber_cpu", subscribers / count, "% of a core", cpu),
            ("control_cpu", control, "% of a core", None),
        ];
        let mut passed = true;
        for (measure, value, unit, target) in lines {
            passed &= self.report(&format!("{name}_{measure}"), value, unit, target);
        }
        passed
    }
}

/// Traffic and CPU time during a window, summed over all subscribers.
#[derive(Debug, Clone, Copy)]
struct WindowFigures {
    bytes_per_s: f64,
    /// CPU time of the control instance, in percent of a core.
    control_percent: f64,
    /// CPU time of all subscribers together, in percent of a core.
    subscriber_percent: f64,
}

/// Counters that all subscribers share. They only serve as statistics, so relaxed ordering is
/// enough.
#[derive(Debug, Default)]
struct SharedCounters {
    bytes: AtomicU64,
    /// Answers to pings that arrived after the freshness lease had expired; those before the first
    /// lease are not counted.
    stale_confirmations: AtomicU64,
}

/// Subscribers of one control instance.
struct SubscriberBench {
    client: ControlClient,
    address: SocketAddr,
    counters: Arc<SharedCounters>,
    /// Revisions that subscribers have applied, with the time.
    applied: mpsc::UnboundedReceiver<(Revision, Instant)>,
    subscribers: u64,
    revision: u64,
    /// Tasks of the subscribers, which are aborted on drop.
    tasks: JoinSet<()>,
}

impl SubscriberBench {
    /// Submits the document and starts the subscribers. Returns when all of them have it in force
    /// and the control instance knows this.
    async fn start(plan: &RunPlan, address: SocketAddr) -> Result<Self, SubscribersError> {
        let client = ControlClient::new(HttpClient::default(), secret()?, &[address]);
        let counters = Arc::<SharedCounters>::default();
        let (sender, applied) = mpsc::unbounded_channel();
        let mut bench = Self {
            client,
            address,
            counters: Arc::clone(&counters),
            applied,
            subscribers: plan.subscribers,
            revision: 0,
            tasks: JoinSet::new(),
        };
        bench.submit().await?;
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
        let secret = secret()?;
        for number in 0..plan.subscribers {
            let subscriber = Subscriber {
                number,
                address,
                secret: secret.clone(),
                state: EntryState::new(LEASE, PING_INTERVAL),
                counters: Arc::clone(&counters),
                applied: sender.clone(),
            };
            let delay = PING_INTERVAL.mul_f64(rng.random());
            bench.tasks.spawn(async move {
                sleep(delay).await;
                if let Err(error) = subscriber.run().await {
                    eprintln!("oriolecrank-bench subscribers: {error}");
                }
            });
        }
        bench.wait_applied().await?;
        bench.wait_known().await?;
        Ok(bench)
    }

    /// Prints and resets the number of stale confirmations; returns whether the target is met.
    fn report_stale(&self, plan: &RunPlan, measure: &str, target: Option<Target>) -> bool {
        let stale = self.counters.stale_confirmations.swap(0, Ordering::Relaxed);
        plan.report(measure, stale as f64, "pings", target)
    }

    /// Submits the next revision of the document and waits until it is committed.
    async fn submit(&mut self) -> Result<(), SubscribersError> {
        let command = Command::Submit {
            base_revision: self.revision,
            document: document(self.revision),
            operator: "bench".to_owned(),
            origin: String::new(),
            request_id: format!("bench-{}", self.revision),
        };
        let outcome = self.client.command(&command, STEP_TIMEOUT).await;
        let outcome = outcome.whatever_context("the command that submits the document failed")?;
        let CommandOutcome::DocumentAccepted { revision } = outcome else {
            whatever!("expected the document to be accepted, got {outcome:?}");
        };
        self.revision = revision;
        Ok(())
    }

    /// Waits until all subscribers have applied the current revision; returns the time at which the
    /// last one did.
    async fn wait_applied(&mut self) -> Result<Instant, SubscribersError> {
        let mut waiting = self.subscribers;
        let mut last = Instant::now();
        while waiting > 0 {
            let applied = timeout(STEP_TIMEOUT, self.applied.recv()).await;
            let applied = applied
                .whatever_context("timed out waiting for all subscribers to apply the revision")?;
            let (revision, at) = applied
                .whatever_context("all subscribers ended before they applied the revision")?;
            if revision.0 == self.revision {
                waiting -= 1;
                last = at;
            }
        }
        Ok(last)
    }

    /// Waits until the control instance knows that all subscribers have the revision in force.
    async fn wait_known(&self) -> Result<Instant, SubscribersError> {
        let deadline = Instant::now() + STEP_TIMEOUT;
        let query = Query::InForce {
            revision: self.revision,
        };
        while Instant::now() < deadline {
            let answer = self
                .client
                .post(self.address, "/v1/query", &query, STEP_TIMEOUT)
                .await;
            if let Ok(QueryResult::InForce {
                lagging,
                subscribers,
                ..
            }) = answer
                && lagging.is_empty()
                && subscribers == self.subscribers
            {
                return Ok(Instant::now());
            }
            sleep(POLL_INTERVAL).await;
        }
        whatever!(
            "the control instance did not report the revision in force everywhere within {STEP_TIMEOUT:?}"
        )
    }

    /// Submits a change. Returns the time until all subscribers have it in force, and the time
    /// until the control instance knows this.
    async fn timed_change(&mut self) -> Result<(Duration, Duration), SubscribersError> {
        let start = Instant::now();
        self.submit().await?;
        let applied = self.wait_applied().await?;
        let known = self.wait_known().await?;
        Ok((applied - start, known - start))
    }

    /// Measures the cost of a window of the given length; `change` submits a change at its start.
    async fn measure_window(
        &mut self,
        length: Duration,
        change: bool,
    ) -> Result<WindowFigures, SubscribersError> {
        let start = Instant::now();
        let bytes = self.counters.bytes.load(Ordering::Relaxed);
        let before = ThreadTimes::read()?;
        if change {
            self.submit().await?;
            self.wait_applied().await?;
        }
        sleep(length.saturating_sub(start.elapsed())).await;
        let after = ThreadTimes::read()?;
        let bytes = self.counters.bytes.load(Ordering::Relaxed) - bytes;
        let elapsed = start.elapsed().as_secs_f64();
        let percent = |time: Duration| 100.0 * time.as_secs_f64() / elapsed;
        Ok(WindowFigures {
            bytes_per_s: bytes as f64 / elapsed,
            control_percent: percent(after.control.saturating_sub(before.control)),
            subscriber_percent: percent(after.subscribers.saturating_sub(before.subscribers)),
        })
    }
}

/// CPU time of the threads of this process, grouped by their names.
#[derive(Debug, Clone, Copy, Default)]
struct ThreadTimes {
    control: Duration,
    subscribers: Duration,
}

impl ThreadTimes {
    /// Sums up the CPU times of all threads from `/proc`.
    fn read() -> Result<Self, SubscribersError> {
        let mut times = Self::default();
        let threads = std::fs::read_dir("/proc/self/task");
        for thread in threads.whatever_context("cannot list /proc/self/task")? {
            let folder = thread
                .whatever_context("cannot list /proc/self/task")?
                .path();
            let name = std::fs::read_to_string(folder.join("comm"));
            let statistics = std::fs::read_to_string(folder.join("schedstat"));
            // The thread may have ended since it was listed.
            let (Ok(name), Ok(statistics)) = (name, statistics) else {
                continue;
            };
            let first = statistics.split_whitespace().next();
            let nanoseconds = first.and_then(|text| text.parse().ok());
            let time = nanoseconds
                .whatever_context("schedstat of a thread does not contain its CPU time")?;
            let time = Duration::from_nanos(time);
            match name.trim() {
                CONTROL_THREADS | REPLICA_THREAD => times.control += time,
                SUBSCRIBER_THREADS => times.subscribers += time,
                _ => {}
            }
        }
        Ok(times)
    }
}

/// One subscriber with its own connections.
struct Subscriber {
    number: u64,
    address: SocketAddr,
    secret: ClusterSecret,
    state: EntryState,
    counters: Arc<SharedCounters>,
    applied: mpsc::UnboundedSender<(Revision, Instant)>,
}

impl Subscriber {
    fn name(&self) -> String {
        format!("subscriber-{}", self.number)
    }

    async fn run(&self) -> Result<(), SubscribersError> {
        tokio::try_join!(self.follow_subscription(), self.send_pings())?;
        Ok(())
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, SubscribersError> {
        let stream = TcpStream::connect(self.address).await;
        let stream = stream.whatever_context("cannot connect to the control instance")?;
        stream
            .set_nodelay(true)
            .whatever_context("cannot set TCP_NODELAY on a connection")?;
        let counted = CountedStream {
            stream,
            counters: Arc::clone(&self.counters),
        };
        let opened = handshake(TokioIo::new(counted)).await;
        let (connection, driver) =
            opened.whatever_context("the HTTP handshake with the control instance failed")?;
        tokio::spawn(driver);
        Ok(connection)
    }

    /// Subscribes and applies frames; returns only with an error.
    async fn follow_subscription(&self) -> Result<(), SubscribersError> {
        let mut connection = self.connect().await?;
        let message = SubscribeRequest {
            failure_domain: "domain-1".to_owned().into(),
            revision: 0,
            subscriber: self.name(),
        };
        let request = peer_request(
            &self.secret,
            "/v1/subscribe",
            codec::encode(&message).into(),
        );
        let answer = connection.send_request(request).await;
        let mut answer = answer.whatever_context("the subscription request failed")?;
        let mut buffer = BytesMut::new();
        loop {
            let received = answer.body_mut().frame().await;
            let received = received.whatever_context("the subscription ended")?;
            let received = received.whatever_context("the subscription was cut off")?;
            if let Ok(data) = received.into_data() {
                buffer.extend_from_slice(&data);
            }
            loop {
                let frame = decode_frame::<SubscriptionFrame>(&mut buffer);
                let Some(frame) = frame.whatever_context("a frame cannot be decoded")? else {
                    break;
                };
                self.apply(frame.header)?;
            }
        }
    }

    fn apply(&self, frame: SubscriptionFrame) -> Result<(), SubscribersError> {
        let before = self.state.view().revision();
        let applied = self.state.apply(frame);
        applied.whatever_context("a frame cannot be applied to the entry state")?;
        let revision = self.state.view().revision();
        if revision != before {
            // The receiver is dropped when the measurement has ended.
            let _ = self.applied.send((revision, Instant::now()));
        }
        Ok(())
    }

    /// Sends pings periodically; returns only with an error.
    async fn send_pings(&self) -> Result<(), SubscribersError> {
        let mut connection = self.connect().await?;
        let mut ticks = interval(PING_INTERVAL);
        loop {
            ticks.tick().await;
            let Some(ping) = self.state.next_ping(BootClock.now()) else {
                continue;
            };
            let message = PingRequest {
                demand: self.demand(),
                ping: ping.into(),
                revision: self.state.view().revision().0,
                subscriber: self.name(),
            };
            let request = peer_request(&self.secret, "/v1/ping", codec::encode(&message).into());
            connection
                .ready()
                .await
                .whatever_context("the connection for pings was closed")?;
            let answer = connection.send_request(request).await;
            let answer = answer.whatever_context("a ping failed")?;
            let body = answer.into_body().collect().await;
            let body = body
                .whatever_context("cannot read the answer to a ping")?
                .to_bytes();
            // The control instance answers without a body while it cannot confirm its state.
            let Ok(answer) = codec::decode::<PingAnswer>(&body) else {
                continue;
            };
            let fresh = self.state.fresh_until();
            let stale = fresh.is_some_and(|until| BootClock.now() >= until);
            self.counters
                .stale_confirmations
                .fetch_add(u64::from(stale), Ordering::Relaxed);
            self.state
                .confirm(answer.ping.into(), Revision(answer.revision));
        }
    }

    /// Demand that the subscriber reports in each ping; none if it is an agent.
    fn demand(&self) -> Vec<DemandEntry> {
        if self.number >= ENTRIES {
            return Vec::new();
        }
        let entry = |position| DemandEntry {
            organisation: format!(
                "organisation-{}",
                (self.number * DEMAND_ENTRIES + position) % ORGANISATIONS
            ),
            refused: 0,
            requests: 1,
            service: format!("service-{}", position % MODELS).into(),
            prompt_tokens: 500,
            shape: oriolecrank_schema::control::CallShape::OutputHeavy,
            tokens: 1_000,
        };
        (0..DEMAND_ENTRIES).map(entry).collect()
    }
}
