//! Threads with an ntex system of their own, which run a part of the system like a process.

use std::thread;

use tokio::sync::oneshot;

/// A running thread with an ntex system of its own.
pub struct SystemThread {
    stop: oneshot::Sender<()>,
    ended: oneshot::Receiver<()>,
}

impl SystemThread {
    /// Runs `start` in a new thread with an ntex system, and returns the thread and the first value
    /// of `start`.
    ///
    /// The second value of `start` is kept alive until the thread is killed or its handle dropped.
    ///
    /// # Errors
    ///
    /// The error of `start`, which also ends the thread.
    ///
    /// # Panics
    ///
    /// Panics if the thread can't be started or `start` panics.
    pub async fn spawn<T, K, E, F>(
        start: impl FnOnce() -> F + Send + 'static,
    ) -> Result<(Self, T), E>
    where
        F: Future<Output = Result<(T, K), E>>,
        T: Send + 'static,
        E: Send + 'static,
    {
        let (stop, stop_signal) = oneshot::channel();
        let (end_sender, ended) = oneshot::channel();
        let (result_sender, result) = oneshot::channel();

        thread::spawn(move || {
            let system = ntex::rt::System::build()
                .name("kingcupfall-part")
                .disable_signals()
                .build(ntex::rt::DefaultRuntime);
            system.block_on(async move {
                let resource = match start().await {
                    Ok((value, resource)) => {
                        // An error means that `spawn` was cancelled, which ends the thread below.
                        let _ = result_sender.send(Ok(value));
                        resource
                    }
                    Err(error) => {
                        let _ = result_sender.send(Err(error));
                        return;
                    }
                };
                // An error means that the handle was dropped, which also ends the thread.
                let _ = stop_signal.await;
                ntex::rt::System::current().stop();
                drop(resource);
            });
            // An error means that no `kill` waits for the end.
            let _ = end_sender.send(());
        });

        let value = result
            .await
            .expect("the thread reports the result of `start`")?;
        Ok((Self { stop, ended }, value))
    }

    /// Stops the thread and waits for its end; all sockets of its system are closed at once.
    pub async fn kill(self) {
        // An error means that the thread has ended already.
        let _ = self.stop.send(());
        let _ = self.ended.await;
    }
}
