//! Finds out at which service and software version a stream began that a caller resumes.

use std::time::Duration;

use oriolecrank_routing::{
    AdmittedOrigins, RouteSpec, ServiceName, SoftwareVersion, StreamKey, StreamOrigin, sync_targets,
};
use oriolecrank_schema::event::LogEvent;
use rand::Rng as _;
use tokio::time::timeout;

use crate::control_link::ControlLink;
use crate::dialect::{CallFailure, CallHead};
use crate::entry_shared::EntryShared;
use crate::site_messages::{ORIGIN_PATH, OriginAnswer, OriginRequest};

/// Timeout of the question to one control instance, which may wait for a record.
const ORIGIN_TIMEOUT: Duration = Duration::from_millis(600);

/// Time after which a caller is told that nothing is known, if no control instance answers.
const RESUME_LIMIT: Duration = Duration::from_secs(1);

/// Random time after which a caller may begin a stream anew that cannot go on, so that callers whose
/// streams broke together do not return together.
const RESTART_AFTER_MS: std::ops::Range<u64> = 50..500;

/// Where a resumed stream must go on.
#[derive(Debug, Clone)]
pub(crate) struct ResumePoint {
    pub(crate) service: ServiceName,
    pub(crate) version: SoftwareVersion,
}

/// Why a stream cannot go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ResumeObstacle {
    /// No control instance could confirm where the stream began.
    NotConfirmed,
    /// The stream is not recorded, and it may have begun at several versions.
    UnknownVersion,
    /// The upstream that began the stream stated no version.
    UnstatedVersion,
    /// The route no longer leads to the service.
    ServiceChanged,
}

impl<D> EntryShared<D> {
    /// Service and version at which a stream must go on.
    pub(crate) async fn find_resume_point(
        &self,
        link: &ControlLink,
        head: &CallHead,
        route: &RouteSpec,
    ) -> Result<ResumePoint, CallFailure> {
        self.resume_point(link, head, route)
            .await
            .map_err(|obstacle| {
                self.metrics.count_unresumable();
                tracing::info!(
                    event = LogEvent::StreamRefused.number(),
                    request = head.request_id,
                    begun_as = head.begun_as,
                    after = head.resume_after,
                    reason = ?obstacle,
                    "a stream that a caller resumes cannot go on"
                );
                cannot_resume()
            })
    }

    async fn resume_point(
        &self,
        link: &ControlLink,
        head: &CallHead,
        route: &RouteSpec,
    ) -> Result<ResumePoint, ResumeObstacle> {
        let key = head.begun_as.as_deref().map(StreamKey::from);
        let own = key.and_then(|key| self.lock_streams().find(key).cloned());
        let origin = match own {
            Some(origin) => origin,
            None => timeout(RESUME_LIMIT, self.ask_origin(link, key, route))
                .await
                .unwrap_or(Err(ResumeObstacle::NotConfirmed))?,
        };
        let mut shares = route.shares.iter();
        if !shares.any(|share| share.service == origin.service) {
            return Err(ResumeObstacle::ServiceChanged);
        }
        Ok(ResumePoint {
            service: origin.service,
            version: origin.version.ok_or(ResumeObstacle::UnstatedVersion)?,
        })
    }

    /// Asks control instances, the leader first, until one confirms its answer. `key` is `None` if the
    /// caller does not name the beginning of the stream.
    async fn ask_origin(
        &self,
        link: &ControlLink,
        key: Option<StreamKey>,
        route: &RouteSpec,
    ) -> Result<StreamOrigin, ResumeObstacle> {
        let group = self.control_group();
        let mut targets = sync_targets(&group, &[], self.options.run.run);
        targets.sort_by_key(|address| Some(*address) != group.leader);
        for address in targets {
            let question = OriginRequest { key };
            let answer = link.call(address, ORIGIN_PATH, &question, ORIGIN_TIMEOUT);
            match answer.await {
                Ok(OriginAnswer::Confirmed { origin, admitted }) => {
                    let origin = origin.or_else(|| only_origin(&admitted, route));
                    return origin.ok_or(ResumeObstacle::UnknownVersion);
                }
                Ok(OriginAnswer::Unconfirmed) => {}
                Err(error) => tracing::debug!(
                    %address,
                    %error,
                    "a control instance does not tell where a stream began"
                ),
            }
        }
        Err(ResumeObstacle::NotConfirmed)
    }
}

/// Origin of all streams of a route; `None` if it leads to several services, or if streams of its
/// service may have begun at several versions.
fn only_origin(admitted: &AdmittedOrigins, route: &RouteSpec) -> Option<StreamOrigin> {
    let [share] = route.shares.as_slice() else {
        return None;
    };
    admitted.only_of(&share.service).cloned()
}

/// Failure of a request that resumes a stream which cannot go on.
pub(crate) fn cannot_resume() -> CallFailure {
    let wait = rand::rng().random_range(RESTART_AFTER_MS);
    CallFailure::CannotResume {
        restart_after: Duration::from_millis(wait),
    }
}
