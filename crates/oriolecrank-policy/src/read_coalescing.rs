//! Equal reads of one organisation that share one upstream call.
//!
//! The first caller leads; others that arrive while its call runs join it and get the same answer. A
//! join never crosses organisations, because the organisation is part of the key. When the leader
//! fails, its callers are told the failure of the shared call, or one of them leads again.

use std::collections::HashMap;

use oriolecrank_schema::document::{OrganisationId, RequestId, ServiceId};

/// Identity of a read.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ReadKey {
    /// Organisation; reads without a key of an organisation are not coalesced.
    pub organisation: OrganisationId,
    /// Service.
    pub service: ServiceId,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Digest of the body and of the header fields that the answer may depend on.
    pub variant: String,
}

/// Bounds of coalescing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CoalescingSettings {
    /// Largest number of callers that share one call.
    pub max_callers: usize,
}

impl Default for CoalescingSettings {
    fn default() -> Self {
        Self { max_callers: 256 }
    }
}

/// Role of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadRole {
    /// The caller sends the call itself and ends it with [`ReadTable::finish`].
    Lead,
    /// The caller waits for the call of another request.
    Join {
        /// The leading request.
        leader: RequestId,
    },
    /// The caller sends a call of its own, because too many share the running one.
    Alone,
}

/// What a departure means for the shared call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadDeparture {
    /// Others still wait for the call.
    Continue,
    /// Nobody waits for the call any more; it is cancelled.
    Cancel,
    /// The request is not part of a shared call.
    Unknown,
}

#[derive(Debug)]
struct RunningRead {
    leader: RequestId,
    /// Callers that wait, with the leader while its caller is connected.
    callers: Vec<RequestId>,
}

/// Running shared reads of an entry.
#[derive(Debug)]
pub struct ReadTable {
    settings: CoalescingSettings,
    reads: HashMap<ReadKey, RunningRead>,
}

impl ReadTable {
    /// A table without reads.
    pub fn new(settings: CoalescingSettings) -> Self {
        Self {
            settings,
            reads: HashMap::new(),
        }
    }

    /// Joins the running read, or leads a new one.
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

    /// Ends a read and returns the callers that get its answer, the leader included if it still
    /// waits.
    ///
    /// Later reads run anew. A request that does not lead the read ends nothing.
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

    /// Ends the call of a leader that failed, for example because its deadline was shorter than
    /// those of the others. The next caller leads.
    ///
    /// Returns the new leader; `None` if nobody else waits, and the read is removed.
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

    /// Removes a caller that has gone away. The shared call goes on while others wait.
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

    /// Number of running shared reads.
    pub fn len(&self) -> usize {
        self.reads.len()
    }

    /// Whether no shared read runs.
    pub fn is_empty(&self) -> bool {
        self.reads.is_empty()
    }
}
