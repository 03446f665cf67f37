//! What one entry knows of the limit that one upstream incarnation states.

use std::time::Duration;

use oriolecrank_schema::TimePoint;
use rand::Rng;

use crate::limit_report::LimitReport;
use crate::limit_share::LimitShare;
use crate::request_rate::LimitStatement;
use crate::upstream_directory::UpstreamAnnouncement;

/// Time for which the end of a limit is reported to the leader, so that all entries learn of it.
const LIFTED_REPORT_TIME: Duration = Duration::from_secs(10);

/// Limit in force, if any.
#[derive(Debug, Default)]
pub(crate) struct UpstreamLimit {
    /// This entry's share of the limit; `None` if the upstream takes as many requests as it can.
    pub(crate) share: Option<LimitShare>,
    /// When the limit was stated or lifted last; `None` if none was ever stated.
    stated_at: Option<TimePoint>,
}

impl UpstreamLimit {
    /// Records what the answer to a request sent at `sent_at` says; returns whether the limit has
    /// changed.
    ///
    /// Answers may overtake each other, so one without a limit lifts it only if its request was sent
    /// after the limit was stated.
    pub(crate) fn record<R: Rng>(
        &mut self,
        statement: LimitStatement,
        sent_at: TimePoint,
        now: TimePoint,
        random: &mut R,
    ) -> bool {
        match statement {
            LimitStatement::Unknown => false,
            LimitStatement::Unlimited => {
                self.share.is_some() && self.apply(statement, sent_at, now, random)
            }
            LimitStatement::Limited(_) => self.apply(statement, now, now, random),
        }
    }

    /// Applies what the leader tells; returns whether the limit has changed.
    pub(crate) fn apply_report<R: Rng>(
        &mut self,
        report: &LimitReport,
        now: TimePoint,
        random: &mut R,
    ) -> bool {
        let age_ms = report.age.as_millis() as u64;
        let stated_at = TimePoint::from_millis(now.as_millis().saturating_sub(age_ms));
        // The age lacks the time that messages take. A known statement that comes back must not
        // appear newer by that time.
        let changed = report.statement != self.statement()
            && self.apply(report.statement, stated_at, now, random);
        if let Some(share) = &mut self.share {
            share.set_other_demand(report.demand, now);
        }
        changed
    }

    /// Applies a statement that is not older than the known one.
    fn apply<R: Rng>(
        &mut self,
        statement: LimitStatement,
        stated_at: TimePoint,
        now: TimePoint,
        random: &mut R,
    ) -> bool {
        if self.stated_at.is_some_and(|known| stated_at < known) {
            return false;
        }
        let known = self.statement();
        self.stated_at = Some(stated_at);
        match (statement, &mut self.share) {
            (LimitStatement::Limited(limit), Some(share)) => share.set_limit(limit, random),
            (LimitStatement::Limited(limit), None) => {
                self.share = Some(LimitShare::new(limit, now, random));
            }
            _ => self.share = None,
        }
        self.statement() != known
    }

    fn statement(&self) -> LimitStatement {
        let limit = self.share.as_ref().map(LimitShare::limit);
        limit.map_or(LimitStatement::Unlimited, LimitStatement::Limited)
    }

    /// What the leader has to know; `None` without a limit now or lately.
    pub(crate) fn report(
        &mut self,
        announcement: &UpstreamAnnouncement,
        now: TimePoint,
    ) -> Option<LimitReport> {
        let age = now.since(self.stated_at?);
        if self.share.is_none() && age > LIFTED_REPORT_TIME {
            return None;
        }
        let demand = self.share.as_mut().map(|share| share.demand(now));
        Some(LimitReport {
            upstream: announcement.name.clone(),
            started_ms: announcement.started_ms,
            statement: self.statement(),
            age,
            demand: demand.unwrap_or_default(),
        })
    }

    /// Whether the limit lets this entry send a request now; 0 is the most urgent priority.
    pub(crate) fn allows(&self, priority: u8, now: TimePoint) -> bool {
        let share = self.share.as_ref();
        share.is_none_or(|share| share.allows(priority, now))
    }
}
