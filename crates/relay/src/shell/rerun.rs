//! Runs a stream again at another target, on routes that allow it.

use std::rc::Rc;

use super::buffered;
use super::forwarder::StreamForwarder;
use super::stream;
use crate::dispatch;
use crate::telemetry;

/// Outcome of sending a stream to one more target.
enum RerunOutcome {
    /// The target continues the stream.
    Continued,
    /// The target failed; another one may be tried.
    Failed,
    /// No target accepts the stream, or its caller has left.
    Abandoned,
}

impl StreamForwarder {
    /// Runs the stream again at another target, which continues after the last event that the
    /// caller has. Returns whether it did: the route, its number of attempts and the retry budget
    /// have to allow it, and a target has to accept the stream.
    pub(super) async fn run_again(&mut self, cause: &str) -> bool {
        if !self.call.route.is_repeatable() || !self.may_resume_elsewhere().await {
            return false;
        }
        while buffered::try_acquire_retry(&self.state, &self.call, &self.counts) {
            self.state.submit(dispatch::DispatchEvent::AttemptEnded {
                call: self.call.id,
                result: dispatch::AttemptResult::Broken,
            });
            let left_target = self.target.key.name.clone();
            self.call.demand.tried.push(left_target);
            self.replace_copy_holder(None);
            match self.open_again(cause).await {
                RerunOutcome::Continued => return true,
                RerunOutcome::Failed => {}
                RerunOutcome::Abandoned => return false,
            }
        }
        false
    }

    /// Places the stream and sends it to the chosen target.
    async fn open_again(&mut self, cause: &str) -> RerunOutcome {
        let placed = tokio::select! {
            placed = buffered::place_call(&self.state, &mut self.call) => placed,
            () = self.sender.closed() => return RerunOutcome::Abandoned,
        };
        let placement = match placed {
            Ok(placement) => placement,
            Err(refusal) => {
                self.record_migration_failure(refusal.reason.label());
                return RerunOutcome::Abandoned;
            }
        };
        let earlier_run = self.call.pending_stops.cancel(&placement.target);
        self.stop_current_run(&placement.target);
        self.set_target(Rc::clone(&placement.target));
        let started_at = self.state.now();
        let opened = tokio::select! {
            opened = stream::open_stream(&self.state, &self.call, &placement, self.last_event_id) => {
                opened
            }
            () = self.sender.closed() => return RerunOutcome::Abandoned,
        };
        // A refused attempt counts as well, so that the number of targets tried is limited.
        self.counts.may_have_run += 1;
        match opened {
            stream::OpenOutcome::Opened(upstream) => {
                let kind = telemetry::RecordKind::Resumed;
                let record = stream::migration_record(&self.call, kind, &placement.target, cause)
                    .count(self.event_count)
                    .after(started_at.since(self.last_received_at));
                self.state.record(&record);
                self.state.metrics.record_resumption("run_again");
                self.has_run_started = false;
                self.continue_with(placement.copy_holder, upstream);
                RerunOutcome::Continued
            }
            stream::OpenOutcome::Ended(outcome) => {
                let target = &placement.target;
                self.is_run_stopped = !outcome.may_run_on() && earlier_run.is_none();
                self.has_run_begun =
                    !outcome.may_run_on() && earlier_run.is_some_and(|run| run.has_begun);
                buffered::report_attempt(&self.state, &self.call, target, &outcome, started_at);
                RerunOutcome::Failed
            }
        }
    }
}
