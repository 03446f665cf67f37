//! Leases that upstreams renew by their announcements.

use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{UpstreamPhase, UpstreamRecord, UpstreamRemoval};
use oriolecrank_schema::document::UpstreamId;

/// Times of a [`LeaseTable`].
#[derive(Debug, Clone)]
pub struct LeaseSettings {
    /// Time without an announcement after which an upstream is suspected of having failed and gets
    /// no new work when others can take it.
    pub suspect_after: Duration,
    /// Time without an announcement after which an upstream is removed. It is well above
    /// `suspect_after`, so that a paused or slow agent is not removed and added again.
    pub remove_after: Duration,
    /// When an upstream is removed, others in its failure domain that would be removed within this
    /// time are removed together with it.
    pub group_window: Duration,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            suspect_after: Duration::from_secs(2),
            remove_after: Duration::from_secs(10),
            group_window: Duration::from_secs(2),
        }
    }
}

/// Upstreams without recent announcements, whose records the leader has to change or remove.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LeaseReport {
    /// Records to commit; their phase is already [`UpstreamPhase::Suspect`].
    pub suspects: Vec<UpstreamRecord>,
    /// Members to remove in one log entry.
    pub removals: Vec<UpstreamRemoval>,
}

/// Last announcement of each upstream; kept in the leader's memory.
#[derive(Debug)]
pub struct LeaseTable {
    settings: LeaseSettings,
    /// When this instance became leader. A member without an announcement since then counts as
    /// having announced itself at this time, so that a new leader grants every member a full lease.
    leader_since: TimePoint,
    last_announcements: IndexMap<UpstreamId, LastAnnouncement>,
}

#[derive(Debug, Clone, Copy)]
struct LastAnnouncement {
    incarnation: u64,
    at: TimePoint,
}

impl LeaseTable {
    /// Creates the table of an instance that becomes leader at `now`.
    pub fn new(settings: LeaseSettings, now: TimePoint) -> Self {
        Self {
            settings,
            leader_since: now,
            last_announcements: IndexMap::new(),
        }
    }

    /// Records an announcement, which renews the lease. One of an older incarnation has no effect.
    pub fn renew(&mut self, upstream: &UpstreamId, incarnation: u64, now: TimePoint) {
        let known = self.last_announcements.get(upstream);
        if known.is_none_or(|known| known.incarnation <= incarnation) {
            self.last_announcements.insert(
                upstream.clone(),
                LastAnnouncement {
                    incarnation,
                    at: now,
                },
            );
        }
    }

    /// Returns the members whose announcements are overdue at `now`, and drops the announcement
    /// times of those that are to be removed.
    pub fn check<'a>(
        &mut self,
        members: impl Iterator<Item = &'a UpstreamRecord>,
        now: TimePoint,
    ) -> LeaseReport {
        let silences: Vec<_> = members
            .map(|record| (record, self.silence(record, now)))
            .collect();
        let is_expired = |silence: Duration| silence >= self.settings.remove_after;
        let is_nearly_expired =
            |silence: Duration| silence + self.settings.group_window >= self.settings.remove_after;
        let expired_domains: Vec<_> = silences
            .iter()
            .filter(|(_, silence)| is_expired(*silence))
            .map(|(record, _)| &record.failure_domain)
            .collect();
        let mut report = LeaseReport::default();
        for (record, silence) in &silences {
            let in_expired_domain =
                is_nearly_expired(*silence) && expired_domains.contains(&&record.failure_domain);
            if is_expired(*silence) || in_expired_domain {
                report.removals.push(UpstreamRemoval {
                    incarnation: record.incarnation,
                    upstream: record.upstream.clone(),
                });
            } else if *silence >= self.settings.suspect_after && can_be_suspected(record.phase) {
                let suspect = UpstreamRecord {
                    phase: UpstreamPhase::Suspect,
                    ..(*record).clone()
                };
                report.suspects.push(suspect);
            }
        }
        for removal in &report.removals {
            self.last_announcements.swap_remove(&removal.upstream);
        }
        report
    }

    /// Time since the last announcement of a member.
    fn silence(&self, record: &UpstreamRecord, now: TimePoint) -> Duration {
        let last = self.last_announcements.get(&record.upstream);
        let at = last.filter(|last| last.incarnation >= record.incarnation);
        now.since(at.map_or(self.leader_since, |last| last.at))
    }
}

/// Whether an upstream in this phase becomes suspect when its announcements are overdue. In the
/// other phases it gets no new work anyway, or is suspect already.
const fn can_be_suspected(phase: UpstreamPhase) -> bool {
    matches!(phase, UpstreamPhase::Ready | UpstreamPhase::Cold)
}
