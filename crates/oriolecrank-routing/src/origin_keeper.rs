//! Decides which software versions are admitted for streams, from the upstreams that announce
//! themselves.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use oriolecrank_schema::TimePoint;

use crate::site_state::SiteCommand;
use crate::stream_log::STREAM_LIFETIME;
use crate::stream_origin::{StreamOrigin, StreamOrigins};
use crate::upstream_directory::{UpstreamAnnouncement, UpstreamDirectory, UpstreamReadiness};

/// Settings of an [`OriginKeeper`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OriginSettings {
    /// Time for which a recorded stream is kept at least.
    pub record_lifetime: Duration,
    /// Time after which an origin is removed if no upstream of it is known, not even one that has
    /// left. No stream that began there may be left by then.
    pub removal_delay: Duration,
}

impl Default for OriginSettings {
    fn default() -> Self {
        Self {
            record_lifetime: STREAM_LIFETIME,
            removal_delay: STREAM_LIFETIME,
        }
    }
}

/// State of the decisions at one control instance.
#[derive(Debug)]
pub struct OriginKeeper {
    settings: OriginSettings,
    /// Since when no upstream of an admitted origin is known.
    absent_since: IndexMap<StreamOrigin, TimePoint>,
    rotated_at: TimePoint,
}

impl From<&UpstreamAnnouncement> for StreamOrigin {
    fn from(announcement: &UpstreamAnnouncement) -> Self {
        Self {
            service: announcement.service.clone(),
            version: announcement.version.clone(),
        }
    }
}

impl OriginKeeper {
    /// Creates the state of an instance that has just started.
    pub fn new(settings: OriginSettings, now: TimePoint) -> Self {
        Self {
            settings,
            absent_since: IndexMap::new(),
            rotated_at: now,
        }
    }

    /// Commands that are due.
    pub fn due_commands(
        &mut self,
        directory: &UpstreamDirectory,
        streams: &StreamOrigins,
        now: TimePoint,
    ) -> Vec<SiteCommand> {
        let announcements = || directory.records().map(|record| &record.announcement);
        let known: IndexSet<StreamOrigin> = announcements().map(StreamOrigin::from).collect();
        let present = announcements().filter(|upstream| upstream.state != UpstreamReadiness::Left);
        let present: IndexSet<StreamOrigin> = present.map(StreamOrigin::from).collect();
        let admitted = &streams.admitted().origins;
        let is_admitted = |origin: &StreamOrigin| admitted.iter().any(|(_, known)| known == origin);
        let new = present.into_iter().filter(|origin| !is_admitted(origin));
        let mut commands: Vec<SiteCommand> = new.map(SiteCommand::AdmitOrigin).collect();
        self.absent_since
            .retain(|origin, _| is_admitted(origin) && !known.contains(origin));
        for (_, origin) in admitted
            .iter()
            .filter(|(_, origin)| !known.contains(origin))
        {
            let since = *self.absent_since.entry(origin.clone()).or_insert(now);
            if now.since(since) >= self.settings.removal_delay {
                commands.push(SiteCommand::RemoveOrigin(origin.clone()));
            }
        }
        if now.since(self.rotated_at) >= self.settings.record_lifetime {
            self.rotated_at = now;
            if streams.recorded_count() > 0 {
                commands.push(SiteCommand::RotateStreams);
            }
        }
        commands
    }
}
