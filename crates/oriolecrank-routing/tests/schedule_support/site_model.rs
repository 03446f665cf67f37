//! Model of a site: control instances, entries, upstreams and operators around a group of consensus
//! nodes.
//!
//! Messages between them are delayed, lost and repeated. The memory of a control instance is lost
//! when its node restarts.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_consensus::{EntryBody, EntryPosition, InstanceId, LogIndex};
use oriolecrank_routing::{
    EntryName, EntryRun, OrganisationName, ScheduleSettings, SentState, SiteCommand, SiteState,
    StoredDocument, SyncCursor, UpstreamAnnouncement, UpstreamDeparture, UpstreamDirectory,
    UpstreamReadiness, UpstreamRecord, UsageCollector, UsageCounter, UsageSchedule, WindowCounts,
    WindowNumber,
};
use oriolecrank_schema::{TimePoint, codec};
use rand::Rng as _;
use rand::seq::IndexedRandom as _;

use crate::group::Group;
use crate::usage_interface::{UsageInterface, UsageReport};

/// Unix time at the start of a schedule, in milliseconds.
const UNIX_START_MS: u64 = 1_700_000_000_000;

/// Largest error of the clocks of control instances, in milliseconds.
const MAX_CLOCK_ERROR_MS: u64 = 200;

/// Organisations whose requests are counted.
const ORGANISATIONS: [&str; 3] = ["a", "b", "c"];

pub fn usage_settings() -> ScheduleSettings {
    ScheduleSettings {
        window: Duration::from_secs(5),
        due_after: Duration::from_secs(10),
        lease: Duration::from_secs(3),
    }
}

/// A control instance without its consensus node.
#[derive(Debug)]
struct ControlModel {
    /// Number of starts of the node when this model was created; if the node has started again
    /// since, a new model replaces this one.
    start: u64,
    applied: LogIndex,
    state: SiteState,
    usage: UsageCollector,
    directory: UpstreamDirectory,
    schedule: UsageSchedule,
    clock_error: u64,
}

/// An entry with its counts and what it knows of the site.
#[derive(Debug)]
struct EntryModel {
    run: EntryRun,
    counter: UsageCounter,
    version: u64,
    directory: UpstreamDirectory,
    cursors: IndexMap<InstanceId, SyncCursor>,
}

/// An upstream that announces itself.
#[derive(Debug)]
struct UpstreamModel {
    announcement: UpstreamAnnouncement,
}

/// A message in flight.
#[derive(Debug)]
enum SiteMessage {
    Announce(InstanceId, UpstreamAnnouncement),
    Report(UsageReport),
}

/// A submitted document that is not known to be committed.
#[derive(Debug)]
struct PendingDocument {
    position: EntryPosition,
    version: u64,
}

/// A departure that is not known to be committed.
#[derive(Debug)]
struct PendingDeparture {
    position: EntryPosition,
    departure: UpstreamDeparture,
}

/// A site under test.
#[derive(Debug)]
pub struct SiteModel {
    pub group: Group,
    controls: IndexMap<InstanceId, ControlModel>,
    entries: Vec<EntryModel>,
    upstreams: Vec<UpstreamModel>,
    interface: UsageInterface,
    /// Broken links from entries to control instances.
    pub cut_links: HashSet<(usize, InstanceId)>,
    /// Probability that a message is lost, and that an answer is.
    pub loss_chance: f64,
    queued_messages: BTreeMap<(u64, u64), SiteMessage>,
    sent_count: u64,
    published_versions: BTreeSet<u64>,
    pending_documents: Vec<PendingDocument>,
    pending_departures: Vec<PendingDeparture>,
    /// Departures that upstreams know to be committed, with the index of the entry.
    acknowledged_departures: Vec<(LogIndex, UpstreamDeparture)>,
    /// Highest version that an operator knows to be committed.
    pub acknowledged_version: u64,
    expected_counts: BTreeMap<WindowNumber, u64>,
    pub reports_sent: u64,
}

impl SiteModel {
    pub fn new(seed: u64) -> Self {
        let mut site = Self {
            group: Group::new(seed, 3),
            controls: IndexMap::new(),
            entries: Vec::new(),
            upstreams: Vec::new(),
            interface: UsageInterface::default(),
            cut_links: HashSet::new(),
            loss_chance: 0.0,
            queued_messages: BTreeMap::new(),
            sent_count: 0,
            published_versions: BTreeSet::new(),
            pending_documents: Vec::new(),
            pending_departures: Vec::new(),
            acknowledged_departures: Vec::new(),
            acknowledged_version: 0,
            expected_counts: BTreeMap::new(),
            reports_sent: 0,
        };
        for id in site.ids() {
            let model = site.empty_control(0);
            site.controls.insert(id, model);
        }
        for number in 0..3 {
            let entry = site.new_entry(number);
            site.entries.push(entry);
            site.upstreams.push(UpstreamModel {
                announcement: announcement(number),
            });
        }
        site
    }

    pub fn ids(&self) -> Vec<InstanceId> {
        self.group.instances.keys().cloned().collect()
    }

    pub fn any_control(&mut self) -> InstanceId {
        let ids = self.ids();
        let id = ids.choose(&mut self.group.random);
        id.expect("a group has instances").clone()
    }

    fn empty_control(&mut self, start: u64) -> ControlModel {
        ControlModel {
            start,
            applied: LogIndex(0),
            state: SiteState::default(),
            usage: UsageCollector::default(),
            directory: UpstreamDirectory::default(),
            schedule: UsageSchedule::new(usage_settings()),
            clock_error: self.group.random.random_range(0..=MAX_CLOCK_ERROR_MS),
        }
    }

    fn new_entry(&mut self, number: usize) -> EntryModel {
        let entry = EntryName::from(format!("e{number}"));
        EntryModel {
            run: EntryRun {
                entry,
                run: self.group.random.random(),
            },
            counter: UsageCounter::default(),
            version: 0,
            directory: UpstreamDirectory::default(),
            cursors: IndexMap::new(),
        }
    }

    fn unix_ms(&self) -> u64 {
        UNIX_START_MS + self.group.now
    }

    fn now(&self) -> TimePoint {
        TimePoint::from_millis(self.group.now)
    }

    /// Advances the time and lets all processes act.
    pub fn step(&mut self, millis: u64) {
        self.group.run(millis);
        self.apply_committed();
        self.acknowledge_documents();
        self.acknowledge_departures();
        self.deliver();
        self.serve_requests();
        self.announce_upstreams();
        self.sync_entries();
        self.act_on_usage();
    }

    /// Applies the committed commands of each node to the state of its control instance.
    fn apply_committed(&mut self) {
        for id in self.ids() {
            let start = self.group.instances[&id].starts;
            if self.controls[&id].start != start {
                self.controls[&id] = self.empty_control(start);
            }
            let Some(applied) = self.group.applied(&id) else {
                continue;
            };
            let control = &mut self.controls[&id];
            while control.applied < applied {
                control.applied = control.applied.next();
                let entry = self.group.oracle.committed_entry(control.applied);
                let (_, body) = entry.expect("applied entries are committed");
                if let EntryBody::Data(data) = body {
                    let command = codec::decode(data).expect("the log holds commands");
                    let before = document_version(&control.state);
                    control.state.apply(command);
                    assert!(
                        document_version(&control.state) >= before,
                        "{id} went back to an older document version"
                    );
                }
            }
            control
                .directory
                .apply_departures(control.state.departures());
            // Snapshots must contain the whole state.
            let decoded = SiteState::decode(&control.state.encode());
            assert_eq!(decoded.expect("states can be decoded"), control.state);
        }
    }

    /// An operator submits a new document, or an older one again, at any instance.
    pub fn publish(&mut self) {
        let newest = self.published_versions.iter().copied().max().unwrap_or(0);
        let version = if newest > 0 && self.group.random.random_bool(0.3) {
            self.group.random.random_range(1..=newest)
        } else {
            newest + self.group.random.random_range(1..4)
        };
        self.published_versions.insert(version);
        let id = self.any_control();
        if !self.group.is_active(&id) {
            return;
        }
        if self::document_version(&self.controls[&id].state) >= version {
            self.acknowledged_version = self.acknowledged_version.max(version);
            return;
        }
        let Some(leader) = self.group.leaders().pop() else {
            return;
        };
        let source = version.to_be_bytes().to_vec();
        let command = SiteCommand::Publish(StoredDocument {
            version,
            source: source.into(),
        });
        if let Some(position) = self.propose(&leader, &command) {
            self.pending_documents
                .push(PendingDocument { position, version });
        }
    }

    fn propose(&mut self, id: &InstanceId, command: &SiteCommand) -> Option<EntryPosition> {
        self.group.propose_data(id, codec::encode(command).into())
    }

    fn acknowledge_documents(&mut self) {
        let oracle = &self.group.oracle;
        let acknowledged = &mut self.acknowledged_version;
        self.pending_documents.retain(|pending| {
            let Some((term, _)) = oracle.committed_entry(pending.position.index) else {
                return true;
            };
            if term == pending.position.term {
                *acknowledged = (*acknowledged).max(pending.version);
            }
            false
        });
    }

    fn acknowledge_departures(&mut self) {
        let (oracle, acknowledged) = (&self.group.oracle, &mut self.acknowledged_departures);
        self.pending_departures.retain(|pending| {
            let Some((term, _)) = oracle.committed_entry(pending.position.index) else {
                return true;
            };
            if term == pending.position.term {
                acknowledged.push((pending.position.index, pending.departure.clone()));
            }
            false
        });
    }

    fn send(&mut self, delay: u64, message: SiteMessage) {
        self.sent_count += 1;
        self.queued_messages
            .insert((self.group.now + delay, self.sent_count), message);
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.queued_messages.first_entry()
            && entry.key().0 <= self.group.now
        {
            match entry.remove() {
                SiteMessage::Announce(to, announcement) => self.on_announcement(&to, announcement),
                SiteMessage::Report(report) => {
                    let lease = usage_settings().lease.as_millis() as u64;
                    self.interface.receive(report, self.group.now, lease);
                }
            }
        }
    }

    fn on_announcement(&mut self, id: &InstanceId, announcement: UpstreamAnnouncement) {
        if !self.group.is_active(id) {
            return;
        }
        let now = self.now();
        let control = &mut self.controls[id];
        let announcement = control.state.departures().with_known_state(announcement);
        control.directory.merge(announcement, now);
    }

    /// Entries serve requests and count them.
    fn serve_requests(&mut self) {
        let window = WindowNumber::at(self.unix_ms(), usage_settings().window);
        for entry in &mut self.entries {
            if !self.group.random.random_bool(0.5) {
                continue;
            }
            let name = ORGANISATIONS.choose(&mut self.group.random);
            let organisation = OrganisationName::from(*name.expect("organisations are defined"));
            entry.counter.count(&organisation, window);
            *self.expected_counts.entry(window).or_default() += 1;
        }
    }

    /// Replaces an entry process by a new one.
    pub fn restart_entry(&mut self) {
        let number = self.group.random.random_range(0..self.entries.len());
        self.entries[number] = self.new_entry(number);
    }

    /// An upstream starts to drain, leaves or starts again.
    pub fn change_upstream(&mut self) {
        let started_ms = self.unix_ms();
        let index = self.group.random.random_range(0..self.upstreams.len());
        let announcement = &mut self.upstreams[index].announcement;
        match announcement.state {
            UpstreamReadiness::Ready => announcement.state = UpstreamReadiness::Draining,
            UpstreamReadiness::Draining => announcement.state = UpstreamReadiness::Left,
            UpstreamReadiness::Left => {
                announcement.state = UpstreamReadiness::Ready;
                announcement.started_ms = started_ms;
                announcement.sequence = 0;
            }
        }
        let departure = UpstreamDeparture::from(&*announcement);
        if let Some(leader) = self.group.leaders().pop()
            && departure.state != UpstreamReadiness::Ready
            && let Some(position) = self.propose(&leader, &SiteCommand::Depart(departure.clone()))
        {
            self.pending_departures.push(PendingDeparture {
                position,
                departure,
            });
        }
    }

    /// Upstreams send their announcements to the control instances; some are lost and some late.
    fn announce_upstreams(&mut self) {
        for index in 0..self.upstreams.len() {
            let announcement = &mut self.upstreams[index].announcement;
            announcement.sequence += 1;
            let announcement = announcement.clone();
            for to in self.ids() {
                if self.group.random.random_bool(0.3 + self.loss_chance / 2.0) {
                    continue;
                }
                let delayed = self.group.random.random_bool(0.1);
                let delay = self
                    .group
                    .random
                    .random_range(1..if delayed { 4_000 } else { 50 });
                self.send(delay, SiteMessage::Announce(to, announcement.clone()));
            }
        }
    }

    fn sync_entries(&mut self) {
        for number in 0..self.entries.len() {
            for id in self.ids() {
                let cut = self.cut_links.contains(&(number, id.clone()));
                let lost = self.group.random.random_bool(self.loss_chance);
                if !cut && !lost && self.group.is_active(&id) {
                    self.sync(number, &id);
                }
            }
        }
    }

    /// One sync between an entry and a control instance.
    fn sync(&mut self, number: usize, id: &InstanceId) {
        let (now, start) = (self.now(), self.group.instances[id].starts);
        let answer_lost = self.group.random.random_bool(self.loss_chance);
        let control = &mut self.controls[id];
        if control.start != start {
            return;
        }
        let entry = &mut self.entries[number];
        let present: Vec<WindowCounts> = entry.counter.windows().to_vec();
        let cursor = entry.cursors.entry(id.clone()).or_default();
        control
            .usage
            .record(&entry.run, cursor.unacknowledged(&present));
        if answer_lost {
            return;
        }
        let known_run = cursor.control_run() == start;
        let revision = if known_run {
            cursor.directory_revision()
        } else {
            0
        };
        for record in control.directory.since(revision) {
            let name = record.announcement.name.as_str();
            let before = entry.directory.get(name).map(incarnation_state);
            entry.directory.merge(record.announcement.clone(), now);
            let after = entry.directory.get(name).map(incarnation_state);
            assert!(
                after >= before,
                "{name} went back from {before:?} to {after:?}"
            );
            let is_read = |(index, _): &&(LogIndex, _)| *index <= control.applied;
            for (_, departure) in self.acknowledged_departures.iter().filter(is_read) {
                let departed = (departure.started_ms, departure.state);
                assert!(
                    departure.upstream.as_str() != name || after >= Some(departed),
                    "{name} is {after:?} after it was acknowledged as {departed:?}"
                );
            }
        }
        let sent = SentState {
            counts: present,
            ..SentState::default()
        };
        cursor.advance(start, control.directory.revision(), sent);
        let version = document_version(&control.state);
        entry.version = entry.version.max(version);
        assert!(
            entry.version == 0 || self.published_versions.contains(&entry.version),
            "version {} was never published",
            entry.version
        );
    }

    /// Every leading instance closes and reports windows.
    fn act_on_usage(&mut self) {
        for id in self.ids() {
            if !self.group.is_active(&id) {
                continue;
            }
            let led_term = self.group.authority(&id).map(|term| term.0);
            let local = self.group.local_time(&id);
            let unix_ms = self.unix_ms();
            let control = &mut self.controls[&id];
            let Some(term) = control.schedule.acting_term(led_term, local) else {
                continue;
            };
            let unix_ms = unix_ms + control.clock_error - MAX_CLOCK_ERROR_MS / 2;
            let windows = control
                .schedule
                .windows_to_close(unix_ms, control.state.closed_until());
            let closing = windows.map(|window| (window, control.usage.total(window)));
            let closing: Vec<_> = closing.filter(|(_, counts)| !counts.is_empty()).collect();
            for (window, counts) in closing {
                self.propose(&id, &SiteCommand::CloseWindow { window, counts });
            }
            self.report(&id, term);
        }
    }

    /// Reports the closed windows; some reports arrive seconds late and get no answer.
    fn report(&mut self, id: &InstanceId, term: u64) {
        let state = &self.controls[id].state;
        let unreported = state
            .unreported_windows()
            .map(|(window, closed)| UsageReport {
                reporter: id.clone(),
                fence: term,
                window,
                counts: closed.counts.clone(),
            });
        for report in unreported.collect::<Vec<_>>() {
            self.reports_sent += 1;
            if self.group.random.random_bool(self.loss_chance) {
                let delay = self.group.random.random_range(2_000..12_000);
                self.send(delay, SiteMessage::Report(report));
                continue;
            }
            let (window, now) = (report.window, self.group.now);
            let lease = usage_settings().lease.as_millis() as u64;
            if self.interface.receive(report, now, lease) {
                self.propose(id, &SiteCommand::MarkReported { window });
            } else {
                self.controls[id].schedule.mark_fenced();
                return;
            }
        }
    }

    /// Ends all faults.
    pub fn end_faults(&mut self) {
        self.group.heal();
        self.cut_links.clear();
        self.loss_chance = 0.0;
    }

    /// Checks a site that had no faults since `healed_at`, except restarts of single control
    /// instances, and no recent changes.
    pub fn check_settled(&self, healed_at: u64) {
        for (id, control) in &self.controls {
            let version = document_version(&control.state);
            assert!(
                version >= self.acknowledged_version,
                "{id} lost an acknowledged document"
            );
        }
        let newest = self
            .controls
            .values()
            .map(|control| document_version(&control.state));
        let newest = newest.max().unwrap_or(0);
        for entry in &self.entries {
            assert_eq!(entry.version, newest, "{:?} has an old document", entry.run);
            for upstream in &self.upstreams {
                let expected = &upstream.announcement;
                let known = entry.directory.get(expected.name.as_str());
                let known =
                    known.map(|record| (record.announcement.state, record.announcement.started_ms));
                assert_eq!(
                    known,
                    Some((expected.state, expected.started_ms)),
                    "{}",
                    expected.name
                );
            }
        }
        self.check_usage(healed_at);
    }

    /// Checks that windows that started after the faults were reported in time and with the right
    /// counts.
    fn check_usage(&self, healed_at: u64) {
        let settings = usage_settings();
        // An election and the lease that a new leader waits for.
        let steady_from_ms = UNIX_START_MS + healed_at + 6_000;
        for (window, expected) in &self.expected_counts {
            let end = window.end_ms(settings.window);
            let due = end + settings.due_after.as_millis() as u64;
            if end < steady_from_ms + settings.window.as_millis() as u64 || due > self.unix_ms() {
                continue;
            }
            let report = self.interface.accepted.get(window);
            let (counts, at) = report.unwrap_or_else(|| panic!("{window:?} is not reported"));
            assert_eq!(counts.values().sum::<u64>(), *expected, "{window:?}");
            assert!(UNIX_START_MS + at <= due, "{window:?} is reported late");
        }
    }
}

/// Incarnation of an upstream and its readiness; must never go back.
const fn incarnation_state(record: &UpstreamRecord) -> (u64, UpstreamReadiness) {
    let announcement = &record.announcement;
    (announcement.started_ms, announcement.state)
}

fn document_version(state: &SiteState) -> u64 {
    state.document().map_or(0, |document| document.version)
}

fn announcement(number: usize) -> UpstreamAnnouncement {
    UpstreamAnnouncement {
        name: format!("u{number}").into(),
        service: "s".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 8_000 + number as u16)),
        domain: "d".into(),
        slots: 4,
        state: UpstreamReadiness::Ready,
        version: None,
        role: None,
        warmup_remaining: Duration::ZERO,
        started_ms: UNIX_START_MS,
        sequence: 0,
    }
}
