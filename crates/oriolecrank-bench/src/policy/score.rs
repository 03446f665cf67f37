//! Counts of answers that are whole and on time.

use super::scenario::Scenario;
use super::traffic::Call;

/// Time to the first token that an answer is worth, in microseconds.
pub const MAX_FIRST_TOKEN_US: u64 = 1_100_000;

/// Longest time between two tokens that counts as on time, in microseconds.
pub const MAX_TOKEN_GAP_US: u64 = 61_000;

/// Share of the times between tokens of an answer that may be longer: 5 of 100.
const MIN_GAPS_PER_SLOW_GAP: u32 = 20;

/// Progress of the answer to one call.
#[derive(Debug, Clone, Copy, Default)]
pub struct AnswerProgress {
    /// When the first token was generated, in microseconds.
    pub first_us: u64,
    /// When the last token was generated, in microseconds.
    pub last_us: u64,
    /// Generated tokens.
    pub sent: u32,
    /// Times between tokens that were too long.
    pub slow_gaps: u32,
    /// Attempts so far.
    pub attempts: u32,
    /// Whether the answer has ended, for good or not.
    pub ended: bool,
}

impl AnswerProgress {
    /// Counts a token.
    pub fn record_token(&mut self, now_us: u64) {
        if self.sent == 0 {
            self.first_us = now_us;
        } else if now_us - self.last_us > MAX_TOKEN_GAP_US {
            self.slow_gaps += 1;
        }
        self.last_us = now_us;
        self.sent += 1;
    }

    /// Whether the complete answer was on time, with `latency_us` between engine and caller.
    pub fn on_time(&self, call: &Call, latency_us: u64) -> bool {
        let first = self.first_us + latency_us <= call.arrival_us + MAX_FIRST_TOKEN_US;
        let gaps = self.slow_gaps * MIN_GAPS_PER_SLOW_GAP <= self.sent.saturating_sub(1);
        let whole = call
            .deadline_us
            .is_none_or(|deadline| self.last_us + latency_us <= deadline);
        first && gaps && whole
    }
}

/// Offered calls and good answers of a replay.
#[derive(Debug, Clone)]
pub struct ReplayScore {
    /// Offered calls and good answers by organisation, without the excess of a flood.
    organisations: Vec<(u64, u64)>,
    /// Good answers, with those of the excess.
    good: u64,
    /// Whether the largest organisation floods.
    floods: bool,
    /// Role changes.
    pub role_changes: u64,
    /// Time of running and starting upstreams, in microseconds.
    pub upstream_us: u64,
    /// Replayed time in seconds.
    length_s: u64,
}

impl ReplayScore {
    /// An empty score.
    pub fn new(scenario: &Scenario, floods: bool) -> Self {
        Self {
            organisations: vec![(0, 0); scenario.organisations.len()],
            good: 0,
            floods,
            role_changes: 0,
            upstream_us: 0,
            length_s: scenario.length_s,
        }
    }

    /// Counts an offered call. Calls that crash engines and the excess of a flood are not expected
    /// to be served.
    pub fn record_offered(&mut self, call: &Call) {
        if !call.crashes && !call.excess {
            self.organisations[usize::from(call.organisation)].0 += 1;
        }
    }

    /// Counts a good answer.
    pub fn record_good_answer(&mut self, call: &Call) {
        self.good += 1;
        if !call.crashes && !call.excess {
            self.organisations[usize::from(call.organisation)].1 += 1;
        }
    }

    /// Share of the offered calls with a good answer.
    pub fn goodput(&self) -> f64 {
        let (offered, good) = self
            .organisations
            .iter()
            .fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        good as f64 / (offered as f64).max(1.0)
    }

    /// Share of each organisation that does not flood.
    fn organisation_goodputs(&self) -> impl Iterator<Item = f64> {
        self.organisations
            .iter()
            .skip(usize::from(self.floods))
            .filter(|(offered, _)| *offered > 0)
            .map(|(offered, good)| *good as f64 / *offered as f64)
    }

    /// Smallest share of an organisation that does not flood.
    pub fn worst_organisation_goodput(&self) -> f64 {
        self.organisation_goodputs().fold(1.0, f64::min)
    }

    /// Mean share of the organisations that do not flood.
    pub fn mean_organisation_goodput(&self) -> f64 {
        let (count, sum) = self
            .organisation_goodputs()
            .fold((0.0, 0.0), |(count, sum), share| (count + 1.0, sum + share));
        sum / f64::max(count, 1.0)
    }

    /// Role changes in an hour.
    pub fn role_changes_per_hour(&self) -> f64 {
        self.role_changes as f64 * 3_600.0 / self.length_s as f64
    }

    /// Upstream-hours for a thousand good answers.
    pub fn upstream_hours_per_1k_good(&self) -> f64 {
        let hours = self.upstream_us as f64 / 3.6e9;
        hours / (self.good as f64).max(1.0) * 1e3
    }
}
