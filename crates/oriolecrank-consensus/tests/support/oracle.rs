//! Invariants of Raft that must hold for a group at all times.

use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash as _, Hasher as _};

use oriolecrank_consensus::{
    EntryBody, EntryPosition, InstanceId, LogEntry, LogIndex, Membership, RaftNode, ReadContext,
    Term,
};

/// A committed entry, recorded when the first instance applied it.
#[derive(Debug)]
struct CommittedEntry {
    term: Term,
    /// Term of the instance that applied it first; every leader of a later term must have the
    /// entry.
    applied_in_term: Term,
    /// State of the state machine after the entry.
    state: u64,
    body: EntryBody,
}

/// Records every leader, entry and read of the group and checks the invariants.
#[derive(Debug, Default)]
pub struct Oracle {
    leaders: BTreeMap<Term, InstanceId>,
    committed: Vec<CommittedEntry>,
    /// For every entry found by [`Self::check_log`], by index and term: digest of its body, and
    /// term of the previous entry if known.
    entries: HashMap<(LogIndex, Term), (u64, Option<Term>)>,
    /// Newest committed membership; `None` while it is the founding one.
    pub membership: Option<Membership>,
    /// Last index whose commit was reported to a client.
    acknowledged: LogIndex,
    /// Last acknowledged index at the start of each pending read.
    reads: HashMap<ReadContext, LogIndex>,
    /// Number of reads that returned an index.
    pub answered_reads: u64,
}

/// State of the state machine after an entry.
pub fn next_state(state: u64, entry: &LogEntry) -> u64 {
    let mut hasher = DefaultHasher::new();
    (state, entry.index, entry.term, body_digest(&entry.body)).hash(&mut hasher);
    hasher.finish()
}

fn body_digest(body: &EntryBody) -> u64 {
    let mut hasher = DefaultHasher::new();
    match body {
        EntryBody::Noop => 0_u8.hash(&mut hasher),
        EntryBody::Data(data) => data.hash(&mut hasher),
        EntryBody::Membership(membership) => format!("{membership:?}").hash(&mut hasher),
    }
    hasher.finish()
}

impl Oracle {
    /// Last index that any instance has applied.
    pub fn committed(&self) -> LogIndex {
        LogIndex(self.committed.len() as u64)
    }

    /// Term and body of a committed entry.
    pub fn committed_entry(&self, index: LogIndex) -> Option<(Term, &EntryBody)> {
        let position = index.0.checked_sub(1)? as usize;
        let entry = self.committed.get(position)?;
        Some((entry.term, &entry.body))
    }

    /// Last index whose commit was reported to a client.
    pub fn acknowledged(&self) -> LogIndex {
        self.acknowledged
    }

    /// Checks that each term has at most one leader.
    pub fn check_leader(&mut self, node: &RaftNode) {
        let known = self
            .leaders
            .entry(node.term())
            .or_insert_with(|| node.id().clone());
        assert_eq!(known, node.id(), "two leaders in term {}", node.term());
    }

    /// Checks that a newly elected leader has every entry committed in earlier terms.
    pub fn check_new_leader(&mut self, node: &RaftNode) {
        if self.leaders.contains_key(&node.term()) {
            return self.check_leader(node);
        }
        self.check_leader(node);
        let terms: HashMap<LogIndex, Term> = node
            .log_entries()
            .map(|entry| (entry.index, entry.term))
            .collect();
        for (position, entry) in self.committed.iter().enumerate() {
            let index = LogIndex(position as u64 + 1);
            if index <= node.snapshot_index() || entry.applied_in_term >= node.term() {
                continue;
            }
            let held_term = terms.get(&index);
            assert_eq!(
                held_term,
                Some(&entry.term),
                "new leader {} lacks the committed entry at index {index}",
                node.id()
            );
        }
    }

    /// Checks that entries with equal index and term are equal and have equal predecessors.
    pub fn check_log(&mut self, node: &RaftNode) {
        let mut previous = None;
        for entry in node.log_entries() {
            let digest = body_digest(&entry.body);
            let seen = self
                .entries
                .entry((entry.index, entry.term))
                .or_insert((digest, previous));
            assert_eq!(
                seen.0, digest,
                "entries with index {} and term {} differ",
                entry.index, entry.term
            );
            if let (Some(seen), Some(own)) = (seen.1, previous) {
                assert_eq!(
                    seen, own,
                    "predecessors of the entries with index {} and term {} differ",
                    entry.index, entry.term
                );
            }
            seen.1 = seen.1.or(previous);
            previous = Some(entry.term);
        }
    }

    /// Records an applied entry and checks that all instances apply the same entries.
    pub fn record_applied(&mut self, node: &RaftNode, entry: &LogEntry, state: u64) {
        let position = entry.index.0 as usize - 1;
        if position == self.committed.len() {
            self.committed.push(CommittedEntry {
                term: entry.term,
                applied_in_term: node.term(),
                state,
                body: entry.body.clone(),
            });
            if let EntryBody::Membership(membership) = &entry.body {
                self.membership = Some(membership.clone());
            }
        }
        let known = self
            .committed
            .get(position)
            .expect("entries are applied in order");
        assert_eq!(
            known.term,
            entry.term,
            "{} applies a different entry at index {}",
            node.id(),
            entry.index
        );
        assert_eq!(
            known.state,
            state,
            "state of {} differs after index {}",
            node.id(),
            entry.index
        );
        let committed = self.committed_entry(entry.index);
        assert_eq!(
            committed,
            Some((entry.term, &entry.body)),
            "{} applies a different entry",
            node.id()
        );
    }

    /// Checks that a restored snapshot equals the state after its last entry.
    pub fn check_restored(&self, index: LogIndex, state: u64) {
        if index.0 > 0 {
            let known = &self.committed[index.0 as usize - 1];
            assert_eq!(
                known.state, state,
                "state of the snapshot at index {index} differs"
            );
        }
    }

    /// Records that the commit of a proposal was reported to its client.
    pub fn acknowledge(&mut self, position: EntryPosition) {
        self.acknowledged = self.acknowledged.max(position.index);
    }

    pub fn record_read(&mut self, context: ReadContext) {
        self.reads.insert(context, self.acknowledged);
    }

    /// Checks that a read sees every change that was acknowledged before it started.
    pub fn check_read(&mut self, context: ReadContext, index: LogIndex) {
        let Some(acknowledged) = self.reads.remove(&context) else {
            return;
        };
        assert!(
            index >= acknowledged,
            "read {context:?} returned index {index}, expected at least {acknowledged}"
        );
        self.answered_reads += 1;
    }
}
