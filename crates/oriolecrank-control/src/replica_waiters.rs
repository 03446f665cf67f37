//! Callers that wait for their proposals, membership changes or reads.

use std::collections::BTreeMap;

use oriolecrank_consensus::{EntryPosition, LogIndex, ReadContext, ReadOutcome, Term};
use oriolecrank_net::intake::ByteLease;

use crate::replica_error::{Applied, BarrierError, ChangeError, ProposeError};
use crate::replica_input::{ChangeReply, ProposeReply, ReadReply};

/// A caller that waits until its entry is committed.
#[derive(Debug)]
pub(crate) enum EntryWaiter<O> {
    Proposal {
        reply: ProposeReply<O>,
        /// Counts the data until the waiter is dropped.
        _lease: ByteLease,
    },
    Change(ChangeReply),
}

/// Callers that wait for entries, by index and with the term of the entry.
#[derive(Debug)]
pub(crate) struct EntryWaiters<O>(BTreeMap<LogIndex, (Term, EntryWaiter<O>)>);

/// Callers that wait for read barriers.
#[derive(Debug, Default)]
pub(crate) struct ReadWaiters {
    /// Number of the newest read.
    last_context: u64,
    /// Reads that the leader has not confirmed yet.
    unconfirmed: BTreeMap<ReadContext, Vec<ReadReply>>,
    /// Confirmed reads whose read index is not applied yet.
    confirmed: BTreeMap<LogIndex, Vec<ReadReply>>,
}

// Results of `send` are ignored: it fails only if the caller no longer waits.
impl<O> EntryWaiter<O> {
    fn reply_replaced(self) {
        match self {
            Self::Proposal { reply, .. } => drop(reply.send(Err(ProposeError::Replaced))),
            Self::Change(reply) => drop(reply.send(Err(ChangeError::ChangeUnknown))),
        }
    }

    fn reply_unknown(self) {
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
        // This instance's log no longer contains the earlier entry, but another instance may still
        // commit it.
        if let Some((_, earlier)) = earlier {
            earlier.reply_unknown();
        }
    }

    /// Removes and returns the caller that waits for a committed entry. A caller that waits for an
    /// entry of another term at the same index is notified that its entry was replaced.
    pub(crate) fn take(&mut self, index: LogIndex, term: Term) -> Option<EntryWaiter<O>> {
        let (waiting_term, waiter) = self.0.remove(&index)?;
        if waiting_term == term {
            return Some(waiter);
        }
        waiter.reply_replaced();
        None
    }

    /// Removes callers that no longer wait.
    pub(crate) fn prune(&mut self) {
        self.0.retain(|_, (_, waiter)| match waiter {
            EntryWaiter::Proposal { reply, .. } => !reply.is_closed(),
            EntryWaiter::Change(reply) => !reply.is_closed(),
        });
    }

    /// Reports an unknown outcome to the callers that wait for entries up to `index`. A snapshot
    /// from the leader replaces these entries, so they are not applied one by one.
    pub(crate) fn reply_unknown_through(&mut self, index: LogIndex) {
        let later = self.0.split_off(&index.next());
        for (_, waiter) in std::mem::replace(&mut self.0, later).into_values() {
            waiter.reply_unknown();
        }
    }
}

impl<O> EntryWaiter<O> {
    /// Notifies the caller that its entry is committed. `output` is the result of the state
    /// machine; `None` for an entry that is not applied to it.
    pub(crate) fn reply_committed(self, position: EntryPosition, output: Option<O>) {
        match (self, output) {
            (Self::Proposal { reply, .. }, Some(output)) => drop(reply.send(Ok(Applied {
                index: position.index,
                term: position.term,
                output,
            }))),
            (Self::Change(reply), _) => drop(reply.send(Ok(position))),
            (waiter @ Self::Proposal { .. }, None) => waiter.reply_unknown(),
        }
    }
}

impl ReadWaiters {
    /// Adds callers that share one read; returns the number of the read.
    pub(crate) fn add(&mut self, replies: Vec<ReadReply>) -> ReadContext {
        self.last_context += 1;
        let context = ReadContext(self.last_context);
        self.unconfirmed.insert(context, replies);
        context
    }

    /// Handles the result of a read. Callers of a confirmed read keep waiting until its index is
    /// applied.
    pub(crate) fn finish(&mut self, read: ReadOutcome, applied: LogIndex) {
        let Some(replies) = self.unconfirmed.remove(&read.context) else {
            return;
        };
        let Some(index) = read.index else {
            for reply in replies {
                drop(reply.send(Err(BarrierError::NoLeader)));
            }
            return;
        };
        self.confirmed.entry(index).or_default().extend(replies);
        self.reply_applied(applied);
    }

    /// Replies to the callers whose read index is applied.
    pub(crate) fn reply_applied(&mut self, applied: LogIndex) {
        while let Some(entry) = self.confirmed.first_entry()
            && *entry.key() <= applied
        {
            for reply in entry.remove() {
                drop(reply.send(Ok(applied)));
            }
        }
    }

    /// Removes callers that no longer wait.
    pub(crate) fn prune(&mut self) {
        let is_awaited = |replies: &mut Vec<ReadReply>| {
            replies.retain(|reply| !reply.is_closed());
            !replies.is_empty()
        };
        self.unconfirmed.retain(|_, replies| is_awaited(replies));
        self.confirmed.retain(|_, replies| is_awaited(replies));
    }
}
