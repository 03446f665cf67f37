//! Term in which a leader may act on outside systems.

use std::time::Duration;

use oriolecrank_schema::TimePoint;

/// A term in which this instance leads.
#[derive(Debug, Clone, Copy)]
struct LedTerm {
    term: u64,
    led_since: TimePoint,
    /// Whether an outside system has seen a higher fencing number; nothing more is sent in this
    /// term.
    fenced: bool,
}

/// Decides in which term this instance sends fenced messages to outside systems.
///
/// A new leader waits for a lease, so that its predecessor has stopped.
#[derive(Debug)]
pub struct ActingTerm {
    lease: Duration,
    led_term: Option<LedTerm>,
}

impl ActingTerm {
    /// Creates the state of an instance that does not lead.
    pub const fn new(lease: Duration) -> Self {
        Self {
            lease,
            led_term: None,
        }
    }

    /// Takes the term that this instance leads at present, `None` if it does not lead. Returns the
    /// term once the instance has led it for the lease and was not fenced.
    pub fn update(&mut self, led_term: Option<u64>, now: TimePoint) -> Option<u64> {
        let Some(term) = led_term else {
            self.led_term = None;
            return None;
        };
        let known = self.led_term.filter(|led_term| led_term.term == term);
        let led_term = known.unwrap_or(LedTerm {
            term,
            led_since: now,
            fenced: false,
        });
        self.led_term = Some(led_term);
        let may_act = !led_term.fenced && now.since(led_term.led_since) >= self.lease;
        may_act.then_some(term)
    }

    /// Records that an outside system has seen the fencing number of a later leader; this instance
    /// does nothing more in its term.
    pub const fn mark_fenced(&mut self) {
        if let Some(led_term) = &mut self.led_term {
            led_term.fenced = true;
        }
    }
}
