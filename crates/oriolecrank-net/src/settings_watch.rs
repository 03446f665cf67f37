//! Follows the part of a settings file that may change while a process runs.

use std::fmt;
use std::path::{Path, PathBuf};
use std::time::Duration;

use oriolecrank_schema::event::LogEvent;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::interval;

/// Interval at which the file is read. It may change without a signal, and the addresses in it are
/// needed within some seconds.
const RELOAD_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the file again and again, and at each SIGHUP, until the receiver is dropped.
///
/// `load` reads what may change. The receiver begins with `initial`; a file that cannot be read
/// changes nothing and is logged once.
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
    tokio::spawn(follow(path, sender, load));
    receiver
}

async fn follow<T, E>(
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
    let mut readable = true;
    loop {
        let hangup = tokio::select! {
            _ = ticks.tick() => false,
            _ = hangups.recv() => true,
            () = sender.closed() => return,
        };
        if hangup {
            tracing::info!(event, "the settings are read again after SIGHUP");
        }
        match load(&path) {
            Ok(settings) => {
                readable = true;
                if *sender.borrow() != settings {
                    tracing::info!(event, ?settings, "the settings have changed");
                    sender.send_replace(settings);
                }
            }
            Err(error) => {
                if readable || hangup {
                    tracing::warn!(event, %error, "the settings cannot be read; the old ones stay");
                }
                readable = false;
            }
        }
    }
}
