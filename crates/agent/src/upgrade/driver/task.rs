//! The task that owns the upgrade reducer.

use std::net;
use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_document::sections;
use tokio::sync::mpsc;
use tokio::time;

use super::engine::EngineClient;
use crate::shell;
use crate::upgrade;

/// Events that wait for the reducer; senders wait when there are more.
const EVENT_QUEUE: usize = 1_024;

/// Time between two ticks, and between two probes of the engine.
const TICK_INTERVAL: Duration = Duration::from_secs(1);

/// What the task asks of the process around it.
pub trait UpgradeHost {
    /// Tells the agents of other targets.
    fn announce(&self, note: &upgrade::UpgradeNote);

    /// Takes no new work; [`UpgradeHandle::drained`] is called when all work has ended.
    fn drain(&self);

    /// Serves again, as a new incarnation.
    fn rejoin(&self);

    /// Says whether the exclusive port is still held.
    fn is_fence_held(&self) -> bool;
}

/// What the task is told when it starts.
pub struct UpgradeSetup {
    /// Target beside the agent.
    pub target: ids::TargetName,
    /// Life of the process.
    pub process: ids::Incarnation,
    /// Where the engine listens.
    pub engine: net::SocketAddr,
    /// Source of the time of day.
    pub wall: Box<dyn Fn() -> upgrade::WallTime>,
}

/// Tells a running task what happens around it; the task ends with its last handle.
#[derive(Clone)]
pub struct UpgradeHandle {
    events: mpsc::Sender<upgrade::UpgradeEvent>,
    target: ids::TargetName,
}

impl UpgradeHandle {
    /// Hands over the document in force.
    pub async fn take_document(&self, document: &sections::OperatorDocument) {
        let plan = upgrade::UpgradePlan::of_document(document, &self.target);
        self.send(upgrade::UpgradeEvent::PlanChanged(plan)).await;
    }

    /// Hands over a note of another target's agent.
    pub async fn take_note(&self, note: upgrade::UpgradeNote) {
        self.send(upgrade::UpgradeEvent::PeerNoted(note)).await;
    }

    /// Says that the agent of `target` is dead or out of reach.
    pub async fn lose_peer(&self, target: ids::TargetName) {
        self.send(upgrade::UpgradeEvent::PeerGone { target }).await;
    }

    /// Says that the agent has no work left.
    pub async fn drained(&self) {
        self.send(upgrade::UpgradeEvent::Drained).await;
    }

    async fn send(&self, event: upgrade::UpgradeEvent) {
        // Without the task there is nobody to tell.
        let _ = self.events.send(event).await;
    }
}

/// Starts the task. Must be called in an ntex system.
///
/// # Errors
///
/// [`shell::ShellError::Client`] when no HTTP client can be made.
pub async fn start(setup: UpgradeSetup, host: Rc<dyn UpgradeHost>) -> shell::Result<UpgradeHandle> {
    let (events, incoming) = mpsc::channel(EVENT_QUEUE);
    let engine = EngineClient {
        client: shell::make_client().await?,
        address: setup.engine,
    };
    let handle = UpgradeHandle {
        events: events.clone(),
        target: setup.target.clone(),
    };
    let task = UpgradeTask {
        reducer: upgrade::UpgradeReducer::new(setup.target, setup.process),
        wall: setup.wall,
        clock: shell::ShellClock::start(),
        engine: engine.clone(),
        events: events.downgrade(),
        host,
    };

    ntex::rt::spawn(probe(engine, events.downgrade()));
    ntex::rt::spawn(task.run(incoming));
    Ok(handle)
}

/// Asks the engine for its state until the task has ended.
async fn probe(engine: EngineClient, events: mpsc::WeakSender<upgrade::UpgradeEvent>) {
    loop {
        let state = engine.ask().await;
        let Some(events) = events.upgrade() else {
            return;
        };
        let _ = events.send(upgrade::UpgradeEvent::EngineSeen(state)).await;
        drop(events);
        time::sleep(TICK_INTERVAL).await;
    }
}

struct UpgradeTask {
    reducer: upgrade::UpgradeReducer,
    wall: Box<dyn Fn() -> upgrade::WallTime>,
    clock: shell::ShellClock,
    engine: EngineClient,
    events: mpsc::WeakSender<upgrade::UpgradeEvent>,
    host: Rc<dyn UpgradeHost>,
}

impl UpgradeTask {
    async fn run(mut self, mut incoming: mpsc::Receiver<upgrade::UpgradeEvent>) {
        let mut ticks = time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);

        loop {
            let event = tokio::select! {
                _ = ticks.tick() => upgrade::UpgradeEvent::Tick { wall: (self.wall)() },
                event = incoming.recv() => match event {
                    Some(event) => event,
                    None => return,
                },
            };
            self.apply(event);
        }
    }

    fn apply(&mut self, event: upgrade::UpgradeEvent) {
        let mut effects = Vec::new();
        self.reducer.apply(self.clock.now(), event, &mut effects);
        for effect in effects {
            self.carry_out(effect);
        }
    }

    fn carry_out(&self, effect: upgrade::UpgradeEffect) {
        match effect {
            upgrade::UpgradeEffect::Announce(note) => self.host.announce(&note),
            upgrade::UpgradeEffect::Drain => self.host.drain(),
            upgrade::UpgradeEffect::Rejoin => self.host.rejoin(),
            upgrade::UpgradeEffect::Prepare { question } => self.prepare(question),
            upgrade::UpgradeEffect::GiveOrder {
                question,
                fencing,
                order,
                expires_at,
            } => {
                let engine = self.engine.clone();
                let clock = self.clock;
                self.answer(async move {
                    let outcome = match clock.now() > expires_at {
                        true => upgrade::OrderOutcome::Expired,
                        false => engine.order(fencing, order).await,
                    };
                    upgrade::UpgradeEvent::OrderEnded { question, outcome }
                });
            }
        }
    }

    fn prepare(&self, question: upgrade::QuestionNumber) {
        let engine = self.engine.clone();
        let host = Rc::clone(&self.host);
        self.answer(async move {
            let engine = engine.ask().await;
            upgrade::UpgradeEvent::Prepared(upgrade::Preparation {
                question,
                is_fence_held: host.is_fence_held(),
                engine,
            })
        });
    }

    /// Waits for an answer beside the task, and hands it over.
    fn answer(&self, waiting: impl Future<Output = upgrade::UpgradeEvent> + 'static) {
        let events = self.events.clone();
        ntex::rt::spawn(async move {
            let event = waiting.await;
            if let Some(events) = events.upgrade() {
                let _ = events.send(event).await;
            }
        });
    }
}
