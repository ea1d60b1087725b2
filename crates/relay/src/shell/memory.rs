//! Memory that clients and targets can make the process hold.
//!
//! Bytes are counted as they arrive, not as they are announced. There is one account for all that
//! clients make the process hold, and one for the responses of targets, so that targets in trouble
//! can't keep callers out, nor callers the responses of calls that run. A client that keeps a response
//! waiting yields to others; see `clients`.

use std::cell::Cell;
use std::rc::Rc;
use std::result;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body;
use kingcupfall_core::measures;
use quick_error::quick_error;
use tokio::sync::Notify;
use tokio::time;

use super::clients;

/// Memory of the program without any calls.
const PROGRAM_BYTES: u64 = 10 * 1024 * 1024;

/// Shares of the remaining memory that are the limits of the accounts, in hundredths. What is left is
/// for routes, targets and peers, memory that the allocator can't use again, and logs.
const CLIENT_MEMORY_PERCENT: u64 = 34;
const RESPONSE_MEMORY_PERCENT: u64 = 20;

/// Share of the remaining memory for the records of targets, in hundredths.
const TARGET_MEMORY_PERCENT: u64 = 10;

/// Memory that the record of one target takes in all tables, and in messages to peers.
const TARGET_RECORD_BYTES: u64 = 2 * 1024;

/// Most records of targets, however much memory there is: peers with less receive them all in one
/// message.
const MAX_TARGET_RECORDS: usize = 8_192;

/// Part of the limit that stalled streams leave free, as a divisor.
const STALL_SPARE_DIVISOR: u64 = 8;

/// Capacity that each body has without a reservation, so that small ones need none. Also the least
/// that a buffer grows by.
pub(super) const UNCOUNTED_BYTES: usize = 8 * 1024;

/// Time limit for the return of memory by connections that yield.
const RETURN_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval between attempts to get memory from connections that will yield soon.
const CLAIM_INTERVAL: Duration = Duration::from_millis(20);

/// Result of reading a body.
pub(super) type Result<T> = result::Result<T, BodyError>;

quick_error! {
    /// Reason why a body was not read to its end.
    #[derive(Debug)]
    pub enum BodyError {
        /// The body is longer than allowed.
        TooLong(limit: usize) {
            display("longer than {} bytes", limit)
        }
        /// No memory is left for more of the body.
        OutOfMemory {
            display("no memory is left for more of it")
        }
        /// Nothing of the body has arrived for too long.
        StoodStill(timeout: Duration) {
            display("nothing has arrived for {:?}", timeout)
        }
        /// The connection broke, or the framing is invalid.
        Broken(error: hyper::Error) {
            from()
            display("{}", error)
        }
    }
}

/// What an account counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AccountKind {
    /// What clients make the process hold.
    Clients,
    /// What targets send.
    Responses,
}

/// Memory that is held for one client, in each account.
#[derive(Debug, Default)]
pub(super) struct HeldMemory {
    clients: Cell<u64>,
    responses: Cell<u64>,
}

impl HeldMemory {
    /// Returns the bytes that are held in an account.
    pub(super) fn in_account(&self, kind: AccountKind) -> u64 {
        self.cell(kind).get()
    }

    /// Returns the bytes that are held in all accounts.
    pub(super) fn total(&self) -> u64 {
        self.clients.get() + self.responses.get()
    }

    fn cell(&self, kind: AccountKind) -> &Cell<u64> {
        match kind {
            AccountKind::Clients => &self.clients,
            AccountKind::Responses => &self.responses,
        }
    }
}

/// The accounts of a process.
#[derive(Debug)]
pub(super) struct MemoryAccounts {
    pub(super) clients: Rc<MemoryAccount>,
    pub(super) responses: Rc<MemoryAccount>,
}

impl MemoryAccounts {
    /// Creates the accounts of a process with this memory limit.
    pub(super) fn new(memory_limit: measures::ByteSize) -> Self {
        let accounts = Self {
            clients: MemoryAccount::new(AccountKind::Clients),
            responses: MemoryAccount::new(AccountKind::Responses),
        };
        accounts.set_limits(memory_limit);
        accounts
    }

    /// Changes the limits to those for this memory limit of the process.
    pub(super) fn set_limits(&self, memory_limit: measures::ByteSize) {
        let percent = memory_limit.get().saturating_sub(PROGRAM_BYTES) / 100;
        self.clients.limit.set(percent * CLIENT_MEMORY_PERCENT);
        self.responses.limit.set(percent * RESPONSE_MEMORY_PERCENT);
    }
}

/// Returns how many records of targets a process with this memory limit keeps.
pub(super) fn max_target_records(memory_limit: measures::ByteSize) -> usize {
    let percent = memory_limit.get().saturating_sub(PROGRAM_BYTES) / 100;
    let records = percent * TARGET_MEMORY_PERCENT / TARGET_RECORD_BYTES;
    usize::try_from(records).map_or(MAX_TARGET_RECORDS, |records| {
        records.min(MAX_TARGET_RECORDS)
    })
}

/// Memory that one kind of data may take in sum.
#[derive(Debug)]
pub(super) struct MemoryAccount {
    kind: AccountKind,
    limit: Cell<u64>,
    reserved: Cell<u64>,
    /// Notified when memory is returned.
    returned: Notify,
}

impl MemoryAccount {
    fn new(kind: AccountKind) -> Rc<Self> {
        Rc::new(Self {
            kind,
            limit: Cell::default(),
            reserved: Cell::default(),
            returned: Notify::new(),
        })
    }

    /// Returns how many bytes are reserved.
    pub(super) fn reserved(&self) -> u64 {
        self.reserved.get()
    }

    /// Returns by how many bytes the reservations exceed the limit.
    pub(super) fn excess(&self) -> u64 {
        self.reserved.get().saturating_sub(self.limit.get())
    }

    /// Returns by how many bytes the reservations exceed what stalled streams may fill: they leave an
    /// eighth of the limit to requests.
    pub(super) fn excess_of_stalls(&self) -> u64 {
        let limit = self.limit.get();
        let limit = limit - limit / STALL_SPARE_DIVISOR;
        self.reserved.get().saturating_sub(limit)
    }

    /// Returns an empty reservation for data that no client holds, which may grow.
    pub(super) fn reserve_nothing(self: &Rc<Self>) -> MemoryReservation {
        self.reserve_nothing_for(&Rc::default())
    }

    /// Returns an empty reservation for a client, which may grow.
    pub(super) fn reserve_nothing_for(
        self: &Rc<Self>,
        holder: &Rc<HeldMemory>,
    ) -> MemoryReservation {
        MemoryReservation {
            account: Rc::clone(self),
            holder: Rc::clone(holder),
            bytes: 0,
        }
    }

    fn free(&self) -> u64 {
        self.limit.get().saturating_sub(self.reserved.get())
    }
}

/// How much of an account a reservation may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum GrowthRule {
    /// All that is left.
    Any,
    /// As long as at least as much is left for others. Several reservations that grow without end
    /// thereby leave room for a further one.
    Fair,
}

/// Memory that is reserved until this is dropped.
#[derive(Debug)]
pub(super) struct MemoryReservation {
    account: Rc<MemoryAccount>,
    holder: Rc<HeldMemory>,
    bytes: u64,
}

impl MemoryReservation {
    /// Returns how many bytes are reserved by this.
    pub(super) const fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Reserves further memory. Returns whether the rule allows that.
    pub(super) fn grow(&mut self, bytes: u64, rule: GrowthRule) -> bool {
        let is_allowed = self.shortage(bytes, rule) == 0;
        if is_allowed {
            self.resize(self.bytes + bytes);
        }
        is_allowed
    }

    /// Reserves further memory, for which clients yield that keep the process waiting. Returns
    /// whether so much was left or returned.
    pub(super) async fn grow_or_reclaim(
        &mut self,
        bytes: u64,
        rule: GrowthRule,
        clients: &Rc<clients::ClientTable>,
    ) -> bool {
        if self.grow(bytes, rule) {
            return true;
        }
        let ends_at = time::Instant::now() + RETURN_TIMEOUT;
        let _claim = clients.claim();
        let account = Rc::clone(&self.account);
        while !self.grow(bytes, rule) {
            let returned = account.returned.notified();
            let shortage = self.shortage(bytes, rule);
            let next_attempt = match clients.reclaim(account.kind, shortage, &self.holder) {
                clients::ReclaimOutcome::Yields => ends_at,
                clients::ReclaimOutcome::YieldsSoon => time::Instant::now() + CLAIM_INTERVAL,
                clients::ReclaimOutcome::Busy => return false,
            };
            let is_returned = time::timeout_at(next_attempt.min(ends_at), returned).await;
            if is_returned.is_err() && time::Instant::now() >= ends_at {
                return false;
            }
        }
        true
    }

    /// Reserves exactly this much, also beyond the limit: for memory that is taken already.
    pub(super) fn resize(&mut self, bytes: u64) {
        for cell in [&self.account.reserved, self.holder.cell(self.account.kind)] {
            cell.set((cell.get() + bytes).saturating_sub(self.bytes));
        }
        if bytes < self.bytes {
            self.account.returned.notify_waiters();
        }
        self.bytes = bytes;
    }

    /// Returns how much is missing for a growth.
    fn shortage(&self, bytes: u64, rule: GrowthRule) -> u64 {
        let needed = match rule {
            GrowthRule::Any => bytes,
            GrowthRule::Fair => self.bytes + 2 * bytes,
        };
        needed.saturating_sub(self.account.free())
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}

/// Limits on reading a body.
pub(super) struct BodyLimits<'a> {
    /// Longest body.
    pub(super) max_bytes: usize,
    /// Bytes that are reserved already.
    pub(super) reserved_bytes: usize,
    /// Longest time without any bytes, if there is one.
    pub(super) standstill: Option<Duration>,
    /// Clients that yield memory, if any may.
    pub(super) clients: Option<&'a Rc<clients::ClientTable>>,
}

/// Reads a body to its end. Its reservation grows as long as as much is left for others.
///
/// # Errors
///
/// Any [`BodyError`].
pub(super) async fn read_body<B>(
    mut body: B,
    limits: BodyLimits<'_>,
    reservation: &mut MemoryReservation,
) -> Result<Bytes>
where
    B: body::Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    let max_bytes = limits.max_bytes;
    // A buffer that grows leaves copies behind that the allocator can't always use again.
    let mut bytes = Vec::with_capacity(limits.reserved_bytes);
    let mut counted = limits.reserved_bytes.saturating_add(UNCOUNTED_BYTES);
    // No more than what a stated length announces.
    let announced = body.size_hint().upper().unwrap_or(u64::MAX);
    let max_capacity = usize::try_from(announced)
        .unwrap_or(usize::MAX)
        .min(max_bytes);
    loop {
        let frame = match limits.standstill {
            Some(timeout) => time::timeout(timeout, body.frame())
                .await
                .map_err(|_| BodyError::StoodStill(timeout))?,
            None => body.frame().await,
        };
        let Some(frame) = frame else {
            return Ok(bytes.into());
        };
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        let length = bytes.len() + data.len();
        if length > max_bytes {
            return Err(BodyError::TooLong(max_bytes));
        }
        if length > bytes.capacity() {
            let capacity = (2 * bytes.capacity()).max(UNCOUNTED_BYTES);
            let capacity = capacity.min(max_capacity).max(length);
            let more = capacity.saturating_sub(counted);
            if more > 0 && !grow_for_body(reservation, more as u64, limits.clients).await {
                return Err(BodyError::OutOfMemory);
            }
            counted += more;
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&data);
    }
}

async fn grow_for_body(
    reservation: &mut MemoryReservation,
    bytes: u64,
    clients: Option<&Rc<clients::ClientTable>>,
) -> bool {
    match clients {
        Some(clients) => {
            let grown = reservation.grow_or_reclaim(bytes, GrowthRule::Fair, clients);
            grown.await
        }
        None => reservation.grow(bytes, GrowthRule::Fair),
    }
}
