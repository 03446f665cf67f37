//! Instances that wait until an operator adds them.

use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_consensus::MAX_MEMBERS;
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::JoiningInstance;

/// An instance that has not announced itself for this long is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// Instances that wait to be added, by identity; kept by the leader in memory. At most
/// [`MAX_MEMBERS`] are kept.
#[derive(Debug, Default)]
pub struct JoinTable {
    waiting: IndexMap<String, (JoiningInstance, TimePoint)>,
}

impl JoinTable {
    /// Takes an announcement.
    pub fn record(&mut self, instance: JoiningInstance, now: TimePoint) {
        self.prune(now);
        // The newest announcement is kept last, so that the oldest is dropped first.
        self.waiting.shift_remove(&instance.instance);
        self.waiting
            .insert(instance.instance.clone(), (instance, now));
        if self.waiting.len() > MAX_MEMBERS {
            self.waiting.shift_remove_index(0);
        }
    }

    /// Instances that wait and are not among `members`.
    pub fn waiting(
        &mut self,
        is_member: impl Fn(&str) -> bool,
        now: TimePoint,
    ) -> Vec<JoiningInstance> {
        self.prune(now);
        let waiting = self.waiting.values().map(|(instance, _)| instance);
        let waiting = waiting.filter(|instance| !is_member(&instance.instance));
        waiting.cloned().collect()
    }

    fn prune(&mut self, now: TimePoint) {
        self.waiting
            .retain(|_, (_, noted)| now.since(*noted) <= FORGET_AFTER);
    }
}
