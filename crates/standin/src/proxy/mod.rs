//! TCP proxy whose open connections can be silenced or closed while new ones work.

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

/// Which connections are interrupted. Connections are numbered from zero in the order of their
/// acceptance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct ProxyState {
    /// Number of the next connection.
    next_number: u64,
    /// Connections with a lower number stay open but forward nothing.
    silent_before: u64,
    /// Connections with a lower number are closed.
    closed_before: u64,
}

/// Proxy in front of one address.
pub struct TcpProxy {
    address: net::SocketAddr,
    state: Arc<watch::Sender<ProxyState>>,
}

impl TcpProxy {
    /// Starts a proxy to `target` on a free loopback port. Must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// The error of the operating system, for example if no port is free.
    pub async fn start(target: net::SocketAddr) -> server::Result<Self> {
        let listener = TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(watch::Sender::default());

        tokio::spawn(run(listener, target, Arc::clone(&state)));
        Ok(Self { address, state })
    }

    /// Returns the address that the proxy listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns the number of connections accepted so far.
    pub fn connection_count(&self) -> u64 {
        self.state.borrow().next_number
    }

    /// Silences the open connections: they stay open but forward nothing. New ones work.
    pub fn silence_connections(&self) {
        self.state
            .send_modify(|state| state.silent_before = state.next_number);
    }

    /// Closes the open connections; new ones work.
    pub fn close_connections(&self) {
        self.state
            .send_modify(|state| state.closed_before = state.next_number);
    }
}

async fn run(
    listener: TcpListener,
    target: net::SocketAddr,
    state: Arc<watch::Sender<ProxyState>>,
) {
    while let Ok((caller_stream, _)) = listener.accept().await {
        let number = state.borrow().next_number;
        state.send_modify(|state| state.next_number += 1);
        tokio::spawn(forward_connection(
            caller_stream,
            target,
            number,
            state.subscribe(),
        ));
    }
}

async fn forward_connection(
    caller_stream: TcpStream,
    target: net::SocketAddr,
    number: u64,
    mut state: watch::Receiver<ProxyState>,
) {
    let Ok(target_stream) = TcpStream::connect(target).await else {
        return;
    };
    // Without this, the delay of small packets would count as a delay of the system under test.
    let _ = caller_stream.set_nodelay(true);
    let _ = target_stream.set_nodelay(true);
    let (caller_reader, caller_writer) = caller_stream.into_split();
    let (target_reader, target_writer) = target_stream.into_split();

    let forwarding = async {
        let _ = tokio::join!(
            forward(caller_reader, target_writer),
            forward(target_reader, caller_writer),
        );
    };
    tokio::pin!(forwarding);
    let is_interrupted = tokio::select! {
        () = &mut forwarding => false,
        state = state.wait_for(|state| number < state.silent_before.max(state.closed_before)) => {
            state.is_ok()
        }
    };
    if is_interrupted {
        // `forwarding` still owns the sockets, which keeps a silent connection open.
        let _ = state.wait_for(|state| number < state.closed_before).await;
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
