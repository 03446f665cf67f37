//! Requests of a caller pass over TCP through entry, agent and upstream, with a document that the
//! control instance accepted.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use oriolecrank_local::{LocalCluster, LocalOptions, self_check};

/// Starts a cluster with a data folder, expects every self-check to pass and stops the cluster.
async fn run_cluster(folder: &std::path::Path) {
    let options = LocalOptions {
        data_folder: folder.to_owned(),
        ..LocalOptions::default()
    };
    let cluster = LocalCluster::start(options).await.unwrap();
    for result in self_check(&cluster).await {
        assert_eq!(result.failure, None, "{}", result.name);
    }
    cluster.stop().await;
}

/// Guards against faults between the processes, which the tests of single processes do not find.
#[tokio::test(flavor = "multi_thread")]
async fn self_check_passes_on_a_fresh_cluster() {
    run_cluster(tempfile::tempdir().unwrap().path()).await;
}

/// Guards against a configuration that is lost when the control instance restarts.
#[tokio::test(flavor = "multi_thread")]
async fn accepted_document_survives_a_restart() {
    let folder = tempfile::tempdir().unwrap();
    run_cluster(folder.path()).await;
    run_cluster(folder.path()).await;
}
