//! Migrates a stream away from a target that leaves, while that target still runs it.

use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;

use super::forwarder;
use super::forwarder::StreamForwarder;
use super::memory_migration;
use crate::directory;
use crate::dispatch;
use crate::protocol;

/// Number of migration targets tried for a stream before the first of them may be tried again.
const MAX_TRIED_TARGETS: usize = 4;

/// Interval at which a stream without a migration target requests one again: streams that end free
/// capacity.
const MIGRATION_RETRY_INTERVAL: Duration = Duration::from_millis(120);

/// Limit on how often that interval doubles if the source does not migrate the stream: up to some
/// four seconds, for a source that has lost its record of the stream but still runs it.
const MAX_RETRY_DOUBLINGS: u32 = 5;

/// Progress of the migration of a stream whose target leaves.
#[derive(Debug)]
pub(super) struct StreamMigration {
    pub(super) tried: Vec<ids::TargetName>,
    pub(super) retry_at: time::Timestamp,
    pub(super) failures: u32,
}

impl StreamForwarder {
    /// Starts to migrate the stream away from a target that leaves. A stream that has started and
    /// has a copy is resumed from it immediately, if its run here can be stopped then; otherwise
    /// once the target has ended.
    pub(super) async fn start_migration(&mut self) -> Option<forwarder::StreamEnd> {
        if self.migration.is_some() {
            return None;
        }
        self.migration = Some(StreamMigration {
            tried: Vec::new(),
            retry_at: self.state.now(),
            failures: 0,
        });
        if let Some(copy) = self.current_copy()
            && self.event_count > 0
            && self.call.can_migrate()
            && self.resume(copy, "left in time").await
        {
            return None;
        }
        self.continue_or_recover().await
    }

    /// Requests a migration target while the current target still runs the stream; otherwise
    /// recovers the stream as after a loss.
    async fn continue_or_recover(&mut self) -> Option<forwarder::StreamEnd> {
        if self.upstream.is_none() {
            return self.recover("the next target did not answer").await;
        }
        self.request_migration_target();
        None
    }

    /// Requests a target with the capacity for the stream's memory.
    pub(super) fn request_migration_target(&mut self) {
        let can_migrate = self.call.can_migrate();
        let now = self.state.now();
        let Some(migration) = &mut self.migration else {
            return;
        };
        let retry_delay =
            MIGRATION_RETRY_INTERVAL * 2_u32.pow(migration.failures.min(MAX_RETRY_DOUBLINGS));
        migration.retry_at = now + retry_delay;
        // A stream that is queued or whose prompt is being processed can't be migrated until its
        // first event.
        if !can_migrate || self.event_count == 0 {
            return;
        }
        let service = &self.call.demand.service;
        if !self
            .state
            .has_available_repeat(service, dispatch::RepeatKind::Resumption)
        {
            self.record_migration_failure(forwarder::NO_REPEAT_LEFT);
            return;
        }
        if migration.tried.len() >= MAX_TRIED_TARGETS {
            migration.tried.clear();
        }
        let migration_requested = dispatch::DispatchEvent::MigrationRequested {
            call: self.call.id,
            tried: migration.tried.clone(),
        };
        self.state.submit(migration_requested);
    }

    /// Starts the migration once the dispatcher has reserved capacity at a target for it.
    pub(super) fn handle_migration_target(&mut self, target: Option<Rc<directory::TargetRecord>>) {
        if self.migration.is_none() || self.pending_migration.is_some() {
            return;
        }
        match target {
            // The zone may have been evacuated since the target was chosen.
            Some(target) if !self.may_receive(&target) => self.request_migration_target(),
            Some(target) => self.start_memory_migration(target),
            None => self.record_migration_failure("no shelter"),
        }
    }

    fn start_memory_migration(&mut self, target: Rc<directory::TargetRecord>) {
        let request_id = self.call.head.request_id.clone();
        let source = Rc::clone(&self.target);
        let state = Rc::clone(&self.state);
        self.pending_migration = Some(Box::pin(memory_migration::migrate(
            state, request_id, source, target,
        )));
    }

    /// Resumes the stream at the target that now holds its memory. The tokens that the source has
    /// generated since are fewer than a prompt chunk. Recomputing them is faster than a final
    /// migration, which would pause the stream until the migrations of other streams are done.
    pub(super) async fn handle_migration_report(
        &mut self,
        report: memory_migration::MigrationReport,
    ) -> Option<forwarder::StreamEnd> {
        match report.response {
            Some(protocol::MigrationResponse::Copied { handle }) => {
                let copy = forwarder::MemoryCopy {
                    holder: report.target,
                    handle_address: self.target.address,
                    handle,
                };
                let addresses = [copy.handle_address, copy.holder.address];
                let handle = copy.handle.clone();
                self.state.metrics.record_migration_time(report.took);
                if !self.resume(copy, "moved in time").await {
                    memory_migration::discard_copy(&self.state, handle, &addresses);
                    return self.continue_or_recover().await;
                }
            }
            Some(protocol::MigrationResponse::Refused { .. }) => {
                self.record_migration_failure("no room at the shelter");
                if let Some(migration) = &mut self.migration {
                    migration.tried.push(report.target.key.name.clone());
                }
                self.request_migration_target();
            }
            Some(protocol::MigrationResponse::Busy) => {
                self.delay_migration("a move is in progress")
            }
            Some(protocol::MigrationResponse::NotRunning) => {
                self.delay_migration("the source does not run it")
            }
            Some(protocol::MigrationResponse::Unknown) => {
                self.delay_migration("the answer of the source can't be read")
            }
            None => self.delay_migration("the source does not answer"),
        }
        None
    }

    /// Records a failed migration, and lengthens the interval until the next one.
    fn delay_migration(&mut self, outcome: &str) {
        self.record_migration_failure(outcome);
        if let Some(migration) = &mut self.migration {
            migration.failures += 1;
        }
    }
}
