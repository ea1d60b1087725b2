//! Opens links, as the connecting or the accepting end.

use std::net;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use super::HANDSHAKE_TIMEOUT;
use super::LinkKey;
use super::LinkSocket;
use super::Result;
use super::TransportError;
use super::handshake;
use crate::codec;

/// Size of each of the two buffers of a socket; small because an agent has many links.
const BUFFER_BYTES: usize = 16 * 1024;

/// Connects to the process that listens for links at `address`.
///
/// # Errors
///
/// May return any [`TransportError`], such as [`TransportError::HandshakeTimeout`] if the peer is
/// silent.
pub async fn connect<O, I>(address: net::SocketAddr, key: &LinkKey) -> Result<LinkSocket<O, I>>
where
    O: Serialize,
    I: DeserializeOwned,
{
    within_timeout(async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;

        let request = format!("ws://{address}/link");
        let (mut socket, _) =
            tokio_tungstenite::client_async_with_config(request, stream, Some(socket_config()))
                .await?;
        handshake::run_client(&mut socket, key).await?;
        Ok(LinkSocket::new(socket))
    })
    .await
}

/// Accepts a link on a new incoming connection.
///
/// # Errors
///
/// May return any [`TransportError`], as the peer may be any process that can reach the address.
pub async fn accept<O, I>(stream: TcpStream, key: &LinkKey) -> Result<LinkSocket<O, I>>
where
    O: Serialize,
    I: DeserializeOwned,
{
    within_timeout(async {
        stream.set_nodelay(true)?;

        let mut socket =
            tokio_tungstenite::accept_async_with_config(stream, Some(socket_config())).await?;
        handshake::run_server(&mut socket, key).await?;
        Ok(LinkSocket::new(socket))
    })
    .await
}

async fn within_timeout<T>(opening: impl Future<Output = Result<T>>) -> Result<T> {
    match time::timeout(HANDSHAKE_TIMEOUT, opening).await {
        Ok(opened) => opened,
        Err(_) => Err(TransportError::HandshakeTimeout),
    }
}

fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(Some(codec::MAX_FRAME_BYTES))
        .max_frame_size(Some(codec::MAX_FRAME_BYTES))
}
