//! What must hold for a group at all times.

use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash as _, Hasher as _};

use oriolecrank_consensus::{
    EntryBody, EntryPosition, InstanceId, LogEntry, LogIndex, Membership, RaftNode, ReadContext,
    Term,
};

/// A committed entry as the first instance applied it.
#[derive(Debug)]
struct CommittedEntry {
    term: Term,
    /// Term of the instance that applied it first; no leader of a later term may lack the entry.
    known_in: Term,
    /// State of the state machine after the entry.
    state: u64,
    body: EntryBody,
}

/// Knows everything that has happened and checks the invariants.
#[derive(Debug, Default)]
pub struct Oracle {
    leaders: BTreeMap<Term, InstanceId>,
    committed: Vec<CommittedEntry>,
    /// Digest of the body, and term of the entry before, of every entry that was ever in a log.
    entries: HashMap<(LogIndex, Term), (u64, Option<Term>)>,
    /// Newest committed membership; `None` while it is the founding one.
    pub membership: Option<Membership>,
    acknowledged: LogIndex,
    reads: HashMap<ReadContext, LogIndex>,
    /// Reads that returned an index.
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

    /// Last index that a client knows to be committed.
    pub fn acknowledged(&self) -> LogIndex {
        self.acknowledged
    }

    /// One leader a term, which has every entry committed in earlier terms.
    pub fn check_leader(&mut self, node: &RaftNode) {
        let known = self
            .leaders
            .entry(node.term())
            .or_insert_with(|| node.id().clone());
        assert_eq!(known, node.id(), "two leaders in term {}", node.term());
    }

    /// A leader that was just elected has every entry committed in earlier terms.
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
            if index <= node.snapshot_index() || entry.known_in >= node.term() {
                continue;
            }
            let found = terms.get(&index);
            assert_eq!(
                found,
                Some(&entry.term),
                "{} lacks index {index}",
                node.id()
            );
        }
    }

    /// Entries with equal index and term are equal, and so are all before them.
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
                "log matching at {} {}",
                entry.index, entry.term
            );
            if let (Some(seen), Some(own)) = (seen.1, previous) {
                assert_eq!(
                    seen, own,
                    "log matching before {} {}",
                    entry.index, entry.term
                );
            }
            seen.1 = seen.1.or(previous);
            previous = Some(entry.term);
        }
    }

    /// All instances apply the same entries.
    pub fn applied(&mut self, node: &RaftNode, entry: &LogEntry, state: u64) {
        let position = entry.index.0 as usize - 1;
        if position == self.committed.len() {
            self.committed.push(CommittedEntry {
                term: entry.term,
                known_in: node.term(),
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
            "{} applies another entry {}",
            node.id(),
            entry.index
        );
        assert_eq!(
            known.state,
            state,
            "{} differs after {}",
            node.id(),
            entry.index
        );
        let committed = self.committed_entry(entry.index);
        assert_eq!(committed, Some((entry.term, &entry.body)), "{}", node.id());
    }

    /// A restored snapshot equals the state after its last entry.
    pub fn restored(&self, index: LogIndex, state: u64) {
        if index.0 > 0 {
            let known = &self.committed[index.0 as usize - 1];
            assert_eq!(known.state, state, "snapshot at {index}");
        }
    }

    /// A client was told that its change is committed.
    pub fn acknowledge(&mut self, position: EntryPosition) {
        self.acknowledged = self.acknowledged.max(position.index);
    }

    pub fn read_started(&mut self, context: ReadContext) {
        self.reads.insert(context, self.acknowledged);
    }

    /// A read sees every change that was acknowledged before it began.
    pub fn read_answered(&mut self, context: ReadContext, index: LogIndex) {
        let Some(least) = self.reads.remove(&context) else {
            return;
        };
        assert!(index >= least, "read {context:?} at {index} misses {least}");
        self.answered_reads += 1;
    }
}
