//! Links over real sockets on loopback.

use futures_util::SinkExt;
use futures_util::StreamExt;
use kingcupfall_link::codec;
use kingcupfall_link::transport;
use serde::Deserialize;
use serde::Serialize;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_tungstenite::tungstenite::Message;

#[derive(Serialize)]
struct NonceMessage {
    nonce: [u8; 32],
}

/// The proof of the server without its nonce, as a peer without the key could send it back.
#[derive(Serialize, Deserialize)]
struct ProofMessage {
    proof: [u8; 32],
}

type Outgoing = Box<str>;
type Incoming = u64;
type ClientSocket = transport::LinkSocket<Outgoing, Incoming>;
type ServerSocket = transport::LinkSocket<Incoming, Outgoing>;

fn link_key() -> transport::LinkKey {
    transport::LinkKey::new(&[7; 32])
}

fn other_key() -> transport::LinkKey {
    transport::LinkKey::new(&[8; 32])
}

async fn open_pair(
    client_key: &transport::LinkKey,
    server_key: &transport::LinkKey,
) -> (
    transport::Result<ClientSocket>,
    transport::Result<ServerSocket>,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let serving = async {
        let (stream, _) = listener.accept().await.unwrap();
        transport::accept(stream, server_key).await
    };

    tokio::join!(transport::connect(address, client_key), serving)
}

#[tokio::test]
async fn link_frames_both_ways_in_order() {
    let (client, server) = open_pair(&link_key(), &link_key()).await;
    let (client_sender, mut client_receiver) = client.unwrap().split();
    let (server_sender, mut server_receiver) = server.unwrap().split();

    client_sender.send(vec!["a".into(), "b".into()]).unwrap();
    client_sender.send(vec!["c".into()]).unwrap();
    server_sender.send(vec![1, 2, 3]).unwrap();

    let first = server_receiver.receive().await.unwrap().unwrap();
    let second = server_receiver.receive().await.unwrap().unwrap();
    let answer = client_receiver.receive().await.unwrap().unwrap();
    assert_eq!(first, ["a".into(), "b".into()]);
    assert_eq!(second, ["c".into()]);
    assert_eq!(answer, [1, 2, 3]);
}

#[tokio::test]
async fn link_closed_after_flush_although_peer_still_sends() {
    const FRAMES: usize = 500;
    let (client, server) = open_pair(&link_key(), &link_key()).await;
    let (client_sender, mut client_receiver) = client.unwrap().split();
    let (server_sender, mut server_receiver) = server.unwrap().split();
    for _ in 0..FRAMES {
        client_sender.send(vec!["x".repeat(1_000).into()]).unwrap();
        server_sender.send(vec![7]).unwrap();
    }

    let reading_client = async { while let Some(Ok(_)) = client_receiver.receive().await {} };
    let reading_server = async {
        let mut received = 0;
        while let Some(frames) = server_receiver.receive().await {
            received += frames.unwrap().len();
        }
        received
    };
    let ((), (), received) = tokio::join!(client_sender.close(), reading_client, reading_server);

    assert_eq!(received, FRAMES);
}

#[tokio::test]
async fn link_aborted_ends_receiver() {
    let (client, _server) = open_pair(&link_key(), &link_key()).await;
    let (sender, mut receiver) = client.unwrap().split();

    sender.abort();

    assert!(receiver.receive().await.is_none());
}

#[tokio::test]
async fn link_other_key_refused() {
    let (client, server) = open_pair(&other_key(), &link_key()).await;

    assert!(matches!(
        client.err().unwrap(),
        transport::TransportError::Unauthenticated
    ));
    assert!(server.is_err());
}

#[tokio::test]
async fn link_large_batch_split() {
    let (client, server) = open_pair(&link_key(), &link_key()).await;
    let (client_sender, _client_receiver) = client.unwrap().split();
    let (_server_sender, mut server_receiver) = server.unwrap().split();
    let part: Box<str> = "x".repeat(codec::FRAME_LIMIT_BYTES / 3).into();

    client_sender.send(vec![part.clone(); 4]).unwrap();

    let mut received = 0;
    while received < 4 {
        received += server_receiver.receive().await.unwrap().unwrap().len();
    }
    assert_eq!(received, 4);
}

#[tokio::test]
async fn link_oversized_frame_aborts() {
    let (client, _server) = open_pair(&link_key(), &link_key()).await;
    let (sender, mut receiver) = client.unwrap().split();
    let frame: Box<str> = "x".repeat(codec::FRAME_LIMIT_BYTES + 1).into();

    assert!(sender.send(vec![frame]).is_err());
    assert!(receiver.receive().await.is_none());
}

#[tokio::test]
async fn link_full_queue_aborts() {
    let (client, _server) = open_pair(&link_key(), &link_key()).await;
    let (sender, mut receiver) = client.unwrap().split();
    let frame: Box<str> = "x".repeat(1024).into();

    // The writer task does not run between these calls, so nothing leaves the queue.
    let full = (0..=transport::QUEUE_LIMIT_MESSAGES)
        .map(|_| sender.send(vec![frame.clone()]))
        .find_map(Result::err);

    assert!(matches!(full, Some(transport::TransportError::QueueFull)));
    assert!(receiver.receive().await.is_none());
}

#[tokio::test]
async fn link_junk_after_handshake_is_junk() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let serving = async {
        let (stream, _) = listener.accept().await.unwrap();
        transport::accept::<Incoming, Outgoing>(stream, &link_key()).await
    };
    // Numbers are no list of frames for a receiver of texts.
    let key = link_key();
    let connecting = transport::connect::<u64, Incoming>(address, &key);
    let (client, server) = tokio::join!(connecting, serving);
    let (sender, _receiver) = client.unwrap().split();
    let (_server_sender, mut server_receiver) = server.unwrap().split();

    sender.send(vec![1]).unwrap();

    let error = server_receiver.receive().await.unwrap().unwrap_err();
    assert!(error.is_junk());
}

#[yare::parameterized(
    text = { Message::Text("hello".into()) },
    not_cbor = { Message::Binary(vec![0xff; 16].into()) },
    too_long = { Message::Binary(vec![0; 4096].into()) },
)]
#[test_macro(tokio::test)]
async fn handshake_junk_refused(message: Message) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let client = async {
        let stream = TcpStream::connect(address).await.unwrap();
        let url = format!("ws://{address}/link");
        let (mut socket, _) = tokio_tungstenite::client_async(url, stream).await.unwrap();
        socket.send(message).await.unwrap();
        socket
    };
    let server = async {
        let (stream, _) = listener.accept().await.unwrap();
        transport::accept::<Incoming, Outgoing>(stream, &link_key()).await
    };

    let (_socket, accepted) = tokio::join!(client, server);

    assert!(accepted.err().unwrap().is_junk());
}

#[yare::parameterized(
    not_hexadecimal = { "zz" },
    odd_digits = { "abc" },
    short = { "00112233" },
)]
fn key_malformed_refused(text: &str) {
    assert!(text.parse::<transport::LinkKey>().is_err());
}

#[tokio::test]
async fn handshake_reflected_proof_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let client = async {
        let stream = TcpStream::connect(address).await.unwrap();
        let url = format!("ws://{address}/link");
        let (mut socket, _) = tokio_tungstenite::client_async(url, stream).await.unwrap();
        let nonce = codec::encode(&NonceMessage { nonce: [1; 32] }).unwrap();
        socket.send(Message::Binary(nonce.into())).await.unwrap();

        let Some(Ok(Message::Binary(answer))) = socket.next().await else {
            panic!("the server answers a nonce");
        };
        let proof: ProofMessage = codec::decode(&answer).unwrap();
        let echo = codec::encode(&proof).unwrap();
        socket.send(Message::Binary(echo.into())).await.unwrap();
        socket
    };
    let server = async {
        let (stream, _) = listener.accept().await.unwrap();
        transport::accept::<Incoming, Outgoing>(stream, &link_key()).await
    };

    let (_socket, accepted) = tokio::join!(client, server);

    assert!(matches!(
        accepted.err().unwrap(),
        transport::TransportError::Unauthenticated
    ));
}

#[tokio::test]
async fn handshake_plain_bytes_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let client = async {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream
            .write_all(b"\0\0\0\0 no request\r\n\r\n")
            .await
            .unwrap();
        stream
    };
    let server = async {
        let (stream, _) = listener.accept().await.unwrap();
        transport::accept::<Incoming, Outgoing>(stream, &link_key()).await
    };

    let (_stream, accepted) = tokio::join!(client, server);

    assert!(accepted.is_err());
}
