//! Memory that callers and targets can make the process hold.
//!
//! Bytes are counted as they arrive, not as they are announced. Requests and responses have an
//! account each, so that targets in trouble can't keep callers out, nor callers the responses of
//! calls that run.

use std::cell::Cell;
use std::rc::Rc;
use std::result;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body;
use kingcupfall_core::measures;
use quick_error::quick_error;

/// Divisor of the process's memory that gives the limit for requests: one third.
const REQUEST_MEMORY_DIVISOR: u64 = 3;

/// The same for responses. The rest is for the program itself, connections and logs.
const RESPONSE_MEMORY_DIVISOR: u64 = 4;

/// Capacity that each body has without a reservation, so that small ones need none. Also the least
/// that a buffer grows by.
pub(super) const UNCOUNTED_BYTES: usize = 8 * 1024;

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
        /// The connection broke, or the framing is invalid.
        Broken(error: hyper::Error) {
            from()
            display("{}", error)
        }
    }
}

/// The accounts of a process.
#[derive(Debug, Default)]
pub(super) struct MemoryAccounts {
    /// What callers send.
    pub(super) requests: Rc<MemoryAccount>,
    /// What targets send.
    pub(super) responses: Rc<MemoryAccount>,
}

impl MemoryAccounts {
    /// Creates the accounts of a process with this memory limit.
    pub(super) fn new(memory_limit: measures::ByteSize) -> Self {
        let accounts = Self::default();
        accounts.set_limits(memory_limit);
        accounts
    }

    /// Changes the limits to those for this memory limit of the process.
    pub(super) fn set_limits(&self, memory_limit: measures::ByteSize) {
        let bytes = memory_limit.get();
        self.requests.limit.set(bytes / REQUEST_MEMORY_DIVISOR);
        self.responses.limit.set(bytes / RESPONSE_MEMORY_DIVISOR);
    }
}

/// Memory that one kind of data may take in sum.
#[derive(Debug, Default)]
pub(super) struct MemoryAccount {
    limit: Cell<u64>,
    reserved: Cell<u64>,
}

impl MemoryAccount {
    /// Returns how many bytes are reserved.
    pub(super) fn reserved(&self) -> u64 {
        self.reserved.get()
    }

    /// Reserves memory; returns `None` if too little is left.
    pub(super) fn reserve(self: &Rc<Self>, bytes: u64) -> Option<MemoryReservation> {
        let mut reservation = self.reserve_nothing();
        reservation.grow(bytes).then_some(reservation)
    }

    /// Returns an empty reservation, which may grow.
    pub(super) fn reserve_nothing(self: &Rc<Self>) -> MemoryReservation {
        MemoryReservation {
            account: Rc::clone(self),
            bytes: 0,
        }
    }

    fn free(&self) -> u64 {
        self.limit.get().saturating_sub(self.reserved.get())
    }
}

/// Memory that is reserved until this is dropped.
#[derive(Debug)]
pub(super) struct MemoryReservation {
    account: Rc<MemoryAccount>,
    bytes: u64,
}

impl MemoryReservation {
    /// Reserves further memory. Returns whether that much is left.
    pub(super) fn grow(&mut self, bytes: u64) -> bool {
        if bytes > self.account.free() {
            return false;
        }
        let reserved = &self.account.reserved;
        reserved.set(reserved.get() + bytes);
        self.bytes += bytes;
        true
    }

    /// Reserves further memory unless this reservation would then exceed what is left for others.
    /// Several that grow without end thereby leave room for a further one.
    pub(super) fn grow_fairly(&mut self, bytes: u64) -> bool {
        let left = self.account.free().saturating_sub(bytes);
        self.bytes + bytes <= left && self.grow(bytes)
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        let reserved = &self.account.reserved;
        reserved.set(reserved.get().saturating_sub(self.bytes));
    }
}

/// Reads a body to its end. This many bytes of it are reserved already; its reservation grows as long as
/// as much is left for others.
///
/// # Errors
///
/// Any [`BodyError`].
pub(super) async fn read_body<B>(
    mut body: B,
    max_bytes: usize,
    reserved_bytes: usize,
    reservation: &mut MemoryReservation,
) -> Result<Bytes>
where
    B: body::Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    let mut bytes = Vec::new();
    let mut allowed = reserved_bytes.saturating_add(UNCOUNTED_BYTES);
    // No more than what a stated length announces.
    let announced = body.size_hint().upper().unwrap_or(u64::MAX);
    let max_capacity = usize::try_from(announced)
        .unwrap_or(usize::MAX)
        .min(max_bytes);
    while let Some(frame) = body.frame().await {
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
            let more = capacity.saturating_sub(allowed);
            if more > 0 && !reservation.grow_fairly(more as u64) {
                return Err(BodyError::OutOfMemory);
            }
            allowed += more;
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.into())
}
