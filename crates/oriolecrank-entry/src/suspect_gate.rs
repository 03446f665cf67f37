//! Requests whose fingerprint was running when an upstream crashed.
//!
//! A refused fingerprint is not run. A suspect is run once more, on an upstream that runs no other
//! suspect, after control has committed the permission.

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

/// Code of a request that has crashed too many upstreams.
pub const FINGERPRINT_REFUSED: &str = "fingerprint_refused";

/// Code of a suspect that must not run now.
pub const SUSPECT_HELD: &str = "suspect_held";

/// Longest wait for the permission to run a suspect.
const RERUN_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait until a crash that this entry has seen is known here as committed.
const REPORT_WAIT: Duration = Duration::from_secs(1);

/// Interval at which the state is looked at while a crash report is awaited.
const REPORT_INTERVAL: Duration = Duration::from_millis(20);

/// Upstreams that are asked for before a suspect is held.
const MAX_ASKED: usize = 4;

/// Delay that is suggested for a suspect that must not run now.
const HELD_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Suspects and where this entry runs them.
#[derive(Debug, Default)]
pub struct SuspectGate {
    /// Lock order: locked alone and never across an await.
    table: Mutex<SuspectTable>,
}

impl SuspectGate {
    /// Takes the complete list of suspects and refused fingerprints.
    pub fn update(&self, records: &[SuspectRecord], now: TimePoint) {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        let wall_ms = wall.map_or(0, |wall| wall.as_millis() as u64);
        let keys: Vec<SuspectKey> = records.iter().map(SuspectKey::from).collect();
        let mut table = self.table();
        table.retain(&keys);
        for (key, record) in keys.into_iter().zip(records) {
            // The end is a log time. Clocks that differ only shift it; control removes the record.
            let left = Duration::from_millis(record.until_ms.saturating_sub(wall_ms));
            table.set(key, Some(record.state.into()), now + left);
        }
    }

    /// Forgets expired fingerprints.
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

/// Refuses a call whose fingerprint has crashed too many upstreams.
pub fn refuse_crashing(context: &EntryContext, plan: &CallPlan) -> Result<(), CallerError> {
    match context.suspects.placement_rule(plan) {
        Err(PlacementRefusal::Refused) => Err(refused(plan).into()),
        _ => Ok(()),
    }
}

/// Answer to the question whether a suspect may run on an upstream.
#[derive(Debug)]
pub enum RerunAnswer {
    /// It may; the permit is absent if it is no suspect any more.
    Run(Option<Box<SuspectPermit>>),
    /// Another upstream is to be chosen.
    OtherUpstream,
}

/// A suspect that looks for an upstream.
#[derive(Debug)]
pub struct SuspectRerun {
    /// Upstreams that run a suspect or were refused.
    excluded: Vec<UpstreamId>,
    asked: usize,
}

impl SuspectRerun {
    /// Looks a call up; `None` if it is no suspect.
    ///
    /// `crashed` says that an attempt of this call was running when its upstream crashed. Its report
    /// is then awaited, so that the call cannot run again as if nothing was known about it.
    pub async fn check(
        context: &EntryContext,
        plan: &CallPlan,
        crashed: bool,
    ) -> Result<Option<Self>, AttemptError> {
        let deadline = Instant::now() + REPORT_WAIT;
        loop {
            match context.suspects.placement_rule(plan) {
                Err(PlacementRefusal::Refused) => return Err(refused(plan)),
                Err(refusal) => return Err(held(&refusal.to_string())),
                Ok(PlacementRule::AnywhereExcept { excluded }) => {
                    return Ok(Some(Self { excluded, asked: 0 }));
                }
                Ok(PlacementRule::Anywhere) if !crashed => return Ok(None),
                Ok(PlacementRule::Anywhere) if Instant::now() >= deadline => {
                    return Err(held("an upstream crashed while the request ran"));
                }
                Ok(PlacementRule::Anywhere) => sleep(REPORT_INTERVAL).await,
            }
        }
    }

    /// Upstreams on which the suspect must not run.
    pub fn excluded(&self) -> &[UpstreamId] {
        &self.excluded
    }

    /// Asks control for the permission to run the suspect on a chosen upstream.
    pub async fn ask(
        &mut self,
        context: &EntryContext,
        plan: &CallPlan,
        dispatch: &Dispatch,
    ) -> Result<RerunAnswer, AttemptError> {
        let upstream = dispatch.upstream();
        if self.asked >= MAX_ASKED || self.excluded.contains(upstream) {
            return Err(held(
                "the request has to run alone, and no upstream is free",
            ));
        }
        self.asked += 1;
        let Some(permit) = SuspectPermit::take(context, plan, dispatch) else {
            self.excluded.push(upstream.clone());
            return Ok(RerunAnswer::OtherUpstream);
        };
        let command = Command::RerunSuspect {
            fingerprint: plan.template.fingerprint.clone(),
            incarnation: dispatch.incarnation(),
            organisation: plan.template.organisation.clone(),
            request_id: plan.template.request_id.clone(),
            upstream: upstream.clone(),
        };
        match context.control.command(&command, RERUN_TIMEOUT).await {
            Ok(CommandOutcome::Accepted) => Ok(RerunAnswer::Run(Some(Box::new(permit)))),
            Ok(CommandOutcome::Unchanged) => Ok(RerunAnswer::Run(None)),
            Ok(CommandOutcome::Refused { .. }) => {
                self.excluded.push(upstream.clone());
                Ok(RerunAnswer::OtherUpstream)
            }
            Ok(_) | Err(_) => Err(held("the permission to run the request was not committed")),
        }
    }
}

fn refused(plan: &CallPlan) -> AttemptError {
    let event = LogEvent::SuspectRefused.number();
    let request_id = plan.request_id();
    tracing::warn!(event, request_id, "request refused");
    let message = "this request has crashed several upstreams and is not run";
    AttemptError::new(RunVerdict::NotRun, FINGERPRINT_REFUSED, message)
}

fn held(message: &str) -> AttemptError {
    AttemptError {
        retry_after: Some(HELD_RETRY_AFTER),
        ..AttemptError::new(RunVerdict::NotRun, SUSPECT_HELD, message)
    }
}

/// Permission to run a suspect; the upstream takes no other suspect of this entry until it is
/// dropped.
#[derive(Debug)]
pub struct SuspectPermit {
    gate: Arc<SuspectGate>,
    key: SuspectKey,
    upstream: UpstreamId,
    control: ControlClient,
    /// Sent when the suspect has run to its end.
    clearance: Command,
    /// Sent when the suspect was refused and has not run.
    release: Command,
}

impl SuspectPermit {
    /// Takes an upstream for a suspect; `None` if it runs another one.
    fn take(context: &EntryContext, plan: &CallPlan, dispatch: &Dispatch) -> Option<Self> {
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

    /// The suspect was refused and has not run. Without giving the permission back it could not run
    /// anywhere until the suspicion expires.
    pub async fn release(self) {
        if let Err(error) = self.control.command(&self.release, RERUN_TIMEOUT).await {
            let event = LogEvent::SuspectNotCleared.number();
            tracing::warn!(event, %error, "permission not given back");
        }
    }

    /// The suspect ran to its end without a crash; control forgets it.
    pub fn clear(self) {
        let (control, command) = (self.control.clone(), self.clearance.clone());
        tokio::spawn(async move {
            if let Err(error) = control.command(&command, RERUN_TIMEOUT).await {
                let event = LogEvent::SuspectNotCleared.number();
                tracing::warn!(event, %error, "suspect not cleared");
            }
        });
    }
}

impl Drop for SuspectPermit {
    fn drop(&mut self) {
        self.gate.table().record_end(&self.key, &self.upstream);
    }
}
