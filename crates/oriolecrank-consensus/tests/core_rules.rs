//! Rules of the consensus core that random schedules rarely exercise, tested with hand-written
//! messages.

use oriolecrank_consensus::{
    AppendReply, AppendRequest, DiskTag, EntryBody, FoundingProgress, FoundingReply, FoundingTags,
    HardState, InstanceId, LogEntry, LogIndex, LogRecord, Member, MemberRole, Membership,
    MembershipError, MembershipRequest, MembershipVersion, MessageBody, PeerMessage, RaftNode,
    RaftSettings, ReadyBatch, RoundMark, Snapshot, StoredState, Term, VoteReply,
};
use oriolecrank_schema::TimePoint;
use rand::SeedableRng as _;
use rand::rngs::StdRng;

const START: TimePoint = TimePoint::from_millis(1_000);

fn id(name: &str) -> InstanceId {
    InstanceId::new(name)
}

fn entry(index: u64, term: u64) -> LogEntry {
    LogEntry {
        index: LogIndex(index),
        term: Term(term),
        body: EntryBody::Data(vec![index as u8, term as u8].into()),
    }
}

/// Node c1, restarted with the given members, term and entries. Members named `n...` are learners.
fn restarted_node(members: &[&str], term: u64, entries: Vec<LogEntry>) -> RaftNode {
    let members = members.iter().map(|name| Member {
        id: id(name),
        address: String::new(),
        role: if name.starts_with('n') {
            MemberRole::Learner
        } else {
            MemberRole::Voter
        },
    });
    let stored = StoredState {
        hard_state: HardState {
            term: Term(term),
            vote: None,
        },
        founding: Some(FoundingTags::default()),
        snapshot: Some(Snapshot {
            index: LogIndex(0),
            term: Term(0),
            membership: Membership::founding(members.collect()),
            data: Vec::new().into(),
        }),
        entries,
    };
    let random = StdRng::seed_from_u64(1);
    let settings = RaftSettings::default();
    RaftNode::new(id("c1"), DiskTag(1), settings, stored, random, START)
}

/// Takes batches until one is empty, each one synced at once.
fn take_all_ready(node: &mut RaftNode, now: TimePoint) -> Vec<ReadyBatch> {
    let mut batches = Vec::new();
    loop {
        let batch = node.ready(now);
        if batch.is_empty() {
            return batches;
        }
        node.mark_synced(now);
        batches.push(batch);
    }
}

fn step(node: &mut RaftNode, from: &str, term: Term, body: MessageBody, now: TimePoint) {
    let message = PeerMessage {
        from: id(from),
        to: id("c1"),
        term,
        body,
    };
    node.step(message, now);
}

/// Makes c1 the leader with the vote of c2.
fn elect(node: &mut RaftNode) -> TimePoint {
    let now = START + RaftSettings::default().max_election_timeout;
    node.tick(now);
    let granted = VoteReply {
        candidate_term: node.term().next(),
        granted: true,
    };
    step(
        node,
        "c2",
        node.term(),
        MessageBody::PreVoteReply(granted),
        now,
    );
    step(
        node,
        "c2",
        node.term(),
        MessageBody::VoteReply(granted),
        now,
    );
    assert!(node.is_leader());
    now
}

/// Reply of a follower whose log matches up to `index`.
fn accepted_reply(index: u64, now: TimePoint) -> MessageBody {
    MessageBody::AppendReply(AppendReply {
        mark: RoundMark {
            round: 1,
            sent: now,
        },
        accepted: true,
        previous_index: LogIndex(0),
        match_index: LogIndex(index),
        takes_chunks: true,
    })
}

/// Guards against committing an entry of an earlier term by counting replicas: another instance
/// with an entry of a later term could still be elected and replace it.
#[test]
fn entries_of_earlier_terms_are_committed_only_with_one_of_the_current_term() {
    let mut node = restarted_node(&["c1", "c2", "c3"], 3, vec![entry(1, 1), entry(2, 2)]);
    let now = elect(&mut node);
    take_all_ready(&mut node, now);
    let term = node.term();
    step(&mut node, "c2", term, accepted_reply(2, now), now);
    assert_eq!(node.status().commit_index, LogIndex(0));
    assert_eq!(
        node.authority(now),
        None,
        "no authority before the first commit"
    );
    step(&mut node, "c2", term, accepted_reply(3, now), now);
    assert_eq!(node.status().commit_index, LogIndex(3));
    assert!(node.authority(now).is_some());
}

/// Guards against a commit that counts the leader's copy before it is synced.
#[test]
fn the_leaders_copy_counts_only_once_it_is_synced() {
    let mut node = restarted_node(&["c1", "c2", "c3"], 1, Vec::new());
    let now = elect(&mut node);
    let batch = node.ready(now);
    let is_entry = |record: &LogRecord| matches!(record, LogRecord::Entry(_));
    assert!(batch.records.iter().any(is_entry));
    let term = node.term();
    step(&mut node, "c2", term, accepted_reply(1, now), now);
    assert_eq!(
        node.status().commit_index,
        LogIndex(0),
        "one synced copy of three"
    );
    node.mark_synced(now);
    assert_eq!(node.status().commit_index, LogIndex(1));
}

/// Guards against a leader that leads the same term again after a power loss: no message of a term
/// may be sent before the term is stored.
#[test]
fn a_new_term_is_stored_before_its_messages_are_sent() {
    let mut node = restarted_node(&["c1", "n1"], 1, Vec::new());
    let now = START + RaftSettings::default().max_election_timeout;
    node.tick(now);
    assert!(node.is_leader());
    let batch = node.ready(now);
    let is_hard_state = |record: &LogRecord| matches!(record, LogRecord::HardState(_));
    assert!(batch.records.iter().any(is_hard_state));
    assert_eq!(batch.early_messages, []);
    assert_eq!(
        batch.messages.len(),
        1,
        "the learner gets the entries after the sync"
    );
    node.mark_synced(now);
    node.propose(vec![1].into(), now).unwrap();
    take_all_ready(&mut node, now);
    step(&mut node, "n1", Term(2), accepted_reply(2, now), now);
    node.propose(vec![2].into(), now).unwrap();
    let batch = node.ready(now);
    assert_eq!(
        batch.early_messages.len(),
        1,
        "later entries are sent before the sync"
    );
}

/// Guards against a follower that applies the commit index of a message to entries of its own that
/// the message did not match.
#[test]
fn a_follower_commits_only_matched_entries() {
    let mut node = restarted_node(
        &["c1", "c2", "c3"],
        3,
        vec![entry(1, 1), entry(2, 2), entry(3, 2)],
    );
    let append = |previous: u64, previous_term: u64, entries: Vec<LogEntry>| {
        MessageBody::Append(AppendRequest {
            mark: RoundMark {
                round: 1,
                sent: START,
            },
            previous_index: LogIndex(previous),
            previous_term: Term(previous_term),
            commit: LogIndex(3),
            entries,
        })
    };
    // Name, append request, commit index after it.
    let cases = [
        ("does not match", append(2, 3, Vec::new()), 0),
        ("matches the first entry only", append(1, 1, Vec::new()), 1),
        (
            "gap within the entries",
            append(1, 1, vec![entry(2, 3), entry(4, 3)]),
            1,
        ),
        (
            "replaces the tail",
            append(1, 1, vec![entry(2, 3), entry(3, 3)]),
            3,
        ),
        ("repeated", append(1, 1, vec![entry(2, 3), entry(3, 3)]), 3),
    ];
    for (name, body, commit) in cases {
        step(&mut node, "c2", Term(3), body, START);
        assert_eq!(node.status().commit_index, LogIndex(commit), "{name}");
    }
    let terms: Vec<u64> = node.log_entries().map(|entry| entry.term.0).collect();
    assert_eq!(terms, [1, 3, 3]);
}

/// Guards against two leaders whose memberships have quorums that do not overlap: a leader that has
/// not committed an entry in its term may hold an earlier change that a later leader undoes.
#[test]
fn a_new_leader_rejects_membership_changes_before_its_first_commit() {
    let mut node = restarted_node(&["c1", "c2", "c3"], 1, Vec::new());
    let now = elect(&mut node);
    take_all_ready(&mut node, now);
    let current = node.membership().clone();
    let mut members = current.members;
    members.push(Member {
        id: id("n1"),
        address: String::new(),
        role: MemberRole::Learner,
    });
    let request = MembershipRequest {
        base_version: current.version,
        members,
        forced: false,
    };
    let early = node.propose_membership(&request, now);
    assert_eq!(early, Err(MembershipError::LeaderNotReady));
    let term = node.term();
    step(&mut node, "c2", term, accepted_reply(1, now), now);
    node.propose_membership(&request, now).unwrap();
}

/// Guards against a late reply to a lost folder that admits the folder which replaced it.
#[test]
fn a_reply_to_an_earlier_folder_does_not_complete_the_founding_check() {
    let members = ["c1", "c2"].map(|name| Member {
        id: id(name),
        address: String::new(),
        role: MemberRole::Voter,
    });
    let stored = StoredState {
        snapshot: Some(Snapshot {
            index: LogIndex(0),
            term: Term(0),
            membership: Membership::founding(members.to_vec()),
            data: Vec::new().into(),
        }),
        ..StoredState::default()
    };
    let (random, settings) = (StdRng::seed_from_u64(1), RaftSettings::default());
    let mut node = RaftNode::new(id("c1"), DiskTag(1), settings, stored, random, START);
    let cases = [
        ("earlier folder", 9, true, FoundingProgress::Waiting),
        ("this folder", 1, true, FoundingProgress::Complete),
        ("later refusal", 1, false, FoundingProgress::Complete),
    ];
    for (name, probe_tag, admitted, expected) in cases {
        let reply = FoundingReply {
            probe_tag: DiskTag(probe_tag),
            tag: DiskTag(2),
            admitted,
        };
        let body = MessageBody::FoundingReply(reply);
        step(&mut node, "c2", Term(0), body, START);
        assert_eq!(node.founding_progress(), expected, "{name}");
    }
}

/// Guards against a sole voter that waits for an election timeout at each start although no other
/// instance can lead, and against one of several voters that does not wait.
#[test]
fn only_a_sole_voter_becomes_leader_at_once() {
    for (voters, is_leader) in [(&["c1"][..], true), (&["c1", "c2"][..], false)] {
        let mut node = restarted_node(voters, 1, Vec::new());
        node.tick(START);
        assert_eq!(node.is_leader(), is_leader, "{voters:?}");
        assert!(node.next_tick() > START, "{voters:?}");
    }
}

/// Guards against a membership that stays in effect after its entry was replaced, and against an
/// instance that ignores the leader because an uncommitted entry removes that leader.
#[test]
fn a_replaced_membership_entry_is_no_longer_in_effect() {
    let changed = Membership {
        version: MembershipVersion(2),
        members: Vec::new(),
        retired: vec![id("c2")],
    };
    let change = LogEntry {
        body: EntryBody::Membership(changed),
        ..entry(2, 2)
    };
    let mut node = restarted_node(&["c1", "c2", "c3"], 2, vec![entry(1, 1), change]);
    assert_eq!(node.membership().version, MembershipVersion(2));
    let request = AppendRequest {
        mark: RoundMark {
            round: 1,
            sent: START,
        },
        previous_index: LogIndex(1),
        previous_term: Term(1),
        commit: LogIndex(0),
        entries: vec![entry(2, 3)],
    };
    step(
        &mut node,
        "c2",
        Term(3),
        MessageBody::Append(request),
        START,
    );
    assert_eq!(node.membership().version, MembershipVersion(1));
    assert_eq!(node.membership().voters().count(), 3);
}

/// Guards against a group that cannot elect a leader because the only instance with a long enough
/// log is removed by an uncommitted entry.
#[test]
fn an_instance_leads_until_its_own_removal_is_committed() {
    let node_before_change = restarted_node(&["c1", "c2", "c3"], 1, Vec::new());
    let mut changed = node_before_change.membership().clone();
    changed.version = MembershipVersion(2);
    changed.members.retain(|member| member.id != id("c1"));
    changed.retired.push(id("c1"));
    let removal = LogEntry {
        body: EntryBody::Membership(changed),
        ..entry(1, 1)
    };
    let mut node = restarted_node(&["c1", "c2", "c3"], 1, vec![removal]);
    let now = START + RaftSettings::default().max_election_timeout;
    node.tick(now);
    let granted = VoteReply {
        candidate_term: node.term().next(),
        granted: true,
    };
    // Both remaining voters are needed, because c1's own vote does not count.
    for (voter, is_leader) in [("c2", false), ("c3", true)] {
        let term = node.term();
        step(
            &mut node,
            voter,
            term,
            MessageBody::PreVoteReply(granted),
            now,
        );
        let term = node.term();
        step(&mut node, voter, term, MessageBody::VoteReply(granted), now);
        if voter == "c3" {
            step(&mut node, "c2", term, MessageBody::VoteReply(granted), now);
        }
        assert_eq!(node.is_leader(), is_leader, "{voter}");
    }
    take_all_ready(&mut node, now);
    let term = node.term();
    step(&mut node, "c2", term, accepted_reply(2, now), now);
    assert!(node.is_leader());
    step(&mut node, "c3", term, accepted_reply(2, now), now);
    assert_eq!(node.status().commit_index, LogIndex(2));
    assert!(
        !node.is_leader(),
        "it steps down once its removal is committed"
    );
}

/// Guards against a learner that is promoted before it has the membership and then never votes.
#[test]
fn a_learner_without_the_membership_is_not_promoted() {
    let mut node = restarted_node(&["c1", "c2", "c3"], 1, Vec::new());
    let now = elect(&mut node);
    take_all_ready(&mut node, now);
    let term = node.term();
    step(&mut node, "c2", term, accepted_reply(1, now), now);
    let request = |node: &RaftNode, role| {
        let mut members = node.membership().members.clone();
        members.retain(|member| member.id != id("n1"));
        members.push(Member {
            id: id("n1"),
            address: String::new(),
            role,
        });
        MembershipRequest {
            base_version: node.membership().version,
            members,
            forced: false,
        }
    };
    let learner = request(&node, MemberRole::Learner);
    node.propose_membership(&learner, now).unwrap();
    take_all_ready(&mut node, now);
    step(&mut node, "c2", term, accepted_reply(2, now), now);
    let promotion = request(&node, MemberRole::Voter);
    // The membership entry has index 2.
    step(&mut node, "n1", term, accepted_reply(1, now), now);
    let early = node.propose_membership(&promotion, now);
    assert_eq!(early, Err(MembershipError::NotCaughtUp { id: id("n1") }));
    step(&mut node, "n1", term, accepted_reply(2, now), now);
    node.propose_membership(&promotion, now).unwrap();
}
