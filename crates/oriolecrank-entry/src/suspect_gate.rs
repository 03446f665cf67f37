//! Requests whose fingerprint was running when an upstream crashed.
//!
//! A refused fingerprint is not run. A suspect is run once more, on an upstream that runs no other
//! suspect, after control has committed the permission.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use http::StatusCode;
use indexmap::IndexSet;
use oriolecrank_net::ControlClient;
use oriolecrank_schema::control::{Command, CommandOutcome, SuspectState};
use oriolecrank_schema::data_path::RunVerdict;
use oriolecrank_schema::document::UpstreamId;
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

/// Upstreams that run a suspect of this entry.
#[derive(Debug, Default)]
pub struct SuspectGate {
    /// Lock order: locked alone and never across an await.
    busy: Arc<Mutex<IndexSet<UpstreamId>>>,
}

impl SuspectGate {
    /// Takes an upstream for one suspect; false if it has one.
    fn occupy(&self, upstream: &UpstreamId) -> bool {
        lock(&self.busy).insert(upstream.clone())
    }

    fn busy_upstreams(&self) -> Vec<UpstreamId> {
        lock(&self.busy).iter().cloned().collect()
    }
}

fn lock(busy: &Mutex<IndexSet<UpstreamId>>) -> MutexGuard<'_, IndexSet<UpstreamId>> {
    busy.lock().expect("no holder of the suspect lock panics")
}

/// Refuses a call whose fingerprint has crashed too many upstreams.
pub fn refuse_crashing(context: &EntryContext, plan: &CallPlan) -> Result<(), CallerError> {
    let view = context.state.view();
    match view.suspect(&plan.template.fingerprint) {
        Some(record) if record.state == SuspectState::Refused => {
            let event = LogEvent::SuspectRefused.number();
            let request_id = plan.request_id();
            tracing::warn!(event, request_id, "request refused");
            let status = StatusCode::UNPROCESSABLE_ENTITY;
            let message = "this request has crashed several upstreams and is not run";
            Err(CallerError::not_run(status, FINGERPRINT_REFUSED, message))
        }
        _ => Ok(()),
    }
}

/// Answer to the question whether a suspect may run on an upstream.
#[derive(Debug)]
pub enum RerunAnswer {
    /// It may; the permit is absent if it is no suspect any more.
    Run(Option<SuspectPermit>),
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
            let view = context.state.view();
            match view.suspect(&plan.template.fingerprint) {
                Some(record) if record.state == SuspectState::Refused => {
                    let event = LogEvent::SuspectRefused.number();
                    let request_id = plan.request_id();
                    tracing::warn!(event, request_id, "request refused");
                    let message = "this request has crashed several upstreams and is not run";
                    let verdict = RunVerdict::NotRun;
                    return Err(AttemptError::new(verdict, FINGERPRINT_REFUSED, message));
                }
                Some(_) => break,
                None if !crashed => return Ok(None),
                None if Instant::now() >= deadline => {
                    let message = "an upstream crashed while the request ran";
                    let verdict = RunVerdict::MayHaveRun;
                    return Err(AttemptError::new(verdict, SUSPECT_HELD, message));
                }
                None => sleep(REPORT_INTERVAL).await,
            }
        }
        Ok(Some(Self {
            excluded: context.suspects.busy_upstreams(),
            asked: 0,
        }))
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
        if self.asked >= MAX_ASKED {
            return Err(held());
        }
        self.asked += 1;
        if !context.suspects.occupy(upstream) {
            self.excluded.push(upstream.clone());
            return Ok(RerunAnswer::OtherUpstream);
        }
        let permit = SuspectPermit {
            busy: Arc::clone(&context.suspects.busy),
            upstream: upstream.clone(),
            control: context.control.clone(),
            organisation: plan.template.organisation.clone(),
            fingerprint: plan.template.fingerprint.clone(),
        };
        let command = Command::RerunSuspect {
            fingerprint: plan.template.fingerprint.clone(),
            incarnation: dispatch.incarnation(),
            organisation: plan.template.organisation.clone(),
            request_id: plan.template.request_id.clone(),
            upstream: upstream.clone(),
        };
        match context.control.command(&command, RERUN_TIMEOUT).await {
            Ok(CommandOutcome::Accepted) => Ok(RerunAnswer::Run(Some(permit))),
            Ok(CommandOutcome::Unchanged) => Ok(RerunAnswer::Run(None)),
            Ok(CommandOutcome::Refused { .. }) => {
                self.excluded.push(upstream.clone());
                Ok(RerunAnswer::OtherUpstream)
            }
            Ok(_) | Err(_) => Err(held()),
        }
    }
}

fn held() -> AttemptError {
    let message = "the request was running when an upstream crashed and has to wait";
    AttemptError {
        retry_after: Some(HELD_RETRY_AFTER),
        ..AttemptError::new(RunVerdict::NotRun, SUSPECT_HELD, message)
    }
}

/// Permission to run a suspect; the upstream takes no other suspect of this entry until it is
/// dropped.
#[derive(Debug)]
pub struct SuspectPermit {
    busy: Arc<Mutex<IndexSet<UpstreamId>>>,
    upstream: UpstreamId,
    control: ControlClient,
    organisation: String,
    fingerprint: String,
}

impl SuspectPermit {
    /// The suspect ran to its end without a crash; control forgets it.
    pub fn clear(self) {
        let control = self.control.clone();
        let command = Command::ClearSuspect {
            fingerprint: self.fingerprint.clone(),
            organisation: self.organisation.clone(),
        };
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
        lock(&self.busy).swap_remove(&self.upstream);
    }
}
