//! The agent's queue: decides which request runs next, within the memory of the upstream.
//!
//! Requests wait in four lanes, which are served in order of priority: short urgent, long urgent,
//! standard and bulk. Within a lane, organisations share the served tokens by weight (start-time
//! fair queueing); the requests of one organisation, and ties between organisations, are ordered by
//! deadline. Three rules prevent starvation:
//!
//! - Part of the memory is reserved for short urgent requests, so that long requests, even urgent
//!   ones, cannot block them.
//! - A request that does not fit is passed over only for a short time; then its lane and all lanes
//!   of lower priority wait until it fits.
//! - One of every [`QueueSettings::aged_interval`] starts goes to the oldest request, regardless of
//!   its lane, once that has waited for [`QueueSettings::aged_after`].

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

/// Virtual time per token at weight 1. Larger than 1 to keep precision in divisions by the weight.
const VIRTUAL_TIME_PER_TOKEN: u64 = 1_024;

/// Weight of the newest wait in the moving average of waits.
const WAIT_SMOOTHING: f64 = 0.1;

/// Settings of the queue.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueSettings {
    /// Largest number of waiting requests.
    pub max_waiting: usize,
    /// Fraction of the memory that only short urgent requests may use.
    pub urgent_reserve: f64,
    /// An urgent request is short if it needs at most this fraction of the reserve.
    pub short_request_fraction: f64,
    /// How long a request that does not fit may be passed over. Then freed memory is held for it.
    pub hold_after: Duration,
    /// A request that has waited this long counts as aged.
    pub aged_after: Duration,
    /// The oldest aged request takes one of this many starts, regardless of its lane.
    pub aged_interval: u32,
    /// Shortest retry delay suggested with a refusal.
    pub min_retry_after: Duration,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            max_waiting: 256,
            urgent_reserve: 0.2,
            short_request_fraction: 0.25,
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
    /// When the request was first next in turn but did not fit.
    blocked_since: Option<TimePoint>,
}

#[derive(Debug)]
struct RunningRequest {
    organisation: OrganisationId,
    lane: LaneName,
    tokens: TokenCount,
    blocks: BlockCount,
    /// Virtual time that the organisation was charged at the start, before the actual tokens are
    /// known.
    charged_virtual_time: u64,
}

/// Holds freed memory for a request that did not fit.
#[derive(Debug, Clone, Copy)]
struct MemoryHold {
    number: ArrivalNumber,
    /// This lane and those of lower priority start nothing else until the request fits.
    first_blocked_lane: LaneName,
}

#[derive(Debug, Clone, Copy)]
enum AttemptState {
    Waiting(ArrivalNumber),
    Running,
}

/// Queue of one agent.
#[derive(Debug)]
pub struct RequestQueue {
    settings: QueueSettings,
    capacity: BlockCount,
    /// Organisations that are missing have weight 1.
    weights: HashMap<OrganisationId, u32>,
    draining: bool,
    next_number: u64,
    lanes: [QueueLane; LANE_COUNT],
    waiting: BTreeMap<ArrivalNumber, WaitingRequest>,
    /// Deadlines of all waiting requests.
    deadlines: BTreeSet<DeadlineOrder>,
    running: HashMap<AttemptId, RunningRequest>,
    /// State of each attempt in `waiting` or `running`.
    attempts: HashMap<AttemptId, AttemptState>,
    /// Sums over `running`; the number of waiting requests is not maintained here.
    load: QueueLoad,
    /// Blocks of those running requests that may not use the reserve.
    general_blocks: BlockCount,
    memory_hold: Option<MemoryHold>,
    starts_since_aged: u32,
    mean_wait_ms: f64,
    /// Requests that expired while waiting, until the next [`Self::take_expired`].
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
            attempts: HashMap::new(),
            load: QueueLoad::default(),
            general_blocks: BlockCount::default(),
            memory_hold: None,
            starts_since_aged: 0,
            mean_wait_ms: 0.0,
            expired: Vec::new(),
        }
    }

    /// Changes the capacity, for example after a role change. Running requests are not affected.
    ///
    /// Removes and returns the waiting requests that exceed the new capacity. They have not run.
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

    /// Adds a request to the queue, or refuses it. If the queue is full, it may displace another.
    pub fn offer(
        &mut self,
        request: QueuedRequest,
        now: TimePoint,
    ) -> Result<OfferedRequest, QueueRefusal> {
        ensure!(!self.attempts.contains_key(&request.id), DuplicateSnafu);
        ensure!(!self.draining, DrainingSnafu);
        ensure!(now < request.deadline, ExpiredSnafu);
        let blocks = request.tokens.blocks();
        let lane = self.lane_for(&request);
        let limit = self.largest_request(lane);
        ensure!(blocks <= limit, TooLargeSnafu { blocks, limit });
        self.expire(now);
        let displaced = self.make_room(&request, lane)?;
        let number = ArrivalNumber(self.next_number);
        self.next_number += 1;
        let order = (request.deadline, number);
        self.lanes[lane as usize].add(&request.organisation, order);
        self.deadlines.insert(order);
        self.attempts
            .insert(request.id.clone(), AttemptState::Waiting(number));
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

    /// Starts the next request; `None` if no request is waiting or none that may run now fits.
    ///
    /// The agent must call this repeatedly until it returns `None`, after each offered and each
    /// finished request and at least once a second, because [`QueueSettings::hold_after`] depends
    /// on time.
    pub fn start_next(&mut self, now: TimePoint) -> Option<StartedRequest> {
        self.expire(now);
        if let Some(number) = self.next_aged(now) {
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

    /// Releases the memory of a running request and corrects the charge of its organisation by the
    /// tokens actually served. Returns whether the attempt was running.
    pub fn finish(&mut self, id: &AttemptId, served: TokenCount) -> bool {
        let Some(running) = self.running.remove(id) else {
            return false;
        };
        self.attempts.remove(id);
        self.load.running -= 1;
        self.load.blocks_in_flight = self.load.blocks_in_flight.saturating_sub(running.blocks);
        let tokens = self.load.tokens_in_flight.get() - running.tokens.get();
        self.load.tokens_in_flight = TokenCount::new(tokens);
        if running.lane != LaneName::UrgentShort {
            self.general_blocks = self.general_blocks.saturating_sub(running.blocks);
        }
        let cost = self.virtual_time_cost(&running.organisation, served);
        let lane = &mut self.lanes[running.lane as usize];
        lane.update(&running.organisation, |flow, virtual_time| {
            if flow.requests.is_empty() {
                flow.virtual_start = flow.virtual_start.max(virtual_time);
            }
            // A refund below this floor would be credit for idle time.
            let floor = flow.virtual_start.min(virtual_time);
            let start = (flow.virtual_start + cost).saturating_sub(running.charged_virtual_time);
            flow.virtual_start = start.max(floor);
        });
        true
    }

    /// Removes a request that is still waiting, because its caller has disconnected.
    pub fn cancel(&mut self, id: &AttemptId) -> CancelledRequest {
        match self.attempts.get(id) {
            None => CancelledRequest::Unknown,
            Some(AttemptState::Running) => CancelledRequest::Running,
            Some(AttemptState::Waiting(number)) => {
                let number = *number;
                CancelledRequest::Waiting(self.remove_waiting(number).request)
            }
        }
    }

    /// Removes and returns the waiting requests whose deadline has passed. They have not run.
    pub fn take_expired(&mut self, now: TimePoint) -> Vec<QueuedRequest> {
        self.expire(now);
        std::mem::take(&mut self.expired)
    }

    /// Earliest deadline of the waiting requests, `None` if there are none.
    pub fn next_deadline(&self) -> Option<TimePoint> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Starts to refuse new requests. Removes and returns the waiting ones, which have not run.
    pub fn begin_drain(&mut self) -> Vec<QueuedRequest> {
        self.draining = true;
        self.take_waiting()
    }

    /// Removes and returns the waiting requests, which have not run.
    pub fn take_waiting(&mut self) -> Vec<QueuedRequest> {
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

    /// Number and size of the waiting and running requests.
    pub fn load(&self) -> QueueLoad {
        QueueLoad {
            waiting: self.waiting.len(),
            ..self.load
        }
    }

    /// Attempts that are running; the agent reports them if the engine crashes.
    pub fn running(&self) -> impl Iterator<Item = &AttemptId> {
        self.running.keys()
    }

    /// Memory reserved for short urgent requests: nothing if the capacity is below four blocks,
    /// otherwise at least one block.
    fn reserve(&self) -> BlockCount {
        let capacity = self.capacity.get();
        let share = (capacity as f64 * self.settings.urgent_reserve) as u64;
        BlockCount::new(if capacity >= 4 { share.max(1) } else { 0 })
    }

    /// Memory that is available to all lanes.
    fn general_capacity(&self) -> BlockCount {
        self.capacity.saturating_sub(self.reserve())
    }

    /// Largest request that a lane accepts.
    fn largest_request(&self, lane: LaneName) -> BlockCount {
        match lane {
            LaneName::UrgentShort => self.capacity,
            _ => self.general_capacity(),
        }
    }

    fn lane_for(&self, request: &QueuedRequest) -> LaneName {
        let short_limit =
            (self.reserve().get() as f64 * self.settings.short_request_fraction) as u64;
        match request.class {
            WorkClass::Urgent if request.tokens.blocks().get() <= short_limit.max(1) => {
                LaneName::UrgentShort
            }
            WorkClass::Urgent => LaneName::UrgentLong,
            WorkClass::Standard => LaneName::Standard,
            WorkClass::Bulk => LaneName::Bulk,
        }
    }

    fn fits(&self, waiting: &WaitingRequest) -> bool {
        let blocks = waiting.request.tokens.blocks();
        let fits_capacity = self.load.blocks_in_flight + blocks <= self.capacity;
        let fits_general = self.general_blocks + blocks <= self.general_capacity();
        fits_capacity && (fits_general || waiting.lane == LaneName::UrgentShort)
    }

    /// Virtual time charged for `tokens`; a call without tokens counts as one token.
    fn virtual_time_cost(&self, organisation: &OrganisationId, tokens: TokenCount) -> u64 {
        let weight = self.weights.get(organisation).copied().unwrap_or(1);
        tokens.get().max(1).saturating_mul(VIRTUAL_TIME_PER_TOKEN) / u64::from(weight)
    }

    /// Returns the oldest waiting request if it has aged, a start of an aged request is due by
    /// [`QueueSettings::aged_interval`], and the request fits. If it is due but does not fit,
    /// memory is held for it.
    fn next_aged(&mut self, now: TimePoint) -> Option<ArrivalNumber> {
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
        // For an aged bulk request the standard lane is blocked too; it is served before the bulk
        // lane and would otherwise use the freed memory first.
        let first_blocked_lane = waiting.lane.min(LaneName::Standard);
        self.hold_memory(number, first_blocked_lane);
        None
    }

    /// First request of the lane that fits, in the order of the lane. If the lane is blocked, only
    /// the request that memory is held for may start.
    fn first_fitting(&mut self, lane: LaneName, now: TimePoint) -> Option<ArrivalNumber> {
        if let Some(hold) = self.memory_hold
            && lane >= hold.first_blocked_lane
        {
            return self
                .fits(&self.waiting[&hold.number])
                .then_some(hold.number);
        }
        let mut blocked = Vec::new();
        let heads = &self.lanes[lane as usize].heads;
        for &(_, _, number) in heads {
            let waiting = &self.waiting[&number];
            if self.fits(waiting) {
                self.mark_blocked(&blocked, now);
                return Some(number);
            }
            blocked.push(number);
            let since = waiting.blocked_since.unwrap_or(now);
            // Only short requests use the reserve, so it frees up quickly and needs no hold.
            let hold_due = now.since(since) >= self.settings.hold_after;
            if hold_due && lane != LaneName::UrgentShort {
                self.hold_memory(number, lane);
                break;
            }
        }
        self.mark_blocked(&blocked, now);
        None
    }

    fn mark_blocked(&mut self, numbers: &[ArrivalNumber], now: TimePoint) {
        for number in numbers {
            let waiting = self.waiting.get_mut(number);
            let waiting = waiting.expect("heads of lanes are waiting requests");
            waiting.blocked_since.get_or_insert(now);
        }
    }

    /// Holds memory for a request, unless it is already held for one that blocks at least as many
    /// lanes.
    fn hold_memory(&mut self, number: ArrivalNumber, first_blocked_lane: LaneName) {
        if self
            .memory_hold
            .is_none_or(|hold| first_blocked_lane < hold.first_blocked_lane)
        {
            self.memory_hold = Some(MemoryHold {
                number,
                first_blocked_lane,
            });
        }
    }

    fn start(&mut self, number: ArrivalNumber, now: TimePoint) -> StartedRequest {
        let waiting = &self.waiting[&number];
        let lane_name = waiting.lane;
        let organisation = waiting.request.organisation.clone();
        let charged_virtual_time = self.virtual_time_cost(&organisation, waiting.request.tokens);
        let lane = &mut self.lanes[lane_name as usize];
        // The flow must be charged before the request is removed, because an empty flow is dropped
        // unless its virtual start is ahead of the lane's virtual time.
        let start = lane.update(&organisation, |flow, _| {
            let start = flow.virtual_start;
            flow.virtual_start = start.saturating_add(charged_virtual_time);
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
        self.attempts
            .insert(request.id.clone(), AttemptState::Running);
        let running = RunningRequest {
            organisation,
            lane: lane_name,
            tokens: request.tokens,
            blocks,
            charged_virtual_time,
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
        self.attempts.remove(&waiting.request.id);
        if self.memory_hold.is_some_and(|hold| hold.number == number) {
            self.memory_hold = None;
        }
        waiting
    }

    /// Moves the waiting requests whose deadline has passed to `expired`.
    fn expire(&mut self, now: TimePoint) {
        while let Some(&(deadline, number)) = self.deadlines.first()
            && deadline <= now
        {
            let waiting = self.remove_waiting(number);
            self.expired.push(waiting.request);
        }
    }

    /// Makes room in a full queue by displacing a request of a lane with lower priority, or of an
    /// organisation with more waiting requests in the same lane. Returns the displaced request.
    fn make_room(
        &mut self,
        request: &QueuedRequest,
        lane: LaneName,
    ) -> Result<Option<QueuedRequest>, QueueRefusal> {
        if self.waiting.len() < self.settings.max_waiting {
            return Ok(None);
        }
        let displaced = self
            .latest_of_lowest_lane(lane)
            .or_else(|| self.latest_of_longest_flow(lane, &request.organisation));
        let Some(displaced) = displaced else {
            let retry_after = self.retry_after();
            return FullSnafu { retry_after }.fail();
        };
        Ok(Some(self.remove_waiting(displaced).request))
    }

    /// The newest request of the lowest-priority lane that has any, if its priority is below that
    /// of `lane`.
    fn latest_of_lowest_lane(&self, lane: LaneName) -> Option<ArrivalNumber> {
        let mut lanes = self.lanes[lane as usize + 1..].iter().rev();
        lanes.find_map(|lane| lane.arrivals.last().copied())
    }

    /// The request with the latest deadline of the organisation with the most requests in the lane,
    /// if that has at least two more than `organisation`.
    fn latest_of_longest_flow(
        &self,
        lane: LaneName,
        organisation: &OrganisationId,
    ) -> Option<ArrivalNumber> {
        let lane = &self.lanes[lane as usize];
        let own_waiting = lane.waiting_count(organisation);
        let flows = lane.flows.values();
        let longest = flows.max_by_key(|flow| (flow.requests.len(), flow.requests.last()))?;
        let (_, number) = longest.requests.last()?;
        (longest.requests.len() > own_waiting + 1).then_some(*number)
    }

    /// Suggested retry delay: the mean wait of recently started requests.
    fn retry_after(&self) -> Duration {
        let wait = Duration::from_millis(self.mean_wait_ms as u64);
        wait.max(self.settings.min_retry_after)
    }
}
