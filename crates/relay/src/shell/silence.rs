//! Handles a target that sends no events of a running stream: it may have ended, or go on in a
//! moment.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use kingcupfall_core::time;

use super::client;
use super::forwarder;
use super::forwarder::StreamForwarder;
use super::stream;
use crate::dispatch;
use crate::telemetry;

/// Time without data after which the target of a running stream is probed. Prompt processing of
/// other requests delays an event by a fifth of that.
const PROBE_DELAY: Duration = Duration::from_millis(500);

/// Cause recorded for streams whose target sends nothing and can't be reached.
const CAUSE: &str = "silent";

/// A check whether a target accepts connections.
type PendingProbe = Pin<Box<dyn Future<Output = bool>>>;

/// Probes of a stream's target while it sends nothing.
#[derive(Default)]
pub(super) struct SilenceProbes {
    /// The probe that is under way.
    pub(super) pending: Option<PendingProbe>,
    last_ended_at: Option<time::Timestamp>,
}

impl SilenceProbes {
    /// Starts anew for a target that begins to run the stream.
    pub(super) fn restart(&mut self, now: time::Timestamp) {
        self.pending = None;
        self.last_ended_at = Some(now);
    }
}

impl StreamForwarder {
    /// Returns when the target is to be probed if it has sent nothing by then; `None` if the stream
    /// has no copy to resume from, or a probe is under way.
    pub(super) fn silence_probe_at(&self) -> Option<time::Timestamp> {
        if self.copy_holder.is_none() || self.event_count == 0 || self.silence.pending.is_some() {
            return None;
        }
        let heard_at = self.last_received_at;
        let since = self
            .silence
            .last_ended_at
            .map_or(heard_at, |at| at.max(heard_at));
        Some(since + PROBE_DELAY)
    }

    /// Starts to check whether the silent target accepts connections.
    pub(super) fn probe_silent_target(&mut self) {
        let address = self.target.address;
        self.silence.pending = Some(Box::pin(async move {
            match client::connect(address).await {
                Ok(_) => true,
                Err(error) => {
                    log::debug!("silent target at {address} accepts no connection: {error}");
                    false
                }
            }
        }));
    }

    /// Handles the result of a probe. While the target accepts connections, the stream stays there:
    /// the keepalive of its connection detects whether that is still open at the other end.
    pub(super) async fn handle_silence_probe(
        &mut self,
        is_reachable: bool,
    ) -> Option<forwarder::StreamEnd> {
        let now = self.state.now();
        self.silence.pending = None;
        self.silence.last_ended_at = Some(now);
        let silence = now.since(self.last_received_at);
        if silence < PROBE_DELAY {
            return None;
        }
        let outcome = match is_reachable {
            true => "reachable",
            false => "unreachable",
        };
        let kind = telemetry::RecordKind::TargetSilent;
        let record = stream::migration_record(&self.call, kind, &self.target, outcome)
            .count(self.event_count)
            .after(silence);
        self.state.record(&record);
        match is_reachable {
            true => None,
            false => self.resume_from_silence().await,
        }
    }

    /// Resumes the stream from its copy. If that fails, the stream stays at its target, which may
    /// still go on, unless the resumption has ended it there.
    async fn resume_from_silence(&mut self) -> Option<forwarder::StreamEnd> {
        let call = self.call.id;
        self.state
            .submit(dispatch::DispatchEvent::StreamLost { call });
        if let Some(copy) = self.current_copy()
            && self.resume(copy, CAUSE).await
        {
            return None;
        }
        if self.upstream.is_some() || self.run_again(CAUSE).await {
            return None;
        }
        Some(self.record_lost(CAUSE))
    }
}
