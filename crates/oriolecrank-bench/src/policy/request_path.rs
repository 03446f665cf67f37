//! Seam between the replay and the decisions of the request path.

use oriolecrank_schema::control::UpstreamRole;
use oriolecrank_schema::data_path::UpstreamLoad;

use super::engine_model::Sequence;
use super::traffic::Call;

/// What an entry knows of an engine from its announcement.
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
    /// Whether it takes new work.
    pub ready: bool,
}

/// A call that is to run, for the first time or from the tokens that were already sent.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    /// Index of the call.
    pub id: u32,
    /// Attempt number, from 1.
    pub number: u32,
    /// The call.
    pub call: Call,
    /// Tokens that were sent by earlier attempts.
    pub sent: u32,
}

impl Attempt {
    /// Class of the call; a smaller one is served first.
    pub fn class(&self) -> u8 {
        u8::from(self.call.deadline_us.is_none())
    }

    /// The sequence that the engine gets.
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

/// A load report as an entry gets it.
#[derive(Debug, Clone)]
pub struct LoadReport {
    /// Index of the engine.
    pub engine: usize,
    /// When the report was taken, in microseconds.
    pub taken_us: u64,
    /// The report.
    pub load: UpstreamLoad,
}

/// What an agent did with an attempt.
#[derive(Debug, Clone, Copy)]
pub enum OfferResult {
    /// It waits.
    Queued {
        /// A less urgent attempt that lost its place.
        displaced: Option<Attempt>,
    },
    /// It was refused.
    Refused,
}

/// Admission, choice and queues of one policy.
pub trait RequestPath {
    /// Whether attempts that failed without the fault of the caller are run again.
    const RETRIES: bool;

    /// Makes room for an engine that is added; engines are numbered in the order of addition.
    fn add_engine(&mut self, info: EngineInfo);

    /// The role or the readiness of an engine has changed.
    fn update_engine(&mut self, engine: usize, info: EngineInfo);

    /// Delivers a load report to all entries.
    fn observe(&mut self, report: &LoadReport, now_us: u64);

    /// Whether the call may enter.
    fn admit(&mut self, attempt: &Attempt, now_us: u64) -> bool;

    /// Chooses the engine for an attempt, `None` to refuse it.
    fn choose(&mut self, attempt: &Attempt, engines: &[EngineInfo], now_us: u64) -> Option<usize>;

    /// Queues the attempt at an engine.
    fn offer(&mut self, engine: usize, attempt: &Attempt, now_us: u64) -> OfferResult;

    /// Removes the attempts that waited too long.
    fn take_expired(&mut self, engine: usize, now_us: u64) -> Vec<Attempt>;

    /// The next attempt to send to the engine.
    fn start_next(&mut self, engine: usize, now_us: u64) -> Option<Attempt>;

    /// An attempt ended on the engine, after `served` tokens.
    fn finish(&mut self, engine: usize, id: u32, served: u32, now_us: u64);

    /// Number of attempts waiting for the engine.
    fn waiting(&self, engine: usize) -> usize;

    /// Empties the queue of an engine that drains and returns what waited. If the engine is `lost`,
    /// what it runs is forgotten as well.
    fn withdraw(&mut self, engine: usize, clear_running: bool) -> Vec<Attempt>;

    /// Records which calls ran when an engine crashed.
    fn record_crash(&mut self, running: &[Attempt], now_us: u64);

    /// The call has ended, for good or not.
    fn record_call_end(&mut self, attempt: &Attempt, good: bool, now_us: u64);
}
