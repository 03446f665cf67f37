//! Guards against streams that go on at another software version than the one that began them, and
//! against streams that cannot go on although their version is known.

use std::time::Duration;

use oriolecrank_routing::{
    ChoiceRequest, ChooserSettings, DirectChooser, DirectorySettings, NoUpstream, OriginKeeper,
    OriginSettings, RecordedStream, ServiceName, SiteCommand, SiteOutcome, SiteState,
    SoftwareVersion, StreamKey, StreamLog, StreamOrigin, UpstreamAnnouncement, UpstreamDirectory,
    UpstreamName, UpstreamReadiness, VersionFilter,
};
use oriolecrank_schema::TimePoint;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::fixtures::{announcement, at};

fn version(name: &str) -> SoftwareVersion {
    SoftwareVersion::from(name)
}

fn origin(name: &str) -> StreamOrigin {
    StreamOrigin {
        service: ServiceName::from("assistant"),
        version: Some(version(name)),
    }
}

fn upstream(name: &str, port: u16, version: &str) -> UpstreamAnnouncement {
    UpstreamAnnouncement {
        address: format!("10.0.0.1:{port}")
            .parse()
            .expect("a socket address"),
        version: Some(SoftwareVersion::from(version)),
        ..announcement(name, 1, 1)
    }
}

/// State with the versions admitted in this order.
fn state(versions: &[&str]) -> SiteState {
    let mut state = SiteState::default();
    for version in versions {
        state.apply(SiteCommand::AdmitOrigin(origin(version)));
    }
    state
}

/// Log of an entry that was told the admitted origins of a state.
fn log(state: &SiteState) -> StreamLog {
    let mut log = StreamLog::default();
    log.set_admitted(state.streams().admitted().clone());
    log
}

fn keys(streams: &[RecordedStream]) -> Vec<StreamKey> {
    streams.iter().map(|(key, _)| *key).collect()
}

#[test]
fn an_origin_is_inferred_only_while_its_service_has_one_version() {
    let service = ServiceName::from("assistant");
    let mut state = state(&["v1"]);
    assert_eq!(
        state.streams().admitted().only_of(&service),
        Some(&origin("v1"))
    );
    assert!(!state.streams().admitted().has_several_versions());
    state.apply(SiteCommand::AdmitOrigin(origin("v2")));
    assert_eq!(state.streams().admitted().only_of(&service), None);
    assert!(state.streams().admitted().has_several_versions());
    let again = state.apply(SiteCommand::AdmitOrigin(origin("v2")));
    assert_eq!(again, SiteOutcome::Superseded);
    state.apply(SiteCommand::RemoveOrigin(origin("v1")));
    assert_eq!(
        state.streams().admitted().only_of(&service),
        Some(&origin("v2"))
    );
}

#[test]
fn nothing_is_sent_while_one_version_serves_and_all_streams_once_a_second_comes() {
    let mut state = state(&["v1"]);
    let mut log = log(&state);
    let (first, second) = (StreamKey::from("first"), StreamKey::from("second"));
    log.record(first, origin("v1"), at(0));
    assert!(!log.has_unsent());
    state.apply(SiteCommand::AdmitOrigin(origin("v2")));
    assert!(log.set_admitted(state.streams().admitted().clone()));
    log.record(second, origin("v2"), at(100));
    let sent = log.take_unsent(at(200));
    assert_eq!(keys(&sent), [first, second]);
    assert!(!log.has_unsent());
    state.apply(SiteCommand::RecordStreams(sent));
    assert_eq!(state.streams().find(first), Some(&origin("v1")));
    assert_eq!(state.streams().find(second), Some(&origin("v2")));
    assert_eq!(state.streams().find(StreamKey::from("other")), None);
}

/// Guards against records that are lost because the leader did not take them, and against a third
/// version that makes an entry send all of its streams again.
#[test]
fn streams_are_sent_again_only_if_they_did_not_arrive() {
    let mut state = state(&["v1", "v2"]);
    let mut log = log(&state);
    log.record(StreamKey::from("first"), origin("v1"), at(0));
    let lost = log.take_unsent(at(0));
    log.return_unsent(&lost);
    assert_eq!(log.take_unsent(at(0)), lost);
    state.apply(SiteCommand::AdmitOrigin(origin("v3")));
    log.set_admitted(state.streams().admitted().clone());
    assert!(!log.has_unsent());
}

#[test]
fn an_entry_forgets_streams_that_can_no_longer_be_resumed() {
    let mut log = log(&state(&["v1", "v2"]));
    log.record(StreamKey::from("old"), origin("v1"), at(0));
    log.record(StreamKey::from("new"), origin("v1"), at(61_000));
    assert_eq!(log.find(StreamKey::from("old")), None);
    assert_eq!(keys(&log.take_unsent(at(61_000))), [StreamKey::from("new")]);
}

/// Guards against a stream whose origin changes when another caller uses its id again.
#[test]
fn a_recorded_stream_keeps_its_origin_for_two_rotations() {
    let mut state = state(&["v1", "v2"]);
    let key = StreamKey::from("stream");
    let numbers: Vec<_> = state.streams().admitted().origins.clone();
    state.apply(SiteCommand::RecordStreams(vec![(key, numbers[0].0)]));
    state.apply(SiteCommand::RecordStreams(vec![(key, numbers[1].0)]));
    assert_eq!(state.streams().find(key), Some(&origin("v1")));
    state.apply(SiteCommand::RotateStreams);
    state.apply(SiteCommand::RecordStreams(vec![(key, numbers[1].0)]));
    assert_eq!(state.streams().find(key), Some(&origin("v1")));
    let restored = SiteState::decode(&state.encode()).expect("a state decodes");
    assert_eq!(restored, state);
    state.apply(SiteCommand::RotateStreams);
    assert_eq!(state.streams().find(key), None);
}

/// A control instance that has started at time 0 and leads.
struct Control {
    directory: UpstreamDirectory,
    keeper: OriginKeeper,
    state: SiteState,
}

impl Control {
    fn start() -> Self {
        Self {
            directory: UpstreamDirectory::new(DirectorySettings::default()),
            keeper: OriginKeeper::new(OriginSettings::default(), at(0)),
            state: SiteState::default(),
        }
    }

    /// Applies due commands and returns them.
    fn step(&mut self, now: TimePoint) -> Vec<SiteCommand> {
        self.directory.prune(now);
        let streams = self.state.streams();
        let commands = self.keeper.due_commands(&self.directory, streams, now);
        for command in &commands {
            self.state.apply(command.clone());
        }
        commands
    }
}

/// Guards against a version that is forgotten while streams that began there may be left, such as
/// right after a restart, when no upstream is known.
#[test]
fn a_version_is_removed_long_after_its_last_upstream() {
    let mut control = Control::start();
    control.directory.merge(upstream("u", 1, "v1"), at(0));
    assert_eq!(
        control.step(at(0)),
        [SiteCommand::AdmitOrigin(origin("v1"))]
    );
    assert!(control.step(at(100)).is_empty());
    let left = UpstreamAnnouncement {
        state: UpstreamReadiness::Left,
        sequence: 2,
        ..upstream("u", 1, "v1")
    };
    control.directory.merge(left, at(1_000));
    control.directory.merge(upstream("v", 2, "v2"), at(1_000));
    assert_eq!(
        control.step(at(1_000)),
        [SiteCommand::AdmitOrigin(origin("v2"))]
    );
    let mut removed_at = None;
    for now in (2_000..200_000).step_by(1_000) {
        let heartbeat = UpstreamAnnouncement {
            sequence: now,
            ..upstream("v", 2, "v2")
        };
        control.directory.merge(heartbeat, at(now));
        if control
            .step(at(now))
            .contains(&SiteCommand::RemoveOrigin(origin("v1")))
        {
            removed_at.get_or_insert(now);
        }
    }
    // The directory knows it for a minute after it has left, and one more minute has to pass.
    assert!(
        matches!(removed_at, Some(121_000..=125_000)),
        "{removed_at:?}"
    );
    let mut restarted = Control::start();
    restarted.state = control.state.clone();
    assert!(restarted.step(at(59_000)).is_empty());
}

/// Guards against an upstream that has left and admits its version anew.
#[test]
fn an_upstream_that_has_left_admits_nothing() {
    let mut control = Control::start();
    let left = UpstreamAnnouncement {
        state: UpstreamReadiness::Left,
        ..upstream("u", 1, "v1")
    };
    control.directory.merge(left, at(0));
    assert!(control.step(at(0)).is_empty());
}

#[test]
fn records_are_rotated_once_a_minute_if_there_are_any() {
    let mut control = Control::start();
    assert!(control.step(at(60_000)).is_empty());
    control.state = state(&["v1", "v2"]);
    let number = control.state.streams().admitted().origins[0].0;
    let streams = vec![(StreamKey::from("stream"), number)];
    control.state.apply(SiteCommand::RecordStreams(streams));
    assert!(control.step(at(119_000)).is_empty());
    let commands = control.step(at(120_000));
    assert!(commands.contains(&SiteCommand::RotateStreams));
}

fn chooser(upstreams: &[UpstreamAnnouncement]) -> DirectChooser {
    let mut chooser = DirectChooser::new(ChooserSettings::default());
    for upstream in upstreams {
        chooser.apply_announcement(upstream, at(0));
    }
    chooser
}

fn request<'a>(versions: VersionFilter<'a>, tried: &'a [UpstreamName]) -> ChoiceRequest<'a> {
    ChoiceRequest {
        prompt: None,
        tried,
        time_left: Duration::from_secs(2),
        time_to_target: Duration::from_millis(250),
        pause_target: Duration::from_millis(250),
        entries: 1,
        allow_remote_prefill: false,
        body_bytes: 0,
        priority: 0,
        versions,
    }
}

/// Names of the upstreams that get ten requests, without repetitions.
fn chosen(chooser: &mut DirectChooser, versions: VersionFilter<'_>) -> Vec<String> {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut names: Vec<String> = (0..10)
        .filter_map(|_| {
            let plan = chooser.choose(&request(versions, &[]), at(10), &mut random);
            Some(plan.ok()?.serving_upstream.announcement.name.to_string())
        })
        .collect();
    names.sort_unstable();
    names.dedup();
    names
}

#[test]
fn only_upstreams_of_an_allowed_version_are_chosen() {
    let unstated = UpstreamAnnouncement {
        version: None,
        ..upstream("w", 3, "")
    };
    let mut chooser = chooser(&[upstream("u", 1, "v1"), upstream("v", 2, "v2"), unstated]);
    assert_eq!(chosen(&mut chooser, VersionFilter::Any), ["u", "v", "w"]);
    // A control instance of an earlier release tells no admitted versions.
    assert_eq!(
        chosen(&mut chooser, VersionFilter::Admitted),
        ["u", "v", "w"]
    );
    chooser.set_admitted(vec![Some(version("v1")), None]);
    assert_eq!(chosen(&mut chooser, VersionFilter::Admitted), ["u", "w"]);
    assert_eq!(
        chosen(&mut chooser, VersionFilter::Only(&version("v2"))),
        ["v"]
    );
}

/// Guards against a stream that waits, or is told to come back, although no upstream of its version is
/// left.
#[test]
fn a_version_without_upstreams_is_told_from_one_whose_upstreams_were_tried() {
    let mut chooser = chooser(&[upstream("u", 1, "v1")]);
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let (first, second) = (version("v1"), version("v2"));
    let gone = request(VersionFilter::Only(&second), &[]);
    let refused = chooser.choose(&gone, at(10), &mut random);
    assert_eq!(refused, Err(NoUpstream::NoVersion));
    let tried = [UpstreamName::from("u")];
    let tried = request(VersionFilter::Only(&first), &tried);
    let refused = chooser.choose(&tried, at(10), &mut random);
    assert_eq!(refused, Err(NoUpstream::None));
}

/// Guards against a stream that goes on at an upstream that has restarted under its name with another
/// version, which this entry has not heard of: it hears nothing, or it was refused a connection.
#[test]
fn only_upstreams_that_were_heard_lately_go_on_with_a_stream() {
    let first = version("v1");
    let only = request(VersionFilter::Only(&first), &[]);
    let any = request(VersionFilter::Any, &[]);
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let known = upstream("u", 1, "v1");
    let mut chooser = chooser(std::slice::from_ref(&known));
    assert!(chooser.choose(&only, at(3_900), &mut random).is_ok());
    let silent = chooser.choose(&only, at(4_100), &mut random);
    assert_eq!(silent, Err(NoUpstream::NoVersion));
    let begun = chooser.choose(&any, at(4_100), &mut random).expect("any");
    assert_eq!(begun.serving_upstream.confirmed_version, None);
    chooser.apply_announcement(&known, at(5_000));
    let begun = chooser.choose(&any, at(5_100), &mut random).expect("any");
    let confirmed = begun.serving_upstream.confirmed_version;
    assert_eq!(confirmed.as_ref(), Some(&first));
    chooser.record_refused_connection("u", at(5_200));
    let refused = chooser.choose(&only, at(5_300), &mut random);
    assert_eq!(refused, Err(NoUpstream::NoVersion));
    chooser.apply_announcement(&known, at(5_400));
    assert!(chooser.choose(&only, at(5_500), &mut random).is_ok());
}
