//! Guards against clients that make a process hold more than its budget, and against budgets that
//! shut out ordinary clients.

use std::time::Duration;

use bytes::Bytes;
use http_body::Frame;
use http_body_util::Full;
use oriolecrank_net::intake::{
    BodyError, BodyLimits, ByteBudget, IntakeSettings, MemoryHolders, read_body_within,
};
use prometheus_client::registry::Registry;
use tokio::sync::mpsc;

const MIB: usize = 1024 * 1024;

/// Body of which the test sends the frames.
struct SentBody(mpsc::Receiver<Bytes>);

impl http_body::Body for SentBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let received = self.0.poll_recv(context);
        received.map(|data| data.map(|data| Ok(Frame::data(data))))
    }
}

fn sent_body() -> (mpsc::Sender<Bytes>, SentBody) {
    let (sender, receiver) = mpsc::channel(16);
    (sender, SentBody(receiver))
}

/// Guards against frames that keep the read buffers of their connections, and against shares of the
/// budget that are lost.
#[tokio::test]
async fn a_body_counts_until_its_last_copy_is_dropped() {
    let budget = ByteBudget::new(MIB);
    let (sender, body) = sent_body();
    let sending = tokio::spawn(async move {
        for _ in 0..10_000 {
            // A frame that is a small part of a large buffer.
            let buffer = Bytes::from(vec![b'x'; 8_192]);
            sender.send(buffer.slice(..1)).await.unwrap();
        }
    });
    let limits = BodyLimits::of_bytes(MIB);
    let body = read_body_within(body, limits, &budget).await.unwrap();
    sending.await.unwrap();
    assert_eq!(body.len(), 10_000);
    assert!((10_000..20_000).contains(&budget.used()));
    let copy = body.clone();
    drop(body);
    assert!(budget.used() >= 10_000, "a copy still holds the bytes");
    drop(copy);
    assert_eq!(budget.used(), 0);
}

/// Guards against announced bodies that are read although they exceed the limit or have no room, and
/// against large bodies that shut out small ones.
#[tokio::test]
async fn announced_bodies_are_refused_before_they_are_read() {
    let budget = ByteBudget::new(2 * MIB);
    let announced = |size: usize| Full::new(Bytes::from(vec![0; size]));
    let limits = BodyLimits::of_bytes(MIB);
    let refused = read_body_within(announced(MIB + 1), limits, &budget).await;
    assert_eq!(refused.unwrap_err(), BodyError::TooLarge);
    let held = read_body_within(announced(MIB), limits, &budget).await;
    let refused = read_body_within(announced(MIB), limits, &budget).await;
    assert!(matches!(refused.unwrap_err(), BodyError::Full { .. }));
    let small = read_body_within(announced(64 * 1024), limits, &budget).await;
    assert_eq!(small.unwrap().len(), 64 * 1024);
    drop(held);
    let next = read_body_within(announced(MIB), limits, &budget).await;
    assert_eq!(next.unwrap().len(), MIB, "dropped bodies make room");
}

/// Guards against full budgets that refuse heartbeats and ordinary calls.
#[tokio::test]
async fn a_full_budget_takes_calls_of_some_kilobytes() {
    let budget = ByteBudget::new(MIB);
    let mut lease = budget.lease();
    lease.resize(128 * 1024).unwrap();
    let mut crowd: Vec<_> = (0..8).map(|_| budget.lease()).collect();
    let taken = crowd.iter_mut().map(|lease| lease.resize(128 * 1024));
    assert!(taken.last().unwrap().is_err(), "the budget is full");
    let body = Full::new(Bytes::from(vec![0; 4_096]));
    let call = read_body_within(body, BodyLimits::of_bytes(MIB), &budget).await;
    assert_eq!(call.unwrap().len(), 4_096);
}

/// Guards against bodies that stay open without an end: one that stalls, and one that trickles.
#[tokio::test(start_paused = true)]
async fn bodies_that_stall_or_trickle_are_given_up() {
    let budget = ByteBudget::new(MIB);
    let (_sender, stalled) = sent_body();
    let read = read_body_within(stalled, BodyLimits::of_bytes(MIB), &budget).await;
    assert_eq!(read.unwrap_err(), BodyError::TooSlow);
    let (sender, trickle) = sent_body();
    tokio::spawn(async move {
        while sender.send(Bytes::from_static(b"x")).await.is_ok() {
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    });
    let read = read_body_within(trickle, BodyLimits::of_bytes(MIB), &budget).await;
    assert_eq!(read.unwrap_err(), BodyError::TooSlow);
    assert_eq!(budget.used(), 0);
}

/// Guards against a pace that cuts off a sound client: 4 MiB over a link of 10 Mbit/s that 40 clients
/// share, in pieces with pauses of two seconds.
#[tokio::test(start_paused = true)]
async fn a_slow_sound_body_is_read_to_its_end() {
    let budget = IntakeSettings::default().client_budget();
    let (sender, body) = sent_body();
    tokio::spawn(async move {
        for _ in 0..64 {
            sender.send(Bytes::from(vec![0; 65_536])).await.unwrap();
            tokio::time::sleep(Duration::from_secs(2)).await;
        }
    });
    let read = read_body_within(body, BodyLimits::of_bytes(4 * MIB), &budget).await;
    assert_eq!(read.unwrap().len(), 4 * MIB);
}

/// Guards against settings with which one body of the legal size has no room in calm.
#[tokio::test]
async fn the_least_memory_has_room_for_a_legal_body() {
    let least = IntakeSettings {
        memory_bytes: 32 * MIB as u64,
        ..IntakeSettings::default()
    };
    assert_eq!(least.shortfall(), None);
    let (sender, body) = sent_body();
    tokio::spawn(async move {
        for _ in 0..64 {
            sender.send(Bytes::from(vec![0; 65_536])).await.unwrap();
        }
    });
    let limits = BodyLimits::of_bytes(4 * MIB);
    let read = read_body_within(body, limits, &least.client_budget()).await;
    assert_eq!(read.unwrap().len(), 4 * MIB);
}

/// Guards against connections, bodies and messages that together need more than the process has.
#[test]
fn all_limits_together_fit_into_the_memory() {
    const CONNECTION_BYTES: u64 = 56 * 1024;
    for memory_mib in [32, 64, 160, 320, 4_096] {
        let settings = IntakeSettings {
            memory_bytes: memory_mib * MIB as u64,
            max_descriptors: 100_000,
        };
        let budgets = [settings.client_budget(), settings.peer_budget()];
        let budgets: usize = budgets.iter().map(ByteBudget::capacity).sum();
        let connections = settings.client_connections() as u64 * CONNECTION_BYTES;
        let program = 16 * MIB as u64;
        let needed = program + connections + budgets as u64;
        assert!(needed <= settings.memory_bytes, "{memory_mib} MiB");
    }
}

/// Guards against holders that together keep more than the process has, and against bytes that stay
/// counted in the whole after a part has refused them or given them back.
#[test]
fn a_part_refuses_what_its_whole_has_no_room_for() {
    let holders = MemoryHolders::new(4 * MIB);
    let (first, second) = (
        holders.part("first", 3 * MIB),
        holders.part("second", 3 * MIB),
    );
    let mut large = first.lease();
    large.resize(2 * MIB).unwrap();
    let mut other = second.lease();
    assert!(other.resize(2 * MIB).is_err(), "the whole has no room");
    assert_eq!((second.used(), holders.whole().used()), (0, 2 * MIB));
    drop(large);
    other.resize(2 * MIB).unwrap();
    assert_eq!((first.used(), holders.whole().used()), (0, 2 * MIB));
    assert_eq!(
        first.take_peak(),
        2 * MIB,
        "the peak is kept until it is read"
    );
    assert_eq!(first.take_peak(), 0);
}

/// Guards against a process whose memory cannot be explained: the metrics name each holder, and the
/// member that it holds bytes for.
#[test]
fn the_metrics_show_what_each_holder_keeps() {
    let holders = MemoryHolders::new(4 * MIB);
    let mut log = holders.part("log", MIB).lease();
    let mut batch = holders.member_part("batches", MIB, "c2").lease();
    log.count(700);
    batch.count(900);
    let mut registry = Registry::default();
    registry.register_collector(Box::new(holders.clone()));
    let mut text = String::new();
    prometheus_client::encoding::text::encode(&mut text, &registry).unwrap();
    for line in [
        r#"held_bytes{holder="log",member=""} 700"#,
        r#"held_bytes{holder="batches",member=""} 900"#,
        r#"held_bytes{holder="batches",member="c2"} 900"#,
        r#"held_limit_bytes{holder="log",member=""} 1048576"#,
    ] {
        assert!(text.lines().any(|shown| shown == line), "{line} in {text}");
    }
}
