//! Sending of peer messages over slow links.

use std::time::Duration;

use oriolecrank_consensus::{
    AppendRequest, EntryBody, InstanceId, LogEntry, LogIndex, Member, MemberRole, Membership,
    MessageBody, PeerMessage, RoundMark, Term,
};
use oriolecrank_control::{ControlMemory, PeerDirectory, PeerSender as _, PeerTransport};
use oriolecrank_net::{ClusterSecret, HttpClient};
use oriolecrank_schema::TimePoint;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

/// Size of the entry: a document with about two thousand routes.
const ENTRY_BYTES: usize = 600 * 1024;

/// Bytes that the receiver reads at a time, and the pause between two reads: 1.3 MB/s, the share of
/// one of five followers of a link with 50 Mbit/s.
const READ_BYTES: usize = 64 * 1024;
const READ_PAUSE: Duration = Duration::from_millis(50);

fn append_request(to: &InstanceId) -> PeerMessage {
    let entry = LogEntry {
        index: LogIndex(1),
        term: Term(1),
        body: EntryBody::Data(vec![7; ENTRY_BYTES].into()),
    };
    PeerMessage {
        from: InstanceId::new("leader"),
        to: to.clone(),
        term: Term(1),
        body: MessageBody::Append(AppendRequest {
            mark: RoundMark {
                round: 1,
                sent: TimePoint::from_millis(0),
            },
            previous_index: LogIndex(0),
            previous_term: Term(0),
            commit: LogIndex(0),
            entries: vec![entry],
        }),
    }
}

/// Guards against a large entry that never reaches a follower over a slow link, because each
/// transfer is cut off after the time that a heartbeat may take and starts again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_large_entry_is_not_cut_off_on_a_slow_link() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let follower = InstanceId::new("follower");
    let mut transport = PeerTransport::new(
        "test".to_owned(),
        "127.0.0.1:1".parse().unwrap(),
        HttpClient::default(),
        ClusterSecret::new("a-secret-of-the-test").unwrap(),
        PeerDirectory::default(),
    );
    transport.set_members(&Membership::founding(vec![Member {
        id: follower.clone(),
        address: address.to_string(),
        role: MemberRole::Voter,
    }]));
    transport.send(vec![append_request(&follower)]);
    let (mut connection, _) = listener.accept().await.unwrap();
    let mut received = 0;
    let mut buffer = vec![0; READ_BYTES];
    while received < ENTRY_BYTES {
        let count = connection.read(&mut buffer).await.unwrap();
        assert!(count > 0, "cut off after {received} bytes");
        received += count;
        sleep(READ_PAUSE).await;
    }
    connection
        .write_all(b"HTTP/1.1 204 No Content\r\n\r\n")
        .await
        .unwrap();
    let next = timeout(Duration::from_millis(300), connection.read(&mut buffer)).await;
    assert!(
        next.is_err(),
        "the connection was given up before the response"
    );
}

/// Guards against heartbeats that wait behind a large message to a member that reads slowly, and
/// against copies of large messages that pile up for it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_heartbeat_passes_large_messages_and_one_of_these_is_under_way() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let follower = InstanceId::new("follower");
    let memory = ControlMemory::default();
    let transport = PeerTransport::new(
        "test".to_owned(),
        "127.0.0.1:1".parse().unwrap(),
        HttpClient::default(),
        ClusterSecret::new("a-secret-of-the-test").unwrap(),
        PeerDirectory::default(),
    );
    let mut transport = transport.within(memory.clone());
    transport.set_members(&Membership::founding(vec![Member {
        id: follower.clone(),
        address: address.to_string(),
        role: MemberRole::Voter,
    }]));
    transport.send(vec![append_request(&follower); 4]);
    // The first connection carries a large message and is read no further.
    let (mut large, _) = listener.accept().await.unwrap();
    let mut buffer = vec![0; 4 * 1024];
    assert!(large.read(&mut buffer).await.unwrap() > 0);
    let mut heartbeat = append_request(&follower);
    if let MessageBody::Append(request) = &mut heartbeat.body {
        request.entries.clear();
    }
    transport.send(vec![heartbeat]);
    let (mut small, _) = timeout(Duration::from_secs(10), listener.accept())
        .await
        .expect("the heartbeat waits behind the large message")
        .unwrap();
    let received = small.read(&mut buffer).await.unwrap();
    assert!((1..1_024).contains(&received), "not the heartbeat");
    let held = memory.batches_to(&follower).used();
    assert!(
        (ENTRY_BYTES..2 * ENTRY_BYTES).contains(&held),
        "{held} bytes are under way"
    );
}
