//! State of a control group with one member.

use indexmap::IndexMap;
use oriolecrank_schema::control::{Command, CommandOutcome, FencingNumber, UpstreamRecord};
use oriolecrank_schema::document::{ConfigDocument, UpstreamId};

/// Lease of an announced upstream, in milliseconds.
const LEASE_MS: u64 = 3_000;

/// Configuration and upstreams.
#[derive(Debug)]
pub struct LocalState {
    /// Revision of the document; rises by one with each accepted submission.
    pub revision: u64,
    /// Document in force.
    pub document: ConfigDocument,
    /// Announced upstreams.
    pub upstreams: IndexMap<UpstreamId, UpstreamRecord>,
}

impl Default for LocalState {
    fn default() -> Self {
        let document = ConfigDocument {
            budget: None,
            organisations: Vec::new(),
            regions: Vec::new(),
            services: Vec::new(),
            usage_window_s: 60,
        };
        Self {
            revision: 0,
            document,
            upstreams: IndexMap::new(),
        }
    }
}

impl LocalState {
    /// Applies a command.
    pub fn apply(&mut self, command: &Command) -> CommandOutcome {
        match command {
            Command::Submit {
                base_revision,
                document,
                ..
            } => {
                if *base_revision != self.revision {
                    return CommandOutcome::DocumentConflict {
                        current_revision: self.revision,
                    };
                }
                self.revision += 1;
                self.document = document.clone();
                CommandOutcome::DocumentAccepted {
                    revision: self.revision,
                }
            }
            Command::Announce { record, .. } => self.announce(record),
            _ => CommandOutcome::Refused {
                reason: "not supported yet".to_owned(),
            },
        }
    }

    fn announce(&mut self, record: &UpstreamRecord) -> CommandOutcome {
        if let Some(known) = self.upstreams.get(&record.upstream)
            && known.incarnation > record.incarnation
        {
            return CommandOutcome::Superseded {
                incarnation: known.incarnation,
            };
        }
        self.upstreams
            .insert(record.upstream.clone(), record.clone());
        let fence = FencingNumber {
            term: 0,
            sequence: 0,
        };
        CommandOutcome::Announced {
            lease_ms: LEASE_MS,
            fence,
        }
    }
}
