//! Mutual authentication: each end proves that it holds the link key without sending it.
//!
//! 1. Client to server: its nonce.
//! 2. Server to client: its nonce, and an HMAC-SHA-256 over the server role and both nonces.
//! 3. Client to server: an HMAC-SHA-256 over the client role and both nonces.
//!
//! The role prevents a peer from authenticating with a proof that it received. New nonces of both
//! ends prevent replays of earlier proofs.

use futures_util::SinkExt;
use futures_util::StreamExt;
use rand::Rng;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

use super::LinkKey;
use super::Result;
use super::TransportError;
use super::key;
use crate::codec;

const NONCE_BYTES: usize = 32;
const CLIENT_ROLE: &[u8] = b"kingcupfall link client";
const SERVER_ROLE: &[u8] = b"kingcupfall link server";

/// Maximum size of a handshake message; small because the peer is not authenticated yet.
const MAX_MESSAGE_BYTES: usize = 512;

#[derive(Serialize, Deserialize)]
struct ClientNonce {
    nonce: [u8; NONCE_BYTES],
}

#[derive(Serialize, Deserialize)]
struct ServerProof {
    nonce: [u8; NONCE_BYTES],
    proof: [u8; key::PROOF_BYTES],
}

#[derive(Serialize, Deserialize)]
struct ClientProof {
    proof: [u8; key::PROOF_BYTES],
}

/// Authenticates both ends, as the end that connected.
pub(super) async fn run_client(
    socket: &mut WebSocketStream<TcpStream>,
    key: &LinkKey,
) -> Result<()> {
    let nonce: [u8; NONCE_BYTES] = rand::rng().random();
    send(socket, &ClientNonce { nonce }).await?;

    let server: ServerProof = receive(socket).await?;
    if !key.verify(SERVER_ROLE, &nonce, &server.nonce, &server.proof) {
        return Err(TransportError::Unauthenticated);
    }

    let proof = key.prove(CLIENT_ROLE, &nonce, &server.nonce);
    send(socket, &ClientProof { proof }).await
}

/// Authenticates both ends, as the end that accepted the connection.
pub(super) async fn run_server(
    socket: &mut WebSocketStream<TcpStream>,
    key: &LinkKey,
) -> Result<()> {
    let client: ClientNonce = receive(socket).await?;
    let nonce: [u8; NONCE_BYTES] = rand::rng().random();
    let proof = key.prove(SERVER_ROLE, &client.nonce, &nonce);
    let reply = ServerProof { nonce, proof };
    send(socket, &reply).await?;

    let confirmation: ClientProof = receive(socket).await?;
    match key.verify(CLIENT_ROLE, &client.nonce, &nonce, &confirmation.proof) {
        true => Ok(()),
        false => Err(TransportError::Unauthenticated),
    }
}

async fn send<T: Serialize>(socket: &mut WebSocketStream<TcpStream>, message: &T) -> Result<()> {
    let bytes = codec::encode(message)?;
    socket.send(Message::Binary(bytes.into())).await?;
    Ok(())
}

async fn receive<T: DeserializeOwned>(socket: &mut WebSocketStream<TcpStream>) -> Result<T> {
    let message = socket.next().await.ok_or(TransportError::Closed)??;
    let Message::Binary(bytes) = message else {
        return Err(TransportError::Unauthenticated);
    };
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(TransportError::Unauthenticated);
    }

    codec::decode(&bytes).map_err(|_| TransportError::Unauthenticated)
}
