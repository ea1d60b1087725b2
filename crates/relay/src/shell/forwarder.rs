//! Forwards the events of one stream to its caller. If the target leaves or is lost, the stream is
//! resumed at another target that holds a copy of its memory.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body;
use kingcupfall_core::time;

use super::buffered;
use super::client;
use super::intake;
use super::memory;
use super::memory_migration;
use super::responses;
use super::silence;
use super::state::RelayState;
use super::stream;
use super::stream_migration;
use crate::directory;
use crate::dispatch;
use crate::protocol;
use crate::telemetry;

/// Outcome recorded when the budget of repeated attempts does not allow a resumption.
pub(super) const NO_REPEAT_LEFT: &str = "no repeated attempt is left";

pub(super) type PendingMigration = Pin<Box<dyn Future<Output = memory_migration::MigrationReport>>>;

/// A copy of the stream's memory at another target.
#[derive(Debug, Clone)]
pub(super) struct MemoryCopy {
    pub(super) holder: Rc<directory::TargetRecord>,
    /// Address that identifies the copy together with `handle`: the source of a migration, or the
    /// holder of a copy that the target keeps up to date.
    pub(super) handle_address: std::net::SocketAddr,
    pub(super) handle: Box<str>,
}

/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StreamEnd {
    Completed,
    CallerLeft,
    TimedOut,
    Broken,
}

/// The event that a forwarder handles next.
enum StreamStep {
    Frame(Option<Result<body::Frame<Bytes>, hyper::Error>>),
    Effect(Option<dispatch::DispatchEffect>),
    MigrationFinished(memory_migration::MigrationReport),
    CallerLeft,
    DeadlinePassed,
    ProbeDue,
    ProbeFinished(bool),
    MigrationDue,
}

/// Memory for an event that is not complete yet. It stays reserved until the stream ends, as the
/// event then waits for the caller.
struct EventMemory {
    reservation: memory::MemoryReservation,
    bytes: usize,
}

impl EventMemory {
    fn new(state: &RelayState, call: &intake::AcceptedCall) -> Self {
        Self {
            reservation: state.memory.responses.reserve_nothing_for(&call.held),
            bytes: memory::UNCOUNTED_BYTES,
        }
    }

    /// Returns whether memory is reserved for a partial event of this length, now at the latest.
    async fn covers(&mut self, state: &RelayState, length: usize) -> bool {
        if length <= self.bytes {
            return true;
        }
        // The parser's buffer doubles as it grows.
        let more = 2 * length - self.bytes;
        let rule = memory::GrowthRule::Fair;
        let reserved = self
            .reservation
            .grow_or_reclaim(more as u64, rule, &state.clients);
        let is_reserved = reserved.await;
        if is_reserved {
            self.bytes += more;
        }
        is_reserved
    }
}

/// Forwards one stream, through any number of resumptions.
pub(super) struct StreamForwarder {
    pub(super) state: Rc<RelayState>,
    pub(super) call: Box<intake::AcceptedCall>,
    /// Attempts of the call, the current one included.
    pub(super) counts: buffered::AttemptCounts,
    pub(super) target: Rc<directory::TargetRecord>,
    pub(super) copy_holder: Option<Rc<directory::TargetRecord>>,
    /// The response of the current target; `None` once its connection has been closed, which stops
    /// most targets.
    pub(super) upstream: Option<client::OpenResponse>,
    pub(super) sender: responses::StreamSender,
    pub(super) parser: protocol::EventParser,
    event_memory: EventMemory,
    pub(super) last_event_id: Option<u64>,
    pub(super) event_count: u64,
    /// Whether the current target has sent an event.
    pub(super) has_run_started: bool,
    /// Whether the current target is known to have begun to run the stream, also by an event that
    /// the caller had already.
    pub(super) has_run_begun: bool,
    /// Whether the run at the current target is stopped, or is known to have ended.
    pub(super) is_run_stopped: bool,
    pub(super) last_received_at: time::Timestamp,
    pub(super) first_event_after: Option<Duration>,
    pub(super) longest_gap: Duration,
    pub(super) opened_at: time::Timestamp,
    pub(super) migration: Option<stream_migration::StreamMigration>,
    pub(super) pending_migration: Option<PendingMigration>,
    pub(super) silence: silence::SilenceProbes,
}

impl StreamForwarder {
    pub(super) fn new(
        state: Rc<RelayState>,
        call: Box<intake::AcceptedCall>,
        mut counts: buffered::AttemptCounts,
        placement: dispatch::CallPlacement,
        upstream: client::OpenResponse,
        sender: responses::StreamSender,
    ) -> Self {
        let now = state.now();
        counts.may_have_run += 1;
        Self {
            event_memory: EventMemory::new(&state, &call),
            last_event_id: call.resumed_after(),
            state,
            call,
            counts,
            target: placement.target,
            copy_holder: placement.copy_holder,
            upstream: Some(upstream),
            sender,
            parser: protocol::EventParser::default(),
            event_count: 0,
            has_run_started: false,
            has_run_begun: false,
            is_run_stopped: false,
            last_received_at: now,
            first_event_after: None,
            longest_gap: Duration::ZERO,
            opened_at: now,
            migration: None,
            pending_migration: None,
            silence: silence::SilenceProbes::default(),
        }
    }

    /// Runs until the stream ends, and reports how.
    pub(super) async fn run(mut self) {
        let end = loop {
            let step = self.next_step().await;
            if let Some(end) = self.handle_step(step).await {
                break end;
            }
        };
        self.finish(end).await;
    }

    async fn next_step(&mut self) -> StreamStep {
        let deadline = self.state.instant(self.call.demand.deadline);
        let probe_at = self
            .silence_probe_at()
            .map_or(deadline, |at| self.state.instant(at));
        let migration_at = match &self.migration {
            Some(migration) if self.pending_migration.is_none() => {
                self.state.instant(migration.retry_at)
            }
            Some(_) | None => deadline,
        };
        let frame = async {
            match &mut self.upstream {
                Some(upstream) => upstream.body.frame().await,
                None => std::future::pending().await,
            }
        };
        let pending = async {
            match &mut self.pending_migration {
                Some(pending) => pending.await,
                None => std::future::pending().await,
            }
        };
        let probe = async {
            match &mut self.silence.pending {
                Some(pending) => pending.await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            effect = self.call.inbox.recv() => StreamStep::Effect(effect),
            report = pending => StreamStep::MigrationFinished(report),
            frame = frame => StreamStep::Frame(frame),
            () = self.sender.closed() => StreamStep::CallerLeft,
            () = tokio::time::sleep_until(deadline) => StreamStep::DeadlinePassed,
            is_reachable = probe => StreamStep::ProbeFinished(is_reachable),
            () = tokio::time::sleep_until(probe_at) => StreamStep::ProbeDue,
            () = tokio::time::sleep_until(migration_at) => StreamStep::MigrationDue,
        }
    }

    async fn handle_step(&mut self, step: StreamStep) -> Option<StreamEnd> {
        match step {
            StreamStep::Frame(Some(Ok(frame))) => self.handle_frame(frame).await,
            StreamStep::Frame(Some(Err(_))) => self.recover("broken").await,
            StreamStep::Frame(None) => self.handle_end().await,
            StreamStep::Effect(effect) => self.handle_effect(effect).await,
            StreamStep::MigrationFinished(report) => {
                self.pending_migration = None;
                self.handle_migration_report(report).await
            }
            StreamStep::CallerLeft => Some(StreamEnd::CallerLeft),
            StreamStep::DeadlinePassed => Some(StreamEnd::TimedOut),
            StreamStep::ProbeDue => {
                self.probe_silent_target();
                None
            }
            StreamStep::ProbeFinished(is_reachable) => {
                self.handle_silence_probe(is_reachable).await
            }
            StreamStep::MigrationDue => {
                self.request_migration_target();
                None
            }
        }
    }

    async fn handle_frame(&mut self, frame: body::Frame<Bytes>) -> Option<StreamEnd> {
        let Ok(bytes) = frame.into_data() else {
            // Trailers contain nothing for the caller.
            return None;
        };
        let now = self.state.now();
        self.parser.push(&bytes);
        while let Some(event) = self.parser.next_event() {
            if let Some(end) = self.forward_event(now, event).await {
                return Some(end);
            }
        }
        let length = self.parser.buffered_bytes();
        if self.parser.has_overlong_event() || !self.event_memory.covers(&self.state, length).await
        {
            return self.recover("an event is too long").await;
        }
        None
    }

    /// Forwards an event unless the caller has it already. A gap in the event ids ends the stream.
    async fn forward_event(
        &mut self,
        now: time::Timestamp,
        event: protocol::StreamEvent,
    ) -> Option<StreamEnd> {
        self.has_run_begun = true;
        if let (Some(last), Some(id)) = (self.last_event_id, event.id) {
            if id <= last {
                return None;
            }
            if id > last + 1 {
                let record = self
                    .call
                    .record(telemetry::RecordKind::MigrationFailed)
                    .target(&self.target.key.name)
                    .outcome("an event is missing")
                    .count(id);
                self.state.record(&record);
                return Some(StreamEnd::Broken);
            }
        }
        self.record_event(now);
        self.last_event_id = event.id.or(self.last_event_id);
        // A caller that doesn't read must not keep its target beyond the deadline.
        let deadline = self.state.instant(self.call.demand.deadline);
        match tokio::time::timeout_at(deadline, self.sender.send(event.bytes)).await {
            Ok(Ok(())) => None,
            Ok(Err(responses::StreamInterrupted)) => Some(StreamEnd::CallerLeft),
            Err(_) => Some(StreamEnd::TimedOut),
        }
    }

    fn record_event(&mut self, now: time::Timestamp) {
        let call = self.call.id;
        if self.event_count == 0 {
            let took = now.since(self.call.demand.arrived_at);
            self.first_event_after = Some(took);
            let metrics = &self.state.metrics;
            metrics.record_first_event(&self.call.class(), took);
        } else {
            let gap = now.since(self.last_received_at);
            self.longest_gap = self.longest_gap.max(gap);
            self.state.metrics.record_event_gap(gap);
        }
        if !std::mem::replace(&mut self.has_run_started, true) {
            self.state.submit(dispatch::DispatchEvent::Started { call });
        }
        self.event_count += 1;
        self.last_received_at = now;
        self.state.submit(dispatch::DispatchEvent::Progressed {
            call,
            events: self.event_count,
        });
    }

    async fn handle_end(&mut self) -> Option<StreamEnd> {
        if !self.parser.has_partial_event() {
            return Some(StreamEnd::Completed);
        }
        self.recover("ended early").await
    }

    async fn handle_effect(
        &mut self,
        effect: Option<dispatch::DispatchEffect>,
    ) -> Option<StreamEnd> {
        match effect {
            Some(dispatch::DispatchEffect::Migrate { target, .. }) => {
                if target != self.target.key {
                    return None;
                }
                self.start_migration().await
            }
            Some(dispatch::DispatchEffect::DropCopy { holder, .. }) => {
                self.copy_holder.take_if(|copy| copy.key == holder);
                None
            }
            Some(dispatch::DispatchEffect::MigrationTarget { target, .. }) => {
                self.handle_migration_target(target);
                None
            }
            Some(
                dispatch::DispatchEffect::Place { .. }
                | dispatch::DispatchEffect::Refuse { .. }
                | dispatch::DispatchEffect::HealthChanged { .. }
                | dispatch::DispatchEffect::LimitChanged { .. }
                | dispatch::DispatchEffect::ColdChanged(_)
                | dispatch::DispatchEffect::Probe { .. }
                | dispatch::DispatchEffect::SuspectsChanged { .. }
                | dispatch::DispatchEffect::PromptsLost { .. }
                | dispatch::DispatchEffect::PromptCrashesChanged(_)
                | dispatch::DispatchEffect::PartsChanged { .. }
                | dispatch::DispatchEffect::Send { .. },
            ) => None,
            None => Some(StreamEnd::Broken),
        }
    }

    /// Resumes the stream from its copy after its target was lost.
    pub(super) async fn recover(&mut self, cause: &str) -> Option<StreamEnd> {
        // A target whose connection broke may still be running the stream.
        self.upstream = None;
        let call = self.call.id;
        self.state
            .submit(dispatch::DispatchEvent::StreamLost { call });
        if let Some(copy) = self.current_copy()
            && self.resume(copy, cause).await
        {
            return None;
        }
        if self.run_again(cause).await {
            return None;
        }
        Some(self.record_lost(cause))
    }

    /// Records that the stream is lost, unless its caller has left, and returns how it ends.
    pub(super) fn record_lost(&self, cause: &str) -> StreamEnd {
        if self.sender.is_closed() {
            return StreamEnd::CallerLeft;
        }
        let record = stream::migration_record(
            &self.call,
            telemetry::RecordKind::MigrationFailed,
            &self.target,
            cause,
        )
        .count(self.event_count)
        .after(self.state.now().since(self.call.demand.arrived_at));
        self.state.record(&record);
        self.state.metrics.record_resumption("lost");
        StreamEnd::Broken
    }

    /// Lets a migration whose result is no longer needed finish, and then discards the copy.
    pub(super) fn abandon_migration(&mut self) {
        if let Some(pending) = self.pending_migration.take() {
            memory_migration::abandon(&self.state, pending);
        }
    }

    pub(super) fn record_migration_failure(&self, outcome: &str) {
        let record = stream::migration_record(
            &self.call,
            telemetry::RecordKind::MigrationFailed,
            &self.target,
            outcome,
        )
        .count(self.event_count);
        self.state.record(&record);
    }

    async fn finish(mut self, end: StreamEnd) {
        self.abandon_migration();
        if end != StreamEnd::Completed {
            self.replace_copy_holder(None);
        }
        let now = self.state.now();
        let took = now.since(self.opened_at);
        let (result, label) = match end {
            StreamEnd::Completed => (dispatch::AttemptResult::Succeeded { took }, "completed"),
            StreamEnd::CallerLeft => (dispatch::AttemptResult::Cancelled, "caller_left"),
            StreamEnd::TimedOut => (dispatch::AttemptResult::Cancelled, "timed_out"),
            StreamEnd::Broken => (dispatch::AttemptResult::Broken, "broken"),
        };
        let record = self
            .call
            .record(telemetry::RecordKind::Ended)
            .fingerprint(self.call.demand.fingerprint)
            .target(&self.target.key.name)
            .outcome(label)
            .count(self.event_count)
            .after(now.since(self.call.demand.arrived_at))
            .stream_timing(self.first_event_after, self.longest_gap);
        self.state.record(&record);
        self.call.guard.record_outcome(label);
        self.state.submit(dispatch::DispatchEvent::AttemptEnded {
            call: self.call.id,
            result,
        });
        if end == StreamEnd::Completed {
            self.sender.complete();
        }
    }
}
