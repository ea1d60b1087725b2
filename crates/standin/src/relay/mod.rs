//! A TCP relay whose open connections can go silent while new ones work.

use std::io;
use std::net;
use std::sync::Arc;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp;
use tokio::sync::watch;

use crate::server;

const BUFFER_BYTES: usize = 16 * 1024;

/// Which connections are disturbed. They are numbered from zero in the order of their opening.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct RelayState {
    /// Number of the next connection.
    next: u64,
    /// Connections before this one stay open and forward nothing.
    silent_before: u64,
    /// Connections before this one are closed.
    cut_before: u64,
}

/// A relay in front of one address.
pub struct TcpRelay {
    address: net::SocketAddr,
    state: Arc<watch::Sender<RelayState>>,
}

impl TcpRelay {
    /// Starts a relay to `target` on a free loopback port. Must be called on a tokio runtime.
    ///
    /// # Errors
    ///
    /// The operating system's, when no port is free.
    pub async fn start(target: net::SocketAddr) -> server::Result<Self> {
        let listener = TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(watch::Sender::default());

        tokio::spawn(run(listener, target, Arc::clone(&state)));
        Ok(Self { address, state })
    }

    /// Returns where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns how many connections were opened.
    pub fn connections(&self) -> u64 {
        self.state.borrow().next
    }

    /// Makes the open connections silent; new ones work.
    pub fn silence(&self) {
        self.state
            .send_modify(|state| state.silent_before = state.next);
    }

    /// Closes the open connections; new ones work.
    pub fn cut(&self) {
        self.state
            .send_modify(|state| state.cut_before = state.next);
    }
}

async fn run(
    listener: TcpListener,
    target: net::SocketAddr,
    state: Arc<watch::Sender<RelayState>>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let number = state.borrow().next;
        state.send_modify(|state| state.next += 1);
        tokio::spawn(relay(stream, target, number, state.subscribe()));
    }
}

async fn relay(
    stream: TcpStream,
    target: net::SocketAddr,
    number: u64,
    mut state: watch::Receiver<RelayState>,
) {
    let Ok(other) = TcpStream::connect(target).await else {
        return;
    };
    // Delays of small packets would be measured as delays of the system.
    let _ = stream.set_nodelay(true);
    let _ = other.set_nodelay(true);
    let (stream_reader, stream_writer) = stream.into_split();
    let (other_reader, other_writer) = other.into_split();

    let forwarding = async {
        let _ = tokio::join!(
            forward(stream_reader, other_writer),
            forward(other_reader, stream_writer),
        );
    };
    tokio::pin!(forwarding);
    let is_disturbed = tokio::select! {
        () = &mut forwarding => false,
        state = state.wait_for(|state| number < state.silent_before.max(state.cut_before)) => {
            state.is_ok()
        }
    };
    if is_disturbed {
        // The halves of the sockets are kept, so that a silent connection stays open.
        let _ = state.wait_for(|state| number < state.cut_before).await;
    }
}

async fn forward(
    mut reader: tcp::OwnedReadHalf,
    mut writer: tcp::OwnedWriteHalf,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = reader.read(&mut buffer).await?;
        if length == 0 {
            return writer.shutdown().await;
        }
        writer.write_all(&buffer[..length]).await?;
    }
}
