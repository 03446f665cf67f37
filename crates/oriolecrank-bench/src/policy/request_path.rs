//! Interface between the replay and the admission, choice and queueing of a policy.
//!
//! Plain services are replayed as engines of an additional pool.

use oriolecrank_schema::control::UpstreamRole;
use oriolecrank_schema::data_path::UpstreamLoad;

use super::engine_model::Sequence;
use super::traffic::Call;

/// Announced values of an engine, as the entries see them.
#[derive(Debug, Clone, Copy)]
pub struct EngineInfo {
    /// Index of the pool.
    pub pool: u8,
    /// Index of the failure domain.
    pub domain: u8,
    /// Index of the region.
    pub region: u8,
    /// Announced role.
    pub role: UpstreamRole,
    /// Whether it accepts new calls.
    pub ready: bool,
}

/// An attempt to run a call, from its start or after the tokens that earlier attempts sent.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    /// Index of the call.
    pub id: u32,
    /// Attempt number, from 1.
    pub number: u32,
    /// The call to run.
    pub call: Call,
    /// Tokens that were sent by earlier attempts.
    pub sent: u32,
}

impl Attempt {
    /// Priority of the call: 0 if it is urgent, otherwise 1; the smaller one is served first.
    pub fn class(&self) -> u8 {
        u8::from(self.call.deadline_us.is_none())
    }

    /// The sequence for the engine. Tokens that were sent become part of the prompt.
    pub fn sequence(&self) -> Sequence {
        Sequence {
            call: self.id,
            class: self.class(),
            prefix: self.call.prefix,
            prefix_tokens: self.call.prefix_tokens,
            prompt_left: self.call.prompt + self.sent,
            output_left: self.call.output.saturating_sub(self.sent).max(1),
            begun: false,
        }
    }
}

/// A load report of an engine.
#[derive(Debug, Clone)]
pub struct LoadReport {
    /// Index of the engine.
    pub engine: usize,
    /// When the report was taken, in microseconds.
    pub taken_us: u64,
    /// Reported load.
    pub load: UpstreamLoad,
}

/// Answer of an agent to an offered attempt.
#[derive(Debug, Clone, Copy)]
pub enum OfferResult {
    /// It waits in the queue.
    Queued {
        /// Another attempt that was removed from the full queue to make room.
        displaced: Option<Attempt>,
    },
    /// The queue did not accept it.
    Refused,
}

/// Admission, choice and queues of one policy.
pub trait RequestPath {
    /// Whether a call is tried again if its engine was lost or crashed because of another call.
    const RETRIES: bool;

    /// Adds an engine; engines are numbered in the order of addition.
    fn add_engine(&mut self, info: EngineInfo);

    /// Records a change of an engine's role or readiness.
    fn update_engine(&mut self, engine: usize, info: EngineInfo);

    /// Delivers a load report to all entries.
    fn observe(&mut self, report: &LoadReport, now_us: u64);

    /// Whether the call is admitted; asked before each attempt.
    fn admit(&mut self, attempt: &Attempt, now_us: u64) -> bool;

    /// Chooses the engine for an attempt; `None` ends the call without a good answer.
    fn choose(&mut self, attempt: &Attempt, engines: &[EngineInfo], now_us: u64) -> Option<usize>;

    /// Queues the attempt at an engine.
    fn offer(&mut self, engine: usize, attempt: &Attempt, now_us: u64) -> OfferResult;

    /// Removes and returns the attempts that expired in the queue of an engine.
    fn take_expired(&mut self, engine: usize, now_us: u64) -> Vec<Attempt>;

    /// Starts the next attempt in the queue of an engine; `None` if none may start now.
    fn start_next(&mut self, engine: usize, now_us: u64) -> Option<Attempt>;

    /// Records that an attempt completed on the engine, with `served` tokens of prompt and answer.
    fn finish(&mut self, engine: usize, id: u32, served: u32, now_us: u64);

    /// Number of attempts waiting for the engine.
    fn waiting(&self, engine: usize) -> usize;

    /// Removes and returns the attempts that wait for an engine. With `clear_running`, its running
    /// attempts are removed as well, but not returned.
    fn withdraw(&mut self, engine: usize, clear_running: bool) -> Vec<Attempt>;

    /// Records which attempts were running when an engine crashed.
    fn record_crash(&mut self, running: &[Attempt], now_us: u64);

    /// Records the end of a call; `good` if its answer is complete and on time.
    fn record_call_end(&mut self, attempt: &Attempt, good: bool, now_us: u64);
}
