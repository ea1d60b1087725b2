//! Brings a stream away from a target that leaves, while the target still runs it.

use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;

use super::moves;
use super::pump;
use super::pump::StreamPump;
use crate::directory;
use crate::dispatch;
use crate::protocol;

/// Targets that are asked to shelter a stream before the first of them is asked again.
const MOST_SHELTERS: usize = 4;

/// Time until a stream without a shelter looks for one again; streams end and give room.
const SHELTER_RETRY: Duration = Duration::from_millis(120);

/// How often that time doubles when the source does not move the stream: up to some four seconds,
/// for a source that has lost its record but runs on.
const MOST_DOUBLINGS: u32 = 5;

/// Search for another place for a stream whose target leaves.
#[derive(Debug)]
pub(super) struct StreamEvacuation {
    pub(super) tried: Vec<ids::TargetName>,
    pub(super) retry_at: time::Timestamp,
    pub(super) failures: u32,
}

impl StreamPump {
    /// Begins to bring the stream away from a target that leaves.
    pub(super) async fn evacuate(&mut self) -> Option<pump::PumpEnd> {
        if self.evacuation.is_some() {
            return None;
        }
        self.evacuation = Some(StreamEvacuation {
            tried: Vec::new(),
            retry_at: self.state.now(),
            failures: 0,
        });
        if let Some(copy) = self.backup_copy()
            && self.events > 0
            && self.resume(copy, "left in time").await
        {
            return None;
        }
        self.stay_or_recover().await
    }

    /// Looks for another shelter while the target still runs the stream, or goes on as after a loss.
    async fn stay_or_recover(&mut self) -> Option<pump::PumpEnd> {
        if self.upstream.is_none() {
            return self.recover("the next target did not answer").await;
        }
        self.seek_shelter();
        None
    }

    /// Begins to move the stream's memory to a target with room.
    pub(super) fn seek_shelter(&mut self) {
        let can_migrate = self
            .call
            .demand
            .engine
            .as_ref()
            .is_some_and(|engine| engine.can_migrate);
        let now = self.state.now();
        let Some(evacuation) = &mut self.evacuation else {
            return;
        };
        let pause = SHELTER_RETRY * 2_u32.pow(evacuation.failures.min(MOST_DOUBLINGS));
        evacuation.retry_at = now + pause;
        // What waits or is being read can't be moved; it is once it has begun.
        if !can_migrate || self.events == 0 {
            return;
        }
        let service = &self.call.demand.service;
        if !self
            .state
            .has_repeat(service, dispatch::RepeatKind::Resumption)
        {
            self.note_move(pump::NO_REPEAT_LEFT);
            return;
        }
        if evacuation.tried.len() >= MOST_SHELTERS {
            evacuation.tried.clear();
        }
        let wish = dispatch::DispatchEvent::MigrationRequested {
            call: self.call.call,
            tried: evacuation.tried.clone(),
        };
        self.state.submit(wish);
    }

    /// Begins the move, once room for it was found and claimed.
    pub(super) fn take_shelter(&mut self, target: Option<Rc<directory::TargetRecord>>) {
        if self.evacuation.is_none() || self.pending.is_some() {
            return;
        }
        match target {
            Some(target) => self.start_move(target),
            None => self.note_move("no shelter"),
        }
    }

    fn start_move(&mut self, target: Rc<directory::TargetRecord>) {
        let request = self.call.head.request.clone();
        let source = Rc::clone(&self.target);
        let state = Rc::clone(&self.state);
        self.pending = Some(Box::pin(moves::run(state, request, source, target)));
    }

    /// Goes on at the target that has the memory now. What the source has generated meanwhile is
    /// less than a chunk of a prompt, so that reading it again is quicker than a last move, which
    /// would stop the stream while it waits behind the moves of others.
    pub(super) async fn take_move(&mut self, report: moves::MoveReport) -> Option<pump::PumpEnd> {
        match report.answer {
            Some(protocol::MigrationResponse::Copied { handle }) => {
                let copy = pump::MemoryCopy {
                    holder: report.target,
                    named_at: self.target.address,
                    handle,
                };
                let places = [copy.named_at, copy.holder.address];
                let handle = copy.handle.clone();
                self.state.metrics.record_migration_time(report.took);
                if !self.resume(copy, "moved in time").await {
                    moves::discard(&self.state, handle, &places);
                    return self.stay_or_recover().await;
                }
            }
            Some(protocol::MigrationResponse::Refused) => {
                self.note_move("no room at the shelter");
                if let Some(evacuation) = &mut self.evacuation {
                    evacuation.tried.push(report.target.key.name.clone());
                }
                self.seek_shelter();
            }
            Some(protocol::MigrationResponse::Busy) => self.delay_move("a move is in progress"),
            Some(protocol::MigrationResponse::Unknown) => {
                self.delay_move("the source does not run it")
            }
            None => self.delay_move("the source does not answer"),
        }
        None
    }

    /// Looks for a shelter again only after a longer pause.
    fn delay_move(&mut self, outcome: &str) {
        self.note_move(outcome);
        if let Some(evacuation) = &mut self.evacuation {
            evacuation.failures += 1;
        }
    }
}
