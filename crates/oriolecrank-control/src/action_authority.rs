//! Permits to act outside the replicated log. The leader has the authority to do so while its lease
//! holds; a permit is a check of this authority for one term.

use std::sync::Arc;
use std::time::Duration;

use oriolecrank_consensus::{LeaderAuthority, Term};
use oriolecrank_net::BootClock;
use oriolecrank_schema::TimePoint;

use crate::command_replica::CommandReplica;

/// Clock by which the leader's authority is measured. Tests use a manual one.
pub trait TimeSource: Clone + Unpin + Send + Sync + 'static {
    /// Current time, on the same clock as [`LeaderAuthority::until`].
    fn now(&self) -> TimePoint;
}

impl TimeSource for BootClock {
    fn now(&self) -> TimePoint {
        Self::now(*self)
    }
}

/// Permit to write to the network; checked immediately before each write.
pub trait WritePermit: Clone + Unpin + Send + Sync + 'static {
    /// Time for which the permit is still valid; `None` if it is not valid.
    fn remaining(&self) -> Option<Duration>;
}

/// Permit of the leader of one term. It is valid while the leader has its lease, but never in a
/// later term of the same instance, because another leader may have acted in between.
#[derive(Debug)]
pub struct LeaderPermit<R, T> {
    replica: Arc<R>,
    time: T,
    term: Term,
}

impl<R, T> LeaderPermit<R, T> {
    /// The only term in which the permit is valid.
    pub const fn term(&self) -> Term {
        self.term
    }
}

impl<R, T: Clone> Clone for LeaderPermit<R, T> {
    fn clone(&self) -> Self {
        Self {
            replica: Arc::clone(&self.replica),
            time: self.time.clone(),
            term: self.term,
        }
    }
}

impl<R: CommandReplica, T: TimeSource> WritePermit for LeaderPermit<R, T> {
    fn remaining(&self) -> Option<Duration> {
        let now = self.time.now();
        let authority = self.replica.authority(now)?;
        let remaining = authority.until.since(now);
        (authority.term == self.term && !remaining.is_zero()).then_some(remaining)
    }
}

/// Issues permits, but not before the leader's state contains everything that was committed before
/// its term. Otherwise, a new leader could repeat an order that its predecessor has settled.
#[derive(Debug)]
pub struct TermGuard<R, T> {
    replica: Arc<R>,
    time: T,
    /// Newest term in which a read barrier has shown that the state is up to date.
    caught_up_term: Option<Term>,
}

impl<R: CommandReplica, T: TimeSource> TermGuard<R, T> {
    /// Creates a guard for the authority of `replica`, as measured by `time`.
    pub const fn new(replica: Arc<R>, time: T) -> Self {
        Self {
            replica,
            time,
            caught_up_term: None,
        }
    }

    /// Returns a permit for the current term; `None` if this instance has no authority or cannot
    /// reach a quorum.
    pub async fn permit(&mut self) -> Option<LeaderPermit<R, T>> {
        let term = self.replica.authority(self.time.now())?.term;
        if self.caught_up_term != Some(term) {
            if !self.replica.read_barrier().await {
                return None;
            }
            self.caught_up_term = Some(term);
        }
        let permit = LeaderPermit {
            replica: Arc::clone(&self.replica),
            time: self.time.clone(),
            term,
        };
        permit.remaining().map(|_| permit)
    }
}

/// Times of an [`AuthorityWait`].
#[derive(Debug, Clone)]
pub struct WaitSettings {
    /// Length of a leader's lease. The predecessor may act until its lease has ended.
    pub lease: Duration,
    /// Longest time for which a message of the predecessor may be in flight.
    pub max_transit: Duration,
}

impl Default for WaitSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(400),
            max_transit: Duration::from_secs(2),
        }
    }
}

/// Whether a leader may write to systems that do not check fencing numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitState {
    /// This instance has no authority.
    NoAuthority,
    /// Messages of the predecessor may arrive until this time.
    Waiting(TimePoint),
    /// The leader of this term may write.
    Open(Term),
}

/// Makes a new leader wait until no message of its predecessor can still arrive.
#[derive(Debug, Clone)]
pub struct AuthorityWait {
    settings: WaitSettings,
    /// Newest observed term and the time at which it was first observed. A lease that lapses and is
    /// renewed in the same term starts no new wait, because no other instance led in between.
    observed: Option<(Term, TimePoint)>,
}

impl AuthorityWait {
    /// Creates a wait that starts when [`Self::observe`] first gets a valid authority.
    pub const fn new(settings: WaitSettings) -> Self {
        Self {
            settings,
            observed: None,
        }
    }

    /// Returns whether a leader with this authority may write at `now`. `None`, or an authority
    /// that has ended, gives [`WaitState::NoAuthority`].
    pub fn observe(&mut self, authority: Option<LeaderAuthority>, now: TimePoint) -> WaitState {
        let Some(authority) = authority.filter(|authority| now < authority.until) else {
            return WaitState::NoAuthority;
        };
        let known = self.observed.filter(|(term, _)| *term == authority.term);
        let (term, since) = *self.observed.insert(known.unwrap_or((authority.term, now)));
        let open_at = since + self.settings.lease + self.settings.max_transit;
        if now < open_at {
            return WaitState::Waiting(open_at);
        }
        WaitState::Open(term)
    }
}
