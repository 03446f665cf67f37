//! Charges requests to the tokens that an entry holds.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_policy::quota::{
    ChargeEpoch, LedgerAnswer, QuotaBounds, QuotaShare, QuotaSpec, ShareAsk, VersionedSpec,
};
use oriolecrank_routing::OrganisationName;
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::event::LogEvent;
use rand::Rng as _;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use crate::dialect::CallFailure;
use crate::running_attempt::current_time;

/// Lifetime of tokens, from the sending of the ask that they answer. Longer than a change of the
/// leader, so that entries go on meanwhile.
pub(crate) const TOKEN_LIFETIME: Duration = Duration::from_secs(3);

/// Longest wait of a request for tokens: a round trip to a leader in another region and some delay.
const TOKEN_WAIT: Duration = Duration::from_millis(120);

/// Time without a refusal after which the next one is logged.
const QUIET_TIME: Duration = Duration::from_secs(5);

/// Shares of all organisations with a quota, at one entry.
#[derive(Debug)]
pub(crate) struct QuotaGate {
    bounds: QuotaBounds,
    /// Never held across an await.
    shares: Mutex<IndexMap<OrganisationName, GatedShare>>,
    /// Notified when a request lacks tokens.
    pub(super) lacking: Notify,
    /// Notified when the leader has answered, or has not in time.
    answered: Notify,
}

#[derive(Debug)]
struct GatedShare {
    share: QuotaShare,
    refused_at: Option<TimePoint>,
}

impl QuotaGate {
    pub(crate) fn new(bounds: QuotaBounds) -> Self {
        Self {
            bounds,
            shares: Mutex::default(),
            lacking: Notify::new(),
            answered: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<OrganisationName, GatedShare>> {
        self.shares
            .lock()
            .expect("no holder of the quota lock panics")
    }

    fn with_share<T>(
        &self,
        organisation: &OrganisationName,
        job: impl FnOnce(&mut GatedShare) -> T,
    ) -> Option<T> {
        self.lock().get_mut(organisation).map(job)
    }

    /// Charges a request of `cost` tokens, and waits a moment for tokens from the leader if there
    /// are too few. `version` is that of the document with the quota.
    pub(crate) async fn charge(
        self: &Arc<Self>,
        organisation: &OrganisationName,
        spec: QuotaSpec,
        version: u64,
        cost: u64,
        entries: u32,
    ) -> Result<QuotaTicket, CallFailure> {
        let now = current_time();
        self.register(organisation, VersionedSpec { version, spec }, cost, now);
        if let Some(ticket) = self.try_charge(organisation, cost, now) {
            return Ok(ticket);
        }
        let may_wait = self.with_share(organisation, |gated| {
            gated.share.can_admit(cost) && !gated.share.is_short(now)
        });
        if may_wait == Some(true) {
            let _wait = ShareWait::begin(self, organisation, cost);
            let deadline = Instant::now() + TOKEN_WAIT;
            loop {
                let answered = self.answered.notified();
                self.lacking.notify_one();
                let in_time = timeout_at(deadline, answered).await.is_ok();
                let now = current_time();
                if let Some(ticket) = self.try_charge(organisation, cost, now) {
                    return Ok(ticket);
                }
                let is_short = self.with_share(organisation, |gated| gated.share.is_short(now));
                if !in_time || is_short != Some(false) {
                    break;
                }
            }
        }
        Err(self.refuse(organisation, cost, entries, current_time()))
    }

    fn register(
        &self,
        organisation: &OrganisationName,
        stated: VersionedSpec,
        cost: u64,
        now: TimePoint,
    ) {
        let mut shares = self.lock();
        if !shares.contains_key(organisation) {
            let share = QuotaShare::new(stated, &self.bounds, TOKEN_LIFETIME);
            let refused_at = None;
            shares.insert(organisation.clone(), GatedShare { share, refused_at });
        }
        if let Some(gated) = shares.get_mut(organisation) {
            gated
                .share
                .set_spec(stated.version, stated.spec, &self.bounds);
            gated.share.record_demand(cost, now);
        }
    }

    fn try_charge(
        self: &Arc<Self>,
        organisation: &OrganisationName,
        cost: u64,
        now: TimePoint,
    ) -> Option<QuotaTicket> {
        let epoch = self.with_share(organisation, |gated| gated.share.charge(cost, now))??;
        Some(QuotaTicket {
            gate: Arc::clone(self),
            organisation: organisation.clone(),
            cost,
            epoch,
            spent: AtomicBool::new(false),
        })
    }

    fn refuse(
        &self,
        organisation: &OrganisationName,
        cost: u64,
        entries: u32,
        now: TimePoint,
    ) -> CallFailure {
        let random = rand::rng().random();
        let refused = self.with_share(organisation, |gated| {
            let is_first = gated
                .refused_at
                .is_none_or(|refused_at| now.since(refused_at) > QUIET_TIME);
            gated.refused_at = Some(now);
            let wait = gated.share.return_time(cost, entries, random, now);
            (wait, is_first)
        });
        let (retry_after, is_first) = refused.unwrap_or_default();
        if is_first {
            tracing::info!(
                event = LogEvent::QuotaReached.number(),
                %organisation,
                cost,
                "requests of an organisation are refused because they exceed its quota"
            );
        }
        CallFailure::OverQuota { retry_after }
    }

    /// Asks for all organisations that need tokens.
    pub(super) fn asks(&self, entries: u32, now: TimePoint) -> Vec<(OrganisationName, ShareAsk)> {
        let mut shares = self.lock();
        let asks = shares.iter_mut().filter_map(|(organisation, gated)| {
            let ask = gated.share.ask(entries, now)?;
            Some((organisation.clone(), ask))
        });
        asks.collect()
    }

    /// Applies answers to asks that were sent at `sent_at`; `None` without an answer.
    pub(super) fn apply(
        &self,
        asks: &[(OrganisationName, ShareAsk)],
        answers: &[Option<LedgerAnswer>],
        sent_at: TimePoint,
        now: TimePoint,
    ) {
        let mut shares = self.lock();
        for (index, (organisation, ask)) in asks.iter().enumerate() {
            let Some(gated) = shares.get_mut(organisation) else {
                continue;
            };
            match answers.get(index).copied().flatten() {
                Some(answer) => gated.share.apply(ask, answer, sent_at, now),
                None => gated.share.record_no_answer(now),
            }
        }
        drop(shares);
        self.answered.notify_waiters();
    }
}

/// A request that waits for tokens, until it is dropped.
struct ShareWait<'a> {
    gate: &'a QuotaGate,
    organisation: &'a OrganisationName,
    cost: u64,
}

impl<'a> ShareWait<'a> {
    fn begin(gate: &'a QuotaGate, organisation: &'a OrganisationName, cost: u64) -> Self {
        gate.with_share(organisation, |gated| gated.share.begin_wait(cost));
        Self {
            gate,
            organisation,
            cost,
        }
    }
}

impl Drop for ShareWait<'_> {
    fn drop(&mut self) {
        self.gate
            .with_share(self.organisation, |gated| gated.share.end_wait(self.cost));
    }
}

/// Tokens of an accepted request. They return to the share if the request ends before an attempt is
/// sent.
#[derive(Debug)]
pub(crate) struct QuotaTicket {
    gate: Arc<QuotaGate>,
    organisation: OrganisationName,
    cost: u64,
    epoch: ChargeEpoch,
    spent: AtomicBool,
}

impl QuotaTicket {
    /// Uses the tokens, before the first attempt is sent. False if they have lapsed, as on a machine
    /// that was suspended; the request must not be sent then.
    pub(crate) fn spend(&self, now: TimePoint) -> bool {
        if self.spent.load(Ordering::Relaxed) {
            return true;
        }
        let spent = self.gate.with_share(&self.organisation, |gated| {
            gated.share.spend(self.cost, self.epoch, now)
        });
        let spent = spent == Some(true);
        self.spent.store(spent, Ordering::Relaxed);
        spent
    }
}

impl Drop for QuotaTicket {
    fn drop(&mut self) {
        if !*self.spent.get_mut() {
            let now = current_time();
            self.gate.with_share(&self.organisation, |gated| {
                gated.share.return_charge(self.cost, self.epoch, now);
            });
        }
    }
}
