//! Contract and differential tests of the agent's queue.

mod common;

use std::collections::HashMap;

use oriolecrank_policy::request_queue::{
    CancelledRequest, QueueRefusal, QueueSettings, QueuedRequest, RequestQueue,
};
use oriolecrank_policy::{AttemptId, BlockCount, TokenCount, WorkClass};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::data_path::RunVerdict;
use proptest::prelude::*;

const CAPACITY: u64 = 40;
/// Blocks reserved for short urgent requests: 20% of the capacity.
const RESERVE: u64 = 8;
/// Largest short request in blocks: a quarter of the reserve.
const SHORT_LIMIT: u64 = 2;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

fn queue() -> RequestQueue {
    RequestQueue::new(QueueSettings::default(), BlockCount::new(CAPACITY))
}

fn id(number: usize) -> AttemptId {
    AttemptId {
        request_id: format!("r-{number}").into(),
        attempt: 1,
    }
}

fn request(number: usize, organisation: &str, class: WorkClass, tokens: u64) -> QueuedRequest {
    QueuedRequest {
        id: id(number),
        organisation: organisation.to_owned().into(),
        class,
        deadline: at(1_000_000),
        tokens: TokenCount::new(tokens),
    }
}

/// Starts all requests that can start and returns their ids.
fn start_all(queue: &mut RequestQueue, now: TimePoint) -> Vec<AttemptId> {
    std::iter::from_fn(|| queue.start_next(now))
        .map(|started| started.request.id)
        .collect()
}

/// Guards against short urgent requests that wait until the long requests of one caller are done,
/// also when the long requests are urgent.
#[test]
fn long_requests_do_not_block_short_urgent_ones() {
    for class in [WorkClass::Bulk, WorkClass::Standard, WorkClass::Urgent] {
        let mut queue = queue();
        for number in 0..50 {
            let offered = request(number, "long", class, 8_000);
            queue.offer(offered, at(0)).unwrap();
        }
        assert_eq!(start_all(&mut queue, at(0)).len(), 4);
        for number in 50..54 {
            let offered = request(number, "short", WorkClass::Urgent, 1_500);
            queue.offer(offered, at(1)).unwrap();
        }
        let started = start_all(&mut queue, at(1));
        assert_eq!(started, [id(50), id(51), id(52), id(53)], "{class:?}");
    }
}

/// Guards against an organisation that gets more than its share by weight because it sends more or
/// larger requests.
#[test]
fn organisations_share_served_tokens_by_weight() {
    let mut queue = queue();
    queue.set_weight("heavy".to_owned().into(), 2);
    let mut served: HashMap<String, u64> = HashMap::new();
    let sizes = HashMap::from([("heavy", 3_000), ("light", 1_000), ("large", 9_000)]);
    let mut number = 0;
    let mut offer = |queue: &mut RequestQueue, organisation: &str| {
        let tokens = sizes[organisation];
        let offered = request(number, organisation, WorkClass::Standard, tokens);
        queue.offer(offered, at(0)).unwrap();
        number += 1;
    };
    for organisation in ["heavy", "light", "large"].repeat(5) {
        offer(&mut queue, organisation);
    }
    for _ in 0..2_000 {
        let started = queue.start_next(at(0)).unwrap();
        let tokens = started.request.tokens;
        queue.finish(&started.request.id, tokens);
        offer(&mut queue, &started.request.organisation);
        *served.entry(started.request.organisation.0).or_default() += tokens.get();
    }
    let light = served["light"] as f64;
    assert!(
        (served["heavy"] as f64 / light - 2.0).abs() < 0.1,
        "{served:?}"
    );
    assert!(
        (served["large"] as f64 / light - 1.0).abs() < 0.1,
        "{served:?}"
    );
}

/// Guards against credit for idle time, which would let a burst of one organisation delay those
/// that were active meanwhile.
#[test]
fn idle_time_earns_no_credit() {
    let mut queue = queue();
    for number in 0..60 {
        let offered = request(number, "busy", WorkClass::Standard, 1_000);
        queue.offer(offered, at(0)).unwrap();
    }
    for _ in 0..30 {
        let started = queue.start_next(at(0)).unwrap();
        queue.finish(&started.request.id, started.request.tokens);
    }
    for number in 100..130 {
        let offered = request(number, "idle", WorkClass::Standard, 1_000);
        queue.offer(offered, at(0)).unwrap();
    }
    let mut idle_starts = 0;
    for _ in 0..10 {
        let started = queue.start_next(at(0)).unwrap();
        idle_starts += usize::from(*started.request.organisation == "idle");
        queue.finish(&started.request.id, started.request.tokens);
    }
    assert!((4..=6).contains(&idle_starts), "{idle_starts}");
}

/// Guards against charging for tokens that were not served, and against not charging for tokens
/// beyond the estimate.
#[test]
fn charges_are_corrected_by_the_tokens_served() {
    for (served, expected) in [(100, 0), (30_000, 1)] {
        let mut queue = queue();
        let first = request(0, "a", WorkClass::Standard, 5_000);
        queue.offer(first, at(0)).unwrap();
        queue.start_next(at(0)).unwrap();
        let second = request(1, "b", WorkClass::Standard, 10_000);
        queue.offer(second, at(0)).unwrap();
        queue.start_next(at(0)).unwrap();
        queue.finish(&id(0), TokenCount::new(served));
        queue
            .offer(request(2, "a", WorkClass::Standard, 1_000), at(0))
            .unwrap();
        queue
            .offer(request(3, "b", WorkClass::Standard, 1_000), at(0))
            .unwrap();
        let next = queue.start_next(at(0)).unwrap().request.organisation;
        assert_eq!(*next, ["a", "b"][expected]);
    }
}

/// Guards against starvation of bulk work by an endless flood of standard requests.
#[test]
fn aged_requests_are_served_under_a_flood() {
    let mut queue = queue();
    queue
        .offer(request(0, "slow", WorkClass::Bulk, 1_000), at(0))
        .unwrap();
    for number in 1..100 {
        let now = at(4_800 + number as u64 * 50);
        queue
            .offer(
                request(number * 2, "flood", WorkClass::Standard, 1_000),
                now,
            )
            .unwrap();
        queue
            .offer(
                request(number * 2 + 1, "flood", WorkClass::Standard, 1_000),
                now,
            )
            .unwrap();
        let started = queue.start_next(now).unwrap().request.id;
        if started == id(0) {
            assert!(now >= at(5_000));
            assert!(number <= 16, "{number}");
            return;
        }
        queue.finish(&started, TokenCount::new(1_000));
    }
    panic!("the bulk request was never served");
}

/// Guards against a large request that never fits because small ones take each freed block.
#[test]
fn a_large_request_is_not_passed_over_for_ever() {
    let mut queue = queue();
    let small = |number| request(number, "small", WorkClass::Standard, 4_000);
    for number in 1..=8 {
        queue.offer(small(number), at(0)).unwrap();
    }
    let mut running = start_all(&mut queue, at(0));
    queue
        .offer(request(0, "large", WorkClass::Standard, 20_000), at(0))
        .unwrap();
    for number in 9..200 {
        let now = at(number as u64 * 20);
        queue.offer(small(number), now).unwrap();
        queue.finish(&running.remove(0), TokenCount::new(4_000));
        let started = start_all(&mut queue, now);
        if started.contains(&id(0)) {
            assert!(now < at(1_000), "{now:?}");
            return;
        }
        running.extend(started);
    }
    panic!("the large request was never served");
}

/// Guards against missing refusals and refusals with a wrong reason or verdict.
#[test]
fn offers_are_refused_for_the_right_reason() {
    let mut queue = queue();
    let mut late = request(1, "a", WorkClass::Bulk, 1);
    late.deadline = at(50);
    let limit = BlockCount::new(CAPACITY - RESERVE);
    let blocks = BlockCount::new(CAPACITY - RESERVE + 1);
    let large = request(2, "a", WorkClass::Urgent, blocks.get() * 1_000);
    assert_eq!(queue.offer(late, at(50)), Err(QueueRefusal::Expired));
    assert_eq!(
        queue.offer(large, at(0)),
        Err(QueueRefusal::TooLarge { blocks, limit })
    );
    let known = request(3, "a", WorkClass::Bulk, 1);
    queue.offer(known.clone(), at(0)).unwrap();
    let duplicate = queue.offer(known, at(0)).unwrap_err();
    assert_eq!(duplicate.verdict(), RunVerdict::MayHaveRun);
    assert_eq!(queue.begin_drain().len(), 1);
    let refused = queue.offer(request(4, "a", WorkClass::Urgent, 1), at(0));
    assert_eq!(refused, Err(QueueRefusal::Draining));
    assert_eq!(refused.unwrap_err().verdict(), RunVerdict::NotRun);
    queue.end_drain();
    queue
        .offer(request(4, "a", WorkClass::Urgent, 1), at(0))
        .unwrap();
}

/// Guards against an unbounded queue, and against a queue filled by one organisation or class.
#[test]
fn a_full_queue_displaces_lower_lanes_and_longest_flows() {
    let settings = QueueSettings {
        max_waiting: 6,
        ..QueueSettings::default()
    };
    let mut queue = RequestQueue::new(settings, BlockCount::new(CAPACITY));
    for number in 0..5 {
        queue
            .offer(request(number, "flood", WorkClass::Standard, 1), at(0))
            .unwrap();
    }
    queue
        .offer(request(5, "flood", WorkClass::Bulk, 1), at(0))
        .unwrap();
    let urgent = request(6, "b", WorkClass::Urgent, 1);
    let displaced = queue.offer(urgent, at(0)).unwrap().displaced.unwrap();
    assert_eq!(displaced.id, id(5));
    let standard = request(7, "c", WorkClass::Standard, 1);
    let displaced = queue.offer(standard, at(0)).unwrap().displaced.unwrap();
    assert_eq!(displaced.id, id(4));
    let refused = queue.offer(request(8, "flood", WorkClass::Standard, 1), at(0));
    assert!(matches!(refused, Err(QueueRefusal::Full { .. })));
    assert_eq!(queue.load().waiting, 6);
}

/// Guards against starting requests that were cancelled or have expired, and against memory that is
/// not released.
#[test]
fn cancelled_and_expired_requests_are_removed() {
    let mut queue = queue();
    let mut late = request(0, "a", WorkClass::Standard, 1_000);
    late.deadline = at(100);
    queue.offer(late.clone(), at(0)).unwrap();
    let cancelled = request(1, "a", WorkClass::Standard, 1_000);
    queue.offer(cancelled.clone(), at(0)).unwrap();
    assert_eq!(queue.next_deadline(), Some(at(100)));
    assert_eq!(queue.cancel(&id(1)), CancelledRequest::Waiting(cancelled));
    assert_eq!(queue.cancel(&id(1)), CancelledRequest::Unknown);
    assert_eq!(queue.start_next(at(100)), None);
    assert_eq!(queue.take_expired(at(100)), [late]);
    queue
        .offer(request(2, "a", WorkClass::Standard, 1_000), at(100))
        .unwrap();
    queue.start_next(at(100)).unwrap();
    assert_eq!(queue.cancel(&id(2)), CancelledRequest::Running);
    assert!(queue.finish(&id(2), TokenCount::new(10)));
    assert!(!queue.finish(&id(2), TokenCount::new(10)));
    assert_eq!(
        queue.load(),
        oriolecrank_policy::request_queue::QueueLoad::default()
    );
}

/// Guards against a service of capacity 1 that never gets a call, and against waiting requests that
/// no longer fit after a role change.
#[test]
fn small_and_changed_capacities_work() {
    let mut queue = RequestQueue::new(QueueSettings::default(), BlockCount::new(1));
    for (number, class) in [WorkClass::Bulk, WorkClass::Urgent].into_iter().enumerate() {
        queue.offer(request(number, "a", class, 0), at(0)).unwrap();
    }
    assert_eq!(start_all(&mut queue, at(0)), [id(1)]);
    queue.finish(&id(1), TokenCount::new(0));
    assert_eq!(start_all(&mut queue, at(0)), [id(0)]);
    queue.set_capacity(BlockCount::new(10));
    queue
        .offer(request(2, "a", WorkClass::Bulk, 8_000), at(0))
        .unwrap();
    let removed = queue.set_capacity(BlockCount::new(4));
    assert_eq!(removed.len(), 1);
    assert_eq!(queue.load().waiting, 0);
}

/// Reference implementation: the same rules over one vector, with a linear search for each
/// decision.
#[derive(Default)]
struct NaiveQueue {
    waiting: Vec<NaiveWaiting>,
    /// Request, lane and charged virtual time.
    running: Vec<(QueuedRequest, usize, u64)>,
    /// Virtual start of the next request, by lane and organisation.
    virtual_starts: HashMap<(usize, String), u64>,
    /// Virtual time of each lane.
    virtual_times: [u64; 4],
    /// Number of the request that memory is held for, and first blocked lane.
    memory_hold: Option<(usize, usize)>,
    starts_since_aged: u32,
    next_number: usize,
}

#[derive(Clone)]
struct NaiveWaiting {
    number: usize,
    request: QueuedRequest,
    lane: usize,
    arrived: u64,
    blocked_since: Option<u64>,
}

impl NaiveQueue {
    fn offer(&mut self, request: QueuedRequest, now: u64) {
        let blocks = request.tokens.blocks().get();
        let lane = match request.class {
            WorkClass::Urgent if blocks <= SHORT_LIMIT => 0,
            WorkClass::Urgent => 1,
            WorkClass::Standard => 2,
            WorkClass::Bulk => 3,
        };
        self.start_without_credit(lane, &request.organisation);
        let (number, arrived) = (self.next_number, now);
        self.next_number += 1;
        self.waiting.push(NaiveWaiting {
            number,
            request,
            lane,
            arrived,
            blocked_since: None,
        });
    }

    /// Virtual start of an organisation, raised to the lane's virtual time if it has no waiting
    /// requests.
    fn start_without_credit(&mut self, lane: usize, organisation: &str) -> &mut u64 {
        let mut waiting = self.waiting.iter();
        let has_waiting = waiting
            .any(|waiting| waiting.lane == lane && *waiting.request.organisation == organisation);
        let start = self
            .virtual_starts
            .entry((lane, organisation.to_owned()))
            .or_default();
        if !has_waiting {
            *start = (*start).max(self.virtual_times[lane]);
        }
        start
    }

    fn fits(&self, waiting: &NaiveWaiting) -> bool {
        let blocks = waiting.request.tokens.blocks().get();
        let sum = |all: bool| -> u64 {
            let counted = self.running.iter().filter(|(_, lane, _)| all || *lane != 0);
            counted
                .map(|(request, _, _)| request.tokens.blocks().get())
                .sum()
        };
        let general = sum(false) + blocks <= CAPACITY - RESERVE;
        sum(true) + blocks <= CAPACITY && (general || waiting.lane == 0)
    }

    fn start_next(&mut self, now: u64) -> Option<AttemptId> {
        self.waiting
            .retain(|waiting| waiting.request.deadline > at(now));
        if let Some((held, _)) = self.memory_hold
            && !self.waiting.iter().any(|waiting| waiting.number == held)
        {
            self.memory_hold = None;
        }
        let oldest = self
            .waiting
            .iter()
            .min_by_key(|waiting| waiting.number)
            .cloned();
        if let Some(oldest) = oldest
            && self.starts_since_aged + 1 >= 8
            && now - oldest.arrived >= 5_000
        {
            if self.fits(&oldest) {
                self.starts_since_aged = 0;
                return Some(self.start(oldest.number));
            }
            self.hold_memory(oldest.number, oldest.lane.min(2));
        }
        let number = (0..4).find_map(|lane| self.first_fitting(lane, now))?;
        self.starts_since_aged += 1;
        Some(self.start(number))
    }

    fn hold_memory(&mut self, number: usize, first_blocked_lane: usize) {
        if self
            .memory_hold
            .is_none_or(|(_, current)| first_blocked_lane < current)
        {
            self.memory_hold = Some((number, first_blocked_lane));
        }
    }

    fn first_fitting(&mut self, lane: usize, now: u64) -> Option<usize> {
        if let Some((held, first_blocked_lane)) = self.memory_hold
            && lane >= first_blocked_lane
        {
            let waiting = self.waiting.iter().find(|waiting| waiting.number == held)?;
            return self.fits(waiting).then_some(held);
        }
        let mut order: Vec<_> = (self.waiting.iter().filter(|waiting| waiting.lane == lane))
            .map(|waiting| {
                let organisation = waiting.request.organisation.0.clone();
                let start = self.virtual_starts[&(lane, organisation.clone())];
                (
                    start,
                    waiting.request.deadline,
                    waiting.number,
                    organisation,
                )
            })
            .collect();
        order.sort();
        let mut seen_organisations = Vec::new();
        for (_, _, number, organisation) in order {
            if seen_organisations.contains(&organisation) {
                continue;
            }
            seen_organisations.push(organisation);
            let index = self
                .waiting
                .iter()
                .position(|waiting| waiting.number == number)?;
            if self.fits(&self.waiting[index]) {
                return Some(number);
            }
            let since = *self.waiting[index].blocked_since.get_or_insert(now);
            if now - since >= 500 && lane != 0 {
                self.hold_memory(number, lane);
                return None;
            }
        }
        None
    }

    fn start(&mut self, number: usize) -> AttemptId {
        let index = self
            .waiting
            .iter()
            .position(|waiting| waiting.number == number)
            .expect("the request is waiting");
        let waiting = self.waiting.remove(index);
        let lane = waiting.lane;
        let key = (lane, waiting.request.organisation.0.clone());
        let start = self
            .virtual_starts
            .get_mut(&key)
            .expect("the request was offered");
        self.virtual_times[lane] = self.virtual_times[lane].max(*start);
        let cost = waiting.request.tokens.get().max(1) * 1_024;
        *start += cost;
        if self.memory_hold.is_some_and(|(held, _)| held == number) {
            self.memory_hold = None;
        }
        let id = waiting.request.id.clone();
        self.running.push((waiting.request, lane, cost));
        id
    }

    fn finish(&mut self, index: usize, served: u64) -> AttemptId {
        let (request, lane, charged) = self.running.remove(index);
        let time = self.virtual_times[lane];
        let start = self.start_without_credit(lane, &request.organisation);
        let floor = (*start).min(time);
        *start = (*start + served.max(1) * 1_024)
            .saturating_sub(charged)
            .max(floor);
        request.id
    }
}

#[derive(Debug, Clone)]
enum QueueStep {
    Offer {
        organisation: usize,
        class: usize,
        blocks: u64,
        time_to_deadline: u64,
    },
    Start,
    Finish {
        index: usize,
        served: u64,
    },
    Cancel {
        index: usize,
    },
    Wait(u64),
}

fn step() -> impl Strategy<Value = QueueStep> {
    prop_oneof![
        5 => (0usize..4, 0usize..3, 1u64..20, 100u64..20_000).prop_map(
            |(organisation, class, blocks, time_to_deadline)| QueueStep::Offer {
                organisation, class, blocks, time_to_deadline
            }
        ),
        5 => Just(QueueStep::Start),
        3 => (0usize..20, 0u64..20_000)
            .prop_map(|(index, served)| QueueStep::Finish { index, served }),
        1 => (0usize..20).prop_map(|index| QueueStep::Cancel { index }),
        2 => (0u64..900).prop_map(QueueStep::Wait),
    ]
}

proptest! {
    #![proptest_config(common::fixed_seed(400))]

    /// Guards against starting another request than the rules require, and against more blocks in
    /// flight than the capacity, under random sequences of events.
    #[test]
    fn queue_equals_naive_search(steps in prop::collection::vec(step(), 1..200)) {
        let (mut queue, mut naive) = (queue(), NaiveQueue::default());
        let mut now = 0;
        for (number, step) in steps.into_iter().enumerate() {
            match step {
                QueueStep::Offer { organisation, class, blocks, time_to_deadline } => {
                    let class = [WorkClass::Urgent, WorkClass::Standard, WorkClass::Bulk][class];
                    let organisation = ["a", "b", "c", "d"][organisation];
                    let mut request = request(number, organisation, class, blocks * 1_000);
                    request.deadline = at(now + time_to_deadline);
                    naive.waiting.retain(|waiting| waiting.request.deadline > at(now));
                    queue.offer(request.clone(), at(now)).expect("the queue is not full");
                    naive.offer(request, now);
                }
                QueueStep::Start => {
                    let started = queue.start_next(at(now)).map(|started| started.request.id);
                    prop_assert_eq!(started, naive.start_next(now));
                }
                QueueStep::Finish { index, served } if !naive.running.is_empty() => {
                    let id = naive.finish(index % naive.running.len(), served);
                    prop_assert!(queue.finish(&id, TokenCount::new(served)));
                }
                QueueStep::Cancel { index } if !naive.waiting.is_empty() => {
                    let removed = naive.waiting.remove(index % naive.waiting.len());
                    if naive.memory_hold.is_some_and(|(held, _)| held == removed.number) {
                        naive.memory_hold = None;
                    }
                    queue.cancel(&removed.request.id);
                }
                QueueStep::Finish { .. } | QueueStep::Cancel { .. } => {}
                QueueStep::Wait(millis) => now += millis,
            }
            prop_assert_eq!(queue.load().running, naive.running.len());
            prop_assert!(queue.load().blocks_in_flight <= BlockCount::new(CAPACITY));
        }
    }
}
