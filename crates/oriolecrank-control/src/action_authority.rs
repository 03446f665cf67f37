//! Permission of the leader to act outside the log.

use std::sync::Arc;
use std::time::Duration;

use oriolecrank_consensus::{LeaderAuthority, Term};
use oriolecrank_net::BootClock;
use oriolecrank_schema::TimePoint;

use crate::command_replica::CommandReplica;

/// Clock against which authority is measured. Tests replace it by one they set.
pub trait TimeSource: Clone + Unpin + Send + Sync + 'static {
    /// Present time.
    fn now(&self) -> TimePoint;
}

impl TimeSource for BootClock {
    fn now(&self) -> TimePoint {
        Self::now(*self)
    }
}

/// Permission to send one message; asked immediately before each write to the network.
pub trait WritePermit: Clone + Unpin + Send + Sync + 'static {
    /// Time for which the permission still holds; `None` once it has ended.
    fn remaining(&self) -> Option<Duration>;
}

/// Permission of the leader of one term. It ends with the lease and does not pass to a later term
/// of the same instance, because another leader may have acted in between.
#[derive(Debug)]
pub struct LeaderPermit<R, T> {
    replica: Arc<R>,
    time: T,
    term: Term,
}

impl<R, T> LeaderPermit<R, T> {
    /// Term for which the permission was given.
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

/// Gives permits to a leader whose state contains everything that was committed before its term.
///
/// Without that, a new leader could repeat an order that its predecessor has settled.
#[derive(Debug)]
pub struct TermGuard<R, T> {
    replica: Arc<R>,
    time: T,
    caught_up: Option<Term>,
}

impl<R: CommandReplica, T: TimeSource> TermGuard<R, T> {
    /// A guard over the authority of `replica`.
    pub const fn new(replica: Arc<R>, time: T) -> Self {
        Self {
            replica,
            time,
            caught_up: None,
        }
    }

    /// Permit of the present term; `None` while this instance may not act.
    pub async fn permit(&mut self) -> Option<LeaderPermit<R, T>> {
        let term = self.replica.authority(self.time.now())?.term;
        if self.caught_up != Some(term) {
            if !self.replica.read_barrier().await {
                return None;
            }
            self.caught_up = Some(term);
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
    /// Lease of a leader. The predecessor may act until its lease has ended.
    pub lease: Duration,
    /// Longest time for which a message of the predecessor is on its way.
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
    /// Messages of the predecessor may still arrive until this time.
    Waiting(TimePoint),
    /// The leader of this term may write.
    Open(Term),
}

/// Makes a new leader wait until no message of its predecessor can arrive any more.
#[derive(Debug, Clone)]
pub struct AuthorityWait {
    settings: WaitSettings,
    /// Term that was observed last and the time of its first observation. A lease that lapses and is
    /// renewed in the same term starts no new wait, because nobody else led in between.
    held: Option<(Term, TimePoint)>,
}

impl AuthorityWait {
    /// A wait that begins with the first observed term.
    pub const fn new(settings: WaitSettings) -> Self {
        Self {
            settings,
            held: None,
        }
    }

    /// Takes the present authority and decides whether to write.
    pub fn observe(&mut self, authority: Option<LeaderAuthority>, now: TimePoint) -> WaitState {
        let Some(authority) = authority.filter(|authority| now < authority.until) else {
            return WaitState::NoAuthority;
        };
        let known = self.held.filter(|(term, _)| *term == authority.term);
        let (term, since) = *self.held.insert(known.unwrap_or((authority.term, now)));
        let open_at = since + self.settings.lease + self.settings.max_transit;
        if now < open_at {
            return WaitState::Waiting(open_at);
        }
        WaitState::Open(term)
    }
}
