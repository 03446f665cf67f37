//! A caller's request travels through entry, agent and upstream over TCP, under a document that the
//! control instance accepted.

use oriolecrank_local::{LocalCluster, LocalOptions, self_check};

/// Guards against any break of the path that unit tests of single processes do not see.
#[tokio::test(flavor = "multi_thread")]
async fn self_check_passes_on_a_fresh_cluster() {
    let folder = tempfile::tempdir().unwrap();
    let options = LocalOptions {
        data_folder: folder.path().to_owned(),
        ..LocalOptions::default()
    };
    let cluster = LocalCluster::start(options).await.unwrap();
    for result in self_check(&cluster).await {
        assert_eq!(result.failure, None, "{}", result.name);
    }
    cluster.stop().await;
}

/// Guards against a configuration that is lost when the control instance restarts.
#[tokio::test(flavor = "multi_thread")]
async fn accepted_document_survives_a_restart() {
    let folder = tempfile::tempdir().unwrap();
    for _ in 0..2 {
        let options = LocalOptions {
            data_folder: folder.path().to_owned(),
            ..LocalOptions::default()
        };
        let cluster = LocalCluster::start(options).await.unwrap();
        for result in self_check(&cluster).await {
            assert_eq!(result.failure, None, "{}", result.name);
        }
        cluster.stop().await;
    }
}
