//! Queued and running requests of an agent.

use std::sync::Arc;

use bytes::Bytes;
use indexmap::IndexMap;
use oriolecrank_policy::request_queue::{
    CancelledRequest, QueueRefusal, QueueSettings, QueuedRequest, RequestQueue,
};
use oriolecrank_policy::{AttemptId, BlockCount, TokenCount};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::UpstreamPhase;
use oriolecrank_schema::data_path::{RunRequest, TokenUsage, UpstreamLoad};

use crate::claim_register::{ClaimRegister, ClaimSight};
use crate::crash_detector::{CrashDetector, RunningCall};
use crate::failure_events::not_run;
use crate::running_answer::{AnswerOrigin, RunningAnswer};

/// A request that waits for its turn.
#[derive(Debug)]
pub struct WaitingCall {
    /// Message of the entry.
    pub request: RunRequest,
    /// Body for the upstream.
    pub body: Bytes,
}

/// A request that runs now.
#[derive(Debug)]
pub struct StartedCall {
    /// Attempt.
    pub id: AttemptId,
    /// Message of the entry.
    pub request: RunRequest,
    /// Body for the upstream.
    pub body: Bytes,
    /// Where the answer goes.
    pub answer: Arc<RunningAnswer>,
}

/// What became of a request of an entry.
#[derive(Debug)]
pub enum AdmittedCall {
    /// The answer is or will be in this place.
    Answer(Arc<RunningAnswer>),
    /// The request is refused and has not run.
    Refused {
        /// Stable code.
        code: &'static str,
        /// One sentence.
        message: String,
    },
    /// The agent cannot tell any more whether the claimed call has run.
    Forgotten,
}

/// A claim that this agent refuses from now on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReleasedClaim(pub u64);

/// Queue, answers, claims and running calls of an agent; always changed together.
///
/// Lock order: the owner locks the table before an answer and never across an await.
#[derive(Debug)]
pub struct WorkTable {
    queue: RequestQueue,
    /// Requests of `queue` that wait; each has an answer.
    waiting: IndexMap<AttemptId, WaitingCall>,
    /// Answers by attempt; several attempts may share the answer of one claim.
    answers: IndexMap<AttemptId, Arc<RunningAnswer>>,
    claims: ClaimRegister,
    /// Calls that were sent to the upstream.
    pub crashes: CrashDetector,
    /// Claims refused since the last call of [`WorkTable::take_released`].
    released: Vec<ReleasedClaim>,
    phase: UpstreamPhase,
    prefill_tokens: TokenCount,
    decode_tokens: TokenCount,
}

impl WorkTable {
    /// An empty table for an upstream with `capacity` blocks.
    pub fn new(settings: QueueSettings, capacity: BlockCount) -> Self {
        Self {
            queue: RequestQueue::new(settings, capacity),
            waiting: IndexMap::new(),
            answers: IndexMap::new(),
            claims: ClaimRegister::default(),
            crashes: CrashDetector::default(),
            released: Vec::new(),
            phase: UpstreamPhase::Ready,
            prefill_tokens: TokenCount::default(),
            decode_tokens: TokenCount::default(),
        }
    }

    /// Takes a request of an entry.
    pub fn admit(&mut self, request: RunRequest, body: Bytes, now: TimePoint) -> AdmittedCall {
        let id = AttemptId::from(&request);
        if let Some(answer) = self.answers.get(&id) {
            // The same attempt was sent again after a lost answer.
            return AdmittedCall::Answer(Arc::clone(answer));
        }
        let claim_id = request.claim.as_ref().map(|ticket| ticket.claim_id);
        if let Some(claim_id) = claim_id
            && let Some(admitted) = self.attach_claim(claim_id, &id)
        {
            return admitted;
        }
        let queued = QueuedRequest::from_message(&request, now);
        match self.queue.offer(queued, now) {
            Ok(offered) => {
                if let Some(displaced) = offered.displaced {
                    self.drop_waiting(&displaced.id, "queue_full", "more urgent work came", now);
                }
            }
            Err(refusal) => return self.refuse(claim_id, &refusal),
        }
        let answer = Arc::new(RunningAnswer::new(AnswerOrigin::from(&request), now));
        self.answers.insert(id.clone(), Arc::clone(&answer));
        self.waiting.insert(id, WaitingCall { request, body });
        AdmittedCall::Answer(answer)
    }

    /// Finds what is known of a claim; `None` if it may run now.
    fn attach_claim(&mut self, claim_id: u64, id: &AttemptId) -> Option<AdmittedCall> {
        match self.claims.admit(claim_id, id) {
            ClaimSight::FirstSeen => None,
            ClaimSight::Known(first) => Some(match self.answers.get(&first).cloned() {
                Some(answer) => {
                    self.answers.insert(id.clone(), Arc::clone(&answer));
                    AdmittedCall::Answer(answer)
                }
                None => AdmittedCall::Forgotten,
            }),
            ClaimSight::Refused => Some(AdmittedCall::Refused {
                code: "claim_refused",
                message: "the agent has refused the claim".to_owned(),
            }),
            ClaimSight::Forgotten => Some(AdmittedCall::Forgotten),
        }
    }

    fn refuse(&mut self, claim_id: Option<u64>, refusal: &QueueRefusal) -> AdmittedCall {
        let message = refusal.to_string();
        let Some(claim_id) = claim_id else {
            // The entry tells a planned refusal, which costs no retry budget, by these codes.
            let code = match (refusal, self.phase) {
                (QueueRefusal::Draining, UpstreamPhase::Changing) => "upstream_changing",
                (QueueRefusal::Draining, _) => "upstream_leaving",
                _ => refusal.code(),
            };
            return AdmittedCall::Refused { code, message };
        };
        self.release(claim_id);
        AdmittedCall::Refused {
            code: "claim_refused",
            message,
        }
    }

    /// Refuses a claimed call that was not sent to the upstream, so that the claim can be opened
    /// again for another agent.
    pub fn release(&mut self, claim_id: u64) {
        self.claims.refuse(claim_id);
        self.released.push(ReleasedClaim(claim_id));
    }

    /// Fails a waiting request, which has not run.
    fn drop_waiting(&mut self, id: &AttemptId, code: &str, message: &str, now: TimePoint) {
        self.waiting.swap_remove(id);
        let Some(answer) = self.answers.get(id).cloned() else {
            return;
        };
        let code = match answer.claim_id() {
            Some(claim_id) => {
                self.release(claim_id);
                "claim_refused"
            }
            None => code,
        };
        answer.fail(not_run(code, message), now);
    }

    /// Takes the next request that may run; the caller calls until `None`.
    pub fn start_next(&mut self, now: TimePoint) -> Option<StartedCall> {
        for expired in self.queue.take_expired(now) {
            self.drop_waiting(
                &expired.id,
                "deadline_passed",
                "the deadline has passed",
                now,
            );
        }
        loop {
            let id = self.queue.start_next(now)?.request.id;
            let waiting = self.waiting.swap_remove(&id);
            let answer = self.answers.get(&id).cloned();
            let (Some(WaitingCall { request, body }), Some(answer)) = (waiting, answer) else {
                self.queue.finish(&id, TokenCount::default());
                continue;
            };
            let call = RunningCall {
                organisation: request.organisation.clone(),
                fingerprint: request.fingerprint.clone(),
            };
            self.crashes.start(id.clone(), call, now);
            return Some(StartedCall {
                id,
                request,
                body,
                answer,
            });
        }
    }

    /// A call has ended; its memory is free again.
    pub fn finish(&mut self, id: &AttemptId, usage: &TokenUsage, completed: bool) {
        let prompt = TokenCount::new(usage.prompt_tokens);
        let output = TokenCount::new(usage.output_tokens);
        self.prefill_tokens = self.prefill_tokens + prompt;
        self.decode_tokens = self.decode_tokens + output;
        self.queue.finish(id, prompt + output);
        self.crashes.finish(id, completed);
    }

    /// Cancels a request whose caller has gone away.
    pub fn cancel(&mut self, id: &AttemptId, now: TimePoint) {
        let Some(answer) = self.answers.get(id).cloned() else {
            return;
        };
        if answer.claim_id().is_some() {
            return;
        }
        if let CancelledRequest::Waiting(_) = self.queue.cancel(id) {
            self.waiting.swap_remove(id);
            answer.fail(not_run("cancelled", "the caller has gone away"), now);
        } else if answer.cancel() {
            self.queue.finish(id, TokenCount::default());
            self.crashes.finish(id, false);
        }
        self.answers.swap_remove(id);
    }

    /// Finds an answer.
    pub fn answer(&self, id: &AttemptId) -> Option<Arc<RunningAnswer>> {
        self.answers.get(id).cloned()
    }

    /// Forgets an answer that the entry has completely.
    pub fn forget(&mut self, id: &AttemptId) {
        self.answers.swap_remove(id);
    }

    /// Cancels and removes answers that nobody will read any more.
    pub fn sweep(&mut self, now: TimePoint) {
        let expired = self
            .answers
            .iter()
            .filter(|(_, answer)| answer.is_expired(now));
        let ids: Vec<_> = expired.map(|(id, _)| id.clone()).collect();
        for id in &ids {
            self.cancel(id, now);
            self.answers.swap_remove(id);
        }
    }

    /// Answers by attempt.
    pub fn answers(&self) -> impl Iterator<Item = (&AttemptId, &Arc<RunningAnswer>)> {
        self.answers.iter()
    }

    /// Refuses new work; waiting requests are told that they have not run, so that the entry sends
    /// them elsewhere.
    pub fn drain(&mut self, phase: UpstreamPhase, now: TimePoint) {
        self.phase = phase;
        for waiting in self.queue.begin_drain() {
            let code = match phase {
                UpstreamPhase::Changing => "upstream_changing",
                _ => "upstream_leaving",
            };
            self.drop_waiting(&waiting.id, code, "the upstream takes no new work", now);
        }
    }

    /// Takes new work again.
    pub fn undrain(&mut self) {
        self.phase = UpstreamPhase::Ready;
        self.queue.end_drain();
    }

    /// Phase to announce.
    pub const fn phase(&self) -> UpstreamPhase {
        self.phase
    }

    /// Claims that were refused and must be released at the control group.
    pub fn take_released(&mut self) -> Vec<ReleasedClaim> {
        std::mem::take(&mut self.released)
    }

    /// Number of calls that run on the upstream.
    pub fn running(&self) -> usize {
        self.queue.load().running
    }

    /// Whether nothing runs and every answer has been fetched or has no reader.
    pub fn is_idle(&self) -> bool {
        self.running() == 0 && self.waiting.is_empty()
    }

    /// Present load.
    pub fn load(&self) -> UpstreamLoad {
        self.queue
            .load()
            .to_message(self.prefill_tokens, self.decode_tokens)
    }
}
