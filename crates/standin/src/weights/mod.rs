//! Stand-in of the weight store: a few downloads at a time, each at a limited rate.

use std::net;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::stream;
use kingcupfall_core::measures;
use ntex::http::header;
use ntex::util::Bytes;
use ntex::web;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time;

use crate::server;

/// Time between two parts of a download.
const PART_INTERVAL: Duration = Duration::from_millis(50);

/// Wait that a refused reader is told, in seconds.
const RETRY_AFTER_SECONDS: u64 = 1;

/// What a stand-in weight store is like.
#[derive(Debug, Clone)]
pub struct WeightConfig {
    /// Where it listens; port 0 takes a free one.
    pub listen: net::SocketAddr,
    /// Size of the weights of each model and version.
    pub size: measures::ByteSize,
    /// Bytes a second of one download.
    pub bytes_per_s: u64,
    /// Downloads at a time; more are refused with 429.
    pub downloads: usize,
}

struct WeightCore {
    config: WeightConfig,
    slots: Arc<Semaphore>,
    refused: AtomicU64,
}

/// A running stand-in weight store.
#[derive(Clone)]
pub struct WeightStandin {
    core: Arc<WeightCore>,
    server: server::StandinServer,
}

impl WeightStandin {
    /// Starts a store. Must be called in an ntex system.
    ///
    /// # Errors
    ///
    /// The operating system's, when the address is taken.
    pub fn start(config: WeightConfig) -> server::Result<Self> {
        let (listener, address) = server::bind(config.listen)?;
        let core = Arc::new(WeightCore {
            slots: Arc::new(Semaphore::new(config.downloads)),
            config,
            refused: AtomicU64::new(0),
        });
        let http = serve(listener, Arc::clone(&core))?;

        Ok(Self {
            core,
            server: server::StandinServer::new(address, http),
        })
    }

    /// Returns where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// Returns how many downloads were refused.
    pub fn refused(&self) -> u64 {
        self.core.refused.load(Ordering::Relaxed)
    }

    /// Kills it with all its connections.
    pub async fn kill(&self) {
        self.server.kill().await;
    }
}

type CoreState = web::types::State<Arc<WeightCore>>;

fn serve(
    listener: net::TcpListener,
    core: Arc<WeightCore>,
) -> server::Result<ntex::server::Server> {
    let factory = move || {
        let core = Arc::clone(&core);
        async move {
            web::App::new().state(core).service(
                web::resource("/v1/weights/{model}/{version}").route(web::get().to(download)),
            )
        }
    };

    Ok(web::HttpServer::new(factory)
        .workers(1)
        .disable_signals()
        .listen(listener)?
        .run())
}

async fn download(core: CoreState) -> web::HttpResponse {
    let Ok(slot) = Arc::clone(&core.slots).try_acquire_owned() else {
        core.refused.fetch_add(1, Ordering::Relaxed);
        return web::HttpResponse::TooManyRequests()
            .header(header::RETRY_AFTER, RETRY_AFTER_SECONDS)
            .finish();
    };

    let download = Download {
        left: core.config.size.get(),
        part: part_size(core.config.bytes_per_s),
        _slot: slot,
    };
    web::HttpResponse::Ok()
        .content_type("application/octet-stream")
        .streaming(Box::pin(stream::unfold(download, Download::next)))
}

/// A download in progress.
struct Download {
    left: u64,
    part: u64,
    _slot: OwnedSemaphorePermit,
}

impl Download {
    async fn next(mut self) -> Option<(Result<Bytes, std::io::Error>, Self)> {
        if self.left == 0 {
            return None;
        }
        time::sleep(PART_INTERVAL).await;
        let size = self.left.min(self.part);
        self.left -= size;

        let part = vec![0; usize::try_from(size).unwrap_or_default()];
        Some((Ok(Bytes::from(part)), self))
    }
}

fn part_size(bytes_per_s: u64) -> u64 {
    let share = PART_INTERVAL.as_secs_f64();
    ((bytes_per_s as f64 * share) as u64).max(1)
}
