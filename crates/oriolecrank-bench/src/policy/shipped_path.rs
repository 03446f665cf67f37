//! The request path of `oriolecrank-policy`: admission, choice of the upstream, queues, retry
//! budgets and placement of requests that are suspected of crashing engines.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use oriolecrank_policy::admission::{
    AdmissionControl, AdmissionRequest, AdmissionSettings, AdmittedRequest,
};
use oriolecrank_policy::limit_key::RequestSize;
use oriolecrank_policy::load_estimate::LoadReport as EngineLoad;
use oriolecrank_policy::prefix_map::PrefixHash;
use oriolecrank_policy::rate_limiter::{LimiterSettings, RateLimiter};
use oriolecrank_policy::request_queue::{QueueSettings, QueuedRequest, RequestQueue};
use oriolecrank_policy::retry_budget::{RetryBudget, RetrySettings};
use oriolecrank_policy::subset::EntryIdentity;
use oriolecrank_policy::suspect_placement::{
    FingerprintState, PlacementRule, SuspectKey, SuspectTable,
};
use oriolecrank_policy::upstream_chooser::{
    ChoiceRequest, ChooserSettings, DispatchTicket, UpstreamChooser,
};
use oriolecrank_policy::upstream_state::{NetworkLocation, UpstreamPhase, UpstreamState};
use oriolecrank_policy::{AttemptId, BlockCount, TokenCount, WorkClass};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::UpstreamRole;
use oriolecrank_schema::document::{FailureDomainId, OrganisationId, RegionId, UpstreamId};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use super::capacity_control::service_id;
use super::engine_model::{MEMORY_BLOCKS, PLAIN_SLOTS};
use super::replay::time_point;
use super::request_path::{Attempt, EngineInfo, LoadReport, OfferResult, RequestPath};
use super::scenario::Scenario;
use super::score::{MAX_FIRST_TOKEN_US, MAX_TOKEN_GAP_US};
use super::traffic::Call;

/// Number of tokens in a block of the prefix map.
const BLOCK_TOKENS: u32 = 1_000;

/// Time for which a request stays suspect or refused after a crash.
const SUSPECT_LIFETIME: Duration = Duration::from_mins(10);

/// Number of crashes after which a request is refused.
const REFUSED_AFTER_CRASHES: u32 = 2;

/// Decision functions and tables of one entry.
#[derive(Debug)]
struct EntryPath {
    admission: AdmissionControl,
    /// One per pool, then one for the plain service.
    choosers: Vec<UpstreamChooser>,
    suspects: SuspectTable,
    retries: RetryBudget,
}

/// Queue of an agent, and the state of its upstream as the entries see it.
#[derive(Debug)]
struct AgentPath {
    queue: RequestQueue,
    /// Waiting and running attempts, by index of the call.
    attempts: HashMap<u32, Attempt>,
    state: UpstreamState,
    pool: usize,
}

/// A call that an entry has admitted and that has not ended.
#[derive(Debug)]
struct OpenCall {
    admitted: AdmittedRequest,
    /// Set while an attempt is dispatched.
    ticket: Option<DispatchTicket>,
    upstream: Option<UpstreamId>,
}

/// The request path of all policies but the static one, with one entry per failure domain.
#[derive(Debug)]
pub struct ShippedPath {
    /// One entry per failure domain.
    entries: Vec<EntryPath>,
    domains: usize,
    regions: usize,
    agents: Vec<AgentPath>,
    /// Admitted calls by index.
    open: HashMap<u32, OpenCall>,
    /// Crashes by call, as the replicated state machine counts them.
    crashes: HashMap<u32, u32>,
    organisations: Vec<OrganisationId>,
    rng: ChaCha8Rng,
}

impl ShippedPath {
    /// A path with default settings.
    pub fn new(scenario: &Scenario, seed: u64) -> Self {
        let entry = |domain: usize| {
            let identity = EntryIdentity {
                name: format!("entry-{domain}"),
                location: network_location(domain, domain % scenario.regions),
            };
            let chooser = || UpstreamChooser::new(ChooserSettings::default(), identity.clone());
            EntryPath {
                admission: AdmissionControl::new(
                    AdmissionSettings::default(),
                    RateLimiter::new(LimiterSettings::default()),
                ),
                choosers: (0..=scenario.pools.len()).map(|_| chooser()).collect(),
                suspects: SuspectTable::default(),
                retries: RetryBudget::new(RetrySettings::default()),
            }
        };
        let organisations = 0..scenario.organisations.len();
        Self {
            entries: (0..scenario.domains).map(entry).collect(),
            domains: scenario.domains,
            regions: scenario.regions,
            agents: Vec::new(),
            open: HashMap::new(),
            crashes: HashMap::new(),
            organisations: organisations
                .map(|index| OrganisationId(format!("organisation-{index}")))
                .collect(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Updates the list of the pool's upstreams at all entries.
    fn update_pool(&mut self, pool: usize) {
        let members = self.agents.iter().filter(|agent| agent.pool == pool);
        let states: Vec<UpstreamState> = members.map(|agent| agent.state.clone()).collect();
        for entry in &mut self.entries {
            entry.choosers[pool].update(&states);
        }
    }

    /// Removes the dispatch of a call from the load estimate of its upstream, and frees the
    /// upstream for other suspects.
    fn release(&mut self, attempt: &Attempt, served: bool, now: TimePoint) {
        let entry = &mut self.entries[entry_of(attempt, self.domains, self.regions)];
        let Some(open) = self.open.get_mut(&attempt.id) else {
            return;
        };
        if let Some(ticket) = open.ticket.take() {
            let chooser = &mut entry.choosers[usize::from(attempt.call.pool)];
            chooser.finish(&ticket, served, now);
        }
        if let Some(upstream) = open.upstream.take() {
            let key = suspect_key(&self.organisations, attempt);
            entry.suspects.record_end(&key, &upstream);
        }
    }
}

/// An empty queue with default settings and the capacity of the role.
fn queue(role: UpstreamRole) -> RequestQueue {
    RequestQueue::new(QueueSettings::default(), capacity(role))
}

/// Capacity that an agent announces: calls of a plain service, otherwise blocks of memory.
fn capacity(role: UpstreamRole) -> BlockCount {
    BlockCount::new(match role {
        UpstreamRole::Plain => PLAIN_SLOTS as u64,
        // Long reads are limited by the memory, and chats, which need one block each, by the batch
        // size. A fifth of the announced blocks is reserved for urgent work, which leaves 48 of 60
        // for chats: the batch size of a decode engine.
        UpstreamRole::Prefill | UpstreamRole::Mixed => MEMORY_BLOCKS,
        UpstreamRole::Decode => 60,
    })
}

fn network_location(domain: usize, region: usize) -> NetworkLocation {
    NetworkLocation {
        failure_domain: FailureDomainId(format!("domain-{domain}")),
        region: RegionId(format!("region-{region}")),
    }
}

/// Index of the entry that receives a call. Calls of a region are spread over the entries of its
/// failure domains.
fn entry_of(attempt: &Attempt, domains: usize, regions: usize) -> usize {
    let region = usize::from(attempt.call.region);
    let in_region = (domains - region).div_ceil(regions);
    region + attempt.id as usize % in_region * regions
}

fn suspect_key(organisations: &[OrganisationId], attempt: &Attempt) -> SuspectKey {
    SuspectKey {
        organisation: organisations[usize::from(attempt.call.organisation)].clone(),
        fingerprint: format!("{}", attempt.id).into(),
    }
}

fn attempt_id(attempt: &Attempt) -> AttemptId {
    AttemptId {
        request_id: format!("{}", attempt.id).into(),
        attempt: attempt.number,
    }
}

fn class(call: &Call) -> WorkClass {
    if call.deadline_us.is_some() {
        WorkClass::Urgent
    } else {
        WorkClass::Standard
    }
}

/// Latest time of the last token of an answer that is on time.
fn complete_by(call: &Call) -> TimePoint {
    let tokens_us = u64::from(call.output.saturating_sub(1)) * MAX_TOKEN_GAP_US;
    let by = call.arrival_us + MAX_FIRST_TOKEN_US + tokens_us;
    time_point(call.deadline_us.map_or(by, |deadline| deadline.min(by)))
}

/// Time until which an attempt may wait in the queue. One that continues an answer may wait until a
/// minute after [`complete_by`].
fn start_by(attempt: &Attempt) -> TimePoint {
    if attempt.sent > 0 {
        return complete_by(&attempt.call) + Duration::from_mins(1);
    }
    time_point(attempt.call.arrival_us + MAX_FIRST_TOKEN_US)
}

/// Expected completion of an attempt that starts at the latest time, but at most [`complete_by`].
fn completion_deadline(attempt: &Attempt, service_time: Duration) -> TimePoint {
    (start_by(attempt) + service_time).min(complete_by(&attempt.call))
}

/// Hashes of the prompt's blocks. Blocks of the shared beginning are equal for all calls that share
/// it; bit 48 marks blocks of this call alone.
fn prefixes(attempt: &Attempt) -> Vec<PrefixHash> {
    let call = &attempt.call;
    let shared = call.prefix_tokens / BLOCK_TOKENS;
    let total = call.prompt / BLOCK_TOKENS;
    (0..total)
        .map(|block| {
            let (marker, owner) = if block < shared {
                (0, call.prefix)
            } else {
                (1 << 48, attempt.id)
            };
            PrefixHash::from(marker | u64::from(owner) << 8 | u64::from(block))
        })
        .collect()
}

fn size(call: &Call) -> RequestSize {
    RequestSize {
        prompt: TokenCount::new(u64::from(call.prompt)),
        output: TokenCount::new(u64::from(call.output)),
    }
}

impl RequestPath for ShippedPath {
    const RETRIES: bool = true;

    fn add_engine(&mut self, info: EngineInfo) {
        let pool = usize::from(info.pool);
        self.agents.push(AgentPath {
            queue: queue(info.role),
            attempts: HashMap::new(),
            state: UpstreamState {
                upstream: UpstreamId(format!("{}", self.agents.len())),
                incarnation: 1,
                location: network_location(usize::from(info.domain), usize::from(info.region)),
                address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
                role: info.role.into(),
                phase: UpstreamPhase::Changing,
                capacity: capacity(info.role),
                model: None,
                version: None,
            },
            pool,
        });
        self.update_engine(self.agents.len() - 1, info);
    }

    fn update_engine(&mut self, engine: usize, info: EngineInfo) {
        let agent = &mut self.agents[engine];
        agent.state.role = info.role.into();
        agent.state.capacity = capacity(info.role);
        agent.state.phase = if info.ready {
            UpstreamPhase::Ready
        } else {
            UpstreamPhase::Changing
        };
        self.update_pool(usize::from(info.pool));
    }

    fn observe(&mut self, report: &LoadReport, _now_us: u64) {
        let agent = &self.agents[report.engine];
        let load = EngineLoad::from_message(&report.load, time_point(report.taken_us));
        for entry in &mut self.entries {
            entry.choosers[agent.pool].record_load(&agent.state.upstream, load);
        }
    }

    fn admit(&mut self, attempt: &Attempt, now_us: u64) -> bool {
        let now = time_point(now_us);
        let entry = &mut self.entries[entry_of(attempt, self.domains, self.regions)];
        let key = suspect_key(&self.organisations, attempt);
        if entry.suspects.placement_rule(&key, now).is_err() {
            return false;
        }
        if self.open.contains_key(&attempt.id) {
            return true;
        }
        let prefixes = prefixes(attempt);
        let size = size(&attempt.call);
        let choice = ChoiceRequest {
            class: class(&attempt.call),
            model: None,
            prompt: size.prompt,
            output: size.output,
            prefixes: &prefixes,
            deadline: complete_by(&attempt.call),
            excluded: &[],
        };
        let chooser = &entry.choosers[usize::from(attempt.call.pool)];
        let choice = ChoiceRequest {
            deadline: completion_deadline(attempt, chooser.expected_service(&choice)),
            ..choice
        };
        let request = AdmissionRequest {
            organisation: Some(&key.organisation),
            service: &service_id(usize::from(attempt.call.pool)),
            class: choice.class,
            size,
            deadline: choice.deadline,
            expected_delay: chooser.expected_delay(&choice, now),
            expected_service: chooser.expected_service(&choice),
        };
        let Ok(admitted) = entry.admission.admit(&request, now) else {
            return false;
        };
        let open = OpenCall {
            admitted,
            ticket: None,
            upstream: None,
        };
        self.open.insert(attempt.id, open);
        true
    }

    fn choose(&mut self, attempt: &Attempt, _: &[EngineInfo], now_us: u64) -> Option<usize> {
        let now = time_point(now_us);
        self.release(attempt, false, now);
        let entry = &mut self.entries[entry_of(attempt, self.domains, self.regions)];
        let key = suspect_key(&self.organisations, attempt);
        let excluded = match entry.suspects.placement_rule(&key, now) {
            Ok(PlacementRule::Anywhere) => Vec::new(),
            Ok(PlacementRule::AnywhereExcept { excluded }) => excluded,
            Err(_) => return None,
        };
        let prefixes = prefixes(attempt);
        let size = size(&attempt.call);
        let choice = ChoiceRequest {
            class: class(&attempt.call),
            model: None,
            prompt: size.prompt,
            output: size.output,
            prefixes: &prefixes,
            deadline: complete_by(&attempt.call),
            excluded: &excluded,
        };
        let chooser = &mut entry.choosers[usize::from(attempt.call.pool)];
        let choice = ChoiceRequest {
            deadline: completion_deadline(attempt, chooser.expected_service(&choice)),
            ..choice
        };
        let chosen = chooser.choose(&choice, now, &mut self.rng).ok()?;
        let is_retry = attempt.number > 1;
        let in_budget = !is_retry
            || entry
                .retries
                .spend(&key.organisation, &chosen.upstream, now);
        let placed = entry.suspects.record_start(&key, &chosen.upstream, now);
        if !in_budget || placed.is_err() {
            chooser.finish(&chosen.ticket, false, now);
            return None;
        }
        let open = self.open.get_mut(&attempt.id)?;
        open.ticket = Some(chosen.ticket);
        open.upstream = Some(chosen.upstream.clone());
        chosen.upstream.parse().ok()
    }

    fn offer(&mut self, engine: usize, attempt: &Attempt, now_us: u64) -> OfferResult {
        let size = size(&attempt.call);
        let request = QueuedRequest {
            id: attempt_id(attempt),
            organisation: self.organisations[usize::from(attempt.call.organisation)].clone(),
            class: class(&attempt.call),
            deadline: start_by(attempt),
            tokens: size.prompt + size.output,
        };
        let agent = &mut self.agents[engine];
        let Ok(offered) = agent.queue.offer(request, time_point(now_us)) else {
            return OfferResult::Refused;
        };
        agent.attempts.insert(attempt.id, *attempt);
        let displaced = offered
            .displaced
            .and_then(|request| agent.attempts.remove(&call_index(&request.id)));
        OfferResult::Queued { displaced }
    }

    fn start_next(&mut self, engine: usize, now_us: u64) -> Option<Attempt> {
        let agent = &mut self.agents[engine];
        let started = agent.queue.start_next(time_point(now_us))?;
        agent
            .attempts
            .get(&call_index(&started.request.id))
            .copied()
    }

    fn take_expired(&mut self, engine: usize, now_us: u64) -> Vec<Attempt> {
        let agent = &mut self.agents[engine];
        let expired = agent.queue.take_expired(time_point(now_us)).into_iter();
        expired
            .filter_map(|request| agent.attempts.remove(&call_index(&request.id)))
            .collect()
    }

    fn finish(&mut self, engine: usize, id: u32, served: u32, now_us: u64) {
        let agent = &mut self.agents[engine];
        let Some(attempt) = agent.attempts.remove(&id) else {
            return;
        };
        let served = TokenCount::new(u64::from(served));
        agent.queue.finish(&attempt_id(&attempt), served);
        self.release(&attempt, true, time_point(now_us));
    }

    fn waiting(&self, engine: usize) -> usize {
        self.agents[engine].queue.load().waiting
    }

    fn withdraw(&mut self, engine: usize, clear_running: bool) -> Vec<Attempt> {
        let agent = &mut self.agents[engine];
        let waiting = agent.queue.begin_drain().into_iter();
        let waiting = waiting
            .filter_map(|request| agent.attempts.remove(&call_index(&request.id)))
            .collect();
        if clear_running {
            // After a crash or drain, the engine returns as a new incarnation with an empty queue.
            agent.queue = queue(UpstreamRole::Mixed);
            agent.attempts.clear();
            agent.state.incarnation += 1;
            let pool = agent.pool;
            self.update_pool(pool);
        }
        waiting
    }

    fn record_crash(&mut self, running: &[Attempt], now_us: u64) {
        let expires = time_point(now_us) + SUSPECT_LIFETIME;
        for attempt in running {
            let crashes = self.crashes.entry(attempt.id).or_default();
            *crashes += 1;
            let state = if *crashes >= REFUSED_AFTER_CRASHES {
                FingerprintState::Refused
            } else {
                FingerprintState::Suspect
            };
            let key = suspect_key(&self.organisations, attempt);
            for entry in &mut self.entries {
                entry.suspects.set(key.clone(), Some(state), expires);
            }
            self.release(attempt, false, time_point(now_us));
        }
    }

    fn record_call_end(&mut self, attempt: &Attempt, good: bool, now_us: u64) {
        let now = time_point(now_us);
        let upstream = self
            .open
            .get(&attempt.id)
            .and_then(|open| open.upstream.clone());
        self.release(attempt, false, now);
        let entry = &mut self.entries[entry_of(attempt, self.domains, self.regions)];
        let key = suspect_key(&self.organisations, attempt);
        if let Some(open) = self.open.remove(&attempt.id) {
            let served = good.then(|| size(&attempt.call));
            entry.admission.finish(open.admitted, served, now);
        }
        if let Some(upstream) = upstream.filter(|_| good) {
            entry
                .retries
                .record_success(&key.organisation, &upstream, now);
        }
        if good && self.crashes.remove(&attempt.id).is_some() {
            for entry in &mut self.entries {
                entry.suspects.set(key.clone(), None, now);
            }
        }
    }
}

/// Index of the call that an attempt belongs to.
fn call_index(id: &AttemptId) -> u32 {
    id.request_id
        .parse()
        .expect("request ids are indices of calls")
}
