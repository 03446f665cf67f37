//! Check that a founding member's disk was not replaced.
//!
//! Founding members are named in the settings, so an instance that lost its disk would start under
//! its old name as if the group were new, and could vote a second time in a term. Each data folder
//! therefore has a random tag. An instance with a new folder does not participate in the group
//! until every other founding member has replied to its probe. A member that already participates
//! has recorded the tags of the others and rejects a probe with a different tag. Because every
//! founding member waits for replies from all others, the tag of a folder is recorded by each
//! instance that may rely on its votes and acknowledgements.

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
    /// Tags of the other founding members; final once `progress` is `Complete`.
    tags: IndexMap<InstanceId, DiskTag>,
    next_probe_at: TimePoint,
}

impl FoundingCheck {
    /// `founding_membership` is empty for an instance that joined later.
    pub(crate) fn new(
        id: &InstanceId,
        tag: DiskTag,
        stored: Option<FoundingTags>,
        founding_membership: &Membership,
        now: TimePoint,
    ) -> Self {
        let no_other_founders = founding_membership
            .members
            .iter()
            .all(|member| member.id == *id);
        let progress = if stored.is_some() || no_other_founders {
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
                .map(|founding_tag| (founding_tag.id, founding_tag.tag))
                .collect(),
            next_probe_at: now,
        }
    }

    fn collected_tags(&self) -> FoundingTags {
        let tags = self.tags.iter().map(|(id, tag)| FoundingTag {
            id: id.clone(),
            tag: *tag,
        });
        FoundingTags(tags.collect())
    }
}

impl RaftNode {
    /// Disk tags of the other founding members, to be stored once the check is complete.
    ///
    /// `None` before, and for an instance without other founding members.
    pub fn founding_tags(&self) -> Option<FoundingTags> {
        let complete = self.founding.progress == FoundingProgress::Complete;
        let has_tags = complete && !self.founding.tags.is_empty();
        has_tags.then(|| self.founding.collected_tags())
    }

    /// Progress of the founding check.
    pub const fn founding_progress(&self) -> FoundingProgress {
        self.founding.progress
    }

    pub(crate) fn may_participate(&self) -> bool {
        self.founding.progress == FoundingProgress::Complete
    }

    pub(crate) fn founding_probe_due(&self) -> Option<TimePoint> {
        let waiting = self.founding.progress == FoundingProgress::Waiting;
        waiting.then_some(self.founding.next_probe_at)
    }

    pub(crate) fn send_founding_probes(&mut self, now: TimePoint) {
        if self.founding.progress != FoundingProgress::Waiting || now < self.founding.next_probe_at
        {
            return;
        }
        self.founding.next_probe_at = now + self.settings.heartbeat_interval;
        for id in self.other_members() {
            if !self.founding.tags.contains_key(&id) {
                self.send(id, MessageBody::FoundingProbe(self.founding.tag));
            }
        }
    }

    pub(crate) fn handle_founding_probe(&mut self, message: &PeerMessage, tag: DiskTag) {
        // Before its own check is complete, this instance admits every folder. It does not record
        // the tag of the probe; it records the tags in the replies to its own probes.
        let admitted = !self.may_participate()
            || self
                .founding
                .tags
                .get(&message.from)
                .is_none_or(|known_tag| *known_tag == tag);
        let reply = FoundingReply {
            probe_tag: tag,
            tag: self.founding.tag,
            admitted,
        };
        self.send(message.from.clone(), MessageBody::FoundingReply(reply));
    }

    pub(crate) fn handle_founding_reply(&mut self, message: &PeerMessage, reply: FoundingReply) {
        let from_member = self.membership().member(&message.from).is_some();
        let for_this_folder = reply.probe_tag == self.founding.tag;
        if self.founding.progress != FoundingProgress::Waiting || !from_member || !for_this_folder {
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
        let tags = self.founding.collected_tags();
        self.records.push(LogRecord::Founding(tags));
    }
}
