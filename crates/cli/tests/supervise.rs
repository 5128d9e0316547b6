//! A supervisor with real node processes: upgrades to versions that crash, never become healthy, or serve;
//! a killed node; and a release of nodes through the supervisor.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(30);

struct TestSupervisor {
    dir: PathBuf,
    address: SocketAddr,
    supervisor: Child,
}

impl Drop for TestSupervisor {
    fn drop(&mut self) {
        let _ = self.supervisor.kill();
        let _ = self.supervisor.wait();
        // A killed supervisor leaves its node running: stop it as well.
        if let Ok(pid) = std::fs::read_to_string(self.dir.join("pid")) {
            let _ = Command::new("kill").args(["-9", pid.trim()]).stderr(Stdio::null()).status();
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Returns an address that nothing listens on, in a part of the loopback network that only this process uses: a port
/// of 127.0.0.1 may be taken by a connection or by another test before the program under test binds it.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let n = NEXT.fetch_add(1, Ordering::SeqCst);
    let pid = std::process::id();
    let ip = Ipv4Addr::new(127, 64 + (pid % 64) as u8, (pid / 64 % 256) as u8, (n % 250 + 1) as u8);
    TcpListener::bind((ip, 0)).unwrap().local_addr().unwrap()
}

fn call(address: SocketAddr, line: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream.write_all(format!("{line}\n").as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer)
}

fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !done() {
        assert!(Instant::now() < deadline, "{what}: timed out");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn write_script(path: &Path, text: &str) {
    std::fs::write(path, format!("#!/bin/sh\n{text}\n")).unwrap();
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o755)).unwrap();
}

fn start_supervisor(name: &str, discovery: SocketAddr) -> TestSupervisor {
    let dir = std::env::temp_dir().join(format!("daleturn-supervise-{name}-{}", std::process::id()));
    std::fs::create_dir_all(dir.join("tmp")).unwrap();
    let config = serde_json::json!({
        "name": "n0", "listen": free_address().to_string(), "discovery": discovery.to_string(), "seed": "1",
        "known": {"rev": 1, "all": true, "targets": [{"uid": "s-0", "endpoint": free_address().to_string(), "az": "a",
            "pod_group": 0, "state": "up", "capacity_hint": 1.0, "boot_ms": 0}]},
        "settings": {"areas": ["a"], "instances": 1, "tickMs": 5.0,
            "classes": [{"name": "page", "semantics": "idempotent", "hardLimitMs": 900}],
            "rules": {"coldMs": 9000, "startCapacity": 0.3, "fallMultiple": 3, "fallMs": 2000}},
    });
    std::fs::write(dir.join("config.json"), config.to_string()).unwrap();
    let node = Path::new(env!("CARGO_BIN_EXE_daleturn")).with_file_name("daleturn-node");
    assert!(node.is_file(), "daleturn-node is not built: cargo test builds it for the workspace");
    // Each process writes its pid, so that the test can stop it at its end.
    let good = format!("echo $$ > {}/pid\nexec {}", dir.display(), node.display());
    write_script(&dir.join("one"), &good);
    write_script(&dir.join("two"), &good);
    write_script(&dir.join("crash"), "exit 3");
    write_script(&dir.join("mute"), "exec sleep 60");
    let address = free_address();
    let version = |name: &str| format!("[[version]]\nname = \"{name}\"\npath = {:?}\n", dir.join(name));
    let text = format!(
        "listen = \"{address}\"\nstate = {:?}\noperators = [\"{}\", \"{}\"]\nfirst = \"one\"\nyes_s = 2\n[env]\nLB_CONFIG = {:?}\n\
         TMPDIR = {:?}\n{}{}{}{}",
        dir.join("state"),
        free_address(),
        free_address(),
        dir.join("config.json"),
        dir.join("tmp"),
        version("one"),
        version("two"),
        version("crash"),
        version("mute"),
    );
    std::fs::write(dir.join("supervisor.toml"), text).unwrap();
    let supervisor = Command::new(env!("CARGO_BIN_EXE_daleturn"))
        .arg("supervise")
        .arg(dir.join("supervisor.toml"))
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let test = TestSupervisor { dir, address, supervisor };
    wait_until("the node becomes healthy", || is_healthy(address));
    test
}

fn is_healthy(address: SocketAddr) -> bool {
    call(address, "health").is_some_and(|a| a.starts_with("OK"))
}

fn versions(address: SocketAddr) -> serde_json::Value {
    serde_json::from_str(call(address, "versions").unwrap().strip_prefix("OK ").unwrap()).unwrap()
}

#[test]
fn failed_upgrade_leaves_the_old_version_serving() {
    let test = start_supervisor("bad", free_address());
    let before = versions(test.address);
    assert_eq!(before["serves"], "one");
    let crashed = call(test.address, "upgrade crash").unwrap();
    assert!(crashed.starts_with("ERR version crash ended at once"), "{crashed}");
    let mute = call(test.address, "upgrade mute").unwrap();
    assert!(mute.starts_with("ERR version mute said no yes"), "{mute}");
    assert!(call(test.address, "upgrade nine").unwrap().starts_with("ERR there is no version"));
    assert_eq!(versions(test.address), before);
    assert!(is_healthy(test.address));
    assert!(call(test.address, "stats").unwrap().starts_with("OK {"), "the call is forwarded to the node");
}

#[test]
fn killed_node_is_restarted_and_stops_with_its_supervisor() {
    let mut test = start_supervisor("killed", free_address());
    assert!(call(test.address, "upgrade two").unwrap().starts_with("OK two serves"));
    let pid = versions(test.address)["pid"].as_u64().unwrap();
    assert!(Command::new("kill").args(["-9", &pid.to_string()]).status().unwrap().success());
    wait_until("another process serves", || {
        versions(test.address)["pid"].as_u64().is_some_and(|p| p != pid)
    });
    wait_until("it becomes healthy", || is_healthy(test.address));
    let now = versions(test.address);
    assert_eq!((now["serves"].as_str(), now["before"].as_str()), (Some("two"), Some("one")));
    let pid = now["pid"].as_u64().unwrap();
    let supervisor = test.supervisor.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &supervisor]).status().unwrap().success());
    assert!(test.supervisor.wait().unwrap().success());
    wait_until("its node is gone", || !Path::new(&format!("/proc/{pid}")).exists());
}

#[test]
fn release_of_nodes_upgrades_them_and_halts_if_a_version_fails_to_start() {
    let test = start_supervisor("release", free_address());
    let plan = |to: &str| {
        let text = format!(
            "name = \"to-{to}\"\nwhat = \"nodes\"\nfrom = \"one\"\nto = \"{to}\"\nnodes = [\"{}\"]\n[times]\nwarm_s = 0\n\
             watch_s = 0\n[[member]]\nid = \"n0\"\nzone = \"a\"\n[[stage]]\nname = \"all\"\nmembers = 1\n",
            test.address
        );
        std::fs::write(test.dir.join("plan.toml"), text).unwrap();
        let output = Command::new(env!("CARGO_BIN_EXE_daleturn"))
            .args(["release", "run", "--until-halt", "--state"])
            .arg(&test.dir)
            .arg(test.dir.join("plan.toml"))
            .output()
            .unwrap();
        let text = [output.stdout, output.stderr].concat();
        (output.status.code(), String::from_utf8_lossy(&text).into_owned())
    };
    let (code, output) = plan("crash");
    assert_eq!(code, Some(1), "{output}");
    assert!(output.contains("HALTED 0 of 1 on crash") && output.contains("ended at once"), "{output}");
    assert_eq!(versions(test.address)["serves"], "one");
    // A halted release is still in progress: another release is rejected until the first is abandoned.
    let (code, output) = plan("two");
    assert_eq!(code, Some(1), "{output}");
    std::fs::write(test.dir.join("to-crash/orders/1-abandon"), "").unwrap_or_else(|_| {
        std::fs::create_dir_all(test.dir.join("to-crash/orders")).unwrap();
        std::fs::write(test.dir.join("to-crash/orders/1-abandon"), "").unwrap();
    });
    let (_, output) = plan("crash");
    assert!(output.contains("OVER 0 of 1 on crash: abandoned"), "{output}");
    let (code, output) = plan("two");
    assert_eq!(code, Some(0), "{output}");
    assert_eq!(versions(test.address)["serves"], "two");
}

/// Answers each call with the list, on connections that end with the answer, until `stop`.
fn serve_list(listener: TcpListener, list: &str, stop: &AtomicBool) {
    listener.set_nonblocking(true).unwrap();
    let deadline = Instant::now() + 2 * TIMEOUT;
    while !stop.load(Ordering::SeqCst) && Instant::now() < deadline {
        let Ok((mut stream, _)) = listener.accept() else {
            std::thread::sleep(Duration::from_millis(2));
            continue;
        };
        stream.set_nonblocking(false).unwrap();
        let _ = stream.read(&mut [0; 1024]);
        let head =
            format!("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {}\r\n\r\n", list.len());
        let _ = stream.write_all((head + list).as_bytes());
    }
}

/// Guards against an upgrade under a supervisor that forgets what discovery has told the node.
#[test]
fn upgraded_node_knows_what_discovery_told_before_its_outage() {
    let listener = TcpListener::bind(free_address()).unwrap();
    let test = start_supervisor("told", listener.local_addr().unwrap());
    let config = std::fs::read_to_string(test.dir.join("config.json")).unwrap();
    let config: serde_json::Value = serde_json::from_str(&config).unwrap();
    let mut targets = config["known"]["targets"].clone();
    targets[0]["state"] = "draining".into();
    let list = serde_json::json!({"rev": 2, "all": true, "targets": targets}).to_string();
    let state = || {
        let stats = call(test.address, "stats")?;
        let stats: serde_json::Value = serde_json::from_str(stats.strip_prefix("OK ")?).ok()?;
        Some(stats["backends"][0]["state"].clone())
    };
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| serve_list(listener, &list, &stop));
        wait_until("the node knows of the drain", || state().is_some_and(|state| state == "draining"));
        stop.store(true, Ordering::SeqCst);
    });
    assert!(call(test.address, "upgrade two").unwrap().starts_with("OK two serves"));
    assert_eq!(state().unwrap(), "draining");
}
