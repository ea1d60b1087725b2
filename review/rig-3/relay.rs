//! The program of the deploy file, started as separate processes.

use std::fs;
use std::io;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;

const SIGHUP: i32 = 1;

/// Held while the list of processes to end is changed.
static PIDS: Mutex<()> = Mutex::new(());

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

const PORTS: [u16; 4] = [8_740, 8_748, 8_749, 9_464];

pub struct Relay {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub log: PathBuf,
    /// List of the processes that the script ends if this program can't.
    pids: PathBuf,
    child: Child,
}

/// Finds loopback addresses whose ports are free.
pub fn free_addresses(count: u8) -> Vec<Ipv4Addr> {
    let seed = std::process::id();
    for attempt in 0..200 {
        let number = seed.wrapping_mul(31).wrapping_add(attempt * 7_919);
        let network = [127, 20 + (number % 200) as u8, (number / 200 % 250) as u8];
        let addresses = (1..=count).map(|host| {
            let [first, second, third] = network;
            Ipv4Addr::new(first, second, third, host)
        });
        let addresses: Vec<_> = addresses.collect();
        let is_free = |address: &Ipv4Addr| {
            let mut ports = PORTS.iter();
            ports.all(|port| TcpListener::bind((*address, *port)).is_ok())
        };
        if addresses.iter().all(is_free) {
            return addresses;
        }
    }
    panic!("no free loopback addresses");
}

impl Relay {
    /// Starts one relay with settings like those of the small deployments.
    pub fn start(folder: &Path, addresses: &[Ipv4Addr], index: usize, store: SocketAddr) -> Self {
        let ip = addresses[index];
        let name = format!("edge-z-a-{}", index + 1);
        let seeds = addresses.iter().take(3);
        let seeds: Vec<_> = seeds.map(|ip| format!("\"{ip}:8748\"")).collect();
        let seeds = seeds.join(",");
        let settings = format!(
            r#"nodeName = "{name}"
nodeRole = "relay"
machineClass = "edge"
servedRoles = ["edge","control"]
ipAddress = "{ip}"
zone = "z-a"
region = "r-1"
internalPortRange = [7200,7215]
seedNodes = [{seeds}]
bootstrap = true
countsAsLoss = false
discoverySource = "platform"
entryKind = "anycast"
heartbeatMs = 1200
activeContracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]

[zones]
z-a = "r-1"

[listenAddrs]
frontend = "{ip}:8740"
ready = "{ip}:8749"
controlPlane = "{ip}:8748"

[limits]
cpuQuota = 0.19
cpuCores = 1
memoryMb = 110
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
        );
        let path = folder.join(format!("{name}.toml"));
        fs::write(&path, settings).expect("a writable folder");
        let log = folder.join(format!("{name}.log"));
        let output = fs::File::create(&log).expect("a writable folder");
        let errors = output.try_clone().expect("a duplicate of an open file");
        let child = Command::new("target/release/kingcupfall-relay")
            .env_clear()
            .env("KINGCUPFALL_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .expect("the program of the deploy file");
        let pids = folder.join("pids");
        add_pid(&pids, child.id());
        Self {
            name,
            callers: SocketAddr::new(IpAddr::V4(ip), 8_740),
            ready: SocketAddr::new(IpAddr::V4(ip), 8_749),
            log,
            pids,
            child,
        }
    }

    /// Returns the resident memory of the process; 0 if it has ended.
    pub fn resident_bytes(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
        let kilobytes = kilobytes.and_then(|text| text.parse::<u64>().ok());
        kilobytes.unwrap_or_default() * 1_024
    }

    /// Sends SIGHUP, as when the settings file has changed.
    pub fn hang_up(&self) {
        // SAFETY: the process was started by this one and has not been waited for.
        let result = unsafe { kill(self.child.id() as i32, SIGHUP) };
        assert_eq!(result, 0, "{}", io::Error::last_os_error());
    }

    /// Waits until the relay says that it is ready.
    pub fn wait_until_ready(&self, timeout: Duration) -> bool {
        let ends_at = Instant::now() + timeout;
        while Instant::now() < ends_at {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn is_ready(&self) -> bool {
        let timeout = Duration::from_secs(1);
        let response = http::exchange(self.ready, "GET", "/readyz", &[], &[], timeout);
        response.is_ok_and(|response| response.status == 200)
    }

    /// Returns the lines of the relay's log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let lines = log.lines().filter(|line| line.contains(text));
        lines.map(str::to_string).collect()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        remove_pid(&self.pids, self.child.id());
    }
}

fn add_pid(path: &Path, pid: u32) {
    let _lock = PIDS.lock().unwrap();
    let file = fs::OpenOptions::new().create(true).append(true).open(path);
    writeln!(file.expect("a writable folder"), "{pid}").expect("a writable folder");
}

/// Takes a process that has ended off the list, as its number may be given to another one.
fn remove_pid(path: &Path, pid: u32) {
    let _lock = PIDS.lock().unwrap();
    let text = fs::read_to_string(path).unwrap_or_default();
    let ended = pid.to_string();
    let others = text.lines().filter(|line| *line != ended);
    let others: String = others.map(|line| format!("{line}\n")).collect();
    let _ = fs::write(path, others);
}
