//! `bench control`: rate and latency of committed changes, and restart time of a control instance.
//!
//! The members run in one process, each with its own thread, data folder and listener, and exchange
//! messages over loopback. The data folders are temporary; set `TMPDIR` to a folder on the disk to
//! be measured, because an in-memory file system does not sync.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use http::{Request, Response};
use hyper::body::Incoming;
use oriolecrank_consensus::{InstanceId, LogIndex, Member, MemberRole, RoleName, Term};
use oriolecrank_control::{
    PeerDirectory, PeerIngress, PeerTransport, ReplicaHandle, ReplicaSettings, StateMachine,
    start_replica,
};
use oriolecrank_net::shutdown::{ShutdownTrigger, shutdown_channel};
use oriolecrank_net::{AnswerBody, ClusterSecret, HttpClient, HttpHandler, PeerGuard, serve};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::arguments::BenchArguments;
use crate::measurement::{Measurement, size};

/// Group sizes that are measured, in voters.
const MEMBER_COUNTS: [u64; 3] = [1, 3, 5];

/// Numbers of concurrent callers, each of which sends its next change after the previous one is
/// committed.
const CALLER_COUNTS: [u64; 3] = [1, 32, 256];

/// Size of one change, in bytes, similar to that of a key or a claim.
const CHANGE_BYTES: usize = 256;

/// Changes that are applied right before a restart.
const RESTART_CHANGES: u64 = 500;

/// Time limit for the election of a leader and for each step of a restart.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);

/// Upper bound of the latency histogram, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Prints the measurements; returns true because none has a target.
pub fn run(arguments: &BenchArguments) -> bool {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime can be started");
    runtime.block_on(async {
        let mut passed = true;
        for members in MEMBER_COUNTS {
            passed &= measure_group(members, arguments).await;
        }
        passed
    })
}

/// A state machine that only sums up the sizes of changes, so that its cost is negligible next to
/// that of the log.
#[derive(Debug, Default)]
struct SumMachine(u64);

impl StateMachine for SumMachine {
    type Output = u64;

    fn apply(&mut self, _index: LogIndex, _term: Term, data: &[u8]) -> u64 {
        self.0 += data.len() as u64;
        self.0
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.to_be_bytes().to_vec()
    }

    fn restore(&mut self, snapshot: &[u8]) {
        let bytes = snapshot
            .try_into()
            .expect("a snapshot of the sum has 8 bytes");
        self.0 = u64::from_be_bytes(bytes);
    }
}

/// Passes HTTP requests of peers to the replica.
struct PeerHandler(PeerIngress<u64>);

impl HttpHandler for PeerHandler {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<AnswerBody> {
        self.0.answer(request).await
    }
}

/// One running member and the name and address with which it restarts.
struct BenchMember {
    name: String,
    handle: ReplicaHandle<u64>,
    address: SocketAddr,
    shutdown: ShutdownTrigger,
}

/// Starts a member on a listener. Returns it and the time in which it loaded its state.
fn start_member(
    name: &str,
    listener: TcpListener,
    folder: &Path,
    founders: &[Member],
) -> (BenchMember, Duration) {
    let address = listener
        .local_addr()
        .expect("a bound listener has an address");
    let secret = ClusterSecret::new("bench-cluster-secret").expect("the secret is long enough");
    let directory = PeerDirectory::default();
    let cluster = "bench".to_owned();
    let transport = PeerTransport::new(
        cluster.clone(),
        address,
        HttpClient::default(),
        secret.clone(),
        directory.clone(),
    );
    let settings = ReplicaSettings {
        cluster: cluster.clone(),
        name: name.to_owned(),
        data_folder: folder.join(name),
        founders: founders.to_vec(),
        ..ReplicaSettings::default()
    };
    let start = Instant::now();
    let handle = start_replica(settings, SumMachine::default(), transport)
        .expect("a temporary data folder can be used");
    let load_time = start.elapsed();
    let guard = PeerGuard::new(secret);
    let ingress = PeerIngress::new(cluster, guard, handle.clone(), directory);
    let (shutdown, signal) = shutdown_channel();
    tokio::spawn(serve(listener, Arc::new(PeerHandler(ingress)), signal));
    let member = BenchMember {
        name: name.to_owned(),
        handle,
        address,
        shutdown,
    };
    (member, load_time)
}

async fn listen(address: SocketAddr) -> TcpListener {
    TcpListener::bind(address)
        .await
        .expect("a loopback port can be bound")
}

async fn measure_group(members: u64, arguments: &BenchArguments) -> bool {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut listeners = Vec::new();
    let mut founders = Vec::new();
    for number in 1..=members {
        let listener = listen(any_port).await;
        let address = listener
            .local_addr()
            .expect("a bound listener has an address");
        founders.push(Member {
            id: InstanceId::new(&format!("c{number}")),
            address: address.to_string(),
            role: MemberRole::Voter,
        });
        listeners.push(listener);
    }
    let mut group = Vec::new();
    for (founder, listener) in founders.iter().zip(listeners) {
        let name = founder.id.as_str();
        group.push(start_member(name, listener, folder.path(), &founders).0);
    }
    let mut passed = true;
    for callers in CALLER_COUNTS {
        passed &= measure_changes(&group, callers, arguments).await;
    }
    passed & measure_restart(group, folder.path(), &founders, arguments).await
}

/// Waits until a member leads the group and can commit, and returns it.
async fn wait_for_leader(group: &[BenchMember]) -> &BenchMember {
    let find = async {
        loop {
            let leads = |member: &&BenchMember| {
                member.handle.status().node.role == RoleName::Leader
                    && member.handle.authority().is_some()
            };
            if let Some(leader) = group.iter().find(leads) {
                return leader;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(STEP_TIMEOUT, find)
        .await
        .expect("a healthy group elects a leader")
}

async fn measure_changes(group: &[BenchMember], callers: u64, arguments: &BenchArguments) -> bool {
    let changes_per_caller = if arguments.quick { 20 } else { 400 };
    let handle = &wait_for_leader(group).await.handle;
    let failed = Arc::new(AtomicU64::new(0));
    let mut tasks = JoinSet::new();
    let start = Instant::now();
    for _ in 0..callers {
        let (handle, failed) = (handle.clone(), Arc::clone(&failed));
        tasks.spawn(async move { propose_changes(&handle, changes_per_caller, &failed).await });
    }
    let mut latencies = new_histogram();
    while let Some(finished) = tasks.join_next().await {
        let caller = finished.expect("no caller panics");
        latencies
            .add(caller)
            .expect("all histograms have the same bounds");
    }
    let elapsed = start.elapsed().as_secs_f64();
    let failed = failed.load(Ordering::Relaxed);
    let changes = latencies.len();
    let millis = |quantile| latencies.value_at_quantile(quantile) as f64 / 1_000.0;
    let lines = [
        ("control_changes_per_s", changes as f64 / elapsed, "1/s"),
        ("control_change_p50", millis(0.5), "ms"),
        ("control_change_p99", millis(0.99), "ms"),
        ("control_changes_failed", failed as f64, "changes"),
    ];
    let members = group.len() as u64;
    lines
        .into_iter()
        .fold(true, |passed, (measure, value, unit)| {
            let sizes = size([
                ("members", members),
                ("callers", callers),
                ("change_bytes", CHANGE_BYTES as u64),
            ]);
            passed & print_measurement(measure, sizes, value, unit, arguments)
        })
}

/// Proposes `changes_per_caller` changes one after another. Returns the latencies of those that
/// succeeded, in microseconds.
async fn propose_changes(
    handle: &ReplicaHandle<u64>,
    changes_per_caller: u64,
    failed: &AtomicU64,
) -> Histogram<u64> {
    let mut latencies = new_histogram();
    for _ in 0..changes_per_caller {
        let start = Instant::now();
        if handle.propose(vec![7; CHANGE_BYTES]).await.is_err() {
            failed.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        latencies.saturating_record(start.elapsed().as_micros() as u64);
    }
    latencies
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are valid")
}

/// Commits changes, stops one member and restarts it from its data folder. The member is a follower
/// or, in a group of one, the only member. It also holds the changes of [`measure_changes`].
async fn measure_restart(
    mut group: Vec<BenchMember>,
    folder: &Path,
    founders: &[Member],
    arguments: &BenchArguments,
) -> bool {
    let members = group.len() as u64;
    let handle = wait_for_leader(&group).await.handle.clone();
    let before = handle.status().applied_index.0;
    while handle.status().applied_index.0 < before + RESTART_CHANGES {
        // The loop counts applied changes, so a failed one is simply replaced.
        let _ = handle.propose(vec![7; CHANGE_BYTES]).await;
    }
    let leader = handle.status().node.id;
    let follower = group
        .iter()
        .position(|member| member.handle.status().node.id != leader)
        .unwrap_or(0);
    let stopped = group.remove(follower);
    stopped.handle.stop();
    stopped.shutdown.trigger();
    stopped.handle.stopped().await;
    let listener = rebind(stopped.address).await;
    let start = Instant::now();
    let (restarted, load_time) = start_member(&stopped.name, listener, folder, founders);
    let current = async { while restarted.handle.read_barrier().await.is_err() {} };
    tokio::time::timeout(STEP_TIMEOUT, current)
        .await
        .expect("a restarted member catches up");
    let ready = start.elapsed();
    for member in group.iter().chain([&restarted]) {
        member.handle.stop();
        member.handle.stopped().await;
    }
    let lines = [
        ("control_restart_load", load_time),
        ("control_restart_current", ready),
    ];
    lines.into_iter().fold(true, |passed, (measure, value)| {
        let sizes = size([("members", members), ("changes", RESTART_CHANGES)]);
        let millis = value.as_secs_f64() * 1_000.0;
        passed & print_measurement(measure, sizes, millis, "ms", arguments)
    })
}

/// Binds the address of a stopped member, whose listener closes shortly after the stop.
async fn rebind(address: SocketAddr) -> TcpListener {
    let bind = async {
        loop {
            if let Ok(listener) = TcpListener::bind(address).await {
                return listener;
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(STEP_TIMEOUT, bind)
        .await
        .expect("the listener of a stopped member closes")
}

fn print_measurement(
    measure: &str,
    size: serde_json::Map<String, serde_json::Value>,
    value: f64,
    unit: &'static str,
    arguments: &BenchArguments,
) -> bool {
    let measurement = Measurement {
        measure: measure.to_owned(),
        size,
        value,
        unit,
        target: None,
        seed: arguments.seed,
    };
    measurement.print()
}
