//! Graceful shutdown.

use tokio::sync::watch;

/// Starts the shutdown of everything that holds a [`ShutdownSignal`] of it.
#[derive(Debug)]
pub struct ShutdownTrigger(watch::Sender<bool>);

/// Tells a task when to stop.
#[derive(Debug, Clone)]
pub struct ShutdownSignal(watch::Receiver<bool>);

/// A connected trigger and signal.
pub fn shutdown_channel() -> (ShutdownTrigger, ShutdownSignal) {
    let (sender, receiver) = watch::channel(false);
    (ShutdownTrigger(sender), ShutdownSignal(receiver))
}

impl ShutdownTrigger {
    /// Starts the shutdown.
    pub fn trigger(&self) {
        self.0.send_replace(true);
    }
}

impl ShutdownSignal {
    /// Waits until the shutdown starts; also returns when the trigger is dropped.
    pub async fn triggered(&mut self) {
        // An error means that the trigger was dropped, which also ends the process.
        let _ = self.0.wait_for(|started| *started).await;
    }

    /// Whether the shutdown has started.
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
