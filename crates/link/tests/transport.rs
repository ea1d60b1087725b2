//! Tests of links over TCP sockets on the loopback interface.

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

/// Proof of the server without its nonce, which a peer without the key could send back.
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
    let server = async {
        let (stream, _) = listener.accept().await.unwrap();
        transport::accept(stream, server_key).await
    };

    tokio::join!(transport::connect(address, client_key), server)
}

#[tokio::test]
async fn link_frames_of_both_ends_received_in_order() {
    let (client, server) = open_pair(&link_key(), &link_key()).await;
    let (client_sender, mut client_receiver) = client.unwrap().split();
    let (server_sender, mut server_receiver) = server.unwrap().split();

    client_sender.send(vec!["a".into(), "b".into()]).unwrap();
    client_sender.send(vec!["c".into()]).unwrap();
    server_sender.send(vec![1, 2, 3]).unwrap();

    let first = server_receiver.receive().await.unwrap().unwrap();
    let second = server_receiver.receive().await.unwrap().unwrap();
    let third = client_receiver.receive().await.unwrap().unwrap();
    assert_eq!(first, ["a".into(), "b".into()]);
    assert_eq!(second, ["c".into()]);
    assert_eq!(third, [1, 2, 3]);
}

#[tokio::test]
async fn link_close_while_peer_sends_delivers_queued_frames() {
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
async fn link_abort_ends_receiver() {
    let (client, _server) = open_pair(&link_key(), &link_key()).await;
    let (sender, mut receiver) = client.unwrap().split();

    sender.abort();

    assert!(receiver.receive().await.is_none());
}

#[tokio::test]
async fn link_with_other_key_refused() {
    let (client, server) = open_pair(&other_key(), &link_key()).await;

    assert!(matches!(
        client.err().unwrap(),
        transport::TransportError::Unauthenticated
    ));
    assert!(server.is_err());
}

#[tokio::test]
async fn link_large_frame_list_sent_in_parts() {
    let (client, server) = open_pair(&link_key(), &link_key()).await;
    let (client_sender, _client_receiver) = client.unwrap().split();
    let (_server_sender, mut server_receiver) = server.unwrap().split();
    let part: Box<str> = "x".repeat(codec::MAX_FRAME_BYTES / 3).into();

    client_sender.send(vec![part.clone(); 4]).unwrap();

    let mut received = 0;
    while received < 4 {
        received += server_receiver.receive().await.unwrap().unwrap().len();
    }
    assert_eq!(received, 4);
}

#[tokio::test]
async fn link_oversized_frame_aborts_link() {
    let (client, _server) = open_pair(&link_key(), &link_key()).await;
    let (sender, mut receiver) = client.unwrap().split();
    let frame: Box<str> = "x".repeat(codec::MAX_FRAME_BYTES + 1).into();

    assert!(sender.send(vec![frame]).is_err());
    assert!(receiver.receive().await.is_none());
}

#[tokio::test]
async fn link_full_queue_aborts_link() {
    let (client, _server) = open_pair(&link_key(), &link_key()).await;
    let (sender, mut receiver) = client.unwrap().split();
    let frame: Box<str> = "x".repeat(1024).into();

    // The writer task does not run between these calls, so nothing leaves the queue.
    let error = (0..=transport::MAX_QUEUED_MESSAGES)
        .map(|_| sender.send(vec![frame.clone()]))
        .find_map(Result::err);

    assert!(matches!(error, Some(transport::TransportError::QueueFull)));
    assert!(receiver.receive().await.is_none());
}

#[tokio::test]
async fn link_frame_of_other_type_is_protocol_violation() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = async {
        let (stream, _) = listener.accept().await.unwrap();
        transport::accept::<Incoming, Outgoing>(stream, &link_key()).await
    };
    // The server expects texts, so it can't decode the numbers that this client sends.
    let key = link_key();
    let client = transport::connect::<u64, Incoming>(address, &key);
    let (client, server) = tokio::join!(client, server);
    let (sender, _receiver) = client.unwrap().split();
    let (_server_sender, mut server_receiver) = server.unwrap().split();

    sender.send(vec![1]).unwrap();

    let error = server_receiver.receive().await.unwrap().unwrap_err();
    assert!(error.is_protocol_violation());
}

#[yare::parameterized(
    text = { Message::Text("hello".into()) },
    not_cbor = { Message::Binary(vec![0xff; 16].into()) },
    too_long = { Message::Binary(vec![0; 4096].into()) },
)]
#[test_macro(tokio::test)]
async fn handshake_invalid_message_refused(message: Message) {
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

    assert!(accepted.err().unwrap().is_protocol_violation());
}

#[yare::parameterized(
    not_hexadecimal = { "zz" },
    odd_digits = { "abc" },
    short = { "00112233" },
)]
fn link_key_malformed_text_refused(text: &str) {
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

        let Some(Ok(Message::Binary(reply))) = socket.next().await else {
            panic!("the server did not reply to the nonce with a binary message");
        };
        let proof: ProofMessage = codec::decode(&reply).unwrap();
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
async fn handshake_without_http_request_refused() {
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
