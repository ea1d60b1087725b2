//! Parts of the system in threads of their own, which take the place of processes.

use std::thread;

use tokio::sync::oneshot;

/// A thread with an ntex system of its own.
pub struct SystemThread {
    stop: oneshot::Sender<()>,
    ended: oneshot::Receiver<()>,
}

impl SystemThread {
    /// Starts `start` in a new ntex system and waits for what it returns.
    ///
    /// The second value that `start` returns is kept until the thread is killed.
    ///
    /// # Errors
    ///
    /// The error of `start`.
    ///
    /// # Panics
    ///
    /// When the thread can't be started, or panics.
    pub async fn spawn<T, K, E, F>(
        start: impl FnOnce() -> F + Send + 'static,
    ) -> Result<(Self, T), E>
    where
        F: Future<Output = Result<(T, K), E>>,
        T: Send + 'static,
        E: Send + 'static,
    {
        let (stop, stopped) = oneshot::channel();
        let (end, ended) = oneshot::channel();
        let (report, reported) = oneshot::channel();

        thread::spawn(move || {
            let system = ntex::rt::System::build()
                .name("kingcupfall-part")
                .disable_signals()
                .build(ntex::rt::DefaultRuntime);
            system.block_on(async move {
                let kept = match start().await {
                    Ok((value, kept)) => {
                        // An error means that nobody waits any more; the thread then ends below.
                        let _ = report.send(Ok(value));
                        kept
                    }
                    Err(error) => {
                        let _ = report.send(Err(error));
                        return;
                    }
                };
                // An error means that the handle was dropped, which ends the thread too.
                let _ = stopped.await;
                ntex::rt::System::current().stop();
                drop(kept);
            });
            // An error means that nobody waits for the end.
            let _ = end.send(());
        });

        let value = reported.await.expect("the thread reports its start")?;
        Ok((Self { stop, ended }, value))
    }

    /// Ends the thread; sockets of its system are closed at once.
    pub async fn kill(self) {
        // Errors mean that the thread has ended already.
        let _ = self.stop.send(());
        let _ = self.ended.await;
    }
}
