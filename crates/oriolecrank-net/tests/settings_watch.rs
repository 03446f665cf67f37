//! Guards against changes of a settings file that are missed because no SIGHUP was sent, and
//! against a temporarily malformed file that makes the process lose its current settings.

use std::path::Path;
use std::time::Duration;

use oriolecrank_net::watch_settings;
use tokio::time::timeout;

/// Time limit of waits for an event; reached only when a test fails.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);

fn load(path: &Path) -> Result<u32, String> {
    let text = std::fs::read_to_string(path).map_err(|error| error.to_string())?;
    text.parse().map_err(|_| format!("not a number: {text}"))
}

#[tokio::test(start_paused = true)]
async fn a_changed_file_is_reloaded_and_a_malformed_one_is_ignored() {
    let folder = tempfile::tempdir().expect("the folder is writable");
    let file = folder.path().join("settings");
    std::fs::write(&file, "1").expect("the folder is writable");
    let mut settings = watch_settings(&file, 1, load);
    std::fs::write(&file, "malformed").expect("the folder is writable");
    // Long enough for two reloads; the clock of the runtime is paused and advances whenever all
    // tasks are idle.
    tokio::time::sleep(Duration::from_millis(2_200)).await;
    assert_eq!(*settings.borrow_and_update(), 1);
    std::fs::write(&file, "2").expect("the folder is writable");
    let changed = timeout(EVENT_TIMEOUT, settings.wait_for(|settings| *settings == 2)).await;
    assert!(changed.is_ok_and(|changed| changed.is_ok()));
}
