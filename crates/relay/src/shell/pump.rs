//! Brings the events of one stream to its caller, from one target after the other.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body;
use kingcupfall_core::time;
use tokio::sync::mpsc;

use super::answers;
use super::client;
use super::evacuation;
use super::intake;
use super::moves;
use super::plain;
use super::state::RelayState;
use super::stream;
use crate::directory;
use crate::dispatch;
use crate::protocol;
use crate::telemetry;

/// Silence of a running stream after which it goes on from its copy, if it has one. Prompts of
/// other requests delay an event by a tenth of that.
const SILENCE_LIMIT: Duration = Duration::from_millis(900);

/// Longest time in which a target must begin to go on with a stream.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest time for which a target may still run a stream that another one was asked to go on with.
/// The platform takes 400 ms for two runs; the end of a connection takes some ms to be noticed.
const OVERLAP_LIMIT: Duration = Duration::from_millis(250);

/// Urgency of a stream that goes on at another target.
const RESUMED_URGENCY: u8 = 0;

/// Why a stream does not go on elsewhere though it could.
pub(super) const NO_REPEAT_LEFT: &str = "no repeated attempt is left";

pub(super) type PendingMove = Pin<Box<dyn Future<Output = moves::MoveReport>>>;

/// A copy of the stream's memory at another target.
#[derive(Debug, Clone)]
pub(super) struct MemoryCopy {
    pub(super) holder: Rc<directory::TargetRecord>,
    pub(super) named_at: std::net::SocketAddr,
    pub(super) handle: Box<str>,
}

/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PumpEnd {
    Completed,
    CallerLeft,
    TimedOut,
    Broken,
}

/// What happened to a stream.
enum PumpStep {
    Frame(Option<Result<body::Frame<Bytes>, hyper::Error>>),
    Notice(Option<dispatch::DispatchEffect>),
    Moved(moves::MoveReport),
    CallerLeft,
    DeadlinePassed,
    Silent,
    ShelterDue,
}

/// One stream on its way.
pub(super) struct StreamPump {
    pub(super) state: Rc<RelayState>,
    pub(super) call: Box<intake::AcceptedCall>,
    pub(super) target: Rc<directory::TargetRecord>,
    pub(super) backup: Option<Rc<directory::TargetRecord>>,
    /// The answer of the target; `None` once the target was told to stop.
    pub(super) upstream: Option<client::OpenAnswer>,
    pub(super) sender: mpsc::Sender<answers::StreamPart>,
    pub(super) parser: protocol::EventParser,
    pub(super) last_event: Option<u64>,
    pub(super) events: u64,
    pub(super) heard_at: time::Timestamp,
    pub(super) first_event: Option<Duration>,
    pub(super) longest_pause: Duration,
    pub(super) opened_at: time::Timestamp,
    pub(super) evacuation: Option<evacuation::StreamEvacuation>,
    pub(super) pending: Option<PendingMove>,
}

impl StreamPump {
    pub(super) fn new(
        state: Rc<RelayState>,
        call: Box<intake::AcceptedCall>,
        placement: dispatch::CallPlacement,
        upstream: client::OpenAnswer,
        sender: mpsc::Sender<answers::StreamPart>,
    ) -> Self {
        let now = state.now();
        Self {
            state,
            call,
            target: placement.target,
            backup: placement.copy_holder,
            upstream: Some(upstream),
            sender,
            parser: protocol::EventParser::default(),
            last_event: None,
            events: 0,
            heard_at: now,
            first_event: None,
            longest_pause: Duration::ZERO,
            opened_at: now,
            evacuation: None,
            pending: None,
        }
    }

    /// Runs until the stream ends, one way or another.
    pub(super) async fn run(mut self) {
        let end = loop {
            let step = self.next_step().await;
            if let Some(end) = self.take(step).await {
                break end;
            }
        };
        self.finish(end).await;
    }

    async fn next_step(&mut self) -> PumpStep {
        let deadline = self.state.instant(self.call.demand.deadline);
        let silent_at = match self.backup.is_some() && self.events > 0 {
            true => self.state.instant(self.heard_at + SILENCE_LIMIT),
            false => deadline,
        };
        let shelter_at = match &self.evacuation {
            Some(evacuation) if self.pending.is_none() => self.state.instant(evacuation.retry_at),
            Some(_) | None => deadline,
        };
        let frame = async {
            match &mut self.upstream {
                Some(upstream) => upstream.body.frame().await,
                None => std::future::pending().await,
            }
        };
        let pending = async {
            match &mut self.pending {
                Some(pending) => pending.await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            notice = self.call.inbox.recv() => PumpStep::Notice(notice),
            report = pending => PumpStep::Moved(report),
            frame = frame => PumpStep::Frame(frame),
            () = self.sender.closed() => PumpStep::CallerLeft,
            () = tokio::time::sleep_until(deadline) => PumpStep::DeadlinePassed,
            () = tokio::time::sleep_until(silent_at) => PumpStep::Silent,
            () = tokio::time::sleep_until(shelter_at) => PumpStep::ShelterDue,
        }
    }

    async fn take(&mut self, step: PumpStep) -> Option<PumpEnd> {
        match step {
            PumpStep::Frame(Some(Ok(frame))) => self.take_frame(frame).await,
            PumpStep::Frame(Some(Err(_))) => self.recover("broken").await,
            PumpStep::Frame(None) => self.take_end().await,
            PumpStep::Notice(notice) => self.take_notice(notice).await,
            PumpStep::Moved(report) => {
                self.pending = None;
                self.take_move(report).await
            }
            PumpStep::CallerLeft => Some(PumpEnd::CallerLeft),
            PumpStep::DeadlinePassed => Some(PumpEnd::TimedOut),
            PumpStep::Silent => self.recover("silent").await,
            PumpStep::ShelterDue => {
                self.seek_shelter();
                None
            }
        }
    }

    async fn take_frame(&mut self, frame: body::Frame<Bytes>) -> Option<PumpEnd> {
        let Ok(bytes) = frame.into_data() else {
            // Trailers carry nothing that a caller is owed.
            return None;
        };
        let now = self.state.now();
        self.parser.push(&bytes);
        while let Some(event) = self.parser.next_event() {
            if let Some(end) = self.pass_on(now, event).await {
                return Some(end);
            }
        }
        None
    }

    /// Passes an event on, unless the caller has it already.
    async fn pass_on(
        &mut self,
        now: time::Timestamp,
        event: protocol::StreamEvent,
    ) -> Option<PumpEnd> {
        if let (Some(last), Some(id)) = (self.last_event, event.id) {
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
                return Some(PumpEnd::Broken);
            }
        }
        self.note_event(now);
        self.last_event = event.id.or(self.last_event);
        match self.sender.send(Ok(event.bytes)).await {
            Ok(()) => None,
            Err(_) => Some(PumpEnd::CallerLeft),
        }
    }

    fn note_event(&mut self, now: time::Timestamp) {
        let call = self.call.call;
        if self.events == 0 {
            let took = now.since(self.call.demand.arrived);
            self.first_event = Some(took);
            let metrics = &self.state.metrics;
            metrics.record_first_event(&self.call.class(), took);
            self.state.submit(dispatch::DispatchEvent::Started { call });
        } else {
            let pause = now.since(self.heard_at);
            self.longest_pause = self.longest_pause.max(pause);
            self.state.metrics.record_event_gap(pause);
        }
        self.events += 1;
        self.heard_at = now;
        self.state.submit(dispatch::DispatchEvent::Progressed {
            call,
            events: self.events,
        });
    }

    async fn take_end(&mut self) -> Option<PumpEnd> {
        if !self.parser.has_partial_event() {
            return Some(PumpEnd::Completed);
        }
        self.recover("ended early").await
    }

    async fn take_notice(&mut self, notice: Option<dispatch::DispatchEffect>) -> Option<PumpEnd> {
        match notice {
            Some(dispatch::DispatchEffect::Migrate { .. }) => self.evacuate().await,
            Some(dispatch::DispatchEffect::DropCopy { .. }) => {
                self.backup = None;
                None
            }
            Some(dispatch::DispatchEffect::MigrationTarget { target, .. }) => {
                self.take_shelter(target);
                None
            }
            Some(
                dispatch::DispatchEffect::Place { .. }
                | dispatch::DispatchEffect::Refuse { .. }
                | dispatch::DispatchEffect::HealthChanged { .. }
                | dispatch::DispatchEffect::Send { .. },
            ) => None,
            None => Some(PumpEnd::Broken),
        }
    }

    /// Goes on from a copy, now that the target generates no more.
    pub(super) async fn recover(&mut self, cause: &str) -> Option<PumpEnd> {
        // A target that fell silent may still be at work.
        self.upstream = None;
        if let Some(copy) = self.backup_copy()
            && self.resume(copy, cause).await
        {
            return None;
        }
        let record = stream::move_record(
            &self.call,
            telemetry::RecordKind::MigrationFailed,
            &self.target,
            cause,
        )
        .count(self.events)
        .after(self.state.now().since(self.call.demand.arrived));
        self.state.record(&record);
        self.state.metrics.record_resumption("lost");
        Some(PumpEnd::Broken)
    }

    /// Sends the request to the target with a copy, and reads on from there; says whether it does.
    pub(super) async fn resume(&mut self, copy: MemoryCopy, cause: &str) -> bool {
        let resumption = dispatch::RepeatKind::Resumption;
        if !self
            .state
            .take_repeat(&self.call.demand.service, resumption)
        {
            self.note_move(NO_REPEAT_LEFT);
            return false;
        }
        let moved = dispatch::DispatchEvent::Migrated {
            call: self.call.call,
            target: Rc::clone(&copy.holder),
        };
        let next_copy = self
            .state
            .ask(self.call.call, moved)
            .into_iter()
            .find_map(|effect| match effect {
                dispatch::DispatchEffect::Place { placement, .. } => placement.copy_holder,
                _ => None,
            });
        let request = self.resumed_request(&copy, next_copy.as_ref());
        let Some(upstream) = self.open_resumed(&copy, request).await else {
            let back = dispatch::DispatchEvent::MigrationFailed {
                call: self.call.call,
                target: Rc::clone(&self.target),
            };
            self.state.submit(back);
            self.leave_backup(None);
            self.state.metrics.record_resumption("refused");
            self.note_move("the copy is of no use");
            return false;
        };

        let record = stream::move_record(
            &self.call,
            telemetry::RecordKind::Resumed,
            &copy.holder,
            cause,
        )
        .copy(next_copy.as_ref().map(|copy| &copy.key.name))
        .count(self.events)
        .after(self.state.now().since(self.heard_at));
        self.state.record(&record);
        self.state.metrics.record_resumption("resumed");
        self.target = copy.holder;
        self.leave_backup(next_copy);
        self.abandon_move();
        self.evacuation = None;
        self.parser = protocol::EventParser::default();
        self.upstream = Some(upstream);
        true
    }

    /// Makes the request with which a stream goes on from a copy.
    fn resumed_request(
        &self,
        copy: &MemoryCopy,
        next_copy: Option<&Rc<directory::TargetRecord>>,
    ) -> Request<Full<Bytes>> {
        let resumption = protocol::StreamResumption {
            handle_address: copy.named_at,
            handle: copy.handle.clone(),
            last_event: self.last_event,
        };
        let head = protocol::ForwardedHead {
            target: &copy.holder.key,
            time_left: self.call.demand.deadline.since(self.state.now()),
            organisation: self.call.organisation_name(),
            urgency: Some(RESUMED_URGENCY),
            copy_to: next_copy.map(|copy| copy.address),
            resumption: Some(&resumption),
        };
        plain::forwarded(&self.state, &self.call, &head)
    }

    /// Sends the request. The former target is told to stop when the answer begins, and at the
    /// latest after [`OVERLAP_LIMIT`]: the next one may be at work though it says nothing.
    async fn open_resumed(
        &mut self,
        copy: &MemoryCopy,
        request: Request<Full<Bytes>>,
    ) -> Option<client::OpenAnswer> {
        let mut sent = Box::pin(client::send(copy.holder.address, request));
        let mut outcome = tokio::time::timeout(OVERLAP_LIMIT, sent.as_mut()).await;
        if outcome.is_err() {
            self.upstream = None;
            outcome = tokio::time::timeout(RESUME_TIMEOUT, sent).await;
        }
        let answer = match outcome {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => {
                log::debug!("resuming {}: {error}", self.call.head.request);
                return None;
            }
            Err(_) => return None,
        };
        let verdict = self
            .state
            .protocol
            .classify_response(&answer.parts, &self.call.head.request);
        (verdict == protocol::ResponseClass::Success).then_some(answer)
    }

    /// Returns the copy that the target keeps up to date; it is named by the caller's request.
    pub(super) fn backup_copy(&self) -> Option<MemoryCopy> {
        let holder = self.backup.as_ref()?;
        Some(MemoryCopy {
            holder: Rc::clone(holder),
            named_at: holder.address,
            handle: self.call.head.request.clone(),
        })
    }

    /// Takes another backup for the present one, which the targets would keep for a while.
    fn leave_backup(&mut self, next: Option<Rc<directory::TargetRecord>>) {
        let former = std::mem::replace(&mut self.backup, next);
        let Some(former) = former else {
            return;
        };
        let is_used = former.key == self.target.key
            || self
                .backup
                .as_ref()
                .is_some_and(|next| next.key == former.key);
        if !is_used {
            let handle = self.call.head.request.clone();
            moves::discard(&self.state, handle, &[former.address]);
        }
    }

    /// Lets a move that nothing goes on from come to its end, and frees its memory.
    fn abandon_move(&mut self) {
        if let Some(pending) = self.pending.take() {
            moves::abandon(&self.state, pending);
        }
    }

    pub(super) fn note_move(&self, outcome: &str) {
        let record = stream::move_record(
            &self.call,
            telemetry::RecordKind::MigrationFailed,
            &self.target,
            outcome,
        )
        .count(self.events);
        self.state.record(&record);
    }

    async fn finish(mut self, end: PumpEnd) {
        self.abandon_move();
        if end != PumpEnd::Completed {
            self.leave_backup(None);
        }
        let now = self.state.now();
        let took = now.since(self.opened_at);
        let (result, label) = match end {
            PumpEnd::Completed => (dispatch::AttemptResult::Succeeded { took }, "completed"),
            PumpEnd::CallerLeft => (dispatch::AttemptResult::Cancelled, "caller_left"),
            PumpEnd::TimedOut => (dispatch::AttemptResult::Cancelled, "timed_out"),
            PumpEnd::Broken => (dispatch::AttemptResult::Broken, "broken"),
        };
        let record = self
            .call
            .record(telemetry::RecordKind::Ended)
            .target(&self.target.key.name)
            .outcome(label)
            .count(self.events)
            .after(now.since(self.call.demand.arrived))
            .stream_timing(self.first_event, self.longest_pause);
        self.state.record(&record);
        self.call.guard.settle(label);
        self.state.submit(dispatch::DispatchEvent::AttemptEnded {
            call: self.call.call,
            result,
        });
        if end != PumpEnd::Completed {
            // A caller that has gone does not see this; one that is there must not take the
            // stream for complete.
            let _ = self.sender.send(Err(answers::StreamCut)).await;
        }
    }
}
