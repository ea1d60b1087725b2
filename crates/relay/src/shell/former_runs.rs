//! Stops the run of a stream at a target that the stream has left.
//!
//! Most targets drop a request when its connection closes, but some finish it, while another target
//! already runs the stream. A final migration stops the run before it copies memory, and its
//! response shows whether there was a run to stop.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::time;
use tokio::task;

use super::client;
use super::forwarder::StreamForwarder;
use super::intake;
use super::memory_migration;
use super::state::RelayState;
use super::stream;
use crate::directory;
use crate::protocol;
use crate::telemetry;

/// Time limit for one request to stop a run. Its response follows the copy of the memory, which
/// queues behind other migrations.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay before the first repetition of a request to stop a run; it doubles each time.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(25);

/// Longest delay after a response that leaves it open whether the run goes on. The platform counts
/// 400 ms of overlap as two runs.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Longest delay after a request without a response.
const MAX_UNANSWERED_DELAY: Duration = Duration::from_secs(1);

/// A run that may go on at a target after the stream has left it.
#[derive(Debug, Clone)]
pub(super) struct FormerRun {
    /// Target that the stream has left.
    pub(super) target: Rc<directory::TargetRecord>,
    /// Target that runs the stream next; receives the memory if the run has to be stopped.
    pub(super) next: Rc<directory::TargetRecord>,
    /// Whether the target has begun to run the stream. A request that waits there is unknown to
    /// migrations, so that only its start or the deadline shows what became of it.
    pub(super) has_begun: bool,
}

/// How a run at a former target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunEnd {
    /// It went on until it was stopped.
    Stopped,
    /// The target did not run it any more.
    NotRunning,
    /// The target has started again since: the directory shows it, and nothing is left at the address of
    /// the former run.
    TargetEnded,
    /// The deadline of the call passed before the end was confirmed.
    Unconfirmed,
}

impl RunEnd {
    /// Name in the decision log and the metrics.
    const fn label(self) -> &'static str {
        match self {
            Self::Stopped => "stopped",
            Self::NotRunning => "not_running",
            Self::TargetEnded => "target_ended",
            Self::Unconfirmed => "unconfirmed",
        }
    }
}

/// Result of one request to stop a run.
enum StopReply {
    Ended(RunEnd),
    /// Nothing listens at the address, or what listens there does not know the run. A target behind a
    /// partition may refuse connections too, and a request that waits is not known either.
    NotFound {
        max_delay: Duration,
    },
    /// The run may go on; the target responded.
    Pending,
    /// There was no response. A target that has too many connections resets further ones, and goes on.
    Unanswered,
}

/// Stops a run in the background, unless its target has no migrations.
pub(super) fn stop(state: &Rc<RelayState>, call: &mut intake::AcceptedCall, run: FormerRun) {
    if !call.can_migrate() || run.target.key == run.next.key {
        return;
    }
    let state = Rc::clone(state);
    let request_id = call.head.request_id.clone();
    let deadline = call.demand.deadline;
    let kind = telemetry::RecordKind::FormerRun;
    let record = stream::migration_record(call, kind, &run.target, "");
    let followed = run.clone();
    let task = task::spawn_local(async move {
        let started_at = state.now();
        let end = stop_until(&state, &request_id, &run, deadline).await;
        let took = state.now().since(started_at);
        state.record(&record.outcome(end.label()).after(took));
        state.metrics.record_former_run(end.label());
    });
    call.pending_stops.add(followed, task);
}

/// Repeats the request to stop a run until its end is known or the deadline has passed, at which
/// targets end their work by themselves. That the directory lacks the target shows nothing: its
/// registration may have lapsed behind a partition.
async fn stop_until(
    state: &Rc<RelayState>,
    request_id: &str,
    run: &FormerRun,
    deadline: time::Timestamp,
) -> RunEnd {
    let mut delay = MIN_RETRY_DELAY;
    loop {
        let max_delay = match request_stop(state, request_id, run).await {
            StopReply::Ended(end) => return end,
            StopReply::NotFound { .. } if has_started_again(state, &run.target.key) => {
                return RunEnd::TargetEnded;
            }
            StopReply::NotFound { max_delay } => max_delay,
            StopReply::Unanswered => MAX_UNANSWERED_DELAY,
            StopReply::Pending => MAX_RETRY_DELAY,
        };
        delay = delay.min(max_delay);
        if state.now() + delay >= deadline {
            return RunEnd::Unconfirmed;
        }
        tokio::time::sleep(delay).await;
        delay *= 2;
    }
}

/// Returns whether a later incarnation of a target has registered.
fn has_started_again(state: &RelayState, key: &directory::TargetKey) -> bool {
    let targets = state.targets.borrow();
    targets
        .record(&key.name)
        .is_some_and(|record| record.key.started_ms > key.started_ms)
}

async fn request_stop(state: &Rc<RelayState>, request_id: &str, run: &FormerRun) -> StopReply {
    let (source, destination) = (run.target.address, run.next.address);
    let request = state.protocol.migration_request(
        request_id,
        source,
        destination,
        protocol::MigrationMode::Final,
    );
    let (parts, body) =
        match client::exchange(source, request, STOP_TIMEOUT, &state.memory.responses).await {
            Ok(response) => response,
            Err(error) => {
                log::debug!(
                    "can't stop stream {request_id} at target {}: {error}",
                    run.target.key
                );
                return unanswered_stop(&error);
            }
        };
    match state.protocol.read_migration_response(parts.status, &body) {
        protocol::MigrationResponse::Copied { handle } => {
            memory_migration::discard_copy(state, handle, &[source, destination]);
            StopReply::Ended(RunEnd::Stopped)
        }
        protocol::MigrationResponse::Refused {
            handle: Some(handle),
        } => {
            memory_migration::discard_copy(state, handle, &[source]);
            StopReply::Ended(RunEnd::Stopped)
        }
        protocol::MigrationResponse::NotRunning if run.has_begun => {
            StopReply::Ended(RunEnd::NotRunning)
        }
        protocol::MigrationResponse::NotRunning => StopReply::NotFound {
            max_delay: MAX_RETRY_DELAY,
        },
        // Without the handle of the memory, the target has refused the request and stopped nothing.
        protocol::MigrationResponse::Refused { handle: None }
        | protocol::MigrationResponse::Busy
        | protocol::MigrationResponse::Unknown => StopReply::Pending,
    }
}

/// Returns what an error shows of the run.
fn unanswered_stop(error: &client::SendError) -> StopReply {
    match error {
        client::SendError::Unreachable(error)
            if error.kind() == io::ErrorKind::ConnectionRefused =>
        {
            StopReply::NotFound {
                max_delay: MAX_UNANSWERED_DELAY,
            }
        }
        client::SendError::Unreachable(_)
        | client::SendError::Broken(_)
        | client::SendError::Incomplete(_)
        | client::SendError::TimedOut => StopReply::Unanswered,
    }
}

/// Stops of a stream's former runs that are not confirmed yet. They go on when the call has ended.
#[derive(Default)]
pub(super) struct PendingStops(Vec<(FormerRun, task::JoinHandle<()>)>);

impl PendingStops {
    fn add(&mut self, run: FormerRun, task: task::JoinHandle<()>) {
        self.0.retain(|(_, task)| !task.is_finished());
        self.0.push((run, task));
    }

    /// Gives up stopping the former run at a target that is to run the stream again, or at its
    /// address: the same request would stop the new run as well. Returns the run at the target if it
    /// may go on, for the case that the target refuses to run the stream.
    pub(super) fn cancel(&mut self, target: &directory::TargetRecord) -> Option<FormerRun> {
        let mut cancelled = None;
        self.0.retain(|(run, task)| {
            let is_same = run.target.key == target.key;
            if !is_same && run.target.address != target.address {
                return true;
            }
            if is_same && !task.is_finished() {
                cancelled = Some(run.clone());
            }
            task.abort();
            false
        });
        cancelled
    }
}

impl StreamForwarder {
    /// Stops the run at the current target, which `next` continues. Does nothing if that was done
    /// before.
    pub(super) fn stop_current_run(&mut self, next: &Rc<directory::TargetRecord>) {
        if std::mem::replace(&mut self.is_run_stopped, true) {
            return;
        }
        let run = FormerRun {
            target: Rc::clone(&self.target),
            next: Rc::clone(next),
            has_begun: self.has_run_begun,
        };
        stop(&self.state, &mut self.call, run);
    }
}
