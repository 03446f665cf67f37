//! Coalescing of concurrent identical reads of one organisation into one upstream call.
//!
//! The first request leads and sends the call; requests that arrive while it is running join it and
//! receive the same answer. Requests of different organisations are never coalesced, because the
//! organisation is part of the key. If the call fails, either all requests receive the failure
//! ([`ReadTable::finish`]) or another one becomes the leader and retries ([`ReadTable::fail`]).

use std::collections::HashMap;

use oriolecrank_schema::document::{OrganisationId, RequestId, ServiceId};

/// Identity of a read; requests with equal keys may share one call.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ReadKey {
    /// Organisation of the caller; reads of callers without an organisation are not coalesced.
    pub organisation: OrganisationId,
    /// Service that is called.
    pub service: ServiceId,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Digest of the body and of those header fields that may affect the answer.
    pub variant: String,
}

/// Limits of read coalescing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CoalescingSettings {
    /// Maximum number of requests that share one call, including the leader.
    pub max_callers: usize,
}

impl Default for CoalescingSettings {
    fn default() -> Self {
        Self { max_callers: 256 }
    }
}

/// Role of a request in a coalesced read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadRole {
    /// The request sends the call and must then call [`ReadTable::finish`] or [`ReadTable::fail`].
    Lead,
    /// The request waits for the answer to the leader's call.
    Join {
        /// The leading request.
        leader: RequestId,
    },
    /// The request sends a call of its own, because the running one is shared by
    /// [`CoalescingSettings::max_callers`] requests already.
    Alone,
}

/// Effect of a caller's disconnection on the shared call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadDeparture {
    /// Other requests still wait for the answer.
    Continue,
    /// No request waits for the answer any more; the call must be cancelled.
    Cancel,
    /// The request does not wait for a shared call.
    Unknown,
}

#[derive(Debug)]
struct RunningRead {
    leader: RequestId,
    /// Waiting requests, including the leader while its caller is connected.
    callers: Vec<RequestId>,
}

/// Running coalesced reads of an entry.
#[derive(Debug)]
pub struct ReadTable {
    settings: CoalescingSettings,
    reads: HashMap<ReadKey, RunningRead>,
}

impl ReadTable {
    /// Creates a table without reads.
    pub fn new(settings: CoalescingSettings) -> Self {
        Self {
            settings,
            reads: HashMap::new(),
        }
    }

    /// Joins the running read with this key, or starts a new one with `request` as its leader.
    pub fn join(&mut self, key: &ReadKey, request: &RequestId) -> ReadRole {
        if let Some(read) = self.reads.get_mut(key) {
            if read.callers.len() >= self.settings.max_callers {
                return ReadRole::Alone;
            }
            read.callers.push(request.clone());
            return ReadRole::Join {
                leader: read.leader.clone(),
            };
        }
        let read = RunningRead {
            leader: request.clone(),
            callers: vec![request.clone()],
        };
        self.reads.insert(key.clone(), read);
        ReadRole::Lead
    }

    /// Ends a read and returns the requests that receive its answer, including the leader if its
    /// caller is still connected.
    ///
    /// Later requests start a new read. Returns nothing if `leader` does not lead the read.
    pub fn finish(&mut self, key: &ReadKey, leader: &RequestId) -> Vec<RequestId> {
        if self
            .reads
            .get(key)
            .is_none_or(|read| read.leader != *leader)
        {
            return Vec::new();
        }
        let read = self.reads.remove(key);
        read.map(|read| read.callers).unwrap_or_default()
    }

    /// Removes a leader whose call failed, for example because its deadline was shorter than those
    /// of the other requests. The request that has waited longest becomes the new leader.
    ///
    /// Returns the new leader, which must send the call again. Returns `None` if no other request
    /// waits, and removes the read then, or if `leader` does not lead the read.
    pub fn fail(&mut self, key: &ReadKey, leader: &RequestId) -> Option<RequestId> {
        let read = self.reads.get_mut(key)?;
        if read.leader != *leader {
            return None;
        }
        read.callers.retain(|caller| caller != leader);
        let Some(next) = read.callers.first().cloned() else {
            self.reads.remove(key);
            return None;
        };
        read.leader = next.clone();
        Some(next)
    }

    /// Removes a request whose caller has disconnected. The shared call continues while other
    /// requests wait for it.
    pub fn leave(&mut self, key: &ReadKey, request: &RequestId) -> ReadDeparture {
        let Some(read) = self.reads.get_mut(key) else {
            return ReadDeparture::Unknown;
        };
        let before = read.callers.len();
        read.callers.retain(|caller| caller != request);
        if read.callers.len() == before {
            return ReadDeparture::Unknown;
        }
        if read.callers.is_empty() {
            self.reads.remove(key);
            return ReadDeparture::Cancel;
        }
        ReadDeparture::Continue
    }

    /// Number of running reads.
    pub fn len(&self) -> usize {
        self.reads.len()
    }

    /// Whether no read is running.
    pub fn is_empty(&self) -> bool {
        self.reads.is_empty()
    }
}
