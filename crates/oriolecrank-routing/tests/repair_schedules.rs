//! Repairs of a control group whose instances are lost one after the other.
//!
//! The group of consensus nodes is the test model of the consensus crate.
#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

#[expect(dead_code, reason = "this test uses only part of the test support")]
#[path = "../../oriolecrank-consensus/tests/support/group.rs"]
mod group;
#[expect(dead_code, reason = "disk faults are tested in the consensus crate")]
#[path = "../../oriolecrank-consensus/tests/support/memory_files.rs"]
mod memory_files;
#[expect(dead_code, reason = "this test uses only part of the test support")]
#[path = "../../oriolecrank-consensus/tests/support/oracle.rs"]
mod oracle;

use std::collections::BTreeMap;

use group::Group;
use oriolecrank_consensus::InstanceId;
use oriolecrank_routing::{JoiningMember, RepairPlanner, RepairSettings};

/// Schedules of each test; they vary clocks, delays and which instance leads.
const SEEDS: std::ops::Range<u64> = 0..200;

/// Interval between the checks of the membership, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 250;

/// Time after the start of a new instance within which the group must survive the next loss, in
/// milliseconds.
const CATCH_UP_MS: u64 = 4_000;

/// Time for which an instance has led, in milliseconds; longer than the silence after which a
/// learner is removed.
const LONG_LEADERSHIP_MS: u64 = 25_000;

/// Time until the first reply of an instance that joins, in milliseconds: a lost connection request
/// is repeated after a second.
const FIRST_REPLY_MS: u64 = 1_200;

/// Time within which a group that has a majority must commit again, in milliseconds.
const RECOVERY_MS: u64 = 12_000;

/// A group whose leader repairs its membership.
struct RepairedGroup {
    group: Group,
    planners: BTreeMap<InstanceId, RepairPlanner>,
    /// Instances that ask to join.
    joining: Vec<JoiningMember>,
}

impl RepairedGroup {
    /// Three founding voters with a leader.
    fn new(seed: u64) -> Self {
        let mut repaired = Self {
            group: Group::new(seed, 3),
            planners: BTreeMap::new(),
            joining: Vec::new(),
        };
        assert!(repaired.commits_within(RECOVERY_MS), "seed {seed}");
        repaired.run(2_000);
        repaired
    }

    /// Starts an instance with an empty disk that asks to join.
    fn add_instance(&mut self, name: &str) {
        let id = self.group.add_instance(name, Vec::new());
        let address = format!("{name}:1");
        self.joining.push(JoiningMember { id, address });
    }

    /// Loses the disk of an instance. An instance with an empty disk starts at its address.
    fn wipe(&mut self, id: &InstanceId) {
        self.group.discard(id);
        // The identity of an instance consists of its name and, for all but founders, a tag.
        let name = id
            .as_str()
            .split('-')
            .next()
            .expect("an identity has a name");
        self.add_instance(name);
    }

    fn run(&mut self, millis: u64) {
        let end = self.group.now + millis;
        while self.group.now < end {
            let step = CHECK_INTERVAL_MS.min(end - self.group.now);
            self.group.run(step);
            self.check_membership();
        }
    }

    fn check_membership(&mut self) {
        let ids: Vec<InstanceId> = self.group.instances.keys().cloned().collect();
        for id in &ids {
            if !self.group.is_active(id) {
                continue;
            }
            let status = self.group.node(id).status();
            let planner = self
                .planners
                .entry(id.clone())
                .or_insert_with(|| RepairPlanner::new(RepairSettings::default()));
            let now = self.group.local_time(id);
            if let Some(request) = planner.next_change(&status, &self.joining, now) {
                // A refused change is planned again.
                let _ = self.group.change_membership(id, &request);
            }
        }
    }

    fn leader(&self) -> Option<InstanceId> {
        let leaders = self.group.leaders().into_iter();
        leaders.max_by_key(|id| self.group.node(id).term())
    }

    /// Whether a new proposal is committed within some time.
    fn commits_within(&mut self, millis: u64) -> bool {
        let end = self.group.now + millis;
        while self.group.now < end {
            self.run(CHECK_INTERVAL_MS);
            let Some(position) = self.leader().and_then(|leader| self.group.propose(&leader))
            else {
                continue;
            };
            self.run(CHECK_INTERVAL_MS);
            if self.group.oracle.acknowledged() >= position.index {
                return true;
            }
        }
        false
    }
}

/// Guards against a control group that stops for good when its next disk is lost as soon as the
/// successor of a lost machine has had its time to catch up.
#[test]
fn the_next_lost_disk_after_the_catch_up_time_leaves_a_majority() {
    let mut stopped = Vec::new();
    for seed in SEEDS {
        let mut repaired = RepairedGroup::new(seed);
        let leader = repaired.leader().expect("the group has a leader");
        let ids: Vec<InstanceId> = repaired.group.instances.keys().cloned().collect();
        // Every second schedule loses the leader.
        let lost = ids
            .iter()
            .find(|id| (**id == leader) == (seed % 2 == 0))
            .expect("the group has a leader and followers");
        repaired.group.discard(lost);
        repaired.run(300);
        repaired.add_instance("successor");
        repaired.run(CATCH_UP_MS);
        let next = ids
            .iter()
            .find(|id| *id != lost)
            .expect("the group has three instances");
        repaired.wipe(next);
        if !repaired.commits_within(RECOVERY_MS) {
            stopped.push(seed);
        }
    }
    assert!(stopped.is_empty(), "no majority is left: seeds {stopped:?}");
}

/// Guards against a control group that removes an instance for good right after it has joined,
/// because the silence before its first reply counts from the start of the leader.
#[test]
fn an_instance_whose_first_reply_is_late_joins_a_group_with_a_long_serving_leader() {
    let mut stopped = Vec::new();
    for seed in SEEDS {
        let mut repaired = RepairedGroup::new(seed);
        repaired.run(LONG_LEADERSHIP_MS);
        let leader = repaired.leader().expect("the group has a leader");
        let ids: Vec<InstanceId> = repaired.group.instances.keys().cloned().collect();
        let followers: Vec<&InstanceId> = ids.iter().filter(|id| **id != leader).collect();
        repaired.wipe(followers[0]);
        let mut present = repaired.group.instances.keys();
        let joined = present.find(|id| !ids.contains(id)).cloned();
        let joined = joined.expect("the instance has a new identity");
        // Its first connection is lost and opened again.
        let links = [(joined.clone(), leader.clone()), (leader.clone(), joined)];
        repaired.group.network.blocked.extend(links);
        repaired.run(FIRST_REPLY_MS);
        repaired.group.network.blocked.clear();
        repaired.run(CATCH_UP_MS - FIRST_REPLY_MS);
        repaired.wipe(followers[1]);
        if !repaired.commits_within(RECOVERY_MS) {
            stopped.push(seed);
        }
    }
    assert!(stopped.is_empty(), "no majority is left: seeds {stopped:?}");
}
