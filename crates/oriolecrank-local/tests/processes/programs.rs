//! Start and graceful stop of a complete cluster of separate programs.

use oriolecrank_fakes::expected_text;
use serde_json::Value;

use crate::cluster::{ClusterPlan, KEY, TestCluster};

/// Guards against programs that work together only in one process. Each role runs as its own
/// process with the example document, serves a caller and exits with 0 after SIGTERM.
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
