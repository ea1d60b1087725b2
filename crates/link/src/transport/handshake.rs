//! Mutual proof of the link key, so that the key never travels.
//!
//! 1. Client to server: its nonce.
//! 2. Server to client: its nonce, and an HMAC-SHA-256 over `"server"` and both nonces.
//! 3. Client to server: an HMAC-SHA-256 over `"client"` and both nonces.
//!
//! The role in the HMAC keeps a proof from being reflected to its maker. Fresh nonces of both ends
//! keep it from being replayed.

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

/// Longest message of the handshake.
const MESSAGE_LIMIT_BYTES: usize = 512;

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

/// Proves the key as the end that connected, and checks the other end's proof.
pub(super) async fn run_client(
    socket: &mut WebSocketStream<TcpStream>,
    key: &LinkKey,
) -> Result<()> {
    let client: [u8; NONCE_BYTES] = rand::rng().random();
    send(socket, &ClientNonce { nonce: client }).await?;

    let answer: ServerProof = receive(socket).await?;
    if !key.verify(SERVER_ROLE, &client, &answer.nonce, &answer.proof) {
        return Err(TransportError::Unauthenticated);
    }

    let proof = key.prove(CLIENT_ROLE, &client, &answer.nonce);
    send(socket, &ClientProof { proof }).await
}

/// Proves the key as the end that accepted, and checks the other end's proof.
pub(super) async fn run_server(
    socket: &mut WebSocketStream<TcpStream>,
    key: &LinkKey,
) -> Result<()> {
    let client: ClientNonce = receive(socket).await?;
    let server: [u8; NONCE_BYTES] = rand::rng().random();
    let proof = key.prove(SERVER_ROLE, &client.nonce, &server);
    let answer = ServerProof {
        nonce: server,
        proof,
    };
    send(socket, &answer).await?;

    let claim: ClientProof = receive(socket).await?;
    match key.verify(CLIENT_ROLE, &client.nonce, &server, &claim.proof) {
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
    if bytes.len() > MESSAGE_LIMIT_BYTES {
        return Err(TransportError::Unauthenticated);
    }

    codec::decode(&bytes).map_err(|_| TransportError::Unauthenticated)
}
