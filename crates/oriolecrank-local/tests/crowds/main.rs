//! Crowds of clients that send bodies without end to an entry of agents. Each test guards against a
//! process that runs out of memory, or that no longer answers, because of what such clients make it
//! hold. One test runs at a time; none depends on the speed of the machine.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "../../../../platform/tests/crowds/client_crowd.rs"]
#[expect(dead_code, reason = "other tests use the rest")]
mod client_crowd;
#[path = "../processes/cluster.rs"]
#[expect(dead_code, reason = "other tests use the rest")]
mod cluster;
#[path = "../processes/program.rs"]
#[expect(dead_code, reason = "other tests use the rest")]
mod program;
#[path = "../processes/reserved_address.rs"]
mod reserved_address;

use client_crowd::{BodyShape, ClientCrowd};
use cluster::{ClusterPlan, KEY, TestCluster, wait_for};
use http::StatusCode;
use program::RunningProgram;
use tokio::sync::Mutex;

/// Only one test runs at a time.
static RUNNING: Mutex<()> = Mutex::const_new(());

/// Resources of each entry and each agent.
const TABLES: &str = "[intake]\nmemory_mb = 64\nmax_descriptors = 900\n";

/// Memory of an instance, in KiB.
const MEMORY_KIB: u64 = 64 * 1024;

const DESCRIPTORS: usize = 900;

/// Largest body that an entry accepts, in bytes.
const LEGAL_BODY_BYTES: usize = 4 * 1024 * 1024;

const SMALL_BODY_BYTES: usize = 64 * 1024;

/// Bytes that a stalled client leaves out at the end of its body.
const MISSING_BYTES: usize = 8;

/// Clients of a crowd with large bodies, which then exceed the memory of an instance four times.
const CROWD_CLIENTS: usize = 60;

/// Clients of a crowd with small bodies; fewer than the connections that the entry admits.
const MANY_CLIENTS: usize = 400;

/// Head of a request to the engine, with a valid key.
const ENGINE_HEAD: &str = "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\n\
     authorization: Bearer example-key\r\ncontent-type: application/json\r\n";

/// Head of a non-idempotent request to the plain service, with a valid key.
const LEDGER_HEAD: &str = "POST /services/ledger/entries HTTP/1.1\r\nhost: entry\r\n\
     authorization: Bearer example-key\r\n";

/// Head of a non-idempotent request whose answer is long, with a valid key.
const LONG_ANSWER_HEAD: &str = "POST /services/ledger/entries?long HTTP/1.1\r\nhost: entry\r\n\
     authorization: Bearer example-key\r\ncontent-length: 0\r\n";

/// Checks that a crowd leaves all programs running, within their memory and descriptors, and that an
/// ordinary request is served while it stays and after it.
async fn check_crowd(crowd: ClientCrowd) {
    let _guard = RUNNING.lock().await;
    let plan = ClusterPlan {
        entry_tables: TABLES,
        agent_tables: TABLES,
        ..ClusterPlan::default()
    };
    let cluster = TestCluster::start(plan).await;
    let clients = crowd.start(cluster.entries[0].address).await;
    check_programs(&cluster, "while the crowd stays");
    check_request(&cluster).await;
    drop(clients);
    check_request(&cluster).await;
    check_programs(&cluster, "after the crowd");
}

fn check_programs(cluster: &TestCluster, moment: &str) {
    for entry in &cluster.entries {
        check_program(entry, "entry", moment);
    }
    check_agents(cluster, moment);
}

fn check_agents(cluster: &TestCluster, moment: &str) {
    for agent in &cluster.agents {
        check_program(agent, "agent", moment);
    }
}

/// Checks that a program runs and that its resident memory, now and at its peak, and its descriptors
/// are below their bounds.
fn check_program(program: &RunningProgram, name: &str, moment: &str) {
    let folder = format!("/proc/{}", program.id());
    let status = std::fs::read_to_string(format!("{folder}/status")).unwrap();
    let kib = |field| -> u64 {
        let line = status.lines().find_map(|line| line.strip_prefix(field));
        let value = line.and_then(|line| line.split_whitespace().next());
        // A process that has ended holds no memory.
        let value = value.unwrap_or_else(|| panic!("the {name} ended {moment}"));
        value.parse().unwrap()
    };
    let (now, peak) = (kib("VmRSS:"), kib("VmHWM:"));
    let descriptors = std::fs::read_dir(format!("{folder}/fd")).unwrap().count();
    println!("{name} {moment}: {now} KiB, peak {peak} KiB, {descriptors} descriptors");
    assert!(
        now < MEMORY_KIB && peak < MEMORY_KIB,
        "the {name} holds {now} KiB, peak {peak} KiB {moment}; the instance has {MEMORY_KIB} KiB"
    );
    assert!(
        descriptors <= DESCRIPTORS,
        "the {name} has {descriptors} descriptors"
    );
}

/// Waits until an ordinary request is answered.
async fn check_request(cluster: &TestCluster) {
    wait_for(async || cluster.complete(0, KEY, "hello").await.status == StatusCode::OK).await;
}

/// Tests of one crowd.
macro_rules! crowd_tests {
    ($($name:ident => $crowd:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread")]
        async fn $name() {
            check_crowd($crowd).await;
        }
    )*};
}

crowd_tests! {
    stalled_large_bodies_end_no_program => ClientCrowd {
        clients: CROWD_CLIENTS,
        head: ENGINE_HEAD,
        shape: BodyShape::Announced { announced: LEGAL_BODY_BYTES, piece: LEGAL_BODY_BYTES },
        sent: LEGAL_BODY_BYTES - MISSING_BYTES,
        ..ClientCrowd::default()
    };
    stalled_bodies_in_pieces_end_no_program => ClientCrowd {
        clients: CROWD_CLIENTS,
        head: ENGINE_HEAD,
        shape: BodyShape::Announced { announced: LEGAL_BODY_BYTES, piece: 16 * 1024 },
        sent: LEGAL_BODY_BYTES - MISSING_BYTES,
        ..ClientCrowd::default()
    };
    stalled_bodies_in_large_chunks_end_no_program => ClientCrowd {
        clients: CROWD_CLIENTS,
        head: ENGINE_HEAD,
        shape: BodyShape::Chunked { chunk: 256 * 1024 },
        sent: LEGAL_BODY_BYTES - MISSING_BYTES,
        ..ClientCrowd::default()
    };
    stalled_bodies_in_chunks_of_one_byte_end_no_program => ClientCrowd {
        clients: MANY_CLIENTS,
        head: ENGINE_HEAD,
        shape: BodyShape::Chunked { chunk: 1 },
        sent: 1_000,
        ..ClientCrowd::default()
    };
    announced_bodies_over_the_limit_end_no_program => ClientCrowd {
        clients: CROWD_CLIENTS,
        head: ENGINE_HEAD,
        shape: BodyShape::Announced { announced: 25 * LEGAL_BODY_BYTES, piece: SMALL_BODY_BYTES },
        sent: LEGAL_BODY_BYTES - MISSING_BYTES,
        sent_later: LEGAL_BODY_BYTES,
    };
    sent_bodies_over_the_limit_end_no_program => ClientCrowd {
        clients: CROWD_CLIENTS,
        head: ENGINE_HEAD,
        shape: BodyShape::Chunked { chunk: 256 * 1024 },
        sent: LEGAL_BODY_BYTES - MISSING_BYTES,
        sent_later: LEGAL_BODY_BYTES,
    };
    many_stalled_small_bodies_end_no_program => ClientCrowd {
        clients: MANY_CLIENTS,
        head: ENGINE_HEAD,
        shape: BodyShape::Announced { announced: SMALL_BODY_BYTES, piece: SMALL_BODY_BYTES },
        sent: SMALL_BODY_BYTES - MISSING_BYTES,
        ..ClientCrowd::default()
    };
    whole_large_bodies_end_no_program => ClientCrowd {
        clients: CROWD_CLIENTS,
        head: LEDGER_HEAD,
        shape: BodyShape::Announced { announced: LEGAL_BODY_BYTES, piece: SMALL_BODY_BYTES },
        sent: LEGAL_BODY_BYTES,
        ..ClientCrowd::default()
    };
    unread_long_answers_end_no_program => ClientCrowd {
        clients: MANY_CLIENTS,
        head: LONG_ANSWER_HEAD,
        shape: BodyShape::Unread { requests: 20 },
        ..ClientCrowd::default()
    };
}

/// Guards against bodies that an entry holds twice while an agent does not read them.
#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_for_frozen_agents_end_no_program() {
    let _guard = RUNNING.lock().await;
    let plan = ClusterPlan {
        entry_tables: TABLES,
        agent_tables: TABLES,
        ..ClusterPlan::default()
    };
    let cluster = TestCluster::start(plan).await;
    for agent in &cluster.agents {
        agent.signal("STOP");
    }
    let crowd = ClientCrowd {
        clients: CROWD_CLIENTS,
        head: LEDGER_HEAD,
        shape: BodyShape::Announced {
            announced: LEGAL_BODY_BYTES,
            piece: SMALL_BODY_BYTES,
        },
        sent: LEGAL_BODY_BYTES,
        ..ClientCrowd::default()
    };
    let clients = crowd.start(cluster.entries[0].address).await;
    for agent in &cluster.agents {
        agent.signal("CONT");
    }
    check_programs(&cluster, "while the crowd stays");
    drop(clients);
    check_request(&cluster).await;
    check_programs(&cluster, "after the crowd");
}

/// Resources of an entry that passes on more than an agent can hold.
const LARGE_TABLES: &str = "[intake]\nmemory_mb = 320\nmax_descriptors = 900\n";

/// Guards against an agent that holds all that entries send it while its upstream does not answer.
#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_for_a_frozen_service_end_no_agent() {
    let _guard = RUNNING.lock().await;
    let plan = ClusterPlan {
        entry_tables: LARGE_TABLES,
        agent_tables: TABLES,
        ..ClusterPlan::default()
    };
    let cluster = TestCluster::start(plan).await;
    for fake in &cluster.fakes {
        fake.signal("STOP");
    }
    let crowd = ClientCrowd {
        clients: CROWD_CLIENTS,
        head: LEDGER_HEAD,
        shape: BodyShape::Announced {
            announced: LEGAL_BODY_BYTES,
            piece: SMALL_BODY_BYTES,
        },
        sent: LEGAL_BODY_BYTES,
        ..ClientCrowd::default()
    };
    let clients = crowd.start(cluster.entries[0].address).await;
    check_agents(&cluster, "while the crowd stays");
    for fake in &cluster.fakes {
        fake.signal("CONT");
    }
    drop(clients);
    check_request(&cluster).await;
    check_agents(&cluster, "after the crowd");
}

/// Guards against limits that shut out a caller that keeps to the size limit.
#[tokio::test(flavor = "multi_thread")]
async fn a_legal_body_is_served_in_calm() {
    let _guard = RUNNING.lock().await;
    let plan = ClusterPlan {
        entry_tables: TABLES,
        agent_tables: TABLES,
        ..ClusterPlan::default()
    };
    let cluster = TestCluster::start(plan).await;
    let body = "x".repeat(LEGAL_BODY_BYTES);
    let path = "/services/ledger/entries";
    let response = cluster.send(0, KEY, http::Method::POST, path, body).await;
    assert!(response.status().is_success(), "{}", response.status());
    check_programs(&cluster, "in calm");
}
