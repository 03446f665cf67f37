//! Callers that wait for entries or reads.

use std::collections::BTreeMap;

use oriolecrank_consensus::{EntryPosition, LogIndex, ReadContext, ReadOutcome, Term};
use tokio::sync::OwnedSemaphorePermit;

use crate::replica_error::{Applied, BarrierError, ChangeError, ProposeError};
use crate::replica_input::{ChangeReply, ProposeReply, ReadReply};

/// A caller that waits for an entry.
#[derive(Debug)]
pub(crate) enum EntryWaiter<O> {
    Proposal {
        reply: ProposeReply<O>,
        /// Given back when the waiter is dropped.
        _permit: OwnedSemaphorePermit,
    },
    Change(ChangeReply),
}

/// Callers that wait for entries, by index.
#[derive(Debug)]
pub(crate) struct EntryWaiters<O>(BTreeMap<LogIndex, (Term, EntryWaiter<O>)>);

/// Callers that wait for reads.
#[derive(Debug, Default)]
pub(crate) struct ReadWaiters {
    last: u64,
    /// Reads that the leader has not confirmed.
    open: BTreeMap<ReadContext, Vec<ReadReply>>,
    /// Confirmed reads whose index is not applied yet.
    confirmed: BTreeMap<LogIndex, Vec<ReadReply>>,
}

// The callers may have given up; a failed send means nothing here.
impl<O> EntryWaiter<O> {
    fn replaced(self) {
        match self {
            Self::Proposal { reply, .. } => drop(reply.send(Err(ProposeError::Replaced))),
            Self::Change(reply) => drop(reply.send(Err(ChangeError::ChangeUnknown))),
        }
    }

    fn unknown(self) {
        match self {
            Self::Proposal { reply, .. } => drop(reply.send(Err(ProposeError::OutcomeUnknown))),
            Self::Change(reply) => drop(reply.send(Err(ChangeError::ChangeUnknown))),
        }
    }
}

impl<O> Default for EntryWaiters<O> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<O> EntryWaiters<O> {
    pub(crate) fn add(&mut self, position: EntryPosition, waiter: EntryWaiter<O>) {
        let earlier = self.0.insert(position.index, (position.term, waiter));
        // The earlier entry is gone from this log, but another instance may still commit it.
        if let Some((_, earlier)) = earlier {
            earlier.unknown();
        }
    }

    /// Takes the caller that waits for a committed entry; one that waits for another entry in the
    /// same place is told that it was replaced.
    pub(crate) fn take(&mut self, index: LogIndex, term: Term) -> Option<EntryWaiter<O>> {
        let (waiting_term, waiter) = self.0.remove(&index)?;
        if waiting_term == term {
            return Some(waiter);
        }
        waiter.replaced();
        None
    }

    /// Forgets callers that have given up.
    pub(crate) fn prune(&mut self) {
        self.0.retain(|_, (_, waiter)| match waiter {
            EntryWaiter::Proposal { reply, .. } => !reply.is_closed(),
            EntryWaiter::Change(reply) => !reply.is_closed(),
        });
    }

    /// Gives up on entries that a snapshot has covered.
    pub(crate) fn skip(&mut self, until: LogIndex) {
        let later = self.0.split_off(&until.next());
        for (_, waiter) in std::mem::replace(&mut self.0, later).into_values() {
            waiter.unknown();
        }
    }
}

impl<O> EntryWaiter<O> {
    /// Tells the caller that its entry is committed.
    pub(crate) fn committed(self, position: EntryPosition, output: Option<O>) {
        match (self, output) {
            (Self::Proposal { reply, .. }, Some(output)) => drop(reply.send(Ok(Applied {
                index: position.index,
                term: position.term,
                output,
            }))),
            (Self::Change(reply), _) => drop(reply.send(Ok(position))),
            (waiter @ Self::Proposal { .. }, None) => waiter.unknown(),
        }
    }
}

impl ReadWaiters {
    /// Adds callers that share one read.
    pub(crate) fn open(&mut self, replies: Vec<ReadReply>) -> ReadContext {
        self.last += 1;
        let context = ReadContext(self.last);
        self.open.insert(context, replies);
        context
    }

    pub(crate) fn finish(&mut self, read: ReadOutcome, applied: LogIndex) {
        let Some(replies) = self.open.remove(&read.context) else {
            return;
        };
        let Some(index) = read.index else {
            for reply in replies {
                drop(reply.send(Err(BarrierError::NoLeader)));
            }
            return;
        };
        self.confirmed.entry(index).or_default().extend(replies);
        self.applied(applied);
    }

    /// Tells the callers whose index is applied.
    pub(crate) fn applied(&mut self, applied: LogIndex) {
        while let Some(entry) = self.confirmed.first_entry()
            && *entry.key() <= applied
        {
            for reply in entry.remove() {
                drop(reply.send(Ok(applied)));
            }
        }
    }

    /// Forgets callers that have given up.
    pub(crate) fn prune(&mut self) {
        let waits = |replies: &mut Vec<ReadReply>| {
            replies.retain(|reply| !reply.is_closed());
            !replies.is_empty()
        };
        self.open.retain(|_, replies| waits(replies));
        self.confirmed.retain(|_, replies| waits(replies));
    }
}
