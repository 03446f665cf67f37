//! An upstream as the chooser sees it.

use std::net::{AddrParseError, SocketAddr};

use oriolecrank_schema::control::{self, UpstreamRecord};
use oriolecrank_schema::document::{FailureDomainId, RegionId, UpstreamId};
use snafu::{ResultExt, Snafu};

use crate::BlockCount;

/// Whether an upstream may get new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum UpstreamPhase {
    /// Serves.
    #[default]
    Ready,
    /// Has not loaded its model; used only when no ready upstream is left.
    Cold,
    /// Has missed renewals; used only when no ready or cold upstream is left.
    Suspect,
    /// Changes its role or model; gets no work.
    Changing,
    /// Leaves; gets no work.
    Leaving,
}

impl From<control::UpstreamPhase> for UpstreamPhase {
    fn from(phase: control::UpstreamPhase) -> Self {
        match phase {
            control::UpstreamPhase::Ready => Self::Ready,
            control::UpstreamPhase::Cold => Self::Cold,
            control::UpstreamPhase::Changing => Self::Changing,
            control::UpstreamPhase::Leaving => Self::Leaving,
            control::UpstreamPhase::Suspect => Self::Suspect,
        }
    }
}

/// What an upstream is set up to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum UpstreamRole {
    /// Long prompts.
    Prefill,
    /// Long outputs.
    Decode,
    /// Both.
    #[default]
    Mixed,
    /// Calls of a plain service.
    Plain,
}

impl From<control::UpstreamRole> for UpstreamRole {
    fn from(role: control::UpstreamRole) -> Self {
        match role {
            control::UpstreamRole::Prefill => Self::Prefill,
            control::UpstreamRole::Decode => Self::Decode,
            control::UpstreamRole::Mixed => Self::Mixed,
            control::UpstreamRole::Plain => Self::Plain,
        }
    }
}

/// A place in the network.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NetworkLocation {
    /// Failure domain.
    pub failure_domain: FailureDomainId,
    /// Region of the failure domain.
    pub region: RegionId,
}

/// Distance between an entry and an upstream; nearer is smaller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum UpstreamDistance {
    /// Same failure domain.
    SameDomain,
    /// Same region.
    SameRegion,
    /// Another region.
    OtherRegion,
}

impl UpstreamDistance {
    /// All distances, nearest first.
    pub const ALL: [Self; 3] = [Self::SameDomain, Self::SameRegion, Self::OtherRegion];

    /// Distance between two places.
    pub fn between(from: &NetworkLocation, to: &NetworkLocation) -> Self {
        if from.region != to.region {
            Self::OtherRegion
        } else if from.failure_domain != to.failure_domain {
            Self::SameRegion
        } else {
            Self::SameDomain
        }
    }
}

/// An upstream of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamState {
    /// Name of the upstream's place.
    pub upstream: UpstreamId,
    /// Start number of its agent.
    pub incarnation: u64,
    /// Failure domain and region.
    pub location: NetworkLocation,
    /// Address of its agent.
    pub address: SocketAddr,
    /// What it is set up to do.
    pub role: UpstreamRole,
    /// Whether it may get new work.
    pub phase: UpstreamPhase,
    /// Engine memory, or concurrent calls of a plain service.
    pub capacity: BlockCount,
    /// Loaded model.
    pub model: Option<String>,
}

/// An upstream record that cannot be used.
#[derive(Debug, Snafu)]
pub enum UpstreamRecordError {
    /// The address cannot be parsed.
    #[snafu(display("upstream {upstream}: {address:?} is not an address: {source}"))]
    BadAddress {
        /// Upstream.
        upstream: UpstreamId,
        /// Announced address.
        address: String,
        /// Cause.
        source: AddrParseError,
    },
}

impl TryFrom<&UpstreamRecord> for UpstreamState {
    type Error = UpstreamRecordError;

    fn try_from(record: &UpstreamRecord) -> Result<Self, Self::Error> {
        let address = record.address.parse().context(BadAddressSnafu {
            upstream: record.upstream.clone(),
            address: record.address.clone(),
        })?;
        Ok(Self {
            upstream: record.upstream.clone(),
            incarnation: record.incarnation,
            location: NetworkLocation {
                failure_domain: record.failure_domain.clone(),
                region: record.region.clone(),
            },
            address,
            role: record.role.into(),
            phase: record.phase.into(),
            capacity: BlockCount::new(record.capacity_blocks),
            model: record.model.clone(),
        })
    }
}
