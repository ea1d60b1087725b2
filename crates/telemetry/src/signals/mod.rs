//! Signals that request a process to stop.

use tokio::signal::unix;

/// Handlers of SIGTERM and SIGINT. A process installs them before it reports its start, as a signal
/// may follow at once.
pub struct StopSignals(Option<(unix::Signal, unix::Signal)>);

impl StopSignals {
    /// Installs the handlers. If that fails, a signal ends the process at once.
    pub fn install() -> Self {
        let terminate = unix::signal(unix::SignalKind::terminate());
        let interrupt = unix::signal(unix::SignalKind::interrupt());
        match (terminate, interrupt) {
            (Ok(terminate), Ok(interrupt)) => Self(Some((terminate, interrupt))),
            (Err(error), _) | (_, Err(error)) => {
                log::error!(
                    "can't install handlers for SIGTERM and SIGINT: {error}; the process can't stop gracefully"
                );
                Self(None)
            }
        }
    }

    /// Waits for the first signal; forever without handlers.
    pub async fn wait(self) {
        let Some((mut terminate, mut interrupt)) = self.0 else {
            return std::future::pending().await;
        };
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    }
}
