//! Input and result of the choice of an upstream.

use std::net::SocketAddr;

use oriolecrank_schema::TimePoint;
use oriolecrank_schema::document::UpstreamId;
use snafu::Snafu;

use crate::prefix_map::PrefixHash;
use crate::upstream_state::UpstreamDistance;
use crate::{BlockCount, TokenCount, WorkClass};

/// Properties of a request that the chooser takes into account.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceRequest<'a> {
    /// Priority class.
    pub class: WorkClass,
    /// Requested model; `None` for a plain service or if any model may serve the request.
    pub model: Option<&'a str>,
    /// Number of prompt tokens.
    pub prompt: TokenCount,
    /// Maximum number of output tokens.
    pub output: TokenCount,
    /// Prefix hashes of the prompt, from [`hash_prompt`](crate::prefix_map::hash_prompt).
    pub prefixes: &'a [PrefixHash],
    /// Time at which the answer must be complete.
    pub deadline: TimePoint,
    /// Upstreams that must not be chosen, for example because an attempt on them failed.
    pub excluded: &'a [UpstreamId],
}

/// Why an upstream was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChoiceReason {
    /// It has the longest prefix of the prompt in its cache.
    Prefix {
        /// Number of leading blocks of the prompt in the cache.
        blocks: usize,
    },
    /// It has a lower estimated load than the others that were compared.
    Load,
    /// No preferred upstream, nearer or of a matching role, could meet the deadline.
    Deadline,
}

/// A dispatched request that is included in the load estimate of its upstream.
///
/// Must be passed to [`UpstreamChooser::finish`](crate::upstream_chooser::UpstreamChooser::finish)
/// when the attempt has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DispatchTicket {
    pub(crate) upstream: UpstreamId,
    pub(crate) incarnation: u64,
    pub(crate) blocks: BlockCount,
    pub(crate) sent_at: TimePoint,
}

/// A chosen upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamChoice {
    /// Identifier of the upstream; does not change when its agent restarts.
    pub upstream: UpstreamId,
    /// Start number of the upstream's agent; larger after each restart.
    pub incarnation: u64,
    /// Address of the upstream's agent.
    pub address: SocketAddr,
    /// Distance from the entry.
    pub distance: UpstreamDistance,
    /// Why this upstream was chosen.
    pub reason: ChoiceReason,
    /// Ticket to pass to
    /// [`UpstreamChooser::finish`](crate::upstream_chooser::UpstreamChooser::finish) when the
    /// attempt has ended.
    pub ticket: DispatchTicket,
}

/// No upstream can serve the request. The request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("no upstream can serve the request"))]
pub struct NoUpstream;
