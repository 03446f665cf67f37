//! The programs as a newcomer starts them.

use oriolecrank_fakes::expected_text;
use serde_json::Value;

use crate::cluster::{ClusterPlan, KEY, TestCluster};

/// Guards against programs that work together only inside one process: each role runs on its own,
/// an operator submits the example document, a caller is served, and SIGTERM ends each with 0.
#[tokio::test(flavor = "multi_thread")]
async fn programs_serve_a_request_and_stop_gracefully() {
    let cluster = TestCluster::start(ClusterPlan::default()).await;
    let answer = cluster.complete(0, KEY, "hello").await;
    let answer: Value = serde_json::from_str(&answer.body).unwrap();
    assert_eq!(
        answer["choices"][0]["message"]["content"],
        expected_text("hello", 4)
    );
    let TestCluster {
        entries,
        agents,
        control,
        fakes,
        ..
    } = cluster;
    for mut program in [entries, agents, control, fakes].into_iter().flatten() {
        assert_eq!(program.stop(), Some(0));
    }
}
