//! Graceful shutdown.

use tokio::sync::watch;

/// Starts the shutdown of all tasks that hold a connected [`ShutdownSignal`].
#[derive(Debug)]
pub struct ShutdownTrigger(watch::Sender<bool>);

/// Notifies a task of the shutdown.
#[derive(Debug, Clone)]
pub struct ShutdownSignal(watch::Receiver<bool>);

/// Creates a connected trigger and signal.
pub fn shutdown_channel() -> (ShutdownTrigger, ShutdownSignal) {
    let (sender, receiver) = watch::channel(false);
    (ShutdownTrigger(sender), ShutdownSignal(receiver))
}

impl ShutdownTrigger {
    /// Starts the shutdown. Further calls have no effect.
    pub fn trigger(&self) {
        self.0.send_replace(true);
    }
}

impl ShutdownSignal {
    /// Waits until the shutdown starts or the trigger is dropped.
    pub async fn triggered(&mut self) {
        // An error means that the trigger was dropped. The process ends then too, so it counts as a
        // shutdown.
        let _ = self.0.wait_for(|started| *started).await;
    }

    /// Whether the shutdown has started. Unlike [`triggered`](Self::triggered), does not count a
    /// dropped trigger as a shutdown.
    pub fn is_triggered(&self) -> bool {
        *self.0.borrow()
    }
}

/// Waits for SIGTERM or SIGINT.
pub async fn termination_signal() {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate()).expect("SIGTERM can be handled");
    let mut interrupt = signal(SignalKind::interrupt()).expect("SIGINT can be handled");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
