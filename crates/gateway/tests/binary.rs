//! Tests of the gateway's binary: command line, settings and graceful shutdown.

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::net;
use std::path;
use std::process;

use kingcupfall_core::keys;

#[test]
fn version_printed() {
    let output = run(&["--version"]);

    assert!(output.status.success());
    assert!(text(&output).contains(env!("CARGO_PKG_VERSION")));
}

#[test]
fn help_lists_options() {
    let output = run(&["--help"]);

    assert!(output.status.success());
    assert!(text(&output).contains("--settings"));
    assert!(text(&output).contains("--check"));
}

#[test]
fn check_accepts_valid_settings() {
    let file = write_settings("right", &settings(&free_addresses()));

    let output = run(&["--settings", file.to_str().unwrap(), "--check"]);

    assert!(output.status.success(), "{}", text(&output));
}

#[test]
fn check_reports_all_findings() {
    let invalid = "[node]\nvm = \"VM 1\"\n\n[limits]\nbody = \"much\"\ncolour = 1\n";
    let file = write_settings("wrong", invalid);

    let output = run(&["--settings", file.to_str().unwrap(), "--check"]);

    assert_eq!(output.status.code(), Some(2));
    let text = text(&output);
    for expected in [
        "node.vm: ",
        "limits.body: ",
        "limits.colour: ",
        "(line 5, column",
    ] {
        assert!(text.contains(expected), "no {expected} in {text}");
    }
}

#[test]
fn termination_stops_gracefully() {
    let file = write_settings("stop", &settings(&free_addresses()));
    let mut child = process::Command::new(env!("CARGO_BIN_EXE_kingcupfall-gateway"))
        .args(["--settings", file.to_str().unwrap()])
        .stdout(process::Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();

    let started = lines.find(|line| line.as_ref().unwrap().contains("callers at"));
    let pid = rustix::process::Pid::from_child(&child);
    let signal = rustix::process::kill_process(pid, rustix::process::Signal::TERM);
    let rest: Vec<String> = lines.map(|line| line.unwrap()).collect();
    let status = child.wait().unwrap();

    assert!(started.is_some(), "{status}");
    signal.unwrap();
    assert!(status.success(), "{rest:?}");
    assert!(
        rest.iter()
            .any(|line| line.contains("\"message\":\"stopped\"")),
        "{rest:?}"
    );
}

fn run(arguments: &[&str]) -> process::Output {
    process::Command::new(env!("CARGO_BIN_EXE_kingcupfall-gateway"))
        .args(arguments)
        .output()
        .unwrap()
}

fn text(output: &process::Output) -> String {
    String::from_utf8_lossy(&output.stdout).into()
}

fn write_settings(name: &str, text: &str) -> path::PathBuf {
    let file = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.toml"));
    fs::write(&file, text).unwrap();
    file
}

/// Returns three loopback addresses that were free when they were probed. Their IP address depends
/// on this process, so that no other one takes their ports meanwhile.
fn free_addresses() -> Vec<net::SocketAddr> {
    let octet = |number: u32| u8::try_from(number % 250 + 1).unwrap();
    let address = net::Ipv4Addr::new(127, octet(process::id() / 250), octet(process::id()), 251);
    let listeners: Vec<net::TcpListener> = (0..3)
        .map(|_| net::TcpListener::bind((address, 0)).unwrap())
        .collect();
    listeners
        .iter()
        .map(|listener| listener.local_addr().unwrap())
        .collect()
}

fn settings(addresses: &[net::SocketAddr]) -> String {
    format!(
        "[node]\nvm = \"vm-1\"\nzone = \"a\"\n\n\
         [listen]\ncallers = \"{}\"\nadministration = \"{}\"\npeers = \"{}\"\n\n\
         [link]\nkey = \"000102030405060708090a0b0c0d0e0f\"\n\n\
         [platform]\nconfiguration_service = \"127.0.0.1:1\"\nvm_list = \"127.0.0.1:2\"\n\n\
         [administration]\nkey_hash = \"{}\"\n",
        addresses[0],
        addresses[1],
        addresses[2],
        keys::KeyHash::of_key("key-of-operators"),
    )
}
