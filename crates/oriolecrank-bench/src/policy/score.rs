//! Counts good answers: those that are complete and on time.

use super::scenario::Scenario;
use super::traffic::Call;

/// Longest time from the arrival of a call to the first token of a good answer, in microseconds.
pub const MAX_FIRST_TOKEN_US: u64 = 1_100_000;

/// Longest gap between two tokens that is not counted as slow, in microseconds.
pub const MAX_TOKEN_GAP_US: u64 = 61_000;

/// Smallest number of gaps between tokens for each slow one in a good answer: 5% may be slow.
const MIN_GAPS_PER_SLOW_GAP: u32 = 20;

/// Progress of one call over all its attempts.
#[derive(Debug, Clone, Copy, Default)]
pub struct AnswerProgress {
    /// When the first token was generated, in microseconds.
    pub first_us: u64,
    /// When the last token was generated, in microseconds.
    pub last_us: u64,
    /// Number of generated tokens.
    pub sent: u32,
    /// Number of gaps between tokens above [`MAX_TOKEN_GAP_US`].
    pub slow_gaps: u32,
    /// Number of attempts, without those that were moved to another engine while waiting or by a
    /// drain.
    pub attempts: u32,
    /// Whether the call has ended, with or without a good answer.
    pub ended: bool,
}

impl AnswerProgress {
    /// Records the next token of the answer.
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
        let first_on_time = self.first_us + latency_us <= call.arrival_us + MAX_FIRST_TOKEN_US;
        let gaps_allowed = self.slow_gaps * MIN_GAPS_PER_SLOW_GAP <= self.sent.saturating_sub(1);
        let meets_deadline = call
            .deadline_us
            .is_none_or(|deadline| self.last_us + latency_us <= deadline);
        first_on_time && gaps_allowed && meets_deadline
    }
}

/// Offered calls and good answers of a replay.
#[derive(Debug, Clone)]
pub struct ReplayScore {
    /// Offered calls and good answers by organisation, without calls that crash engines and the
    /// excess of a flood.
    organisations: Vec<(u64, u64)>,
    /// Good answers, including those to the excess of a flood.
    good: u64,
    /// Whether the largest organisation sends a flood; it is then left out of the figures by
    /// organisation.
    floods: bool,
    /// Number of role changes of all engines.
    pub role_changes: u64,
    /// Sum of the times for which upstreams were starting or running, in microseconds.
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

    /// Goodput of each organisation that does not flood and offered calls.
    fn organisation_goodputs(&self) -> impl Iterator<Item = f64> {
        self.organisations
            .iter()
            .skip(usize::from(self.floods))
            .filter(|(offered, _)| *offered > 0)
            .map(|(offered, good)| *good as f64 / *offered as f64)
    }

    /// Smallest goodput of an organisation that does not flood; 1 if there is none.
    pub fn worst_organisation_goodput(&self) -> f64 {
        self.organisation_goodputs().fold(1.0, f64::min)
    }

    /// Mean goodput of the organisations that do not flood; 0 if there is none.
    pub fn mean_organisation_goodput(&self) -> f64 {
        let (count, sum) = self
            .organisation_goodputs()
            .fold((0.0, 0.0), |(count, sum), share| (count + 1.0, sum + share));
        sum / f64::max(count, 1.0)
    }

    /// Role changes of all engines per hour.
    pub fn role_changes_per_hour(&self) -> f64 {
        self.role_changes as f64 * 3_600.0 / self.length_s as f64
    }

    /// Upstream-hours per thousand good answers.
    pub fn upstream_hours_per_1k_good(&self) -> f64 {
        let hours = self.upstream_us as f64 / 3.6e9;
        hours / (self.good as f64).max(1.0) * 1e3
    }
}
