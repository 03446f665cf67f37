//! Control instances, entries, upstreams and operators around a group of consensus nodes.
//!
//! Messages between them are delayed, lost and repeated. What an instance holds in memory is lost
//! when its node restarts.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use oriolecrank_consensus::{EntryBody, EntryPosition, InstanceId, LogIndex};
use oriolecrank_routing::{
    EntryName, EntryRun, OrganisationName, ScheduleSettings, SiteCommand, SiteState,
    StoredDocument, SyncCursor, UpstreamAnnouncement, UpstreamDirectory, UpstreamReadiness,
    UpstreamRecord, UsageCollector, UsageCounter, UsageSchedule, WindowCounts, WindowNumber,
};
use oriolecrank_schema::{TimePoint, codec};
use rand::Rng as _;
use rand::seq::IndexedRandom as _;

use crate::group::Group;
use crate::usage_interface::{UsageInterface, UsageReport};

/// Unix time at the start of a schedule, in ms.
const UNIX_START: u64 = 1_700_000_000_000;

/// Largest error of the clocks of control instances, in ms.
const CLOCK_ERROR: u64 = 200;

/// Organisations whose requests are counted.
const ORGANISATIONS: [&str; 3] = ["a", "b", "c"];

pub fn schedule_settings() -> ScheduleSettings {
    ScheduleSettings {
        window: Duration::from_secs(5),
        due_after: Duration::from_secs(10),
        lease: Duration::from_secs(3),
    }
}

/// A control instance without its node.
#[derive(Debug)]
struct ControlModel {
    /// Start of the node to which the tables belong.
    start: u64,
    applied: LogIndex,
    state: SiteState,
    usage: UsageCollector,
    directory: UpstreamDirectory,
    schedule: UsageSchedule,
    clock_error: u64,
}

/// An entry.
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

/// A message on its way.
#[derive(Debug)]
enum SiteMail {
    Announce(InstanceId, UpstreamAnnouncement),
    Report(UsageReport),
}

/// A document that waits for its commit.
#[derive(Debug)]
struct PendingDocument {
    position: EntryPosition,
    version: u64,
}

/// A site under test.
#[derive(Debug)]
pub struct SiteModel {
    pub group: Group,
    controls: IndexMap<InstanceId, ControlModel>,
    entries: Vec<EntryModel>,
    upstreams: Vec<UpstreamModel>,
    interface: UsageInterface,
    /// Links from entries to control instances that carry nothing.
    pub cut: HashSet<(usize, InstanceId)>,
    /// Chance that a message is lost, and that an answer is.
    pub loss: f64,
    mail: BTreeMap<(u64, u64), SiteMail>,
    sent: u64,
    published: BTreeSet<u64>,
    pending: Vec<PendingDocument>,
    /// Highest version whose commit an operator knows.
    pub acknowledged: u64,
    truth: BTreeMap<WindowNumber, u64>,
    pub reports: u64,
}

impl SiteModel {
    pub fn new(seed: u64) -> Self {
        let mut site = Self {
            group: Group::new(seed, 3),
            controls: IndexMap::new(),
            entries: Vec::new(),
            upstreams: Vec::new(),
            interface: UsageInterface::default(),
            cut: HashSet::new(),
            loss: 0.0,
            mail: BTreeMap::new(),
            sent: 0,
            published: BTreeSet::new(),
            pending: Vec::new(),
            acknowledged: 0,
            truth: BTreeMap::new(),
            reports: 0,
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
            schedule: UsageSchedule::new(schedule_settings()),
            clock_error: self.group.random.random_range(0..=CLOCK_ERROR),
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
        UNIX_START + self.group.now
    }

    fn now(&self) -> TimePoint {
        TimePoint::from_millis(self.group.now)
    }

    /// Lets time pass and then everyone act.
    pub fn step(&mut self, millis: u64) {
        self.group.run(millis);
        self.catch_up();
        self.acknowledge_documents();
        self.deliver();
        self.serve_requests();
        self.announce_upstreams();
        self.sync_entries();
        self.act_on_usage();
    }

    /// Brings the states of the control instances to what their nodes have applied.
    fn catch_up(&mut self) {
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
                    let before = version(&control.state);
                    control.state.apply(command);
                    assert!(version(&control.state) >= before, "{id} goes back");
                }
            }
            // Snapshots must carry the whole state.
            let decoded = SiteState::decode(&control.state.encode());
            assert_eq!(decoded.expect("states can be decoded"), control.state);
        }
    }

    /// Operators submit a new document, or an older one again, at any instance.
    pub fn publish(&mut self) {
        let older = self.published.iter().copied().max().unwrap_or(0);
        let version = if older > 0 && self.group.random.random_bool(0.3) {
            self.group.random.random_range(1..=older)
        } else {
            older + self.group.random.random_range(1..4)
        };
        self.published.insert(version);
        let id = self.any_control();
        if !self.group.is_active(&id) {
            return;
        }
        if self::version(&self.controls[&id].state) >= version {
            self.acknowledged = self.acknowledged.max(version);
            return;
        }
        let Some(leader) = self.group.leaders().pop() else {
            return;
        };
        let source = version.to_be_bytes().to_vec();
        let command = SiteCommand::Publish(StoredDocument { version, source });
        if let Some(position) = self.propose(&leader, &command) {
            self.pending.push(PendingDocument { position, version });
        }
    }

    fn propose(&mut self, id: &InstanceId, command: &SiteCommand) -> Option<EntryPosition> {
        self.group.propose_data(id, codec::encode(command).into())
    }

    fn acknowledge_documents(&mut self) {
        let oracle = &self.group.oracle;
        let acknowledged = &mut self.acknowledged;
        self.pending.retain(|pending| {
            let Some((term, _)) = oracle.committed_entry(pending.position.index) else {
                return true;
            };
            if term == pending.position.term {
                *acknowledged = (*acknowledged).max(pending.version);
            }
            false
        });
    }

    fn post(&mut self, delay: u64, mail: SiteMail) {
        self.sent += 1;
        self.mail.insert((self.group.now + delay, self.sent), mail);
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.mail.first_entry()
            && entry.key().0 <= self.group.now
        {
            match entry.remove() {
                SiteMail::Announce(to, announcement) => self.take_announcement(&to, announcement),
                SiteMail::Report(report) => {
                    let lease = schedule_settings().lease.as_millis() as u64;
                    self.interface.take(report, self.group.now, lease);
                }
            }
        }
    }

    fn take_announcement(&mut self, id: &InstanceId, announcement: UpstreamAnnouncement) {
        if !self.group.is_active(id) {
            return;
        }
        let now = self.now();
        self.controls[id].directory.merge(announcement, now);
    }

    /// Entries run requests and count them.
    fn serve_requests(&mut self) {
        let window = WindowNumber::at(self.unix_ms(), schedule_settings().window);
        for entry in &mut self.entries {
            if !self.group.random.random_bool(0.5) {
                continue;
            }
            let name = ORGANISATIONS.choose(&mut self.group.random);
            let organisation = OrganisationName::from(*name.expect("there are some"));
            entry.counter.count(&organisation, window);
            *self.truth.entry(window).or_default() += 1;
        }
    }

    /// An entry process ends and another one starts in its place.
    pub fn restart_entry(&mut self) {
        let number = self.group.random.random_range(0..self.entries.len());
        self.entries[number] = self.new_entry(number);
    }

    /// An upstream drains, leaves or starts again, some statements repeated and some late.
    pub fn change_upstream(&mut self) {
        let started_ms = self.unix_ms();
        let place = self.group.random.random_range(0..self.upstreams.len());
        let statement = &mut self.upstreams[place].announcement;
        match statement.state {
            UpstreamReadiness::Ready => statement.state = UpstreamReadiness::Draining,
            UpstreamReadiness::Draining => statement.state = UpstreamReadiness::Left,
            UpstreamReadiness::Left => {
                statement.state = UpstreamReadiness::Ready;
                statement.started_ms = started_ms;
                statement.sequence = 0;
            }
        }
    }

    /// Upstreams repeat their statements at some instance, which passes them on.
    fn announce_upstreams(&mut self) {
        for place in 0..self.upstreams.len() {
            let statement = &mut self.upstreams[place].announcement;
            statement.sequence += 1;
            let statement = statement.clone();
            for to in self.ids() {
                if self.group.random.random_bool(0.3 + self.loss / 2.0) {
                    continue;
                }
                let late = self.group.random.random_bool(0.1);
                let delay = self
                    .group
                    .random
                    .random_range(1..if late { 4_000 } else { 50 });
                self.post(delay, SiteMail::Announce(to, statement.clone()));
            }
        }
    }

    fn sync_entries(&mut self) {
        for number in 0..self.entries.len() {
            for id in self.ids() {
                let cut = self.cut.contains(&(number, id.clone()));
                let lost = self.group.random.random_bool(self.loss);
                if !cut && !lost && self.group.is_active(&id) {
                    self.sync(number, &id);
                }
            }
        }
    }

    /// One exchange between an entry and a control instance.
    fn sync(&mut self, number: usize, id: &InstanceId) {
        let (now, start) = (self.now(), self.group.instances[id].starts);
        let answer_lost = self.group.random.random_bool(self.loss);
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
            let before = entry.directory.get(name).map(said);
            entry.directory.merge(record.announcement.clone(), now);
            let after = entry.directory.get(name).map(said);
            assert!(
                after >= before,
                "{name} goes back from {before:?} to {after:?}"
            );
        }
        cursor.advance(start, control.directory.revision(), present);
        let version = version(&control.state);
        entry.version = entry.version.max(version);
        assert!(
            entry.version == 0 || self.published.contains(&entry.version),
            "version {} was never published",
            entry.version
        );
    }

    /// Every instance that leads closes and reports windows.
    fn act_on_usage(&mut self) {
        for id in self.ids() {
            if !self.group.is_active(&id) {
                continue;
            }
            let led = self.group.authority(&id).map(|term| term.0);
            let local = self.group.local_time(&id);
            let unix_ms = self.unix_ms();
            let control = &mut self.controls[&id];
            let Some(term) = control.schedule.acting_term(led, local) else {
                continue;
            };
            let unix_ms = unix_ms + control.clock_error - CLOCK_ERROR / 2;
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

    /// Sends what is closed; the answer and the call itself may be late.
    fn report(&mut self, id: &InstanceId, term: u64) {
        let state = &self.controls[id].state;
        let open = state
            .unreported_windows()
            .map(|(window, closed)| UsageReport {
                holder: id.clone(),
                fence: term,
                window,
                counts: closed.counts.clone(),
            });
        for report in open.collect::<Vec<_>>() {
            self.reports += 1;
            if self.group.random.random_bool(self.loss) {
                let delay = self.group.random.random_range(2_000..12_000);
                self.post(delay, SiteMail::Report(report));
                continue;
            }
            let (window, now) = (report.window, self.group.now);
            let lease = schedule_settings().lease.as_millis() as u64;
            if self.interface.take(report, now, lease) {
                self.propose(id, &SiteCommand::MarkReported { window });
            } else {
                self.controls[id].schedule.mark_fenced();
                return;
            }
        }
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.group.heal();
        self.cut.clear();
        self.loss = 0.0;
    }

    /// Checks a site that has been without faults since `healed` and is quiet.
    pub fn check_settled(&self, healed: u64) {
        for (id, control) in &self.controls {
            let version = version(&control.state);
            assert!(
                version >= self.acknowledged,
                "{id} lost an acknowledged document"
            );
        }
        let newest = self
            .controls
            .values()
            .map(|control| version(&control.state));
        let newest = newest.max().unwrap_or(0);
        for entry in &self.entries {
            assert_eq!(entry.version, newest, "{:?} has an old document", entry.run);
            for upstream in &self.upstreams {
                let truth = &upstream.announcement;
                let known = entry.directory.get(truth.name.as_str());
                let known =
                    known.map(|record| (record.announcement.state, record.announcement.started_ms));
                assert_eq!(
                    known,
                    Some((truth.state, truth.started_ms)),
                    "{}",
                    truth.name
                );
            }
        }
        self.check_usage(healed);
    }

    /// Windows that began without faults are reported in time and with true figures.
    fn check_usage(&self, healed: u64) {
        let settings = schedule_settings();
        // An election and the wait of a new leader.
        let steady = UNIX_START + healed + 6_000;
        for (window, truth) in &self.truth {
            let end = window.end_ms(settings.window);
            let due = end + settings.due_after.as_millis() as u64;
            if end < steady + settings.window.as_millis() as u64 || due > self.unix_ms() {
                continue;
            }
            let report = self.interface.accepted.get(window);
            let (counts, at) = report.unwrap_or_else(|| panic!("{window:?} is not reported"));
            assert_eq!(counts.values().sum::<u64>(), *truth, "{window:?}");
            assert!(UNIX_START + at <= due, "{window:?} is reported late");
        }
    }
}

/// Incarnation of an upstream and how far it has gone in leaving.
const fn said(record: &UpstreamRecord) -> (u64, UpstreamReadiness) {
    let statement = &record.announcement;
    (statement.started_ms, statement.state)
}

fn version(state: &SiteState) -> u64 {
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
        role: None,
        warmup_remaining: Duration::ZERO,
        started_ms: UNIX_START,
        sequence: 0,
    }
}
