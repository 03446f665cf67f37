//! Handling of requests that may have crashed an upstream.
//!
//! A request that was running when an upstream crashed is a suspect; requests are identified by
//! their fingerprints. A suspect is rerun once, on an upstream that runs no other suspect, after
//! control has committed the permission. A refused fingerprint is not run at all.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use oriolecrank_net::{BootClock, ControlClient};
use oriolecrank_policy::suspect_placement::{
    PlacementRefusal, PlacementRule, SuspectKey, SuspectTable,
};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{Command, CommandOutcome, SuspectRecord};
use oriolecrank_schema::data_path::RunVerdict;
use oriolecrank_schema::document::{OrganisationId, UpstreamId};
use oriolecrank_schema::event::LogEvent;
use tokio::time::{Instant, sleep};

use crate::attempt_stream::AttemptError;
use crate::call_plan::CallPlan;
use crate::caller_answer::CallerError;
use crate::entry_context::EntryContext;
use crate::upstream_pool::Dispatch;

/// Code with which an agent reports that its upstream crashed while the request ran.
pub const UPSTREAM_CRASHED: &str = "upstream_crashed";

/// Code of the error for a request whose fingerprint is refused because it has crashed upstreams.
pub const FINGERPRINT_REFUSED: &str = "fingerprint_refused";

/// Code of the error for a suspect that may not run now, but may later.
pub const SUSPECT_HELD: &str = "suspect_held";

/// Time limit for commands about a suspect: permission to run, release and clearance.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait until the subscription reports a crash that this entry has seen.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which the suspects are checked while a crash report is awaited.
const REPORT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Largest number of upstreams for which permission is sought before the suspect is refused with
/// [`SUSPECT_HELD`].
const MAX_ASKED_UPSTREAMS: usize = 4;

/// Delay after which the caller of a suspect that may not run now is asked to retry.
const HELD_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Known suspects and the upstreams on which this entry runs them.
#[derive(Debug, Default)]
pub struct SuspectGate {
    /// Lock order: locked alone and never across an await.
    table: Mutex<SuspectTable>,
}

impl SuspectGate {
    /// Replaces the suspects and refused fingerprints with the complete list from control.
    pub fn update(&self, records: &[SuspectRecord], now: TimePoint) {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        let wall_ms = wall.map_or(0, |wall| wall.as_millis() as u64);
        let keys: Vec<SuspectKey> = records.iter().map(SuspectKey::from).collect();
        let mut table = self.table();
        table.retain(&keys);
        for (key, record) in keys.into_iter().zip(records) {
            // The end is a wall clock time of control. A clock difference only shifts the local
            // expiry; control removes the record itself.
            let remaining = Duration::from_millis(record.until_ms.saturating_sub(wall_ms));
            table.set(key, Some(record.state.into()), now + remaining);
        }
    }

    /// Removes expired fingerprints that are not running.
    pub fn forget_expired(&self, now: TimePoint) {
        self.table().forget_expired(now);
    }

    fn placement_rule(&self, plan: &CallPlan) -> Result<PlacementRule, PlacementRefusal> {
        self.table()
            .placement_rule(&suspect_key(plan), BootClock.now())
    }

    fn table(&self) -> MutexGuard<'_, SuspectTable> {
        self.table
            .lock()
            .expect("no holder of the suspect lock panics")
    }
}

fn suspect_key(plan: &CallPlan) -> SuspectKey {
    SuspectKey {
        organisation: OrganisationId(plan.template.organisation.clone()),
        fingerprint: plan.template.fingerprint.clone().into(),
    }
}

/// Returns an error if the fingerprint of a call is refused because it has crashed upstreams.
pub fn check_fingerprint(context: &EntryContext, plan: &CallPlan) -> Result<(), CallerError> {
    match context.suspects.placement_rule(plan) {
        Err(PlacementRefusal::Refused) => Err(fingerprint_refused(plan).into()),
        _ => Ok(()),
    }
}

/// Result of [`SuspectRerun::ask`].
#[derive(Debug)]
pub enum RerunDecision {
    /// The request may run on the upstream; `None` if it is no longer a suspect and needs no
    /// permit.
    Run(Option<Box<SuspectPermit>>),
    /// The request may not run on the upstream; another one must be chosen.
    OtherUpstream,
}

/// Search for an upstream on which a suspect may run.
#[derive(Debug)]
pub struct SuspectRerun {
    /// Upstreams that run a suspect, and those for which permission was refused.
    excluded: Vec<UpstreamId>,
    /// Number of upstreams for which permission was sought.
    asked: usize,
}

impl SuspectRerun {
    /// Starts a search if the call is a suspect; `None` if it is not.
    ///
    /// `crashed` means that an attempt of this call was running when its upstream crashed. The
    /// crash report is then awaited for up to a second, because the call would otherwise be retried
    /// without the restrictions of a suspect.
    ///
    /// # Errors
    ///
    /// Returns [`FINGERPRINT_REFUSED`] for a refused fingerprint. Returns [`SUSPECT_HELD`] if an
    /// equal request is running or the crash report does not arrive in time.
    pub async fn check(
        context: &EntryContext,
        plan: &CallPlan,
        crashed: bool,
    ) -> Result<Option<Self>, AttemptError> {
        let deadline = Instant::now() + REPORT_TIMEOUT;
        loop {
            match context.suspects.placement_rule(plan) {
                Err(PlacementRefusal::Refused) => return Err(fingerprint_refused(plan)),
                Err(refusal) => return Err(suspect_held(&refusal.to_string())),
                Ok(PlacementRule::AnywhereExcept { excluded }) => {
                    return Ok(Some(Self { excluded, asked: 0 }));
                }
                Ok(PlacementRule::Anywhere) if !crashed => return Ok(None),
                Ok(PlacementRule::Anywhere) if Instant::now() >= deadline => {
                    return Err(suspect_held(
                        "an upstream crashed while the request was running; retry later",
                    ));
                }
                Ok(PlacementRule::Anywhere) => sleep(REPORT_POLL_INTERVAL).await,
            }
        }
    }

    /// Upstreams on which the suspect must not run.
    pub fn excluded(&self) -> &[UpstreamId] {
        &self.excluded
    }

    /// Asks control for permission to run the suspect on the chosen upstream.
    ///
    /// # Errors
    ///
    /// Returns [`SUSPECT_HELD`] if no further upstream may be tried, or if control did not commit
    /// its decision in time.
    pub async fn ask(
        &mut self,
        context: &EntryContext,
        plan: &CallPlan,
        dispatch: &Dispatch,
    ) -> Result<RerunDecision, AttemptError> {
        let upstream = dispatch.upstream();
        if self.asked >= MAX_ASKED_UPSTREAMS || self.excluded.contains(upstream) {
            return Err(suspect_held(
                "the request may have crashed an upstream, and none is free for it; retry later",
            ));
        }
        self.asked += 1;
        let Some(permit) = SuspectPermit::reserve(context, plan, dispatch) else {
            self.excluded.push(upstream.clone());
            return Ok(RerunDecision::OtherUpstream);
        };
        let command = Command::RerunSuspect {
            fingerprint: plan.template.fingerprint.clone(),
            incarnation: dispatch.incarnation(),
            organisation: plan.template.organisation.clone(),
            request_id: plan.template.request_id.clone(),
            upstream: upstream.clone(),
        };
        match context.control.command(&command, COMMAND_TIMEOUT).await {
            Ok(CommandOutcome::Accepted) => Ok(RerunDecision::Run(Some(Box::new(permit)))),
            Ok(CommandOutcome::Unchanged) => Ok(RerunDecision::Run(None)),
            Ok(CommandOutcome::Refused { .. }) => {
                self.excluded.push(upstream.clone());
                Ok(RerunDecision::OtherUpstream)
            }
            Ok(_) | Err(_) => Err(suspect_held(
                "control did not confirm the permission to rerun the request; retry later",
            )),
        }
    }
}

fn fingerprint_refused(plan: &CallPlan) -> AttemptError {
    let event = LogEvent::SuspectRefused.number();
    let request_id = plan.request_id();
    tracing::warn!(
        event,
        request_id,
        "request refused because its fingerprint has crashed upstreams"
    );
    let message = "the request has crashed several upstreams and is temporarily refused";
    AttemptError::new(RunVerdict::NotRun, FINGERPRINT_REFUSED, message)
}

fn suspect_held(message: &str) -> AttemptError {
    AttemptError {
        retry_after: Some(HELD_RETRY_AFTER),
        ..AttemptError::new(RunVerdict::NotRun, SUSPECT_HELD, message)
    }
}

/// Permission to run a suspect on one upstream. The upstream is reserved for it: until the permit
/// is dropped, this entry runs no other suspect there.
#[derive(Debug)]
pub struct SuspectPermit {
    gate: Arc<SuspectGate>,
    key: SuspectKey,
    upstream: UpstreamId,
    control: ControlClient,
    /// Command for [`Self::clear`].
    clearance: Command,
    /// Command for [`Self::release`].
    release: Command,
}

impl SuspectPermit {
    /// Reserves an upstream for a suspect, before control is asked for the permission; `None` if
    /// the upstream is running another suspect, or the request is now refused or an equal one has
    /// started.
    fn reserve(context: &EntryContext, plan: &CallPlan, dispatch: &Dispatch) -> Option<Self> {
        let upstream = dispatch.upstream();
        let gate = Arc::clone(&context.suspects);
        let key = suspect_key(plan);
        gate.table()
            .record_start(&key, upstream, BootClock.now())
            .ok()?;
        Some(Self {
            gate,
            key,
            upstream: upstream.clone(),
            control: context.control.clone(),
            clearance: Command::ClearSuspect {
                fingerprint: plan.template.fingerprint.clone(),
                organisation: plan.template.organisation.clone(),
            },
            release: Command::ReleaseRerun {
                fingerprint: plan.template.fingerprint.clone(),
                incarnation: dispatch.incarnation(),
                organisation: plan.template.organisation.clone(),
                request_id: plan.template.request_id.clone(),
                upstream: upstream.clone(),
            },
        })
    }

    /// Returns the permission to control after the agent refused the suspect without running it.
    /// Otherwise the suspect could not run anywhere until its record expires.
    pub async fn release(self) {
        if let Err(error) = self.control.command(&self.release, COMMAND_TIMEOUT).await {
            let event = LogEvent::SuspectNotCleared.number();
            tracing::warn!(
                event,
                %error,
                "permission to rerun not returned; the suspect cannot run until it expires"
            );
        }
    }

    /// Reports to control, in the background, that the suspect has run without a crash and is no
    /// longer one.
    pub fn clear(self) {
        let (control, command) = (self.control.clone(), self.clearance.clone());
        tokio::spawn(async move {
            if let Err(error) = control.command(&command, COMMAND_TIMEOUT).await {
                let event = LogEvent::SuspectNotCleared.number();
                tracing::warn!(
                    event,
                    %error,
                    "suspect not cleared; it stays a suspect until it expires"
                );
            }
        });
    }
}

impl Drop for SuspectPermit {
    fn drop(&mut self) {
        self.gate.table().record_end(&self.key, &self.upstream);
    }
}
