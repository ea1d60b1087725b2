//! The network path to one server: a proxy that can be cut like a partition.
//!
//! While it is cut, no connection can be opened, as opening packets are dropped, and what is sent on
//! open ones is held until the path is whole again.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Connections that wait for the proxy while it is whole.
const BACKLOG: i32 = 1_024;

/// Time without an answer after which the queue of new connections counts as full.
const FULL_QUEUE_TIMEOUT: Duration = Duration::from_millis(100);

const POLL_INTERVAL: Duration = Duration::from_millis(1);

unsafe extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
}

pub struct ServerPath {
    pub address: SocketAddr,
    listener: TcpListener,
    is_cut: AtomicBool,
    /// Connections that fill the queue while the path is cut.
    fillers: Mutex<Vec<TcpStream>>,
    /// Local addresses of these, which are dropped when they are accepted.
    filler_addresses: Mutex<Vec<SocketAddr>>,
}

impl ServerPath {
    pub fn start(server: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.set_nonblocking(true).expect("a listener");
        let path = Arc::new(Self {
            address: listener.local_addr().expect("a bound address"),
            listener,
            is_cut: AtomicBool::new(false),
            fillers: Mutex::default(),
            filler_addresses: Mutex::default(),
        });
        path.set_backlog(BACKLOG);
        let acceptor = Arc::clone(&path);
        thread::spawn(move || acceptor.accept(server));
        path
    }

    pub fn is_cut(&self) -> bool {
        self.is_cut.load(Ordering::SeqCst)
    }

    /// Cuts the path. Returns once no further connection can be opened.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        thread::sleep(4 * POLL_INTERVAL);
        self.set_backlog(0);
        let mut fillers = self.fillers.lock().unwrap();
        while let Ok(stream) = TcpStream::connect_timeout(&self.address, FULL_QUEUE_TIMEOUT) {
            let address = stream.local_addr().expect("an open connection");
            self.filler_addresses.lock().unwrap().push(address);
            fillers.push(stream);
        }
    }

    pub fn heal(&self) {
        self.set_backlog(BACKLOG);
        self.fillers.lock().unwrap().clear();
        self.is_cut.store(false, Ordering::SeqCst);
    }

    fn set_backlog(&self, backlog: i32) {
        // SAFETY: the descriptor is that of an open listener.
        let result = unsafe { listen(self.listener.as_raw_fd(), backlog) };
        assert_eq!(result, 0, "{}", io::Error::last_os_error());
    }

    fn accept(self: &Arc<Self>, server: SocketAddr) {
        loop {
            if self.is_cut() {
                thread::sleep(POLL_INTERVAL);
                continue;
            }
            let Ok((stream, peer)) = self.listener.accept() else {
                thread::sleep(POLL_INTERVAL);
                continue;
            };
            if self.filler_addresses.lock().unwrap().contains(&peer) {
                continue;
            }
            let path = Arc::clone(self);
            thread::spawn(move || path.forward(stream, server));
        }
    }

    fn forward(self: Arc<Self>, near: TcpStream, server: SocketAddr) {
        let Ok(far) = TcpStream::connect(server) else {
            return;
        };
        let _ = near.set_nonblocking(false);
        let _ = near.set_nodelay(true);
        let _ = far.set_nodelay(true);
        let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else {
            return;
        };
        let path = Arc::clone(&self);
        thread::spawn(move || path.copy(near_copy, far_copy));
        self.copy(far, near);
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = [0; 16 * 1024];
        loop {
            let read = from.read(&mut buffer);
            while self.is_cut() {
                thread::sleep(POLL_INTERVAL);
            }
            match read {
                Ok(count) if count > 0 => {
                    if to.write_all(&buffer[..count]).is_err() {
                        let _ = from.shutdown(Shutdown::Both);
                        return;
                    }
                }
                Ok(_) | Err(_) => {
                    let _ = to.shutdown(Shutdown::Both);
                    return;
                }
            }
        }
    }
}
