//! The upstream data that the planners use.

use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{UpstreamPhase, UpstreamRecord, UpstreamRole};
use oriolecrank_schema::document::{FailureDomainId, RegionId, ServiceId, UpstreamId};

/// Snapshot of one upstream that the planners decide on.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamView {
    /// Identifier, stable across restarts.
    pub upstream: UpstreamId,
    /// Service that the upstream belongs to.
    pub service: ServiceId,
    /// Failure domain that the upstream runs in.
    pub failure_domain: FailureDomainId,
    /// Region of the failure domain.
    pub region: RegionId,
    /// Last announced role.
    pub role: UpstreamRole,
    /// Life-cycle phase, which decides whether the upstream may receive new requests.
    pub phase: UpstreamPhase,
    /// Loaded model and its version, if a model was announced; the version is empty if none was
    /// announced.
    pub model: Option<(String, String)>,
    /// Engine memory in blocks of about 1,000 tokens.
    pub capacity_blocks: u64,
    /// Time of the last role change; the origin of the clock if unknown.
    pub role_since: TimePoint,
}

impl UpstreamView {
    /// Whether the upstream may receive new requests and is not suspected of having failed.
    pub fn is_ready(&self) -> bool {
        self.phase == UpstreamPhase::Ready
    }

    /// Whether the upstream is unavailable because it is starting or carrying out an order.
    pub fn is_changing(&self) -> bool {
        matches!(self.phase, UpstreamPhase::Changing | UpstreamPhase::Cold)
    }

    /// Returns the view with `role_since` replaced.
    #[must_use]
    pub fn with_role_since(self, role_since: TimePoint) -> Self {
        Self { role_since, ..self }
    }
}

impl From<&UpstreamRecord> for UpstreamView {
    fn from(record: &UpstreamRecord) -> Self {
        let version = record.version.clone().unwrap_or_default();
        Self {
            upstream: record.upstream.clone(),
            service: record.service.clone(),
            failure_domain: record.failure_domain.clone(),
            region: record.region.clone(),
            role: record.role,
            phase: record.phase,
            model: record.model.clone().map(|model| (model, version)),
            capacity_blocks: record.capacity_blocks,
            role_since: TimePoint::default(),
        }
    }
}
