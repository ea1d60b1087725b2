//! The platform's part: runs the relay's process, holds it to its memory limit, and starts it again.

use std::env;
use std::fs;
use std::fs::File;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::record::Record;

/// The program of the deploy file.
const PROGRAM: &str = "target/release/kingcupfall-relay";

/// Names the file in which the scripts look for the relay's process, to end it if they are ended.
const PID_FILE_VARIABLE: &str = "RELAY_PID_FILE";

/// Fixed port of the relay's metrics.
const METRICS_PORT: u16 = 9_464;

/// `memoryMb` of the deployments with the smallest `edge` machines of a small site.
pub const MEMORY_MB: u64 = 110;

pub struct Relay {
    pub frontend: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    record: Arc<Record>,
    child: Mutex<Option<Child>>,
    is_ended: AtomicBool,
    peak_kb: AtomicU64,
    memory_kills: AtomicU64,
}

impl Relay {
    /// Starts a relay that uses the store at `store`, and waits until it reports that it is ready.
    pub fn start(store: SocketAddr, folder: &Path, record: &Arc<Record>) -> io::Result<Arc<Self>> {
        let ip = free_ip()?;
        let frontend = SocketAddr::new(ip.into(), free_port(ip)?);
        let ready = SocketAddr::new(ip.into(), free_port(ip)?);
        let control = SocketAddr::new(ip.into(), free_port(ip)?);
        let settings = folder.join("boot.toml");
        fs::write(
            &settings,
            settings_text(ip, frontend, ready, control, store),
        )?;
        let relay = Arc::new(Self {
            frontend,
            settings,
            log: folder.join("relay.log"),
            record: Arc::clone(record),
            child: Mutex::new(None),
            is_ended: AtomicBool::new(false),
            peak_kb: AtomicU64::new(0),
            memory_kills: AtomicU64::new(0),
        });
        relay.spawn()?;
        let supervised = Arc::clone(&relay);
        thread::spawn(move || supervised.supervise());
        crate::client::wait_until_ready(ready).inspect_err(|_| relay.end())?;
        record.line("platform", format!("the relay at {frontend} is ready"));
        Ok(relay)
    }

    /// Starts the process, unless it has been ended for good.
    fn spawn(&self) -> io::Result<()> {
        let mut present = self.child.lock().unwrap();
        if self.is_ended.load(Ordering::SeqCst) {
            return Ok(());
        }
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("PATH", env::var_os("PATH").unwrap_or_default())
            .env("KINGCUPFALL_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        if let Some(file) = env::var_os(PID_FILE_VARIABLE) {
            fs::write(file, child.id().to_string())?;
        }
        *present = Some(child);
        Ok(())
    }

    /// Kills the process when it uses more than its memory limit, as DEPLOY.md says, and starts it
    /// again after a short delay whenever it has ended.
    fn supervise(&self) {
        while !self.is_ended.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
            let mut child = self.child.lock().unwrap();
            let Some(process) = child.as_mut() else {
                continue;
            };
            if let Ok(Some(status)) = process.try_wait() {
                self.record.line(
                    "platform",
                    format!("the relay's process has ended: {status}"),
                );
                *child = None;
                drop(child);
                thread::sleep(Duration::from_millis(300));
                if self.spawn().is_err() {
                    self.record.line("platform", "can't start the relay again");
                }
                continue;
            }
            let used_kb = resident_kb(process.id());
            self.peak_kb.fetch_max(used_kb, Ordering::SeqCst);
            if used_kb > MEMORY_MB * 1024 {
                let used_mb = used_kb / 1024;
                self.record.line(
                    "platform",
                    format!(
                        "the relay uses {used_mb} MB, more than memoryMb = {MEMORY_MB}: SIGKILL"
                    ),
                );
                self.memory_kills.fetch_add(1, Ordering::SeqCst);
                let _ = process.kill();
            }
        }
    }

    pub fn peak_mb(&self) -> u64 {
        self.peak_kb.load(Ordering::SeqCst) / 1024
    }

    pub fn memory_kills(&self) -> u64 {
        self.memory_kills.load(Ordering::SeqCst)
    }

    /// Ends the process for good.
    pub fn end(&self) {
        let mut present = self.child.lock().unwrap();
        self.is_ended.store(true, Ordering::SeqCst);
        if let Some(mut process) = present.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

/// Returns the memory of a process that is resident, in KB; 0 once it has ended.
fn resident_kb(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Returns a loopback address on which the metrics port is free.
fn free_ip() -> io::Result<Ipv4Addr> {
    let start = std::process::id();
    for number in start..start + 500 {
        let [_, second, third, fourth] = (number * 7 + 256).to_be_bytes();
        let ip = Ipv4Addr::new(127, second | 64, third, fourth.clamp(1, 254));
        if TcpListener::bind((ip, METRICS_PORT)).is_ok() {
            return Ok(ip);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

fn free_port(ip: Ipv4Addr) -> io::Result<u16> {
    Ok(TcpListener::bind((ip, 0))?.local_addr()?.port())
}

/// Settings as DEPLOY.md shows them, with the figures of the sheet of limpa-sul.
fn settings_text(
    ip: Ipv4Addr,
    frontend: SocketAddr,
    ready: SocketAddr,
    control: SocketAddr,
    store: SocketAddr,
) -> String {
    format!(
        r#"nodeName = "edge-poa-a-1"
nodeRole = "relay"
machineClass = "edge"
servedRoles = ["edge","control"]
ipAddress = "{ip}"
zone = "poa-a"
region = "sul-br"
internalPortRange = [7200,7215]
seedNodes = ["{control}"]
bootstrap = true
countsAsLoss = false
discoverySource = "platform"
entryKind = "anycast"
heartbeatMs = 1200
activeContracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
poa-a = "sul-br"
cwb-b = "sul-br"
[listenAddrs]
frontend = "{frontend}"
ready = "{ready}"
controlPlane = "{control}"
[limits]
cpuQuota = 0.19
cpuCores = 1
memoryMb = {MEMORY_MB}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machineLosses = 2
zones = 0
regionLosses = 0
[bounds]
seedDelayS = 3
addrReuseS = 2
contactMs = 3000
orderAckMs = 4000
catchUpS = 4
drainTimeoutMs = 2000
gracePeriodS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
partitionStretchMs = 5000
strictRevocation = false
revokeDeadlineMs = 5000
retryBudgetRatio = 0.2
retryWindowS = 10
retryAllowance = 52
recoveryS = 12
deliverySlackMs = 120
reuseWindowS = 4.8
[platform]
address = "{store}"
form = "read"
writesPerS = 400
readsPerS = 2000
historyRetentionS = 20
maxValueBytes = 1048576
minTtlMs = 1000
"#
    )
}
