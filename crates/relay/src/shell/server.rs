//! Servers for callers, for the platform's question of readiness, and for metrics.

use std::cell::Cell;
use std::convert::Infallible;
use std::net;
use std::rc::Rc;
use std::time::Duration;

use http::Request;
use http::StatusCode;
use hyper::body;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task;

use super::Result;
use super::ShellError;
use super::answers;
use super::client;
use super::head_limit;
use super::intake;
use super::peers;
use super::plain;
use super::state::RelayState;
use super::state::StopPhase;
use super::stream;
use crate::directory;

/// Descriptors that are kept for targets, peers and files.
const RESERVED_DESCRIPTORS: u32 = 1_000;

/// Least header buffer that the HTTP library takes.
const LEAST_HEADER_BYTES: usize = 8_192;

/// Time for which an idle connection is kept before limits are known.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);

/// Pause after a connection could not be taken, most often for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Starts to listen on all addresses.
///
/// # Errors
///
/// [`ShellError::Bind`] when an address is taken.
pub async fn start(state: &Rc<RelayState>) -> Result<()> {
    let settings = state.settings.borrow().clone();
    let callers = bind(settings.callers).await?;
    let ready = bind(settings.ready).await?;
    let peer_listener = bind(settings.peers).await?;
    let metrics = bind(settings.metrics).await?;

    task::spawn_local(serve_callers(Rc::clone(state), callers));
    task::spawn_local(serve_simple(Rc::clone(state), ready, answer_ready));
    task::spawn_local(serve_simple(Rc::clone(state), metrics, answer_metrics));
    peers::start(state, peer_listener);
    Ok(())
}

async fn bind(address: net::SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|error| ShellError::Bind(address, error))
}

async fn serve_callers(state: Rc<RelayState>, listener: TcpListener) {
    loop {
        let most = state.settings.borrow().descriptors;
        let most = most.saturating_sub(RESERVED_DESCRIPTORS).max(1) as usize;
        if state.connections.get() >= most {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                task::spawn_local(serve_connection(Rc::clone(&state), stream));
            }
            Err(error) => {
                log::warn!("a caller's connection can't be taken: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(state: Rc<RelayState>, stream: TcpStream) {
    if client::watch(&stream).is_err() {
        // The caller has gone already.
        return;
    }
    let _open = ConnectionCount::new(&state);
    let limits = state.routes().map(|routes| routes.table.limits());
    let idle = limits.map_or(DEFAULT_IDLE, |limits| limits.idle_timeout);
    let header = limits.map_or(0, |limits| {
        usize::try_from(limits.header.get()).unwrap_or(usize::MAX)
    });
    let head_time = limits.map_or(DEFAULT_IDLE, |limits| limits.header_timeout);
    let watch = head_limit::HeadWatch::new();
    let socket = head_limit::LimitedSocket::new(stream, watch.clone(), head_time);
    let served = Rc::clone(&state);
    let service = service::service_fn(move |request| {
        let state = Rc::clone(&served);
        let watch = watch.clone();
        async move {
            watch.note_head();
            let answer = answer(state, request).await;
            watch.note_answer();
            answer
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(header.max(LEAST_HEADER_BYTES))
        .serve_connection(TokioIo::new(socket), service);

    let mut connection = std::pin::pin!(connection);
    let mut phase = state.phase.subscribe();
    let is_closing = phase.wait_for(|phase| *phase == StopPhase::Closing);
    tokio::select! {
        // An error is the caller's: it left, or sent what is no request.
        _ = connection.as_mut() => return,
        // The sender is part of the state, which this task holds.
        _ = is_closing => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.as_mut().await;
}

/// Counts a connection while it is open.
struct ConnectionCount<'a>(&'a Cell<usize>);

impl<'a> ConnectionCount<'a> {
    fn new(state: &'a RelayState) -> Self {
        state.connections.set(state.connections.get() + 1);
        Self(&state.connections)
    }
}

impl Drop for ConnectionCount<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn answer(
    state: Rc<RelayState>,
    request: Request<body::Incoming>,
) -> std::result::Result<answers::CallAnswer, Infallible> {
    let mut answer = match intake::accept(&state, request).await {
        Ok(call) => match call.route.kind {
            directory::CallKind::Stream => stream::serve(&state, call).await,
            directory::CallKind::Idempotent | directory::CallKind::AtMostOnce => {
                plain::serve(&state, call).await
            }
        },
        Err(answer) => *answer,
    };
    if state.is_stopping() {
        answers::close_after(&mut answer);
    }
    Ok(answer)
}

type SimpleAnswer = fn(&RelayState) -> answers::CallAnswer;

async fn serve_simple(state: Rc<RelayState>, listener: TcpListener, reply: SimpleAnswer) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("a connection can't be taken: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let state = Rc::clone(&state);
        task::spawn_local(async move {
            let service = service::service_fn(move |_| {
                let answer = reply(&state);
                async move { Ok::<_, Infallible>(answer) }
            });
            // An error is the asking side's: it left.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(DEFAULT_IDLE)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

fn answer_ready(state: &RelayState) -> answers::CallAnswer {
    match state.is_ready() {
        true => answers::text(StatusCode::OK, "ready"),
        false => answers::text(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
    }
}

fn answer_metrics(state: &RelayState) -> answers::CallAnswer {
    answers::text(StatusCode::OK, &state.metrics_text())
}
