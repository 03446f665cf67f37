//! Reloads the part of a settings file that may change while a process runs.

use std::fmt;
use std::path::{Path, PathBuf};
use std::time::Duration;

use oriolecrank_schema::event::LogEvent;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::interval;

/// Interval between reloads. The file may change without a SIGHUP, and changed addresses in it must
/// take effect within a few seconds.
const RELOAD_INTERVAL: Duration = Duration::from_secs(1);

/// Reloads the settings file every second and on each SIGHUP, until all receivers are dropped.
///
/// `load` reads the settings that may change. The receiver starts with the value `initial`. While
/// the file cannot be loaded, the receiver keeps the previous value. Of consecutive failures, only
/// the first one and those after a SIGHUP are logged.
pub fn watch_settings<T, E>(
    path: &Path,
    initial: T,
    load: impl Fn(&Path) -> Result<T, E> + Send + 'static,
) -> watch::Receiver<T>
where
    T: fmt::Debug + PartialEq + Send + Sync + 'static,
    E: fmt::Display + Send + 'static,
{
    let (sender, receiver) = watch::channel(initial);
    let path = path.to_owned();
    tokio::spawn(reload_periodically(path, sender, load));
    receiver
}

async fn reload_periodically<T, E>(
    path: PathBuf,
    sender: watch::Sender<T>,
    load: impl Fn(&Path) -> Result<T, E> + Send,
) where
    T: fmt::Debug + PartialEq + Send + Sync,
    E: fmt::Display + Send + 'static,
{
    let event = LogEvent::SettingsRead.number();
    let mut ticks = interval(RELOAD_INTERVAL);
    let mut hangups = signal(SignalKind::hangup()).expect("SIGHUP can be handled");
    let mut loadable = true;
    loop {
        let hangup = tokio::select! {
            _ = ticks.tick() => false,
            _ = hangups.recv() => true,
            () = sender.closed() => return,
        };
        if hangup {
            tracing::info!(event, "reloading the settings after SIGHUP");
        }
        match load(&path) {
            Ok(settings) => {
                loadable = true;
                if *sender.borrow() != settings {
                    tracing::info!(
                        event,
                        ?settings,
                        "the settings have changed; applying the new values"
                    );
                    sender.send_replace(settings);
                }
            }
            Err(error) => {
                if loadable || hangup {
                    tracing::warn!(
                        event,
                        %error,
                        "cannot load the settings; keeping the previous values"
                    );
                }
                loadable = false;
            }
        }
    }
}
