//! Guards against settings that change without a signal and are not noticed, and against a file that is
//! damaged for a moment and makes the process forget what it knows.

use std::path::Path;
use std::time::Duration;

use oriolecrank_net::watch_settings;
use tokio::time::timeout;

/// Bound of waits that end on an event; reached only when a test fails.
const LONG: Duration = Duration::from_secs(10);

fn load(path: &Path) -> Result<u32, String> {
    let text = std::fs::read_to_string(path).map_err(|error| error.to_string())?;
    text.parse().map_err(|_| format!("not a number: {text}"))
}

#[tokio::test(start_paused = true)]
async fn a_changed_file_is_noticed_and_a_damaged_one_changes_nothing() {
    let folder = tempfile::tempdir().expect("the folder is writable");
    let file = folder.path().join("settings");
    std::fs::write(&file, "1").expect("the folder is writable");
    let mut settings = watch_settings(&file, 1, load);
    std::fs::write(&file, "damaged").expect("the folder is writable");
    // Longer than two readings, in paused time.
    tokio::time::sleep(Duration::from_millis(2_200)).await;
    assert_eq!(*settings.borrow_and_update(), 1);
    std::fs::write(&file, "2").expect("the folder is writable");
    let changed = timeout(LONG, settings.wait_for(|settings| *settings == 2)).await;
    assert!(changed.is_ok_and(|changed| changed.is_ok()));
}
