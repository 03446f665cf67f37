//! A request for a choice of an upstream, and its result.

use std::net::SocketAddr;

use oriolecrank_schema::TimePoint;
use oriolecrank_schema::document::UpstreamId;
use snafu::Snafu;

use crate::prefix_map::PrefixHash;
use crate::upstream_state::UpstreamDistance;
use crate::{BlockCount, TokenCount, WorkClass};

/// What the chooser has to know about a request.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceRequest<'a> {
    /// Priority class.
    pub class: WorkClass,
    /// Model; `None` for a plain service and for any model.
    pub model: Option<&'a str>,
    /// Prompt tokens.
    pub prompt: TokenCount,
    /// Largest number of output tokens.
    pub output: TokenCount,
    /// Hashes of the prompt's blocks, see [`hash_prompt`](crate::prefix_map::hash_prompt).
    pub prefixes: &'a [PrefixHash],
    /// Time at which the answer must be complete.
    pub deadline: TimePoint,
    /// Upstreams that must not get the request, for example those that failed it.
    pub excluded: &'a [UpstreamId],
}

/// Why an upstream was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChoiceReason {
    /// It holds this many blocks of the prompt.
    Prefix {
        /// Matching blocks.
        blocks: usize,
    },
    /// It is the less loaded of two.
    Load,
    /// No nearer upstream could meet the deadline.
    Deadline,
}

/// A dispatch that the estimate counts; must be returned by
/// [`UpstreamChooser::finish`](crate::upstream_chooser::UpstreamChooser::finish).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DispatchTicket {
    pub(crate) upstream: UpstreamId,
    pub(crate) incarnation: u64,
    pub(crate) blocks: BlockCount,
    pub(crate) sent_at: TimePoint,
}

/// The chosen upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamChoice {
    /// Name of the upstream's place.
    pub upstream: UpstreamId,
    /// Incarnation of its agent.
    pub incarnation: u64,
    /// Address of its agent.
    pub address: SocketAddr,
    /// Distance from the entry.
    pub distance: UpstreamDistance,
    /// Why it was chosen.
    pub reason: ChoiceReason,
    /// To be returned when the attempt has ended.
    pub ticket: DispatchTicket,
}

/// No upstream can take the request. It has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("no upstream can take the request"))]
pub struct NoUpstream;
