//! Brings the events of one stream to its caller, from one target after the other.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body;
use kingcupfall_core::ids;
use kingcupfall_core::time;
use tokio::sync::mpsc;

use super::answers;
use super::client;
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

/// Time from the news that a target leaves to the last move. Targets leave 1.5 s after the news
/// at the earliest, and the last move and the way to the next target take some 100 ms each.
const LAST_MOVE_AFTER: Duration = Duration::from_millis(950);

/// A repeated move that takes no longer finds the links idle, so that a last one is as short.
const SHORT_MOVE: Duration = Duration::from_millis(70);

/// Most targets that are asked to shelter a stream.
const MOST_SHELTERS: usize = 4;

/// Urgency of a stream that goes on at another target.
const RESUMED_URGENCY: u8 = 0;

type PendingMove = Pin<Box<dyn Future<Output = moves::MoveReport>>>;

/// Why a stream's target is being left.
#[derive(Debug)]
struct StreamEvacuation {
    since: time::Timestamp,
    tried: Vec<ids::TargetName>,
    is_stopped: bool,
}

/// A copy of the stream's memory at another target.
#[derive(Debug, Clone)]
struct MemoryCopy {
    holder: Rc<directory::TargetRecord>,
    named_at: std::net::SocketAddr,
    handle: Box<str>,
}

/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PumpEnd {
    Completed,
    CallerLeft,
    TimedOut,
    Broken,
}

/// What happened to a stream.
enum PumpStep {
    Frame(Option<Result<body::Frame<bytes::Bytes>, hyper::Error>>),
    Notice(Option<dispatch::DispatchEffect>),
    Moved(moves::MoveReport),
    CallerLeft,
    DeadlinePassed,
    Silent,
}

/// One stream on its way.
pub(super) struct StreamPump {
    state: Rc<RelayState>,
    call: Box<intake::AcceptedCall>,
    target: Rc<directory::TargetRecord>,
    backup: Option<Rc<directory::TargetRecord>>,
    moved: Option<MemoryCopy>,
    upstream: client::OpenAnswer,
    sender: mpsc::Sender<answers::StreamPart>,
    parser: protocol::EventParser,
    last_event: Option<u64>,
    events: u64,
    heard_at: time::Timestamp,
    first_event: Option<Duration>,
    longest_pause: Duration,
    opened_at: time::Timestamp,
    evacuation: Option<StreamEvacuation>,
    pending: Option<PendingMove>,
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
            backup: placement.copy_to,
            moved: None,
            upstream,
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
        let silent_at = match self.has_copy() && self.events > 0 {
            true => self.state.instant(self.heard_at + SILENCE_LIMIT),
            false => deadline,
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
            frame = self.upstream.body.frame() => PumpStep::Frame(frame),
            () = self.sender.closed() => PumpStep::CallerLeft,
            () = tokio::time::sleep_until(deadline) => PumpStep::DeadlinePassed,
            () = tokio::time::sleep_until(silent_at) => PumpStep::Silent,
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
        }
    }

    async fn take_frame(&mut self, frame: body::Frame<bytes::Bytes>) -> Option<PumpEnd> {
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
                    .record(telemetry::RecordKind::MoveFailed)
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
            let kind = self.call.route.kind.label();
            self.first_event = Some(took);
            self.state.metrics.record_first_event(kind, took);
            self.state.submit(dispatch::DispatchEvent::Started { call });
        } else {
            let pause = now.since(self.heard_at);
            self.longest_pause = self.longest_pause.max(pause);
            self.state.metrics.record_pause(pause);
        }
        self.events += 1;
        self.heard_at = now;
        self.state.submit(dispatch::DispatchEvent::Progressed {
            call,
            events: self.events,
        });
    }

    async fn take_end(&mut self) -> Option<PumpEnd> {
        let is_stopped = self
            .evacuation
            .as_ref()
            .is_some_and(|evacuation| evacuation.is_stopped);
        if !is_stopped && !self.parser.has_rest() {
            return Some(PumpEnd::Completed);
        }
        self.recover("ended early").await
    }

    async fn take_notice(
        &mut self,
        notice: Option<dispatch::DispatchEffect>,
    ) -> Option<PumpEnd> {
        match notice {
            Some(dispatch::DispatchEffect::Evacuate { .. }) => self.evacuate().await,
            Some(dispatch::DispatchEffect::DropCopy { .. }) => {
                self.backup = None;
                None
            }
            Some(
                dispatch::DispatchEffect::Place { .. }
                | dispatch::DispatchEffect::Refuse { .. }
                | dispatch::DispatchEffect::Shelter { .. },
            ) => None,
            None => Some(PumpEnd::Broken),
        }
    }

    /// Begins to bring the stream away from a target that leaves.
    async fn evacuate(&mut self) -> Option<PumpEnd> {
        if self.evacuation.is_some() {
            return None;
        }
        self.evacuation = Some(StreamEvacuation {
            since: self.state.now(),
            tried: Vec::new(),
            is_stopped: false,
        });
        if let Some(copy) = self.backup_copy()
            && self.events > 0
            && self.resume(copy, "left in time").await
        {
            return None;
        }
        self.seek_shelter();
        None
    }

    /// Begins to move the stream's memory to a target with room.
    fn seek_shelter(&mut self) {
        let can_move = self
            .call
            .demand
            .engine
            .as_ref()
            .is_some_and(|engine| engine.can_move);
        let Some(evacuation) = &self.evacuation else {
            return;
        };
        if !can_move || evacuation.tried.len() >= MOST_SHELTERS {
            return;
        }
        let wish = dispatch::DispatchEvent::ShelterWanted {
            call: self.call.call,
            tried: evacuation.tried.clone(),
        };
        let shelter = self
            .state
            .ask(self.call.call, wish)
            .into_iter()
            .find_map(|effect| match effect {
                dispatch::DispatchEffect::Shelter { target, .. } => target,
                _ => None,
            });
        match shelter {
            Some(target) => self.start_move(target, false),
            None => self.note_move("no shelter"),
        }
    }

    fn start_move(&mut self, target: Rc<directory::TargetRecord>, is_last: bool) {
        let request = self.call.head.request.clone();
        let source = Rc::clone(&self.target);
        let state = Rc::clone(&self.state);
        self.pending = Some(Box::pin(moves::run(state, request, source, target, is_last)));
    }

    async fn take_move(&mut self, report: moves::MoveReport) -> Option<PumpEnd> {
        match report.answer {
            Some(protocol::MoveAnswer::Copied { handle, events }) => {
                self.moved = Some(MemoryCopy {
                    holder: Rc::clone(&report.target),
                    named_at: self.target.address,
                    handle,
                });
                match report.is_last {
                    true => self.go_on_moved(events).await,
                    false => self.move_again(report.target, report.took),
                }
            }
            Some(protocol::MoveAnswer::Refused { handle }) => {
                self.note_move("no room at the shelter");
                if report.is_last {
                    return self.go_on_at_source(handle).await;
                }
                if let Some(evacuation) = &mut self.evacuation {
                    evacuation.tried.push(report.target.key.name.clone());
                }
                self.seek_shelter();
                None
            }
            Some(protocol::MoveAnswer::Busy) => self.move_again(report.target, report.took),
            Some(protocol::MoveAnswer::Unknown) | None => {
                self.note_move("the source does not move it");
                None
            }
        }
    }

    /// Copies what is new, and stops the stream once that is short or the time is nearly over.
    fn move_again(
        &mut self,
        target: Rc<directory::TargetRecord>,
        took: Duration,
    ) -> Option<PumpEnd> {
        let since = self.evacuation.as_ref().map_or(time::Timestamp::ZERO, |it| it.since);
        let is_due = self.state.now().since(since) >= LAST_MOVE_AFTER;
        let is_last = is_due || took <= SHORT_MOVE;
        if is_last && let Some(evacuation) = &mut self.evacuation {
            evacuation.is_stopped = true;
        }
        self.start_move(target, is_last);
        None
    }

    /// Reads what the source generated before it stopped, and goes on at the shelter.
    async fn go_on_moved(&mut self, events: u64) -> Option<PumpEnd> {
        let due = tokio::time::Instant::now() + SHORT_MOVE;
        while self.events < events {
            match tokio::time::timeout_at(due, self.upstream.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Some(end) = self.take_frame(frame).await {
                        return Some(end);
                    }
                }
                Ok(Some(Err(_)) | None) | Err(_) => break,
            }
        }
        self.recover("moved").await
    }

    /// Goes on at a source that stopped the stream and could not move it.
    async fn go_on_at_source(&mut self, handle: Option<Box<str>>) -> Option<PumpEnd> {
        let handle = handle?;
        self.moved = Some(MemoryCopy {
            holder: Rc::clone(&self.target),
            named_at: self.target.address,
            handle,
        });
        self.recover("stopped in vain").await
    }

    /// Goes on from a copy, now that the target generates no more.
    async fn recover(&mut self, cause: &str) -> Option<PumpEnd> {
        let copies = [self.moved.take(), self.backup_copy()];
        for copy in copies.into_iter().flatten() {
            if self.resume(copy, cause).await {
                return None;
            }
        }
        let record = stream::move_record(
            &self.call,
            telemetry::RecordKind::MoveFailed,
            &self.target,
            cause,
        )
        .count(self.events)
        .after(self.state.now().since(self.call.demand.arrived));
        self.state.record(&record);
        self.state.metrics.record_move("lost");
        Some(PumpEnd::Broken)
    }

    /// Sends the request to the target with a copy, and reads on from there; says whether it does.
    async fn resume(&mut self, copy: MemoryCopy, cause: &str) -> bool {
        let moved = dispatch::DispatchEvent::Moved {
            call: self.call.call,
            target: Rc::clone(&copy.holder),
        };
        let next_copy = self
            .state
            .ask(self.call.call, moved)
            .into_iter()
            .find_map(|effect| match effect {
                dispatch::DispatchEffect::Place { placement, .. } => placement.copy_to,
                _ => None,
            });
        let Some(upstream) = self.open_resumed(&copy, next_copy.as_ref()).await else {
            let back = dispatch::DispatchEvent::MoveFailed {
                call: self.call.call,
                target: Rc::clone(&self.target),
            };
            self.state.submit(back);
            self.backup = None;
            self.state.metrics.record_move("refused");
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
        self.state.metrics.record_move("resumed");
        self.target = copy.holder;
        self.backup = next_copy;
        self.moved = None;
        self.pending = None;
        self.evacuation = None;
        self.parser = protocol::EventParser::default();
        self.upstream = upstream;
        true
    }

    async fn open_resumed(
        &self,
        copy: &MemoryCopy,
        next_copy: Option<&Rc<directory::TargetRecord>>,
    ) -> Option<client::OpenAnswer> {
        let resumption = protocol::StreamResumption {
            holder: copy.named_at,
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
        let request = plain::forwarded(&self.state, &self.call, &head);
        let sent = client::send(copy.holder.address, request);
        let answer = match tokio::time::timeout(RESUME_TIMEOUT, sent).await {
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
            .judge_answer(&answer.parts, &self.call.head.request);
        (verdict == protocol::AnswerVerdict::Success).then_some(answer)
    }

    fn has_copy(&self) -> bool {
        self.moved.is_some() || self.backup.is_some()
    }

    /// Returns the copy that the target keeps up to date; it is named by the caller's request.
    fn backup_copy(&self) -> Option<MemoryCopy> {
        let holder = self.backup.as_ref()?;
        Some(MemoryCopy {
            holder: Rc::clone(holder),
            named_at: holder.address,
            handle: self.call.head.request.clone(),
        })
    }

    fn note_move(&self, outcome: &str) {
        let record = stream::move_record(
            &self.call,
            telemetry::RecordKind::MoveFailed,
            &self.target,
            outcome,
        )
        .count(self.events);
        self.state.record(&record);
    }

    async fn finish(mut self, end: PumpEnd) {
        let now = self.state.now();
        let took = now.since(self.opened_at);
        let (result, label) = match end {
            PumpEnd::Completed => (
                dispatch::AttemptResult::Succeeded { took },
                "completed",
            ),
            PumpEnd::CallerLeft => (dispatch::AttemptResult::Withdrawn, "caller_left"),
            PumpEnd::TimedOut => (dispatch::AttemptResult::Withdrawn, "timed_out"),
            PumpEnd::Broken => (dispatch::AttemptResult::Broken, "broken"),
        };
        let record = self
            .call
            .record(telemetry::RecordKind::Ended)
            .target(&self.target.key.name)
            .outcome(label)
            .count(self.events)
            .after(now.since(self.call.demand.arrived))
            .stream(self.first_event, self.longest_pause);
        self.state.record(&record);
        self.call.guard.settle(label);
        self.state.submit(dispatch::DispatchEvent::Released {
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
