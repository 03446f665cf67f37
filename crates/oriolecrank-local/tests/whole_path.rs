//! A caller's request travels through entry, agent and upstream over TCP, under a document that the
//! control instance accepted.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use oriolecrank_local::{LocalCluster, LocalOptions, self_check};

/// Starts a cluster on a data folder, sends the requests of the self-check and stops it.
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

/// Guards against any break of the path that unit tests of single processes do not see.
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
