//! A supervisor with a real node: versions that crash, that never say yes, and that serve; a node that is killed; and a
//! release of the program itself through it.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(30);

struct World {
    dir: PathBuf,
    at: SocketAddr,
    supervisor: Child,
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = self.supervisor.kill();
        let _ = self.supervisor.wait();
        // A supervisor that was killed leaves its node; it is ours, too.
        if let Ok(pid) = std::fs::read_to_string(self.dir.join("pid")) {
            let _ = Command::new("kill").args(["-9", pid.trim()]).stderr(Stdio::null()).status();
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

fn free() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn call(at: SocketAddr, line: &str) -> Option<String> {
    let mut stream = TcpStream::connect(at).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.write_all(format!("{line}\n").as_bytes()).ok()?;
    let mut said = String::new();
    stream.read_to_string(&mut said).ok()?;
    Some(said)
}

fn until(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !done() {
        assert!(Instant::now() < end, "{what}: not in time");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn script(path: &Path, text: &str) {
    std::fs::write(path, format!("#!/bin/sh\n{text}\n")).unwrap();
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o755)).unwrap();
}

fn world(name: &str) -> World {
    let dir = std::env::temp_dir().join(format!("daleturn-supervise-{name}-{}", std::process::id()));
    std::fs::create_dir_all(dir.join("tmp")).unwrap();
    let config = serde_json::json!({
        "name": "n0", "listen": free().to_string(), "discovery": free().to_string(), "seed": "1",
        "known": {"rev": 1, "all": true, "targets": [{"uid": "s-0", "endpoint": free().to_string(), "az": "a",
            "pod_group": 0, "state": "up", "capacity_hint": 1.0, "boot_ms": 0}]},
        "settings": {"areas": ["a"], "instances": 1, "tickMs": 5.0,
            "classes": [{"name": "page", "semantics": "idempotent", "hardLimitMs": 900}],
            "rules": {"coldMs": 9000, "startCapacity": 0.3, "fallMultiple": 3, "fallMs": 2000}},
    });
    std::fs::write(dir.join("config.json"), config.to_string()).unwrap();
    let node = Path::new(env!("CARGO_BIN_EXE_daleturn")).with_file_name("daleturn-node");
    assert!(node.is_file(), "daleturn-node is not built: cargo test builds it for the workspace");
    // Each process leaves its number, so that nothing of this test outlives it.
    let good = format!("echo $$ > {}/pid\nexec {}", dir.display(), node.display());
    script(&dir.join("one"), &good);
    script(&dir.join("two"), &good);
    script(&dir.join("crash"), "exit 3");
    script(&dir.join("mute"), "exec sleep 60");
    let at = free();
    let version = |name: &str| format!("[[version]]\nname = \"{name}\"\npath = {:?}\n", dir.join(name));
    let text = format!(
        "listen = \"{at}\"\nstate = {:?}\noperators = [\"{}\", \"{}\"]\nfirst = \"one\"\nyes_s = 2\n[env]\nLB_CONFIG = {:?}\n\
         TMPDIR = {:?}\n{}{}{}{}",
        dir.join("state"),
        free(),
        free(),
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
    let world = World { dir, at, supervisor };
    until("the node says yes", || healthy(at));
    world
}

fn healthy(at: SocketAddr) -> bool {
    call(at, "health").is_some_and(|a| a.starts_with("OK"))
}

fn versions(at: SocketAddr) -> serde_json::Value {
    serde_json::from_str(call(at, "versions").unwrap().strip_prefix("OK ").unwrap()).unwrap()
}

#[test]
fn a_version_that_crashes_or_never_says_yes_leaves_the_old_one_serving() {
    let world = world("bad");
    let before = versions(world.at);
    assert_eq!(before["serves"], "one");
    let crashed = call(world.at, "upgrade crash").unwrap();
    assert!(crashed.starts_with("ERR version crash ended at once"), "{crashed}");
    let mute = call(world.at, "upgrade mute").unwrap();
    assert!(mute.starts_with("ERR version mute said no yes"), "{mute}");
    assert!(call(world.at, "upgrade nine").unwrap().starts_with("ERR there is no version"));
    assert_eq!(versions(world.at), before);
    assert!(healthy(world.at));
    assert!(call(world.at, "stats").unwrap().starts_with("OK {"), "passed on to the node");
}

#[test]
fn a_node_that_is_killed_is_started_again_and_ends_with_its_supervisor() {
    let mut world = world("killed");
    assert!(call(world.at, "upgrade two").unwrap().starts_with("OK two serves"));
    let pid = versions(world.at)["pid"].as_u64().unwrap();
    assert!(Command::new("kill").args(["-9", &pid.to_string()]).status().unwrap().success());
    until("another process serves", || versions(world.at)["pid"].as_u64().is_some_and(|p| p != pid));
    until("it says yes", || healthy(world.at));
    let now = versions(world.at);
    assert_eq!((now["serves"].as_str(), now["before"].as_str()), (Some("two"), Some("one")));
    let pid = now["pid"].as_u64().unwrap();
    let supervisor = world.supervisor.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &supervisor]).status().unwrap().success());
    assert!(world.supervisor.wait().unwrap().success());
    until("its node is gone", || !Path::new(&format!("/proc/{pid}")).exists());
}

#[test]
fn a_release_of_the_program_itself_upgrades_each_node_and_halts_where_one_does_not_come() {
    let world = world("release");
    let plan = |to: &str| {
        let text = format!(
            "name = \"to-{to}\"\nwhat = \"nodes\"\nfrom = \"one\"\nto = \"{to}\"\nnodes = [\"{}\"]\n[times]\nwarm_s = 0\n\
             watch_s = 0\n[[member]]\nid = \"n0\"\nzone = \"a\"\n[[stage]]\nname = \"all\"\nmembers = 1\n",
            world.at
        );
        std::fs::write(world.dir.join("plan.toml"), text).unwrap();
        let done = Command::new(env!("CARGO_BIN_EXE_daleturn"))
            .args(["release", "run", "--until-halt", "--state"])
            .arg(&world.dir)
            .arg(world.dir.join("plan.toml"))
            .output()
            .unwrap();
        let said = [done.stdout, done.stderr].concat();
        (done.status.code(), String::from_utf8_lossy(&said).into_owned())
    };
    let (code, said) = plan("crash");
    assert_eq!(code, Some(1), "{said}");
    assert!(said.contains("HALTED 0 of 1 on crash") && said.contains("ended at once"), "{said}");
    assert_eq!(versions(world.at)["serves"], "one");
    // One that halted is under way still: another is turned down until it is ended.
    let (code, said) = plan("two");
    assert_eq!(code, Some(1), "{said}");
    std::fs::write(world.dir.join("to-crash/orders/1-abandon"), "").unwrap_or_else(|_| {
        std::fs::create_dir_all(world.dir.join("to-crash/orders")).unwrap();
        std::fs::write(world.dir.join("to-crash/orders/1-abandon"), "").unwrap();
    });
    let (_, said) = plan("crash");
    assert!(said.contains("OVER 0 of 1 on crash: abandoned"), "{said}");
    let (code, said) = plan("two");
    assert_eq!(code, Some(0), "{said}");
    assert_eq!(versions(world.at)["serves"], "two");
}
