//! Connections of callers: what each makes the process hold, and which one yields to others.
//!
//! A connection can be closed for another while the process waits for its client: for the rest of a
//! request, for a further request, or until a response is read. Of these, the one that has held the
//! most memory for the longest time yields first.

use std::cell::Cell;
use std::cell::RefCell;
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::memory;

/// Time that clients have for a body, and for reading a response, before they yield to others.
const YIELD_GRACE: Duration = Duration::from_secs(2);

/// The same for a request, which may be on its way.
const REQUEST_GRACE: Duration = Duration::from_millis(100);

/// Interval between attempts to get below the limit of memory, when no client yields.
const ENFORCEMENT_INTERVAL: Duration = Duration::from_millis(1);

/// What the process waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AwaitedInput {
    /// A request, or the rest of its head.
    Request,
    /// The rest of a body.
    Body,
    /// That a response is read.
    Reading,
}

impl AwaitedInput {
    /// Returns the name of the input in the log.
    pub(super) const fn label(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Body => "body",
            Self::Reading => "reading",
        }
    }

    const fn grace(self) -> Duration {
        match self {
            Self::Request => REQUEST_GRACE,
            Self::Body | Self::Reading => YIELD_GRACE,
        }
    }
}

/// Whether a connection yields to others.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
enum YieldState {
    /// Its client may still take some time. Cost of the connection in bytes times seconds.
    Later(f64),
    /// It yields.
    Now(f64),
}

/// Outcome of a search for a connection that yields.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReclaimOutcome {
    /// A connection yields.
    Yields,
    /// A request that is awaited may arrive; if not, its connection yields soon.
    YieldsSoon,
    /// The process is at work for all clients, or their time isn't over.
    Busy,
}

/// A wait for a client.
#[derive(Debug, Clone, Copy)]
pub(super) struct ClientWait {
    pub(super) input: AwaitedInput,
    pub(super) since: Instant,
}

/// One connection of a client.
#[derive(Debug)]
pub(super) struct ClientConnection {
    held: Rc<memory::HeldMemory>,
    wait: Cell<Option<ClientWait>>,
    is_closing: Cell<bool>,
    /// Notified when the connection has to yield.
    yielded: Notify,
}

impl ClientConnection {
    /// Returns the memory that is held for the client.
    pub(super) const fn held(&self) -> &Rc<memory::HeldMemory> {
        &self.held
    }

    /// Returns what the process waits for.
    pub(super) fn wait(&self) -> Option<ClientWait> {
        self.wait.get()
    }

    /// Begins to wait for an input, from now on.
    pub(super) fn await_input(&self, input: AwaitedInput) {
        let since = Instant::now();
        self.wait.set(Some(ClientWait { input, since }));
    }

    /// Ends the wait: the process is at work for the client.
    pub(super) fn end_wait(&self) {
        self.wait.set(None);
    }

    /// Waits until the connection has to yield to others.
    pub(super) async fn yielded(&self) {
        self.yielded.notified().await;
    }

    fn awaits(&self, input: AwaitedInput) -> bool {
        self.wait.get().is_some_and(|wait| wait.input == input)
    }

    /// Returns whether the connection yields, if the process waits for its client.
    fn yield_state(&self, now: Instant) -> Option<YieldState> {
        let wait = self.wait.get().filter(|_| !self.is_closing.get())?;
        let waited = now.duration_since(wait.since);
        let cost = self.held.total() as f64 * waited.as_secs_f64();
        Some(match waited >= wait.input.grace() {
            true => YieldState::Now(cost),
            false => YieldState::Later(cost),
        })
    }
}

/// The open connections of clients.
#[derive(Debug, Default)]
pub(super) struct ClientTable {
    connections: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    last_number: Cell<u64>,
    /// Number of connections that have been told to yield.
    yielding: Cell<usize>,
    next_enforcement_at: Cell<Option<Instant>>,
    /// Number of requests that wait for memory.
    claims: Cell<usize>,
}

/// A request that waits for memory.
#[derive(Debug)]
pub(super) struct MemoryClaim(Rc<ClientTable>);

impl Drop for MemoryClaim {
    fn drop(&mut self) {
        let claims = &self.0.claims;
        claims.set(claims.get() - 1);
    }
}

/// Counts a connection as long as it is open.
#[derive(Debug)]
pub(super) struct ClientGuard {
    table: Rc<ClientTable>,
    number: u64,
    pub(super) connection: Rc<ClientConnection>,
}

impl ClientTable {
    /// Adds a connection, of which a request is awaited.
    pub(super) fn open(self: &Rc<Self>) -> ClientGuard {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let connection = Rc::new(ClientConnection {
            held: Rc::default(),
            wait: Cell::new(None),
            is_closing: Cell::new(false),
            yielded: Notify::new(),
        });
        connection.await_input(AwaitedInput::Request);
        let mut connections = self.connections.borrow_mut();
        connections.insert(number, Rc::clone(&connection));
        ClientGuard {
            table: Rc::clone(self),
            number,
            connection,
        }
    }

    /// Returns the number of open connections.
    pub(super) fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Returns the number of open connections that have not been told to yield.
    pub(super) fn lasting(&self) -> usize {
        self.len() - self.yielding.get()
    }

    /// Returns whether connections that have been told to yield are still open.
    pub(super) fn has_yielding(&self) -> bool {
        self.yielding.get() > 0
    }

    /// Closes the connection that has cost most, of those that yield.
    pub(super) fn reclaim_connection(&self) -> ReclaimOutcome {
        let now = Instant::now();
        let connections = self.connections.borrow();
        let costliest = connections
            .values()
            .filter_map(|connection| match connection.yield_state(now)? {
                YieldState::Now(cost) => Some((cost, connection)),
                YieldState::Later(_) => None,
            })
            .max_by(|(cost, _), (other, _)| cost.total_cmp(other));
        if let Some((_, connection)) = costliest {
            self.close(connection);
            return ReclaimOutcome::Yields;
        }
        let awaits_request = connections
            .values()
            .any(|connection| connection.awaits(AwaitedInput::Request));
        match awaits_request {
            true => ReclaimOutcome::YieldsSoon,
            false => ReclaimOutcome::Busy,
        }
    }

    /// Closes connections that hold at least this much in an account, other than that of `asking`. If
    /// not enough yield, none is closed.
    pub(super) fn reclaim(
        &self,
        account: memory::AccountKind,
        bytes: u64,
        asking: &Rc<memory::HeldMemory>,
    ) -> ReclaimOutcome {
        let is_other = |connection: &ClientConnection| !Rc::ptr_eq(&connection.held, asking);
        let (yielding, sum) = self.select(account, bytes, |connection, state| {
            matches!(state, YieldState::Now(_)) && is_other(connection)
        });
        if sum >= bytes {
            yielding
                .iter()
                .for_each(|connection| self.close(connection));
            return ReclaimOutcome::Yields;
        }
        let (_, sum) = self.select(account, bytes, |connection, state| {
            let awaits_request = connection.awaits(AwaitedInput::Request);
            (awaits_request || matches!(state, YieldState::Now(_))) && is_other(connection)
        });
        match sum >= bytes {
            true => ReclaimOutcome::YieldsSoon,
            false => ReclaimOutcome::Busy,
        }
    }

    /// Keeps further connections from being accepted until this is dropped, as a request waits for
    /// memory.
    pub(super) fn claim(self: &Rc<Self>) -> MemoryClaim {
        self.claims.set(self.claims.get() + 1);
        MemoryClaim(Rc::clone(self))
    }

    /// Returns whether a request waits for memory.
    pub(super) fn has_claims(&self) -> bool {
        self.claims.get() > 0
    }

    /// Closes connections that hold at least the excess of an account, first those that yield anyway.
    pub(super) fn enforce(&self, account: memory::AccountKind, excess: u64) {
        let now = Instant::now();
        if excess == 0 || self.next_enforcement_at.get().is_some_and(|at| now < at) {
            return;
        }
        let (yielding, sum) = self.select(account, excess, |_, _| true);
        yielding
            .iter()
            .for_each(|connection| self.close(connection));
        if sum < excess {
            let next = now + ENFORCEMENT_INTERVAL;
            self.next_enforcement_at.set(Some(next));
        }
    }

    /// Tells a connection to yield.
    fn close(&self, connection: &ClientConnection) {
        self.yielding.set(self.yielding.get() + 1);
        connection.is_closing.set(true);
        connection.yielded.notify_one();
    }

    /// Selects the candidates that have cost most until they hold this much. Returns them, and what
    /// they and those that are closing hold.
    fn select(
        &self,
        account: memory::AccountKind,
        bytes: u64,
        is_candidate: impl Fn(&ClientConnection, YieldState) -> bool,
    ) -> (Vec<Rc<ClientConnection>>, u64) {
        let now = Instant::now();
        let connections = self.connections.borrow();
        let closing = connections
            .values()
            .filter(|connection| connection.is_closing.get());
        let mut sum: u64 = closing
            .map(|connection| connection.held.in_account(account))
            .sum();
        let mut candidates: Vec<_> = connections
            .values()
            .filter(|connection| connection.held.in_account(account) > 0)
            .filter_map(|connection| Some((connection.yield_state(now)?, connection)))
            .filter(|(state, connection)| is_candidate(connection, *state))
            .collect();
        candidates.sort_by(|(state, _), (other, _)| {
            let order = other.partial_cmp(state);
            order.unwrap_or(Ordering::Equal)
        });
        let mut selected = Vec::new();
        for (_, connection) in candidates {
            if sum >= bytes {
                break;
            }
            sum += connection.held.in_account(account);
            selected.push(Rc::clone(connection));
        }
        (selected, sum)
    }
}

impl Drop for ClientGuard {
    fn drop(&mut self) {
        let table = &self.table;
        table.connections.borrow_mut().remove(&self.number);
        if self.connection.is_closing.get() {
            table.yielding.set(table.yielding.get() - 1);
        }
    }
}
