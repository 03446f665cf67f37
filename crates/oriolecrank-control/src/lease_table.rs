//! Leases of announced upstreams.

use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{UpstreamPhase, UpstreamRecord, UpstreamRemoval};
use oriolecrank_schema::document::UpstreamId;

/// Times of a [`LeaseTable`].
#[derive(Debug, Clone)]
pub struct LeaseSettings {
    /// Silence after which an upstream is suspected and gets no new work when others can take it.
    pub suspect_after: Duration,
    /// Silence after which an upstream is removed. It is well above the suspicion, so that a paused
    /// or slow agent is not removed and added again.
    pub remove_after: Duration,
    /// Upstreams of one failure domain that fall silent within this time are removed together.
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

/// Upstreams whose state has to change.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LeaseReport {
    /// Records to commit with the phase `suspect`.
    pub suspects: Vec<UpstreamRecord>,
    /// Members to remove in one log entry.
    pub removals: Vec<UpstreamRemoval>,
}

/// When each upstream was heard last; kept by the leader in memory.
#[derive(Debug)]
pub struct LeaseTable {
    settings: LeaseSettings,
    /// Members that were not heard since count as heard at this time, so that a new leader grants
    /// everyone a full lease.
    leader_since: TimePoint,
    heard: IndexMap<UpstreamId, HeardUpstream>,
}

#[derive(Debug, Clone, Copy)]
struct HeardUpstream {
    incarnation: u64,
    at: TimePoint,
}

impl LeaseTable {
    /// The table of an instance that becomes leader now.
    pub fn new(settings: LeaseSettings, now: TimePoint) -> Self {
        Self {
            settings,
            leader_since: now,
            heard: IndexMap::new(),
        }
    }

    /// An announcement arrived; one of an older incarnation has no effect.
    pub fn renew(&mut self, upstream: &UpstreamId, incarnation: u64, now: TimePoint) {
        let known = self.heard.get(upstream);
        if known.is_none_or(|known| known.incarnation <= incarnation) {
            self.heard.insert(
                upstream.clone(),
                HeardUpstream {
                    incarnation,
                    at: now,
                },
            );
        }
    }

    /// Compares the members with the announcements.
    pub fn check<'a>(
        &mut self,
        members: impl Iterator<Item = &'a UpstreamRecord>,
        now: TimePoint,
    ) -> LeaseReport {
        let silences: Vec<_> = members
            .map(|record| (record, self.silence(record, now)))
            .collect();
        let gone = |silence: Duration| silence >= self.settings.remove_after;
        let close_to_gone =
            |silence: Duration| silence + self.settings.group_window >= self.settings.remove_after;
        let lost_domains: Vec<_> = silences
            .iter()
            .filter(|(_, silence)| gone(*silence))
            .map(|(record, _)| &record.failure_domain)
            .collect();
        let mut report = LeaseReport::default();
        for (record, silence) in &silences {
            let grouped = close_to_gone(*silence) && lost_domains.contains(&&record.failure_domain);
            if gone(*silence) || grouped {
                report.removals.push(UpstreamRemoval {
                    incarnation: record.incarnation,
                    upstream: record.upstream.clone(),
                });
            } else if *silence >= self.settings.suspect_after && may_be_suspected(record.phase) {
                let suspect = UpstreamRecord {
                    phase: UpstreamPhase::Suspect,
                    ..(*record).clone()
                };
                report.suspects.push(suspect);
            }
        }
        for removal in &report.removals {
            self.heard.swap_remove(&removal.upstream);
        }
        report
    }

    fn silence(&self, record: &UpstreamRecord, now: TimePoint) -> Duration {
        let heard = self.heard.get(&record.upstream);
        let at = heard.filter(|heard| heard.incarnation >= record.incarnation);
        now.since(at.map_or(self.leader_since, |heard| heard.at))
    }
}

/// Phases in which an upstream gets no new work anyway are kept.
const fn may_be_suspected(phase: UpstreamPhase) -> bool {
    matches!(phase, UpstreamPhase::Ready | UpstreamPhase::Cold)
}
