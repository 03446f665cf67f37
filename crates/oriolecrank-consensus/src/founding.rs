//! Check that a founding member's disk was not replaced.
//!
//! Founding members are named in the settings, so an instance that lost its disk would start under
//! its old name as if the group were new, and could vote a second time in a term. Each data folder
//! therefore has a random tag. An instance with a new folder takes no part until every other
//! founding member has answered; a member that already takes part remembers the tags and answers
//! that a different folder was known before. No member takes part before all have answered, so a
//! folder that has made any promise is always known to the instance it made the promise to.

use indexmap::IndexMap;
use oriolecrank_schema::TimePoint;

use crate::instance_id::InstanceId;
use crate::membership::Membership;
use crate::message::{FoundingReply, MessageBody, PeerMessage};
use crate::node::RaftNode;
use crate::numbers::DiskTag;
use crate::ready::{FoundingProgress, FoundingTag, FoundingTags, LogRecord};

/// State of the founding check.
#[derive(Debug)]
pub(crate) struct FoundingCheck {
    tag: DiskTag,
    pub(crate) progress: FoundingProgress,
    /// Tags by founding member; complete and final once `progress` is `Complete`.
    tags: IndexMap<InstanceId, DiskTag>,
    next_probe: TimePoint,
}

impl FoundingCheck {
    /// `founding` is empty for an instance that joined later.
    pub(crate) fn new(
        id: &InstanceId,
        tag: DiskTag,
        stored: Option<FoundingTags>,
        founding: &Membership,
        now: TimePoint,
    ) -> Self {
        let alone = founding.members.iter().all(|member| member.id == *id);
        let progress = if stored.is_some() || alone {
            FoundingProgress::Complete
        } else {
            FoundingProgress::Waiting
        };
        let stored = stored.unwrap_or_default().0;
        Self {
            tag,
            progress,
            tags: stored
                .into_iter()
                .map(|known| (known.id, known.tag))
                .collect(),
            next_probe: now,
        }
    }

    fn stored_tags(&self) -> FoundingTags {
        let tags = self.tags.iter().map(|(id, tag)| FoundingTag {
            id: id.clone(),
            tag: *tag,
        });
        FoundingTags(tags.collect())
    }
}

impl RaftNode {
    /// The stored tags, once the check is complete.
    pub fn founding_tags(&self) -> Option<FoundingTags> {
        let complete = self.founding.progress == FoundingProgress::Complete;
        let known = complete && !self.founding.tags.is_empty();
        known.then(|| self.founding.stored_tags())
    }

    /// Progress of the founding check.
    pub const fn founding_progress(&self) -> FoundingProgress {
        self.founding.progress
    }

    pub(crate) fn takes_part(&self) -> bool {
        self.founding.progress == FoundingProgress::Complete
    }

    pub(crate) fn founding_probe_due(&self) -> Option<TimePoint> {
        let waiting = self.founding.progress == FoundingProgress::Waiting;
        waiting.then_some(self.founding.next_probe)
    }

    pub(crate) fn probe_founders(&mut self, now: TimePoint) {
        if self.founding.progress != FoundingProgress::Waiting || now < self.founding.next_probe {
            return;
        }
        self.founding.next_probe = now + self.settings.heartbeat;
        for id in self.other_members() {
            if !self.founding.tags.contains_key(&id) {
                self.send(id, MessageBody::FoundingProbe(self.founding.tag));
            }
        }
    }

    pub(crate) fn handle_founding_probe(&mut self, message: &PeerMessage, tag: DiskTag) {
        // Answers given before the own check is complete are recorded only by the asking side.
        let admitted = !self.takes_part()
            || self
                .founding
                .tags
                .get(&message.from)
                .is_none_or(|known| *known == tag);
        let reply = FoundingReply {
            probe_tag: tag,
            tag: self.founding.tag,
            admitted,
        };
        self.send(message.from.clone(), MessageBody::FoundingReply(reply));
    }

    pub(crate) fn handle_founding_reply(&mut self, message: &PeerMessage, reply: FoundingReply) {
        let known = self.membership().member(&message.from).is_some();
        let current = reply.probe_tag == self.founding.tag;
        if self.founding.progress != FoundingProgress::Waiting || !known || !current {
            return;
        }
        if !reply.admitted {
            self.founding.progress = FoundingProgress::Refused;
            return;
        }
        self.founding.tags.insert(message.from.clone(), reply.tag);
        if self.founding.tags.len() < self.other_members().len() {
            return;
        }
        self.founding.progress = FoundingProgress::Complete;
        let tags = self.founding.stored_tags();
        self.records.push(LogRecord::Founding(tags));
    }
}
