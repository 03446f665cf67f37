//! Queued and running requests of an agent.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;
use oriolecrank_policy::request_queue::{
    CancelledRequest, QueueRefusal, QueueSettings, QueuedRequest, RequestQueue,
};
use oriolecrank_policy::upstream_pause::UpstreamPause;
use oriolecrank_policy::{AttemptId, BlockCount, TokenCount};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::UpstreamPhase;
use oriolecrank_schema::data_path::{RunEvent, RunRequest, TokenUsage, UpstreamLoad};
use oriolecrank_schema::failure_code::{CLAIM_REFUSED, UPSTREAM_PAUSED};

use crate::claim_register::{ClaimAdmission, ClaimRegister};
use crate::crash_detector::{CrashDetector, RunningCall};
use crate::failure_events::{not_run, paused};
use crate::running_answer::{AnswerOrigin, RunningAnswer};

/// A request that waits in the queue.
#[derive(Debug)]
pub struct WaitingCall {
    /// Message of the entry.
    pub request: RunRequest,
    /// Body for the upstream.
    pub body: Bytes,
}

/// A request that is to be sent to the upstream now.
#[derive(Debug)]
pub struct StartedCall {
    /// Attempt that the entry started.
    pub id: AttemptId,
    /// Message of the entry.
    pub request: RunRequest,
    /// Body for the upstream.
    pub body: Bytes,
    /// Receives the answer of the upstream.
    pub answer: Arc<RunningAnswer>,
}

/// Result of admitting a request of an entry.
#[derive(Debug)]
pub enum AdmissionResult {
    /// The request was accepted, now or earlier; this receives or already holds its answer.
    Answer(Arc<RunningAnswer>),
    /// The request was refused and has not run.
    Refused {
        /// Stable error code.
        code: &'static str,
        /// Human-readable reason.
        message: String,
    },
    /// The request was not queued, because the upstream asks for a pause.
    Paused {
        /// Stable error code.
        code: &'static str,
        /// Time until the pause ends.
        time_left: Duration,
    },
    /// The claim or its answer is no longer stored; the claimed call may have run.
    OutcomeUnknown,
}

/// Id of a claim that this agent has permanently refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReleasedClaim(pub u64);

/// Queue, answers, claims and running calls of an agent, changed together under one lock.
///
/// Lock order: the owner locks the table before an answer and never across an await.
#[derive(Debug)]
pub struct RequestTable {
    queue: RequestQueue,
    /// Contents of the waiting requests of `queue`; each has an answer in `answers`.
    waiting: IndexMap<AttemptId, WaitingCall>,
    /// Answers by attempt; several attempts may share the answer of one claim.
    answers: IndexMap<AttemptId, Arc<RunningAnswer>>,
    claims: ClaimRegister,
    /// Tracks the calls that are running on the upstream.
    pub crash_detector: CrashDetector,
    /// Claims refused since the last call of [`RequestTable::take_released_claims`].
    released_claims: Vec<ReleasedClaim>,
    phase: UpstreamPhase,
    /// Pause that the upstream asks for; ends with its incarnation.
    pause: UpstreamPause,
    /// Prompt tokens of all finished calls since the agent started.
    prefill_tokens: TokenCount,
    /// Output tokens of all finished calls since the agent started.
    decode_tokens: TokenCount,
}

impl RequestTable {
    /// Creates an empty table for an upstream with `capacity` blocks.
    pub fn new(settings: QueueSettings, capacity: BlockCount) -> Self {
        Self {
            queue: RequestQueue::new(settings, capacity),
            waiting: IndexMap::new(),
            answers: IndexMap::new(),
            claims: ClaimRegister::default(),
            crash_detector: CrashDetector::default(),
            released_claims: Vec::new(),
            phase: UpstreamPhase::Ready,
            pause: UpstreamPause::default(),
            prefill_tokens: TokenCount::default(),
            decode_tokens: TokenCount::default(),
        }
    }

    /// Queues a request of an entry, unless it is refused or its attempt or claim is already known.
    pub fn admit(&mut self, request: RunRequest, body: Bytes, now: TimePoint) -> AdmissionResult {
        let id = AttemptId::from(&request);
        if let Some(answer) = self.answers.get(&id) {
            // The entry sent the same attempt again because it lost the answer.
            return AdmissionResult::Answer(Arc::clone(answer));
        }
        let claim_id = request.claim.as_ref().map(|ticket| ticket.claim_id);
        if let Some(claim_id) = claim_id
            && let Some(result) = self.register_claim(claim_id, &id)
        {
            return result;
        }
        if let Some(time_left) = self.pause.time_left(now) {
            let code = self.refusal_code(claim_id, UPSTREAM_PAUSED);
            return AdmissionResult::Paused { code, time_left };
        }
        let queued = QueuedRequest::from_message(&request, now);
        match self.queue.offer(queued, now) {
            Ok(offered) => {
                if let Some(displaced) = offered.displaced {
                    self.fail_waiting(
                        &displaced.id,
                        "queue_full",
                        "a more urgent request took its place in the full queue",
                        now,
                    );
                }
            }
            Err(refusal) => return self.refuse(claim_id, &refusal),
        }
        let answer = Arc::new(RunningAnswer::new(AnswerOrigin::from(&request), now));
        self.answers.insert(id.clone(), Arc::clone(&answer));
        self.waiting.insert(id, WaitingCall { request, body });
        AdmissionResult::Answer(answer)
    }

    /// Registers a claim. `None` if it is new and its call may run now, otherwise the result of the
    /// request.
    fn register_claim(&mut self, claim_id: u64, id: &AttemptId) -> Option<AdmissionResult> {
        match self.claims.admit(claim_id, id) {
            ClaimAdmission::FirstSeen => None,
            ClaimAdmission::AlreadyStarted(first) => {
                Some(match self.answers.get(&first).cloned() {
                    Some(answer) => {
                        self.answers.insert(id.clone(), Arc::clone(&answer));
                        AdmissionResult::Answer(answer)
                    }
                    None => AdmissionResult::OutcomeUnknown,
                })
            }
            ClaimAdmission::Refused => Some(AdmissionResult::Refused {
                code: CLAIM_REFUSED,
                message: "the agent has already refused this claim".to_owned(),
            }),
            ClaimAdmission::Evicted => Some(AdmissionResult::OutcomeUnknown),
        }
    }

    fn refuse(&mut self, claim_id: Option<u64>, refusal: &QueueRefusal) -> AdmissionResult {
        let message = refusal.to_string();
        let Some(claim_id) = claim_id else {
            // These codes tell the entry that a planned change caused the refusal. A retry then
            // does not count against the retry budget.
            let code = match (refusal, self.phase) {
                (QueueRefusal::Draining, UpstreamPhase::Changing) => "upstream_changing",
                (QueueRefusal::Draining, _) => "upstream_leaving",
                _ => refusal.code(),
            };
            return AdmissionResult::Refused { code, message };
        };
        self.release_claim(claim_id);
        AdmissionResult::Refused {
            code: CLAIM_REFUSED,
            message,
        }
    }

    /// Permanently refuses a claimed call that has certainly not run on the upstream, so that the
    /// control group can open the claim for another agent.
    pub fn release_claim(&mut self, claim_id: u64) {
        self.claims.refuse(claim_id);
        self.released_claims.push(ReleasedClaim(claim_id));
    }

    /// Removes a waiting request and fails its attempt as not run.
    fn fail_waiting(&mut self, id: &AttemptId, code: &'static str, message: &str, now: TimePoint) {
        self.end_waiting(id, code, |code| not_run(code, message), now);
    }

    /// Removes a waiting request, which has not run. Its attempt fails with the event for `code`, or
    /// for the code of a refused claim.
    fn end_waiting(
        &mut self,
        id: &AttemptId,
        code: &'static str,
        event: impl FnOnce(&str) -> RunEvent,
        now: TimePoint,
    ) {
        self.waiting.swap_remove(id);
        let Some(answer) = self.answers.get(id).cloned() else {
            return;
        };
        let code = self.refusal_code(answer.claim_id(), code);
        answer.fail(event(code), now);
    }

    /// Code with which a request is refused that has not run. A claimed call is refused for good and
    /// has a code of its own.
    fn refusal_code(&mut self, claim_id: Option<u64>, code: &'static str) -> &'static str {
        let Some(claim_id) = claim_id else {
            return code;
        };
        self.release_claim(claim_id);
        CLAIM_REFUSED
    }

    /// Records that the upstream asks for a pause, and gives the waiting requests back, so that their
    /// entries send them to other upstreams. Returns whether this begins a pause.
    pub fn begin_pause(&mut self, length: Duration, now: TimePoint) -> bool {
        let begins = self.pause.record(length, now);
        let Some(time_left) = self.pause.time_left(now) else {
            return false;
        };
        for waiting in self.queue.take_waiting() {
            let event = |code: &str| paused(code, time_left);
            self.end_waiting(&waiting.id, UPSTREAM_PAUSED, event, now);
        }
        begins
    }

    /// Ends a pause, because the upstream has crashed: its next incarnation has asked for none.
    pub fn end_pause(&mut self) {
        self.pause = UpstreamPause::default();
    }

    /// Records an answer that asks for no pause to a call that was sent at `sent_at`.
    pub fn record_answer(&mut self, sent_at: TimePoint, now: TimePoint) {
        self.pause.record_answer(sent_at, now);
    }

    /// Fails expired requests and returns the next one for which the upstream has room. The caller
    /// repeats this until `None`.
    pub fn start_next(&mut self, now: TimePoint) -> Option<StartedCall> {
        for expired in self.queue.take_expired(now) {
            self.fail_waiting(
                &expired.id,
                "deadline_passed",
                "the deadline passed while the request was queued",
                now,
            );
        }
        loop {
            if !self.pause.allows(now) {
                return None;
            }
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
            self.crash_detector.record_start(id.clone(), call, now);
            self.pause.record_sent(now);
            return Some(StartedCall {
                id,
                request,
                body,
                answer,
            });
        }
    }

    /// Records the end of a call: frees its engine memory and counts its tokens.
    pub fn finish(&mut self, id: &AttemptId, usage: &TokenUsage, completed: bool) {
        let prompt = TokenCount::new(usage.prompt_tokens);
        let output = TokenCount::new(usage.output_tokens);
        self.prefill_tokens = self.prefill_tokens + prompt;
        self.decode_tokens = self.decode_tokens + output;
        self.queue.finish(id, prompt + output);
        self.crash_detector.record_end(id, completed);
    }

    /// Cancels a request whose answer is no longer awaited and removes the answer. A claimed call
    /// is neither cancelled nor removed.
    pub fn cancel(&mut self, id: &AttemptId, now: TimePoint) {
        let Some(answer) = self.answers.get(id).cloned() else {
            return;
        };
        if answer.claim_id().is_some() {
            return;
        }
        if let CancelledRequest::Waiting(_) = self.queue.cancel(id) {
            self.waiting.swap_remove(id);
            answer.fail(
                not_run(
                    "cancelled",
                    "the caller disconnected before the request ran",
                ),
                now,
            );
        } else if answer.cancel() {
            self.queue.finish(id, TokenCount::default());
            self.crash_detector.record_end(id, false);
        }
        self.answers.swap_remove(id);
    }

    /// Answer of an attempt; `None` if it is unknown or already removed.
    pub fn answer(&self, id: &AttemptId) -> Option<Arc<RunningAnswer>> {
        self.answers.get(id).cloned()
    }

    /// Removes an answer that the entry has received completely.
    pub fn remove_answer(&mut self, id: &AttemptId) {
        self.answers.swap_remove(id);
    }

    /// Cancels and removes answers that no entry has read or acknowledged in time.
    pub fn remove_expired(&mut self, now: TimePoint) {
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

    /// All answers with their attempts.
    pub fn answers(&self) -> impl Iterator<Item = (&AttemptId, &Arc<RunningAnswer>)> {
        self.answers.iter()
    }

    /// Refuses new requests from now on and fails the waiting ones as not run, so that their
    /// entries send them to other upstreams. `phase` is announced and selects the refusal code.
    pub fn drain(&mut self, phase: UpstreamPhase, now: TimePoint) {
        self.phase = phase;
        for waiting in self.queue.begin_drain() {
            let code = match phase {
                UpstreamPhase::Changing => "upstream_changing",
                _ => "upstream_leaving",
            };
            self.fail_waiting(
                &waiting.id,
                code,
                "the upstream is draining and accepts no new requests",
                now,
            );
        }
    }

    /// Accepts new requests again.
    pub fn undrain(&mut self) {
        self.phase = UpstreamPhase::Ready;
        self.queue.end_drain();
    }

    /// Phase that the next announcement reports.
    pub const fn phase(&self) -> UpstreamPhase {
        self.phase
    }

    /// Claims refused since the last call; the caller reports them to the control group.
    pub fn take_released_claims(&mut self) -> Vec<ReleasedClaim> {
        std::mem::take(&mut self.released_claims)
    }

    /// Number of calls that are running on the upstream.
    pub fn running(&self) -> usize {
        self.queue.load().running
    }

    /// Whether no request runs or waits.
    pub fn is_idle(&self) -> bool {
        self.running() == 0 && self.waiting.is_empty()
    }

    /// Current load, as sent to entries and the control group.
    pub fn load(&self) -> UpstreamLoad {
        self.queue
            .load()
            .to_message(self.prefill_tokens, self.decode_tokens)
    }
}
