//! The agent's queue: which request runs next, and whether its memory fits.
//!
//! Requests wait in four lanes, which are served in order: short urgent, long urgent, standard and
//! bulk. Within a lane, organisations share the served tokens by weight (start-time fair queueing);
//! among equals the earliest deadline is first. Three rules prevent starvation:
//!
//! - Part of the memory is reserved for short urgent requests, so that long reads, also urgent ones,
//!   cannot hold them up.
//! - A request that does not fit is passed over only for a short time; then its lane and the lanes
//!   after it wait until it fits.
//! - Every few starts, the oldest request that has waited for long is served whatever its lane.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use oriolecrank_schema::TimePoint;
use oriolecrank_schema::document::OrganisationId;
use snafu::ensure;

use crate::queue_lane::{ArrivalNumber, DeadlineOrder, LANE_COUNT, LaneName, QueueLane};
pub use crate::queued_request::{
    CancelledRequest, OfferedRequest, QueueLoad, QueueRefusal, QueuedRequest, StartedRequest,
};
use crate::queued_request::{
    DrainingSnafu, DuplicateSnafu, ExpiredSnafu, FullSnafu, TooLargeSnafu,
};
use crate::{AttemptId, BlockCount, TokenCount, WorkClass};

/// Virtual time per token at weight 1; the factor keeps the remainder of divisions by the weight.
const VIRTUAL_PER_TOKEN: u64 = 1_024;

/// Weight of the newest wait in the mean wait.
const WAIT_SMOOTHING: f64 = 0.1;

/// Bounds and rules of the queue.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueSettings {
    /// Largest number of waiting requests.
    pub max_waiting: usize,
    /// Share of the memory that only short urgent requests may use.
    pub urgent_reserve: f64,
    /// Largest part of the reserve that one short request may take.
    pub short_part: f64,
    /// How long a request that does not fit may be passed over.
    pub hold_after: Duration,
    /// A request that has waited this long counts as aged.
    pub aged_after: Duration,
    /// One of this many starts goes to the oldest aged request.
    pub aged_interval: u32,
    /// Shortest suggested delay before a refused request is tried again.
    pub min_retry_after: Duration,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            max_waiting: 256,
            urgent_reserve: 0.2,
            short_part: 0.25,
            hold_after: Duration::from_millis(500),
            aged_after: Duration::from_secs(5),
            aged_interval: 8,
            min_retry_after: Duration::from_millis(100),
        }
    }
}

#[derive(Debug)]
struct WaitingRequest {
    request: QueuedRequest,
    lane: LaneName,
    arrived: TimePoint,
    /// First time at which the request was due but did not fit.
    blocked_since: Option<TimePoint>,
}

#[derive(Debug)]
struct RunningRequest {
    organisation: OrganisationId,
    lane: LaneName,
    tokens: TokenCount,
    blocks: BlockCount,
    /// Virtual time charged at the start.
    charged: u64,
}

/// A request for which memory is kept free.
#[derive(Debug, Clone, Copy)]
struct HeldRequest {
    number: ArrivalNumber,
    /// This lane and those after it wait.
    first_barred: LaneName,
}

#[derive(Debug, Clone, Copy)]
enum AttemptPlace {
    Waiting(ArrivalNumber),
    Running,
}

/// The queue of one agent.
#[derive(Debug)]
pub struct RequestQueue {
    settings: QueueSettings,
    capacity: BlockCount,
    weights: HashMap<OrganisationId, u32>,
    draining: bool,
    next_number: u64,
    lanes: [QueueLane; LANE_COUNT],
    waiting: BTreeMap<ArrivalNumber, WaitingRequest>,
    deadlines: BTreeSet<DeadlineOrder>,
    running: HashMap<AttemptId, RunningRequest>,
    /// Place of each attempt in `waiting` or `running`.
    places: HashMap<AttemptId, AttemptPlace>,
    /// Sum over `running`.
    load: QueueLoad,
    /// Blocks of running requests that may not use the reserve.
    general_blocks: BlockCount,
    held: Option<HeldRequest>,
    starts_since_aged: u32,
    mean_wait_ms: f64,
    /// Requests that expired while waiting and were not yet taken by the agent.
    expired: Vec<QueuedRequest>,
}

impl RequestQueue {
    /// An empty queue for an upstream with `capacity` blocks.
    pub fn new(settings: QueueSettings, capacity: BlockCount) -> Self {
        Self {
            settings,
            capacity,
            weights: HashMap::new(),
            draining: false,
            next_number: 0,
            lanes: Default::default(),
            waiting: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            running: HashMap::new(),
            places: HashMap::new(),
            load: QueueLoad::default(),
            general_blocks: BlockCount::default(),
            held: None,
            starts_since_aged: 0,
            mean_wait_ms: 0.0,
            expired: Vec::new(),
        }
    }

    /// Changes the memory, for example after a role change. Running requests keep theirs.
    ///
    /// Returns the waiting requests that no longer fit into the memory. They have not run.
    pub fn set_capacity(&mut self, capacity: BlockCount) -> Vec<QueuedRequest> {
        self.capacity = capacity;
        let too_large = self.waiting.iter().filter(|(_, waiting)| {
            waiting.request.tokens.blocks() > self.largest_request(waiting.lane)
        });
        let numbers: Vec<_> = too_large.map(|(number, _)| *number).collect();
        let removed = numbers
            .into_iter()
            .map(|number| self.remove_waiting(number));
        removed.map(|waiting| waiting.request).collect()
    }

    /// Sets the weight of an organisation; others have weight 1.
    pub fn set_weight(&mut self, organisation: OrganisationId, weight: u32) {
        self.weights.insert(organisation, weight.max(1));
    }

    /// Takes a request into the queue.
    pub fn offer(
        &mut self,
        request: QueuedRequest,
        now: TimePoint,
    ) -> Result<OfferedRequest, QueueRefusal> {
        ensure!(!self.places.contains_key(&request.id), DuplicateSnafu);
        ensure!(!self.draining, DrainingSnafu);
        ensure!(now < request.deadline, ExpiredSnafu);
        let blocks = request.tokens.blocks();
        let lane = self.lane_of(&request);
        let limit = self.largest_request(lane);
        ensure!(blocks <= limit, TooLargeSnafu { blocks, limit });
        self.expire(now);
        let displaced = self.make_room(&request, lane)?;
        let number = ArrivalNumber(self.next_number);
        self.next_number += 1;
        let order = (request.deadline, number);
        self.lanes[lane as usize].add(&request.organisation, order);
        self.deadlines.insert(order);
        self.places
            .insert(request.id.clone(), AttemptPlace::Waiting(number));
        self.waiting.insert(
            number,
            WaitingRequest {
                request,
                lane,
                arrived: now,
                blocked_since: None,
            },
        );
        Ok(OfferedRequest { displaced })
    }

    /// Takes the request that runs next; `None` if none waits or none that is due fits.
    ///
    /// The agent calls this after each offer and each finished request until it returns `None`, and
    /// at least once a second, because [`QueueSettings::hold_after`] depends on time.
    pub fn start_next(&mut self, now: TimePoint) -> Option<StartedRequest> {
        self.expire(now);
        if let Some(number) = self.aged_turn(now) {
            self.starts_since_aged = 0;
            return Some(self.start(number, now));
        }
        for lane in LaneName::ALL {
            if let Some(number) = self.first_fitting(lane, now) {
                self.starts_since_aged += 1;
                return Some(self.start(number, now));
            }
        }
        None
    }

    /// Releases the memory of a running request and charges its organisation for the tokens that
    /// were really served. Returns whether the attempt was running.
    pub fn finish(&mut self, id: &AttemptId, served: TokenCount) -> bool {
        let Some(running) = self.running.remove(id) else {
            return false;
        };
        self.places.remove(id);
        self.load.running -= 1;
        self.load.blocks_in_flight = self.load.blocks_in_flight.saturating_sub(running.blocks);
        let tokens = self.load.tokens_in_flight.get() - running.tokens.get();
        self.load.tokens_in_flight = TokenCount::new(tokens);
        if running.lane != LaneName::UrgentShort {
            self.general_blocks = self.general_blocks.saturating_sub(running.blocks);
        }
        let cost = self.virtual_cost(&running.organisation, served);
        let lane = &mut self.lanes[running.lane as usize];
        lane.update(&running.organisation, |flow, virtual_time| {
            if flow.requests.is_empty() {
                flow.virtual_start = flow.virtual_start.max(virtual_time);
            }
            // A refund may not bring the flow below the floor, which would be credit for idle time.
            let floor = flow.virtual_start.min(virtual_time);
            let start = (flow.virtual_start + cost).saturating_sub(running.charged);
            flow.virtual_start = start.max(floor);
        });
        true
    }

    /// Removes a waiting request whose caller has gone away.
    pub fn cancel(&mut self, id: &AttemptId) -> CancelledRequest {
        match self.places.get(id) {
            None => CancelledRequest::Unknown,
            Some(AttemptPlace::Running) => CancelledRequest::Running,
            Some(AttemptPlace::Waiting(number)) => {
                let number = *number;
                CancelledRequest::Waiting(self.remove_waiting(number).request)
            }
        }
    }

    /// Takes the waiting requests whose deadline has passed. They have not run.
    pub fn take_expired(&mut self, now: TimePoint) -> Vec<QueuedRequest> {
        self.expire(now);
        std::mem::take(&mut self.expired)
    }

    /// Earliest deadline of a waiting request.
    pub fn next_deadline(&self) -> Option<TimePoint> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Refuses new requests and returns the waiting ones, which have not run.
    pub fn begin_drain(&mut self) -> Vec<QueuedRequest> {
        self.draining = true;
        let numbers: Vec<_> = self.waiting.keys().copied().collect();
        let removed = numbers
            .into_iter()
            .map(|number| self.remove_waiting(number));
        removed.map(|waiting| waiting.request).collect()
    }

    /// Accepts new requests again.
    pub fn end_drain(&mut self) {
        self.draining = false;
    }

    /// Whether new requests are refused.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Waiting and running requests.
    pub fn load(&self) -> QueueLoad {
        QueueLoad {
            waiting: self.waiting.len(),
            ..self.load
        }
    }

    /// Attempts that run now, for reports of a crash.
    pub fn running(&self) -> impl Iterator<Item = &AttemptId> {
        self.running.keys()
    }

    /// Memory kept for short urgent requests; at least one block once there are four.
    fn reserve(&self) -> BlockCount {
        let capacity = self.capacity.get();
        let share = (capacity as f64 * self.settings.urgent_reserve) as u64;
        BlockCount::new(if capacity >= 4 { share.max(1) } else { 0 })
    }

    fn general_capacity(&self) -> BlockCount {
        self.capacity.saturating_sub(self.reserve())
    }

    fn largest_request(&self, lane: LaneName) -> BlockCount {
        match lane {
            LaneName::UrgentShort => self.capacity,
            _ => self.general_capacity(),
        }
    }

    fn lane_of(&self, request: &QueuedRequest) -> LaneName {
        let short = (self.reserve().get() as f64 * self.settings.short_part) as u64;
        match request.class {
            WorkClass::Urgent if request.tokens.blocks().get() <= short.max(1) => {
                LaneName::UrgentShort
            }
            WorkClass::Urgent => LaneName::UrgentLong,
            WorkClass::Standard => LaneName::Standard,
            WorkClass::Bulk => LaneName::Bulk,
        }
    }

    fn fits(&self, waiting: &WaitingRequest) -> bool {
        let blocks = waiting.request.tokens.blocks();
        let in_total = self.load.blocks_in_flight + blocks <= self.capacity;
        let general = self.general_blocks + blocks <= self.general_capacity();
        in_total && (general || waiting.lane == LaneName::UrgentShort)
    }

    /// Virtual time of `tokens`; calls without tokens count as one.
    fn virtual_cost(&self, organisation: &OrganisationId, tokens: TokenCount) -> u64 {
        let weight = self.weights.get(organisation).copied().unwrap_or(1);
        tokens.get().max(1).saturating_mul(VIRTUAL_PER_TOKEN) / u64::from(weight)
    }

    /// The oldest aged request, if it is its turn and it fits.
    fn aged_turn(&mut self, now: TimePoint) -> Option<ArrivalNumber> {
        if self.starts_since_aged + 1 < self.settings.aged_interval {
            return None;
        }
        let (&number, waiting) = self.waiting.first_key_value()?;
        if now.since(waiting.arrived) < self.settings.aged_after {
            return None;
        }
        if self.fits(waiting) {
            return Some(number);
        }
        let first_barred = waiting.lane.min(LaneName::Standard);
        self.hold(number, first_barred);
        None
    }

    /// First request of a lane, in the order of the lane, that fits and is not barred.
    fn first_fitting(&mut self, lane: LaneName, now: TimePoint) -> Option<ArrivalNumber> {
        if let Some(held) = self.held
            && lane >= held.first_barred
        {
            return self
                .fits(&self.waiting[&held.number])
                .then_some(held.number);
        }
        let mut blocked = Vec::new();
        let heads = &self.lanes[lane as usize].heads;
        for &(_, _, number) in heads {
            let waiting = &self.waiting[&number];
            if self.fits(waiting) {
                self.note_blocked(&blocked, now);
                return Some(number);
            }
            blocked.push(number);
            let since = waiting.blocked_since.unwrap_or(now);
            // The reserve frees up quickly, so short requests need no hold.
            let held = now.since(since) >= self.settings.hold_after;
            if held && lane != LaneName::UrgentShort {
                self.hold(number, lane);
                break;
            }
        }
        self.note_blocked(&blocked, now);
        None
    }

    fn note_blocked(&mut self, numbers: &[ArrivalNumber], now: TimePoint) {
        for number in numbers {
            let waiting = self.waiting.get_mut(number);
            let waiting = waiting.expect("heads of lanes are waiting requests");
            waiting.blocked_since.get_or_insert(now);
        }
    }

    /// Keeps memory free for a request, unless a request that bars more lanes is already held.
    fn hold(&mut self, number: ArrivalNumber, first_barred: LaneName) {
        if self
            .held
            .is_none_or(|held| first_barred < held.first_barred)
        {
            self.held = Some(HeldRequest {
                number,
                first_barred,
            });
        }
    }

    fn start(&mut self, number: ArrivalNumber, now: TimePoint) -> StartedRequest {
        let waiting = &self.waiting[&number];
        let lane_name = waiting.lane;
        let organisation = waiting.request.organisation.clone();
        let charged = self.virtual_cost(&organisation, waiting.request.tokens);
        let lane = &mut self.lanes[lane_name as usize];
        // The flow is charged while the request is still in it, so that its debt is kept.
        let start = lane.update(&organisation, |flow, _| {
            let start = flow.virtual_start;
            flow.virtual_start = start.saturating_add(charged);
            start
        });
        lane.virtual_time = lane.virtual_time.max(start);
        let waiting = self.remove_waiting(number);
        let request = waiting.request;
        let blocks = request.tokens.blocks();
        self.load.running += 1;
        self.load.blocks_in_flight = self.load.blocks_in_flight + blocks;
        self.load.tokens_in_flight = self.load.tokens_in_flight + request.tokens;
        if lane_name != LaneName::UrgentShort {
            self.general_blocks = self.general_blocks + blocks;
        }
        self.places
            .insert(request.id.clone(), AttemptPlace::Running);
        let running = RunningRequest {
            organisation,
            lane: lane_name,
            tokens: request.tokens,
            blocks,
            charged,
        };
        self.running.insert(request.id.clone(), running);
        let waited = now.since(waiting.arrived);
        let difference = waited.as_millis() as f64 - self.mean_wait_ms;
        self.mean_wait_ms += difference * WAIT_SMOOTHING;
        StartedRequest { request, waited }
    }

    fn remove_waiting(&mut self, number: ArrivalNumber) -> WaitingRequest {
        let waiting = self.waiting.remove(&number);
        let waiting = waiting.expect("the number belongs to a waiting request");
        let order = (waiting.request.deadline, number);
        self.lanes[waiting.lane as usize].remove(&waiting.request.organisation, order);
        self.deadlines.remove(&order);
        self.places.remove(&waiting.request.id);
        if self.held.is_some_and(|held| held.number == number) {
            self.held = None;
        }
        waiting
    }

    fn expire(&mut self, now: TimePoint) {
        while let Some(&(deadline, number)) = self.deadlines.first()
            && deadline <= now
        {
            let waiting = self.remove_waiting(number);
            self.expired.push(waiting.request);
        }
    }

    /// Makes room in a full queue by displacing a less urgent request, or one of an organisation
    /// that has more requests waiting in the same lane.
    fn make_room(
        &mut self,
        request: &QueuedRequest,
        lane: LaneName,
    ) -> Result<Option<QueuedRequest>, QueueRefusal> {
        if self.waiting.len() < self.settings.max_waiting {
            return Ok(None);
        }
        let victim = self
            .latest_below(lane)
            .or_else(|| self.latest_of_longest(lane, &request.organisation));
        let Some(victim) = victim else {
            let retry_after = self.retry_after();
            return FullSnafu { retry_after }.fail();
        };
        Ok(Some(self.remove_waiting(victim).request))
    }

    fn latest_below(&self, lane: LaneName) -> Option<ArrivalNumber> {
        let mut lanes = self.lanes[lane as usize + 1..].iter().rev();
        lanes.find_map(|lane| lane.arrivals.last().copied())
    }

    fn latest_of_longest(
        &self,
        lane: LaneName,
        organisation: &OrganisationId,
    ) -> Option<ArrivalNumber> {
        let lane = &self.lanes[lane as usize];
        let own = lane.waiting_of(organisation);
        let flows = lane.flows.values();
        let longest = flows.max_by_key(|flow| (flow.requests.len(), flow.requests.last()))?;
        let (_, number) = longest.requests.last()?;
        (longest.requests.len() > own + 1).then_some(*number)
    }

    /// Mean wait of recent starts.
    fn retry_after(&self) -> Duration {
        let wait = Duration::from_millis(self.mean_wait_ms as u64);
        wait.max(self.settings.min_retry_after)
    }
}
