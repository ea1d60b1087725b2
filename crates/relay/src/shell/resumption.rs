//! Resumes a stream at another target, from a copy of its memory.

use std::rc::Rc;
use std::result;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;

use super::buffered;
use super::client;
use super::former_runs;
use super::forwarder;
use super::forwarder::StreamForwarder;
use super::memory_migration;
use super::stream;
use crate::directory;
use crate::dispatch;
use crate::protocol;
use crate::telemetry;

/// Time limit for the previous target to keep running a stream whose resumption has been requested.
/// The platform counts 400 ms of overlap as two runs, and a target notices a closed connection only
/// after some milliseconds.
const MAX_OVERLAP: Duration = Duration::from_millis(250);

/// Urgency of a stream that is resumed at another target; 0 is the most urgent.
const RESUMED_URGENCY: u8 = 0;

/// Outcome recorded when a stream may not be resumed, as its request has crashed targets.
const QUARANTINED: &str = "quarantined";

/// Outcome recorded when a stream may not be resumed, as its target ended just after it began to
/// run it.
const MAY_BE_CAUSE: &str = "its target ended as it began";

/// Outcome recorded when the target that holds the copy wants no requests.
const PAUSED: &str = "the copy holder asked for a pause";

/// Outcome recorded when the target that holds the copy is in an evacuated zone, or in one that the
/// call does not allow.
const NOT_ALLOWED: &str = "the zone of the copy holder gets no work";
/// Outcome recorded when the target that holds the copy is cold and takes no request in time.
const COLD: &str = "the copy holder is cold";

/// Time for which a stream that runs nowhere waits until its cold copy holder takes it: targets keep
/// the copies of a lost target for some seconds only.
const MAX_COLD_WAIT: Duration = Duration::from_secs(1);

/// Result of an attempt to resume a stream. An error is how the attempt ended.
type Result<T> = result::Result<T, dispatch::AttemptResult>;

impl StreamForwarder {
    /// Resumes the stream at the target that holds `copy`. Returns whether it did; if its request
    /// has or may have crashed targets, the budget does not allow it or that target does not accept
    /// it, the stream stays assigned to its current target.
    pub(super) async fn resume(&mut self, copy: forwarder::MemoryCopy, cause: &str) -> bool {
        if !self.may_resume_elsewhere().await {
            return false;
        }
        if !self.wait_for_cold_target(&copy.holder.key).await {
            self.record_migration_failure(COLD);
            return false;
        }
        let is_paused = |dispatcher: &mut dispatch::Dispatcher, now| {
            dispatcher.is_paused(now, &copy.holder.key)
        };
        if self.state.with_dispatcher(is_paused) {
            self.record_migration_failure(PAUSED);
            return false;
        }
        if !self.may_receive(&copy.holder) {
            self.record_migration_failure(NOT_ALLOWED);
            return false;
        }
        let resumption = dispatch::RepeatKind::Resumption;
        if !self
            .state
            .try_acquire_repeat(&self.call.demand.service, resumption)
        {
            self.record_migration_failure(forwarder::NO_REPEAT_LEFT);
            return false;
        }
        let migrated = dispatch::DispatchEvent::Migrated {
            call: self.call.id,
            target: Rc::clone(&copy.holder),
        };
        let next_holder = self
            .state
            .submit_for_call(self.call.id, migrated)
            .into_iter()
            .find_map(|effect| match effect {
                dispatch::DispatchEffect::Place { placement, .. } => placement.copy_holder,
                _ => None,
            });
        let request = self.resumption_request(&copy, next_holder.as_ref());
        let earlier_run = self.call.pending_stops.cancel(&copy.holder);
        if self.upstream.is_none() {
            self.stop_current_run(&copy.holder);
        }
        let upstream = match self.open_resumption(&copy, request).await {
            Ok(upstream) => upstream,
            Err(result) => {
                let migration_failed = dispatch::DispatchEvent::MigrationFailed {
                    call: self.call.id,
                    target: Rc::clone(&self.target),
                    result,
                };
                self.state.submit(migration_failed);
                self.replace_copy_holder(None);
                self.state.metrics.record_resumption("refused");
                self.record_migration_failure("the copy is of no use");
                let run = match result.may_run_on() {
                    true => Some(former_runs::FormerRun {
                        target: copy.holder,
                        next: Rc::clone(&self.target),
                        has_begun: false,
                    }),
                    false => earlier_run,
                };
                if let Some(run) = run {
                    former_runs::stop(&self.state, &mut self.call, run);
                }
                return false;
            }
        };

        let record = stream::migration_record(
            &self.call,
            telemetry::RecordKind::Resumed,
            &copy.holder,
            cause,
        )
        .copy(next_holder.as_ref().map(|holder| &holder.key.name))
        .count(self.event_count)
        .after(self.state.now().since(self.last_received_at));
        self.state.record(&record);
        self.state.metrics.record_resumption("resumed");
        // Most targets drop the request when its connection closes, without a final migration.
        self.upstream = None;
        self.stop_current_run(&copy.holder);
        self.set_target(copy.holder);
        self.continue_with(next_holder, upstream);
        true
    }

    /// Waits until a target takes a request, if it is cold. Returns whether it does: a stream that
    /// still runs does not wait, and none waits for longer than [`MAX_COLD_WAIT`].
    async fn wait_for_cold_target(&self, target: &directory::TargetKey) -> bool {
        let max_wait = match self.upstream {
            Some(_) => Duration::ZERO,
            None => MAX_COLD_WAIT,
        };
        let waits_until = self.state.now() + max_wait;
        loop {
            let wait = self
                .state
                .with_dispatcher(|dispatcher, now| dispatcher.cold_wait(now, target));
            match wait {
                Some(Duration::ZERO) => return true,
                Some(wait) if self.state.now() + wait <= waits_until => {
                    // Whole milliseconds, as shorter sleeps may end too early.
                    let sleep = tokio::time::sleep(wait + Duration::from_millis(1));
                    tokio::select! {
                        () = sleep => {}
                        () = self.sender.closed() => return false,
                    }
                }
                Some(_) | None => return false,
            }
        }
    }

    /// Continues the stream with the response of its new target.
    pub(super) fn continue_with(
        &mut self,
        copy_holder: Option<Rc<directory::TargetRecord>>,
        upstream: client::OpenResponse,
    ) {
        self.replace_copy_holder(copy_holder);
        self.abandon_migration();
        self.migration = None;
        self.parser = protocol::EventParser::default();
        self.silence.restart(self.state.now());
        self.upstream = Some(upstream);
    }

    /// Makes `target` the one that runs the stream.
    pub(super) fn set_target(&mut self, target: Rc<directory::TargetRecord>) {
        self.target = target;
        self.has_run_begun = false;
        self.is_run_stopped = false;
    }

    /// Returns whether a target may receive the stream or its memory, as far as zones matter.
    pub(super) fn may_receive(&self, target: &directory::TargetRecord) -> bool {
        self.state
            .with_dispatcher(|dispatcher, _| dispatcher.may_receive(target, &self.call.demand))
    }

    /// Returns whether the stream may reach another target: not if its request has or may have
    /// crashed targets.
    pub(super) async fn may_resume_elsewhere(&self) -> bool {
        let outcome = match self.state.resumption_verdict(self.call.id).await {
            dispatch::CrashVerdict::MayRun => return true,
            dispatch::CrashVerdict::Quarantined | dispatch::CrashVerdict::Unresolved => QUARANTINED,
            dispatch::CrashVerdict::MayBeCause => MAY_BE_CAUSE,
        };
        self.record_migration_failure(outcome);
        false
    }

    /// Builds the request that resumes the stream from a copy.
    fn resumption_request(
        &self,
        copy: &forwarder::MemoryCopy,
        next_holder: Option<&Rc<directory::TargetRecord>>,
    ) -> Request<Full<Bytes>> {
        let resumption = protocol::StreamResumption {
            handle_address: copy.handle_address,
            handle: copy.handle.clone(),
        };
        let head = protocol::ForwardedHead {
            target: &copy.holder.key,
            time_left: self.call.demand.deadline.since(self.state.now()),
            organisation: self.call.organisation_name(),
            urgency: Some(RESUMED_URGENCY),
            copy_to: next_holder.map(|holder| holder.address),
            resumption: Some(&resumption),
            last_event: self.last_event_id,
        };
        buffered::forwarded_request(&self.state, &self.call, &head)
    }

    /// Sends the resumption on a new connection.
    ///
    /// # Errors
    ///
    /// How the attempt ended if the stream does not resume.
    async fn open_resumption(
        &mut self,
        copy: &forwarder::MemoryCopy,
        request: Request<Full<Bytes>>,
    ) -> Result<client::OpenResponse> {
        let sent_at = self.state.now();
        let outcome = match client::open(copy.holder.address, &request).await {
            Ok(connection) => {
                self.send_resumption(connection, request, &copy.holder)
                    .await
            }
            Err(error) => Err(error),
        };
        let response = outcome.map_err(|error| {
            log::debug!(
                "can't resume stream {} at its copy holder: {error}",
                self.call.head.request_id
            );
            match error {
                client::SendError::Unreachable(_) => dispatch::AttemptResult::Unreachable,
                client::SendError::Broken(_) | client::SendError::Incomplete(_) => {
                    dispatch::AttemptResult::Broken
                }
                client::SendError::TimedOut if self.sender.is_closed() => {
                    dispatch::AttemptResult::Cancelled
                }
                client::SendError::TimedOut => dispatch::AttemptResult::TimedOut,
            }
        })?;
        let target = &copy.holder.key;
        self.state.handle_notice(target, sent_at, &response.parts);
        let class = self
            .state
            .protocol
            .classify_response(&response.parts, &self.call.head.request_id);
        match class {
            protocol::ResponseClass::Success => Ok(response),
            protocol::ResponseClass::NotRun => Err(dispatch::AttemptResult::NotRun),
            protocol::ResponseClass::Failure => Err(dispatch::AttemptResult::Failed),
            protocol::ResponseClass::Foreign => Err(dispatch::AttemptResult::Broken),
        }
    }

    /// Sends the resumption. The relay stops the previous target when the response starts, or after
    /// [`MAX_OVERLAP`] if that is earlier: the next target may already be running the stream before
    /// it responds.
    ///
    /// # Errors
    ///
    /// [`client::SendError::TimedOut`] at the deadline of the call, or once its caller has left.
    async fn send_resumption(
        &mut self,
        connection: client::OpenConnection,
        request: Request<Full<Bytes>>,
        next: &Rc<directory::TargetRecord>,
    ) -> client::Result<client::OpenResponse> {
        let mut sent = Box::pin(connection.send(request));
        if let Ok(response) = tokio::time::timeout(MAX_OVERLAP, sent.as_mut()).await {
            return response;
        }
        // From here on only the next target runs the stream, so nothing is gained by giving up.
        self.upstream = None;
        self.stop_current_run(next);
        let deadline = self.state.instant(self.call.demand.deadline);
        tokio::select! {
            response = sent => response,
            () = tokio::time::sleep_until(deadline) => Err(client::SendError::TimedOut),
            () = self.sender.closed() => Err(client::SendError::TimedOut),
        }
    }

    /// Returns the copy that the current target keeps up to date. Its handle is the caller's
    /// request id.
    pub(super) fn current_copy(&self) -> Option<forwarder::MemoryCopy> {
        let holder = self.copy_holder.as_ref()?;
        Some(forwarder::MemoryCopy {
            holder: Rc::clone(holder),
            handle_address: holder.address,
            handle: self.call.head.request_id.clone(),
        })
    }

    /// Replaces the copy holder, and discards the previous copy unless it is still in use: the
    /// targets would keep it for some time.
    pub(super) fn replace_copy_holder(&mut self, next: Option<Rc<directory::TargetRecord>>) {
        let previous = std::mem::replace(&mut self.copy_holder, next);
        let Some(previous) = previous else {
            return;
        };
        let is_needed = previous.key == self.target.key
            || self
                .copy_holder
                .as_ref()
                .is_some_and(|next| next.key == previous.key);
        if !is_needed {
            let handle = self.call.head.request_id.clone();
            memory_migration::discard_copy(&self.state, handle, &[previous.address]);
        }
    }
}
