//! Large entries and snapshots over slow links. Each member has its own connections for small and for
//! large messages, as the processes have, and all connections of an instance share its link.

use std::collections::VecDeque;

use indexmap::IndexMap;
use oriolecrank_consensus::{
    DiskTag, FoundingTags, HardState, InstanceId, LogIndex, Member, MemberRole, Membership,
    MessageBody, PeerMessage, RaftNode, RaftSettings, Snapshot, StoredState, Term,
};
use oriolecrank_schema::{TimePoint, codec, peer};
use rand::SeedableRng as _;
use rand::rngs::StdRng;

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;

/// Messages from this size on take the connection for large ones, in bytes.
const LARGE_MESSAGE_BYTES: usize = 8 * KIB;

/// Bytes that a connection sends before it is the turn of the next one of the same link.
const TURN_BYTES: usize = 4 * KIB;

/// Time on the way after the last byte was sent, in ms: that between two regions.
const DELAY_MS: u64 = 20;

/// A message on a connection, with the bytes that are not sent yet.
#[derive(Debug)]
struct QueuedMessage {
    message: PeerMessage,
    size: usize,
    left: usize,
}

/// Messages to one member, by connection.
#[derive(Debug, Default)]
struct Connections {
    small: VecDeque<QueuedMessage>,
    large: VecDeque<QueuedMessage>,
}

impl Connections {
    fn waiting_bytes(&self) -> usize {
        let queued = self.small.iter().chain(&self.large);
        queued.map(|queued| queued.size).sum()
    }
}

/// One instance with its link.
#[derive(Debug)]
struct Instance {
    node: RaftNode,
    /// Bytes that the link carries in a millisecond.
    rate: usize,
    connections: IndexMap<InstanceId, Connections>,
    /// Bytes sent to each member so far.
    sent: IndexMap<InstanceId, usize>,
    /// Most bytes that have waited for one member at a time.
    most_waiting: usize,
    /// Neither sends nor receives.
    is_stopped: bool,
    became_leader: usize,
}

/// Instances with links of a limited rate.
#[derive(Debug)]
struct SlowGroup {
    now: u64,
    instances: IndexMap<InstanceId, Instance>,
    /// Messages by the time of their arrival.
    arriving: VecDeque<(u64, PeerMessage)>,
    /// Instances that run the version before chunks of entries.
    old_members: Vec<InstanceId>,
}

fn name(number: usize) -> InstanceId {
    InstanceId::new(&format!("c{number}"))
}

/// A node with an empty log, or with what an earlier run has stored.
fn started_node(id: &InstanceId, members: usize, earlier: Option<&RaftNode>, now: u64) -> RaftNode {
    let members = (1..=members).map(|number| Member {
        id: name(number),
        address: String::new(),
        role: if number <= 5 {
            MemberRole::Voter
        } else {
            MemberRole::Learner
        },
    });
    let stored = StoredState {
        hard_state: earlier.map_or_else(HardState::default, |node| node.hard_state().clone()),
        founding: Some(FoundingTags::default()),
        snapshot: Some(Snapshot {
            index: LogIndex(0),
            term: Term(0),
            membership: Membership::founding(members.collect()),
            data: Vec::new().into(),
        }),
        entries: earlier.map_or_else(Vec::new, |node| node.log_entries().cloned().collect()),
    };
    let number: u64 = id.as_str()[1..].parse().expect("names end with a number");
    let random = StdRng::seed_from_u64(number);
    let (tag, settings) = (DiskTag(number), RaftSettings::default());
    RaftNode::new(
        id.clone(),
        tag,
        settings,
        stored,
        random,
        TimePoint::from_millis(now),
    )
}

impl SlowGroup {
    /// Starts a group whose links carry `rate` bytes in a millisecond, and elects a leader.
    fn with_leader(members: usize, rate: usize) -> (Self, InstanceId) {
        let mut group = Self {
            now: 1_000,
            instances: IndexMap::new(),
            arriving: VecDeque::new(),
            old_members: Vec::new(),
        };
        for number in 1..=members {
            let instance = Instance {
                node: started_node(&name(number), members, None, group.now),
                rate,
                connections: IndexMap::new(),
                sent: IndexMap::new(),
                most_waiting: 0,
                is_stopped: false,
                became_leader: 0,
            };
            group.instances.insert(name(number), instance);
        }
        group.run(5_000);
        let leader = group.leader().expect("a quiet group elects a leader");
        for instance in group.instances.values_mut() {
            instance.sent.clear();
            instance.most_waiting = 0;
            instance.became_leader = 0;
        }
        (group, leader)
    }

    fn leader(&self) -> Option<InstanceId> {
        let leads = |instance: &&Instance| instance.node.is_leader();
        let leaders = self.instances.values().filter(leads);
        let newest = leaders.max_by_key(|instance| instance.node.term());
        newest.map(|instance| instance.node.id().clone())
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis {
            self.now += 1;
            self.receive();
            for id in self.instances.keys().cloned().collect::<Vec<_>>() {
                self.drive(&id);
                self.send(&id);
            }
        }
    }

    /// Runs until `condition` holds, for at most `limit` ms; returns the time that it took.
    fn run_until(&mut self, limit: u64, condition: impl Fn(&Self) -> bool) -> Option<u64> {
        let started = self.now;
        while self.now < started + limit {
            self.run(1);
            if condition(self) {
                return Some(self.now - started);
            }
        }
        None
    }

    fn receive(&mut self) {
        let now = TimePoint::from_millis(self.now);
        while self.arriving.front().is_some_and(|(at, _)| *at <= self.now) {
            let Some((_, message)) = self.arriving.pop_front() else {
                return;
            };
            let instance = &mut self.instances[&message.to];
            let is_chunk = matches!(message.body, MessageBody::EntryChunk(_));
            let is_old = self.old_members.contains(&message.to);
            assert!(
                !is_chunk || !is_old,
                "an older version cannot decode a chunk"
            );
            if !instance.is_stopped {
                instance.node.step(message, now);
            }
        }
    }

    /// Ticks a node and queues what it sends.
    fn drive(&mut self, id: &InstanceId) {
        let now = TimePoint::from_millis(self.now);
        let is_old = self.old_members.contains(id);
        let instance = &mut self.instances[id];
        if instance.is_stopped {
            return;
        }
        let led = instance.node.is_leader();
        if instance.node.next_tick() <= now {
            instance.node.tick(now);
        }
        loop {
            let batch = instance.node.ready(now);
            if batch.is_empty() {
                break;
            }
            instance.node.mark_synced(now);
            for message in batch.early_messages.into_iter().chain(batch.messages) {
                let message = if is_old {
                    strip_new_fields(message)
                } else {
                    message
                };
                let size = codec::encode(&peer::PeerEnvelope::from(message.clone())).len();
                let to = message.to.clone();
                let queued = QueuedMessage {
                    message,
                    size,
                    left: size,
                };
                *instance.sent.entry(to.clone()).or_default() += size;
                let connections = instance.connections.entry(to).or_default();
                if size < LARGE_MESSAGE_BYTES {
                    connections.small.push_back(queued);
                } else {
                    connections.large.push_back(queued);
                }
                instance.most_waiting = instance.most_waiting.max(connections.waiting_bytes());
            }
        }
        if instance.node.is_leader() && !led {
            instance.became_leader += 1;
        }
    }

    /// Sends for a millisecond, in turns over all connections that have something to send.
    fn send(&mut self, id: &InstanceId) {
        let arrival = self.now + DELAY_MS;
        let instance = &mut self.instances[id];
        let mut room = instance.rate;
        while room > 0 && !instance.is_stopped {
            let before = room;
            for connections in instance.connections.values_mut() {
                for queue in [&mut connections.small, &mut connections.large] {
                    let Some(first) = queue.front_mut() else {
                        continue;
                    };
                    let part = first.left.min(TURN_BYTES).min(room);
                    first.left -= part;
                    room -= part;
                    if first.left == 0
                        && let Some(sent) = queue.pop_front()
                    {
                        self.arriving.push_back((arrival, sent.message));
                    }
                }
            }
            if room == before {
                return;
            }
        }
    }

    fn propose(&mut self, leader: &InstanceId, bytes: usize) -> LogIndex {
        let now = TimePoint::from_millis(self.now);
        let data = vec![7; bytes].into();
        let proposed = self.instances[leader].node.propose(data, now);
        proposed.expect("the leader takes the entry").index
    }

    fn has_committed(&self, id: &InstanceId, index: LogIndex) -> bool {
        self.instances[id].node.status().commit_index >= index
    }

    fn all_have_committed(&self, index: LogIndex) -> bool {
        let mut running = self
            .instances
            .values()
            .filter(|instance| !instance.is_stopped);
        running.all(|instance| instance.node.status().commit_index >= index)
    }

    fn elections(&self) -> usize {
        let became_leader = self
            .instances
            .values()
            .map(|instance| instance.became_leader);
        became_leader.sum()
    }
}

/// The message as a member of the version before chunks of entries sends it.
fn strip_new_fields(mut message: PeerMessage) -> PeerMessage {
    if let MessageBody::AppendReply(reply) = &mut message.body {
        reply.takes_chunks = false;
    }
    message
}

/// Guards against a leader that sends a large entry again at each heartbeat, because a heartbeat
/// overtakes the entry on another connection and the member says that the entry is missing: four copies
/// to each member were under way, more than the process may hold, and no heartbeat got through.
#[test]
fn a_large_entry_is_under_way_to_a_member_only_once() {
    // A link of 100 Mbit/s.
    let (mut group, leader) = SlowGroup::with_leader(6, 12_500);
    let bytes = 2_300 * KIB;
    let index = group.propose(&leader, bytes);
    let spread = group.run_until(30_000, |group| group.all_have_committed(index));
    let instance = &group.instances[&leader];
    println!(
        "spread after {spread:?} ms, {} KiB waited for a member, {} elections",
        instance.most_waiting / KIB,
        group.elections()
    );
    assert!(spread.is_some(), "the entry has not reached all members");
    assert_eq!(group.elections(), 0, "the leader was deposed");
    for (member, sent) in &instance.sent {
        assert!(*sent < bytes * 5 / 4, "{sent} bytes were sent to {member}");
    }
    assert!(
        instance.most_waiting <= 512 * KIB,
        "too much waits for a member"
    );
}

/// Guards against an entry of the largest size that never gets through a slow link, or that keeps
/// heartbeats back so long that the leader is deposed.
#[test]
fn the_largest_entry_crosses_a_link_of_ten_megabits_without_an_election() {
    let (mut group, leader) = SlowGroup::with_leader(6, 1_250);
    let index = group.propose(&leader, 4 * MIB);
    // All five copies take 17 s on this link.
    let spread = group.run_until(40_000, |group| group.all_have_committed(index));
    println!(
        "spread after {spread:?} ms, {} elections",
        group.elections()
    );
    assert!(spread.is_some(), "the entry has not reached all members");
    assert_eq!(group.elections(), 0, "the leader was deposed");
}

/// Guards against a member that gets no large entry any more after it was away in the middle of one.
#[test]
fn a_member_that_was_away_in_the_middle_of_a_large_entry_gets_it() {
    let (mut group, leader) = SlowGroup::with_leader(5, 12_500);
    let followers: Vec<InstanceId> = group
        .instances
        .keys()
        .filter(|id| **id != leader)
        .cloned()
        .collect();
    let index = group.propose(&leader, 2_300 * KIB);
    group.run(300);
    let (restarted, paused) = (&followers[0], &followers[1]);
    let earlier = &group.instances[restarted].node;
    let node = started_node(restarted, 5, Some(earlier), group.now);
    group.instances[restarted].node = node;
    group.instances[paused].is_stopped = true;
    group.run(3_000);
    assert!(
        group.has_committed(&leader, index),
        "three of five are there"
    );
    group.instances[paused].is_stopped = false;
    let caught_up = group.run_until(10_000, |group| group.all_have_committed(index));
    assert!(caught_up.is_some(), "the members did not catch up");
    let waited = group.instances[&leader].most_waiting;
    assert!(waited <= 512 * KIB, "{waited} bytes waited for a member");
}

/// Guards against a snapshot of which each chunk is sent again at each heartbeat over a slow link.
#[test]
fn a_snapshot_crosses_a_slow_link_without_copies_of_its_chunks() {
    let (mut group, leader) = SlowGroup::with_leader(5, 1_250);
    let followers: Vec<InstanceId> = group
        .instances
        .keys()
        .filter(|id| **id != leader)
        .cloned()
        .collect();
    let late = &followers[3];
    group.instances[late].is_stopped = true;
    let index = group.propose(&leader, KIB);
    group.run(1_000);
    let data: Vec<u8> = vec![9; 2 * MIB];
    let compacted = group.instances[&leader].node.compact(index, data.into(), 0);
    assert!(compacted.is_some());
    let sent_before = group.instances[&leader].sent[late];
    group.instances[&leader].most_waiting = 0;
    group.instances[late].is_stopped = false;
    let caught_up = group.run_until(20_000, |group| group.has_committed(late, index));
    let instance = &group.instances[&leader];
    let sent = instance.sent[late] - sent_before;
    println!("caught up after {caught_up:?} ms with {sent} bytes");
    assert!(caught_up.is_some(), "the member did not catch up");
    assert!(sent < 2 * MIB * 5 / 4, "{sent} bytes were sent");
    assert!(
        instance.most_waiting <= 512 * KIB,
        "too much waits for a member"
    );
    assert_eq!(group.elections(), 0, "the leader was deposed");
}

/// Guards against members of the version before chunks that get no large entries, or copies of them
/// with each heartbeat.
#[test]
fn a_member_of_an_older_version_gets_a_large_entry_whole_and_once() {
    let (mut group, leader) = SlowGroup::with_leader(5, 12_500);
    let followers = group.instances.keys().filter(|id| **id != leader);
    group.old_members = followers.cloned().collect();
    group.run(1_000);
    let bytes = 2_300 * KIB;
    let index = group.propose(&leader, bytes);
    let spread = group.run_until(10_000, |group| group.all_have_committed(index));
    assert!(spread.is_some(), "the entry has not reached all members");
    assert_eq!(group.elections(), 0, "the leader was deposed");
    for (member, sent) in &group.instances[&leader].sent {
        assert!(*sent < bytes * 5 / 4, "{sent} bytes were sent to {member}");
    }
}

/// Guards against a leader that accepts more than it may hold while nothing is committed.
#[test]
fn uncommitted_entries_are_bounded_by_bytes() {
    let (mut group, leader) = SlowGroup::with_leader(5, 12_500);
    let followers: Vec<InstanceId> = group
        .instances
        .keys()
        .filter(|id| **id != leader)
        .cloned()
        .collect();
    for id in &followers {
        group.instances[id].is_stopped = true;
    }
    let now = TimePoint::from_millis(group.now);
    let node = &mut group.instances[&leader].node;
    let limit = RaftSettings::default().max_uncommitted_bytes;
    let accepted = (0..100).take_while(|_| node.propose(vec![7; MIB].into(), now).is_ok());
    assert!(accepted.count() <= limit / MIB);
    assert!(node.memory().uncommitted <= limit + KIB);
}
