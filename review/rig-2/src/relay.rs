//! Starts the relay with the command of the deploy file, and ends it.

use std::fs;
use std::fs::File;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;

/// Program of the deploy file.
const PROGRAM: &str = "target/release/kingcupfall-relay";

/// Port at which the relay serves its metrics, on the address of its machine.
const METRICS_PORT: u16 = 9_464;

/// Figures of a deployment that its settings state.
#[derive(Clone, Copy)]
pub struct Deployment {
    pub memory_mb: u64,
    pub contact_ms: u64,
    pub drain_timeout_ms: u64,
    pub retry_allowance: u64,
}

/// One machine of the system: its settings and its process.
pub struct Relay {
    pub name: String,
    pub caller_address: SocketAddr,
    ready_address: SocketAddr,
    settings: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
}

impl Relay {
    /// Writes the settings of all machines; none is started.
    pub fn prepare(
        folder: &Path,
        count: usize,
        store: SocketAddr,
        deployment: Deployment,
    ) -> io::Result<Vec<Self>> {
        let machines: Vec<_> = (0..count)
            .map(|_| {
                let ip = free_ip()?;
                let port = |ip: &str| -> io::Result<SocketAddr> {
                    TcpListener::bind((ip, 0))?.local_addr()
                };
                Ok((ip.clone(), port(&ip)?, port(&ip)?, port(&ip)?))
            })
            .collect::<io::Result<_>>()?;
        let seeds: Vec<_> = machines
            .iter()
            .take(3)
            .map(|(_, _, _, control)| format!("\"{control}\""))
            .collect();
        let mut relays = Vec::new();
        for (index, (ip, caller, ready, control)) in machines.iter().enumerate() {
            let name = format!("edge-a-{}", index + 1);
            let text = settings_text(
                &name,
                ip,
                (caller, ready, control),
                &seeds.join(","),
                store,
                deployment,
            );
            let settings = folder.join(format!("{name}.toml"));
            fs::write(&settings, text)?;
            relays.push(Self {
                name,
                caller_address: *caller,
                ready_address: *ready,
                settings,
                folder: folder.to_owned(),
                child: None,
            });
        }
        Ok(relays)
    }

    /// Starts the process, and waits until it is ready.
    pub fn start(&mut self) -> io::Result<()> {
        let log = self.folder.join(format!("{}.log", self.name));
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("KINGCUPFALL_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let pids = self.folder.join("pids");
        let mut pids = File::options().create(true).append(true).open(pids)?;
        writeln!(pids, "{}", child.id())?;
        self.child = Some(child);
        let started_at = Instant::now();
        while started_at.elapsed() < Duration::from_secs(10) {
            if self.is_ready() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(io::Error::other(format!("{} is not ready", self.name)))
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.ready_address) else {
            return false;
        };
        let request = "GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        if stream.write_all(request.as_bytes()).is_err() {
            return false;
        }
        http::read_response(&mut BufReader::new(stream)).status() == 200
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let id = self.child.as_ref().map(Child::id);
        let id = id.ok_or_else(|| io::Error::other("the process does not run"))?;
        Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("kill -{name} {id}"))
            .status()
            .map(drop)
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns a loopback address at which the port of the metrics is free.
fn free_ip() -> io::Result<String> {
    // Each process has addresses of its own, so that several cases can run at the same time.
    let process = std::process::id();
    for attempt in 0..200_u32 {
        let ip = format!(
            "127.{}.{}.{}",
            64 + process % 128,
            process / 128 % 250,
            2 + attempt
        );
        if USED.lock().unwrap().contains(&ip) {
            continue;
        }
        if TcpListener::bind((ip.as_str(), METRICS_PORT)).is_ok() {
            USED.lock().unwrap().push(ip.clone());
            return Ok(ip);
        }
    }
    Err(io::Error::other("no loopback address is free"))
}

static USED: std::sync::Mutex<Vec<String>> = std::sync::Mutex::new(Vec::new());

fn settings_text(
    name: &str,
    ip: &str,
    (caller, ready, control): (&SocketAddr, &SocketAddr, &SocketAddr),
    seeds: &str,
    store: SocketAddr,
    deployment: Deployment,
) -> String {
    let Deployment {
        memory_mb,
        contact_ms,
        drain_timeout_ms,
        retry_allowance,
    } = deployment;
    format!(
        r#"nodeName = "{name}"
nodeRole = "relay"
machineClass = "edge"
servedRoles = ["edge","control"]
ipAddress = "{ip}"
zone = "zone-a"
region = "region-a"
internalPortRange = [7200,7215]
seedNodes = [{seeds}]
bootstrap = true
countsAsLoss = false
discoverySource = "platform"
entryKind = "anycast"
heartbeatMs = 1200
activeContracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
zone-a = "region-a"
[listenAddrs]
frontend = "{caller}"
ready = "{ready}"
controlPlane = "{control}"
[limits]
cpuQuota = 0.5
cpuCores = 1
memoryMb = {memory_mb}
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
contactMs = {contact_ms}
orderAckMs = 6000
catchUpS = 6
drainTimeoutMs = {drain_timeout_ms}
gracePeriodS = 8
lossSlackMs = 200
configApplyMs = 3000
rollbackSlackMs = 250
partitionStretchMs = 6000
strictRevocation = false
revokeDeadlineMs = 5000
retryBudgetRatio = 0.2
retryWindowS = 10
retryAllowance = {retry_allowance}
recoveryS = 15
deliverySlackMs = 200
reuseWindowS = 5
[platform]
address = "{store}"
form = "read"
writesPerS = 1200
readsPerS = 6000
historyRetentionS = 20
maxValueBytes = 1048576
minTtlMs = 1000
"#
    )
}
