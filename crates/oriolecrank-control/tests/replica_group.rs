//! Tests of replicas on their own threads, with real files and HTTP over loopback.
#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use oriolecrank_consensus::{
    InstanceId, LogIndex, Member, MemberRole, Membership, MembershipError, MembershipRequest,
    PeerMessage, RoleName, Term,
};
use oriolecrank_control::{
    BarrierError, ChangeError, MAX_ENTRY_BYTES, PEER_PATH, PeerDirectory, PeerIngress, PeerSender,
    PeerTransport, ProposeError, ReplicaHandle, ReplicaPhase, ReplicaSettings, StateMachine,
    start_replica,
};
use oriolecrank_net::shutdown::{ShutdownTrigger, shutdown_channel};
use oriolecrank_net::{
    AnswerBody, ClusterSecret, HttpClient, HttpHandler, PeerGuard, empty_answer, peer_request,
    serve,
};
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

/// Time limit of waits for an event; reached only when a test fails.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Data of the applied entries in log order, shared with the test.
type AppliedLog = Arc<Mutex<Vec<Vec<u8>>>>;

/// State machine that stores the data of all entries. The result of an entry is the number of
/// entries applied so far.
struct ListMachine(AppliedLog);

impl StateMachine for ListMachine {
    type Output = usize;

    fn apply(&mut self, _index: LogIndex, _term: Term, data: &[u8]) -> usize {
        let mut list = self.0.lock().unwrap();
        list.push(data.to_vec());
        list.len()
    }

    fn snapshot(&self) -> Vec<u8> {
        oriolecrank_schema::codec::encode(&*self.0.lock().unwrap())
    }

    fn restore(&mut self, snapshot: &[u8]) {
        *self.0.lock().unwrap() = oriolecrank_schema::codec::decode(snapshot).unwrap();
    }
}

/// Sender that drops all messages.
struct NoPeers;

impl PeerSender for NoPeers {
    fn send(&mut self, _messages: Vec<PeerMessage>) {}
    fn set_members(&mut self, _membership: &Membership) {}
}

struct IngressHandler(PeerIngress<usize>);

impl HttpHandler for IngressHandler {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<AnswerBody> {
        if request.uri().path() != PEER_PATH {
            return empty_answer(StatusCode::NOT_FOUND);
        }
        self.0.answer(request).await
    }
}

/// A replica with its HTTP server.
struct Instance {
    handle: ReplicaHandle<usize>,
    applied: AppliedLog,
    address: SocketAddr,
    _shutdown: ShutdownTrigger,
}

impl Instance {
    fn leads(&self) -> bool {
        self.handle.status().node.role == RoleName::Leader
    }

    async fn stop(&self) {
        self.handle.stop();
        assert_eq!(self.handle.stopped().await, ReplicaPhase::Stopped);
    }
}

fn secret() -> ClusterSecret {
    ClusterSecret::new("a-secret-for-tests-only").unwrap()
}

fn founder(name: &str, address: SocketAddr) -> Member {
    Member {
        id: InstanceId::new(name),
        address: address.to_string(),
        role: MemberRole::Voter,
    }
}

fn settings(name: &str, folder: &Path, founders: &[Member]) -> ReplicaSettings {
    ReplicaSettings {
        cluster: "test".to_owned(),
        name: name.to_owned(),
        data_folder: folder.join(name),
        founders: founders.to_vec(),
        snapshot_entries: 50,
        trailing_entries: 5,
        ..ReplicaSettings::default()
    }
}

fn start(name: &str, listener: TcpListener, folder: &Path, founders: &[Member]) -> Instance {
    let address = listener.local_addr().unwrap();
    let directory = PeerDirectory::default();
    let transport = PeerTransport::new(
        "test".to_owned(),
        address,
        HttpClient::default(),
        secret(),
        directory.clone(),
    );
    let applied = AppliedLog::default();
    let machine = ListMachine(Arc::clone(&applied));
    let handle = start_replica(settings(name, folder, founders), machine, transport).unwrap();
    let guard = PeerGuard::new(secret());
    let ingress = PeerIngress::new("test".to_owned(), guard, handle.clone(), directory);
    let (shutdown, signal) = shutdown_channel();
    tokio::spawn(serve(listener, Arc::new(IngressHandler(ingress)), signal));
    Instance {
        handle,
        applied,
        address,
        _shutdown: shutdown,
    }
}

async fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

/// Starts three founding members.
async fn group(folder: &TempDir) -> Vec<Instance> {
    let mut listeners = Vec::new();
    let mut founders = Vec::new();
    for name in ["c1", "c2", "c3"] {
        let listener = listener().await;
        founders.push(founder(name, listener.local_addr().unwrap()));
        listeners.push(listener);
    }
    let named = founders.iter().zip(listeners);
    named
        .map(|(member, listener)| start(member.id.as_str(), listener, folder.path(), &founders))
        .collect()
}

/// Proposes `data` to one instance after another until one commits it; returns the position of that
/// instance, which is the leader.
async fn commit(instances: &[Instance], data: &str) -> usize {
    let attempt = async {
        loop {
            for (position, instance) in instances.iter().enumerate() {
                let proposed = instance.handle.propose(data.as_bytes().to_vec()).await;
                match proposed {
                    Ok(_) => return position,
                    Err(ProposeError::NotLeader | ProposeError::ProposeStopped) => {}
                    Err(error) => panic!("{error}"),
                }
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(EVENT_TIMEOUT, attempt).await.unwrap()
}

/// Data of the entries that an instance has applied.
fn applied_texts(instance: &Instance) -> Vec<String> {
    let applied = instance.applied.lock().unwrap();
    let texts = applied
        .iter()
        .map(|data| String::from_utf8(data.clone()).unwrap());
    texts.collect()
}

/// Repeats the read barrier until it succeeds, because no leader may be known yet.
async fn wait_for_barrier(instance: &Instance) {
    let attempt = async { while instance.handle.read_barrier().await.is_err() {} };
    tokio::time::timeout(EVENT_TIMEOUT, attempt).await.unwrap();
}

/// Guards against a follower that confirms a read before it has applied the newest acknowledged
/// change, and against a group that stops working when its leader stops.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_member_confirms_reads_and_the_group_survives_its_leader() {
    let folder = tempfile::tempdir().unwrap();
    let mut instances = group(&folder).await;
    let leader = commit(&instances, "one").await;
    for round in 0..20 {
        instances[leader]
            .handle
            .propose(format!("{round}").into_bytes())
            .await
            .unwrap();
        for instance in &instances {
            wait_for_barrier(instance).await;
            assert_eq!(applied_texts(instance).last(), Some(&format!("{round}")));
        }
    }
    assert!(instances[leader].handle.authority().is_some());
    let others = instances
        .iter()
        .enumerate()
        .filter(|(position, _)| *position != leader);
    for (_, other) in others {
        assert_eq!(other.handle.authority(), None);
        let refused = other.handle.propose(b"x".to_vec()).await;
        assert_eq!(refused, Err(ProposeError::NotLeader));
        let known = other.handle.leader().map(|member| member.address);
        assert_eq!(known, Some(instances[leader].address.to_string()));
    }
    instances.remove(leader).stop().await;
    let successor = commit(&instances, "after").await;
    wait_for_barrier(&instances[1 - successor]).await;
    assert_eq!(applied_texts(&instances[0]), applied_texts(&instances[1]));
    assert_eq!(applied_texts(&instances[0]).len(), 22);
}

/// Guards against acknowledged changes that are lost by a restart, with and without a snapshot.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restart_keeps_every_acknowledged_change() {
    let folder = tempfile::tempdir().unwrap();
    let mut total = 0;
    // A snapshot is taken after 50 entries, so the round with 130 changes takes at least one.
    for changes in [10, 130, 0, 30] {
        let listener = listener().await;
        let founders = [founder("c1", listener.local_addr().unwrap())];
        let instance = start("c1", listener, folder.path(), &founders);
        let elected = instance
            .handle
            .wait_for_status(|status| status.node.role == RoleName::Leader);
        tokio::time::timeout(EVENT_TIMEOUT, elected)
            .await
            .unwrap()
            .unwrap();
        wait_for_barrier(&instance).await;
        let expected: Vec<String> = (0..total).map(|number| number.to_string()).collect();
        assert_eq!(applied_texts(&instance), expected);
        for _ in 0..changes {
            let applied = instance
                .handle
                .propose(total.to_string().into_bytes())
                .await
                .unwrap();
            total += 1;
            assert_eq!(applied.output, total);
        }
        instance.stop().await;
    }
}

/// Guards against proposals that are lost, applied twice or applied in different orders when
/// several share one sync, which they do so that the disk does not limit their rate.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_proposals_are_committed_once_and_in_the_same_order() {
    let folder = tempfile::tempdir().unwrap();
    let instances = group(&folder).await;
    let leader = commit(&instances, "first").await;
    let proposals: Vec<_> = (0..200)
        .map(|number| {
            let handle = instances[leader].handle.clone();
            tokio::spawn(async move { handle.propose(format!("{number}").into_bytes()).await })
        })
        .collect();
    let mut outputs = Vec::new();
    for proposal in proposals {
        outputs.push(proposal.await.unwrap().unwrap().output);
    }
    outputs.sort_unstable();
    assert_eq!(outputs, (2..=201).collect::<Vec<usize>>());
    for instance in &instances {
        wait_for_barrier(instance).await;
        assert_eq!(applied_texts(instance), applied_texts(&instances[0]));
    }
}

/// Guards against an instance that cannot join because it has no address of the leader to reply to.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_joins_as_learner_by_snapshot_and_becomes_voter() {
    let folder = tempfile::tempdir().unwrap();
    let instances = group(&folder).await;
    let leader = commit(&instances, "first").await;
    let handle = &instances[leader].handle;
    for number in 0..120 {
        handle
            .propose(format!("{number}").into_bytes())
            .await
            .unwrap();
    }
    let joined = start("d1", listener().await, folder.path(), &[]);
    let id = joined.handle.status().node.id;
    assert_ne!(
        id,
        InstanceId::new("d1"),
        "the identity must contain a random part"
    );
    let mut member = Member {
        id,
        address: joined.address.to_string(),
        role: MemberRole::Learner,
    };
    let request = |role| {
        let membership = handle.status().node.membership;
        let mut members = membership.members;
        member.role = role;
        members.retain(|known| known.id != member.id);
        members.push(member.clone());
        MembershipRequest {
            base_version: membership.version,
            members,
            forced: false,
        }
    };
    let mut request = request;
    handle
        .change_membership(request(MemberRole::Learner))
        .await
        .unwrap();
    wait_for_barrier(&joined).await;
    assert_eq!(applied_texts(&joined), applied_texts(&instances[leader]));
    let stale = MembershipRequest {
        base_version: oriolecrank_consensus::MembershipVersion(1),
        ..request(MemberRole::Voter)
    };
    let refused = handle.change_membership(stale).await;
    assert!(
        matches!(refused, Err(ChangeError::ChangeRefused { .. })),
        "{refused:?}"
    );
    // The learner has applied everything, but its last reply may not have reached the leader, which
    // then refuses the change; the request is repeated.
    let promotion = async {
        loop {
            match handle.change_membership(request(MemberRole::Voter)).await {
                Ok(_) => return,
                Err(ChangeError::ChangeRefused {
                    source: MembershipError::NotCaughtUp { .. },
                }) => tokio::time::sleep(Duration::from_millis(5)).await,
                Err(error) => panic!("{error}"),
            }
        }
    };
    tokio::time::timeout(EVENT_TIMEOUT, promotion)
        .await
        .unwrap();
    assert_eq!(handle.status().node.membership.voters().count(), 4);
}

/// Guards against a leader that acknowledges a change or confirms a read without a quorum.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_a_quorum_nothing_is_acknowledged() {
    let folder = tempfile::tempdir().unwrap();
    let instances = group(&folder).await;
    let leader = commit(&instances, "first").await;
    for (position, instance) in instances.iter().enumerate() {
        if position != leader {
            instance.stop().await;
        }
    }
    let handle = &instances[leader].handle;
    let proposed = handle.propose(b"lost".to_vec()).await;
    assert!(
        matches!(
            proposed,
            Err(ProposeError::OutcomeUnknown | ProposeError::NotLeader)
        ),
        "{proposed:?}"
    );
    let read = handle.read_barrier().await;
    assert!(
        matches!(
            read,
            Err(BarrierError::NoLeader | BarrierError::BarrierTimeout { .. })
        ),
        "{read:?}"
    );
    assert_eq!(handle.authority(), None);
    assert!(!instances[leader].leads());
}

/// Guards against accepting messages without the cluster secret, of another cluster or of an
/// unknown format.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn foreign_peer_messages_are_refused() {
    let folder = tempfile::tempdir().unwrap();
    let instance = start("c1", listener().await, folder.path(), &[]);
    let batch = |cluster: &str| oriolecrank_schema::peer::PeerBatch {
        cluster: cluster.to_owned(),
        address: "127.0.0.1:1".to_owned(),
        messages: Vec::new(),
    };
    let other_secret = ClusterSecret::new("another-secret-for-tests").unwrap();
    let encode = oriolecrank_schema::codec::encode;
    let cases = [
        ("own cluster", secret(), encode(&batch("test")), 204),
        ("other secret", other_secret, encode(&batch("test")), 401),
        ("other cluster", secret(), encode(&batch("other")), 409),
        ("not a batch", secret(), b"nonsense".to_vec(), 400),
    ];
    for (name, secret, body, expected) in cases {
        let request = peer_request(&secret, PEER_PATH, body.into());
        let client = HttpClient::default();
        let answer = client
            .send(instance.address, request, EVENT_TIMEOUT)
            .await
            .unwrap();
        assert_eq!(answer.status().as_u16(), expected, "{name}");
    }
}

/// Guards against two replicas in one folder, and against a folder that stays locked after a stop.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopped_replica_releases_its_folder() {
    let folder = tempfile::tempdir().unwrap();
    let open = || {
        let machine = ListMachine(AppliedLog::default());
        start_replica(settings("c1", folder.path(), &[]), machine, NoPeers)
    };
    let first = open().unwrap();
    assert!(
        open().is_err(),
        "the folder must be locked while a replica uses it"
    );
    first.stop();
    assert_eq!(first.stopped().await, ReplicaPhase::Stopped);
    assert_eq!(
        first.propose(Vec::new()).await,
        Err(ProposeError::ProposeStopped)
    );
    open().unwrap();
}

/// Guards against pending proposals that use up the memory while there is no quorum, and against an
/// entry so large that it delays heartbeats.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn memory_for_proposals_is_bounded() {
    let folder = tempfile::tempdir().unwrap();
    let instances = group(&folder).await;
    let leader = commit(&instances, "first").await;
    let handle = &instances[leader].handle;
    let too_large = handle.propose(vec![0; MAX_ENTRY_BYTES + 1]).await;
    assert!(
        matches!(too_large, Err(ProposeError::TooLarge { .. })),
        "{too_large:?}"
    );
    for (position, instance) in instances.iter().enumerate() {
        if position != leader {
            instance.stop().await;
        }
    }
    // 64 MiB are allowed and each proposal counts for 1 KiB more than its data, so 15 of them fit.
    let mut proposals = JoinSet::new();
    for _ in 0..20 {
        let handle = handle.clone();
        proposals.spawn(async move { handle.propose(vec![0; MAX_ENTRY_BYTES]).await });
    }
    let outcomes = proposals.join_all().await;
    let count = |wanted: &ProposeError| {
        let errors = outcomes.iter().map(|outcome| outcome.as_ref().unwrap_err());
        errors.filter(|error| *error == wanted).count()
    };
    assert!(count(&ProposeError::Overloaded) >= 5, "{outcomes:?}");
    let again = handle.propose(Vec::new()).await;
    assert_ne!(
        again,
        Err(ProposeError::Overloaded),
        "the memory of finished proposals must be released"
    );
}

/// Guards against a log that grows very large before a snapshot because its entries are few but
/// large.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_entries_trigger_a_snapshot_early() {
    let folder = tempfile::tempdir().unwrap();
    let machine = ListMachine(AppliedLog::default());
    let settings = ReplicaSettings {
        snapshot_entries: 1_000_000,
        snapshot_bytes: 100_000,
        trailing_bytes: 20_000,
        ..settings(
            "c1",
            folder.path(),
            &[founder("c1", "127.0.0.1:1".parse().unwrap())],
        )
    };
    let handle = start_replica(settings, machine, NoPeers).unwrap();
    let elected = handle.wait_for_status(|status| status.node.role == RoleName::Leader);
    tokio::time::timeout(EVENT_TIMEOUT, elected)
        .await
        .unwrap()
        .unwrap();
    for _ in 0..30 {
        handle.propose(vec![1; 10_000]).await.unwrap();
    }
    let compacted = handle.wait_for_status(|status| status.node.snapshot_index.0 >= 20);
    tokio::time::timeout(EVENT_TIMEOUT, compacted)
        .await
        .unwrap()
        .unwrap();
}
