//! What capacity decisions know about one upstream.

use oriolecrank_schema::TimePoint;
use oriolecrank_schema::control::{UpstreamPhase, UpstreamRecord, UpstreamRole};
use oriolecrank_schema::document::{FailureDomainId, RegionId, ServiceId, UpstreamId};

/// An upstream as the planners see it.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamView {
    /// Stable name.
    pub upstream: UpstreamId,
    /// Service that the upstream serves.
    pub service: ServiceId,
    /// Failure domain that it runs in.
    pub failure_domain: FailureDomainId,
    /// Region of the failure domain.
    pub region: RegionId,
    /// Role that was announced last.
    pub role: UpstreamRole,
    /// Whether it may get new work.
    pub phase: UpstreamPhase,
    /// Loaded model and version, if it announced them.
    pub model: Option<(String, String)>,
    /// Memory in blocks of about 1,000 tokens.
    pub capacity_blocks: u64,
    /// When the role was taken; the origin of the clock if unknown.
    pub role_since: TimePoint,
}

impl UpstreamView {
    /// Whether the upstream may get new work and is not suspected.
    pub fn is_ready(&self) -> bool {
        self.phase == UpstreamPhase::Ready
    }

    /// Whether an order or a start keeps the upstream from working.
    pub fn is_changing(&self) -> bool {
        matches!(self.phase, UpstreamPhase::Changing | UpstreamPhase::Cold)
    }

    /// The same view with the time at which the role was taken.
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
