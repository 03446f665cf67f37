//! Instances that wait until an operator adds them to the control group.

use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_consensus::MAX_MEMBERS;
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::JoiningInstance;

/// An instance that has not announced itself for this long is removed.
const EXPIRE_AFTER: Duration = Duration::from_secs(10);

/// Instances that wait to be added, by identity, with the time of their last announcement. The
/// leader keeps them in memory, at most [`MAX_MEMBERS`].
#[derive(Debug, Default)]
pub struct JoinTable {
    waiting: IndexMap<String, (JoiningInstance, TimePoint)>,
}

impl JoinTable {
    /// Records an announcement. If the table is full, the instance with the oldest one is removed.
    pub fn record(&mut self, instance: JoiningInstance, now: TimePoint) {
        self.remove_expired(now);
        // Entries are ordered by their last announcement, oldest first.
        self.waiting.shift_remove(&instance.instance);
        self.waiting
            .insert(instance.instance.clone(), (instance, now));
        if self.waiting.len() > MAX_MEMBERS {
            self.waiting.shift_remove_index(0);
        }
    }

    /// Instances that wait and are not members.
    pub fn waiting(
        &mut self,
        is_member: impl Fn(&str) -> bool,
        now: TimePoint,
    ) -> Vec<JoiningInstance> {
        self.remove_expired(now);
        let waiting = self.waiting.values().map(|(instance, _)| instance);
        let waiting = waiting.filter(|instance| !is_member(&instance.instance));
        waiting.cloned().collect()
    }

    fn remove_expired(&mut self, now: TimePoint) {
        self.waiting
            .retain(|_, (_, announced_at)| now.since(*announced_at) <= EXPIRE_AFTER);
    }
}
