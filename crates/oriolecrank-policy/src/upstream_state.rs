//! Properties of an upstream that the chooser uses.

use std::net::{AddrParseError, SocketAddr};

use oriolecrank_schema::control::{self, UpstreamRecord};
use oriolecrank_schema::document::{FailureDomainId, RegionId, UpstreamId};
use snafu::{ResultExt, Snafu};

use crate::BlockCount;

/// Availability of an upstream for new requests, most preferred first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum UpstreamPhase {
    /// Serves requests.
    #[default]
    Ready,
    /// Has not loaded its model yet; used only if no ready upstream is available.
    Cold,
    /// Has missed lease renewals; used only if no ready or cold upstream is available.
    Suspect,
    /// Is changing its role or model; receives no requests.
    Changing,
    /// Is shutting down; receives no requests.
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

/// Kind of requests that an upstream is configured for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum UpstreamRole {
    /// Requests with long prompts.
    Prefill,
    /// Requests with long outputs.
    Decode,
    /// All requests to a model.
    #[default]
    Mixed,
    /// Calls to a plain service, which has no model.
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

/// Location of an entry or upstream in the network.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NetworkLocation {
    /// Failure domain within the region.
    pub failure_domain: FailureDomainId,
    /// Region of the failure domain.
    pub region: RegionId,
}

/// Network distance between an entry and an upstream; nearer compares as less.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum UpstreamDistance {
    /// In the same failure domain.
    SameDomain,
    /// In another failure domain of the same region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

impl UpstreamDistance {
    /// All distances, nearest first.
    pub const ALL: [Self; 3] = [Self::SameDomain, Self::SameRegion, Self::OtherRegion];

    /// Distance between two locations.
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
    /// Identifier of the upstream; does not change when its agent restarts.
    pub upstream: UpstreamId,
    /// Start number of the upstream's agent; larger after each restart.
    pub incarnation: u64,
    /// Failure domain and region.
    pub location: NetworkLocation,
    /// Address of the upstream's agent.
    pub address: SocketAddr,
    /// Kind of requests that it is configured for.
    pub role: UpstreamRole,
    /// Availability for new requests.
    pub phase: UpstreamPhase,
    /// Engine memory in blocks, or the maximum number of concurrent calls of a plain service.
    pub capacity: BlockCount,
    /// Model of the upstream; `None` if it takes requests for any model.
    pub model: Option<String>,
    /// Version of the model, or of a plain service; `None` if none was set. An answer continues only
    /// at an upstream of the version that began it.
    pub version: Option<String>,
}

/// An upstream record that cannot be converted.
#[derive(Debug, Snafu)]
pub enum UpstreamRecordError {
    /// The address cannot be parsed.
    #[snafu(display("upstream {upstream}: {address:?} is not a socket address: {source}"))]
    BadAddress {
        /// Upstream that announced the address.
        upstream: UpstreamId,
        /// Announced address.
        address: String,
        /// Error of the parser.
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
            version: record.version.clone(),
        })
    }
}
