//! Releases in a run: the controller runs as a process of its own, and its commands call the restart
//! service of this module, which restarts servers with another version.

use super::links::{lock, loopback_ip};
use super::{FaultInjector, World};
use crate::scenario::ReleaseTarget;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpListener;
use tokio::process::{Child, Command};

/// Index of the loopback address on which the restart service listens.
const ADDRESS_INDEX: u32 = 242;
/// Time after which a restart that is meant to fail reports its failure.
const FAILED_RESTART_DELAY: Duration = Duration::from_millis(200);

/// All releases of a run.
pub struct Releases {
    dir: PathBuf,
    program: Option<PathBuf>,
    restart_service: OnceLock<SocketAddr>,
    child: Mutex<Option<Child>>,
    /// Servers on the new version.
    on_new: Mutex<BTreeSet<usize>>,
    /// Servers whose restart was requested, one entry per restart.
    restarts: Mutex<Vec<usize>>,
}

impl Releases {
    /// Creates the state for a run in which no release has started. `program` is the path of the `daleturn`
    /// command.
    pub fn new(dir: PathBuf, program: Option<PathBuf>) -> Releases {
        Releases {
            dir,
            program,
            restart_service: OnceLock::new(),
            child: Mutex::default(),
            on_new: Mutex::default(),
            restarts: Mutex::default(),
        }
    }

    /// Returns the path of the `daleturn` command.
    pub fn program(&self) -> Option<PathBuf> {
        self.program.clone()
    }

    /// Returns true if a server runs the new version.
    pub fn on_new(&self, server: usize) -> bool {
        lock(&self.on_new).contains(&server)
    }

    /// Starts the restart service.
    pub async fn open(&self, injector: &Arc<FaultInjector>) -> io::Result<()> {
        let listener = TcpListener::bind((loopback_ip(ADDRESS_INDEX), 0)).await?;
        let _ = self.restart_service.set(listener.local_addr()?);
        let injector = injector.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let injector = injector.clone();
                tokio::spawn(async move {
                    let (read, mut write) = stream.into_split();
                    let mut line = String::new();
                    if BufReader::new(read).read_line(&mut line).await.is_ok() {
                        let reply = match injector.restart(line.trim()).await {
                            Ok(()) => "OK\n".to_owned(),
                            Err(why) => format!("ERR {why}\n"),
                        };
                        // The caller may have closed the connection.
                        let _ = write.write_all(reply.as_bytes()).await;
                    }
                });
            }
        });
        Ok(())
    }

    /// Returns the text of a release plan, or `None` before the restart service is running.
    fn plan_file(&self, world: &World, name: &str) -> Option<String> {
        let (scenario, release) = (&world.plan.scenario, &world.plan.scenario.release);
        let (restart_service, program) = (self.restart_service.get()?, self.program.as_ref()?.display());
        let nodes: Vec<String> =
            world.nodes.iter().filter_map(|n| n.operator()).map(|a| format!("\"{a}\"")).collect();
        let mut text =
            format!("name = \"{name}\"\nfrom = \"1\"\nto = \"2\"\nnodes = [{}]\n", nodes.join(", "));
        // Writing to a `String` cannot fail.
        let is_node_release = release.what == ReleaseTarget::Nodes;
        if is_node_release {
            text.push_str("what = \"nodes\"\n");
        }
        let tables = if is_node_release { &[][..] } else { &[("restart", "2"), ("back", "1")][..] };
        for (table, version) in tables {
            let _ = write!(
                text,
                "[{table}]\nrun = [\"{program}\", \"lab\", \"poke\", \"{restart_service}\", \"restart\", \"{{id}}\", \"{version}\"]\n\
                 limit_s = 6\n"
            );
        }
        let _ = write!(
            text,
            "[limits]\nout = {}\nout_per_zone = {}\nin_percent = {}\n[times]\ncordon_s = 4\ndrain_s = 3\nback_s = 15\n\
             warm_s = {}\nwatch_s = {}\nwait_s = 60\n[gate]\nleast = {}\nbreach = \"{}\"\n",
            release.out,
            release.out_per_zone,
            release.in_percent,
            release.warm_s,
            release.watch_s,
            release.least,
            release.breach
        );
        for (n, members) in release.stages.iter().enumerate() {
            let _ = write!(text, "[[stage]]\nname = \"stage-{n}\"\nmembers = {members}\n");
        }
        let servers = world.plan.machines.iter().map(|m| (m.name.clone(), m.zone));
        let nodes = world.plan.node_zones.iter().enumerate().map(|(n, zone)| (format!("n{n}"), *zone));
        let members: Vec<(String, usize)> =
            if is_node_release { nodes.collect() } else { servers.collect() };
        for (id, zone) in members {
            let zone = &scenario.fleet.zones[zone];
            let _ = write!(text, "[[member]]\nid = \"{id}\"\nzone = \"{zone}\"\n");
        }
        Some(text)
    }

    /// Starts a controller.
    fn spawn(&self, file: &str, log: &str) -> io::Result<Child> {
        let program = self.program.as_ref().ok_or(io::ErrorKind::NotFound)?;
        let output = std::fs::OpenOptions::new().create(true).append(true).open(self.dir.join(log))?;
        Command::new(program)
            .args(["release", "run", "--state"])
            .arg(&self.dir)
            .arg(self.dir.join(file))
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .kill_on_drop(true)
            .spawn()
    }

    /// Starts the controller, or another one on the same journal.
    pub fn start(&self, world: &World) -> io::Result<()> {
        std::fs::create_dir_all(&self.dir)?;
        let file = self.dir.join("plan.toml");
        if !file.exists() {
            let text = self.plan_file(world, "day").ok_or(io::ErrorKind::NotFound)?;
            std::fs::write(&file, text)?;
        }
        *lock(&self.child) = Some(self.spawn("plan.toml", "controller.log")?);
        Ok(())
    }

    /// Sends SIGKILL to the controller.
    pub async fn kill(&self) {
        let child = lock(&self.child).take();
        if let Some(mut child) = child {
            let _ = child.kill().await;
        }
    }

    /// Sends SIGSTOP to the controller, or SIGCONT if `frozen` is false.
    pub fn freeze(&self, frozen: bool) {
        let pid = lock(&self.child).as_ref().and_then(Child::id).and_then(|id| i32::try_from(id).ok());
        if let Some(pid) = pid.and_then(Pid::from_raw) {
            // A process that has ended in the meantime needs no signal.
            let _ = kill_process(pid, if frozen { Signal::STOP } else { Signal::CONT });
        }
    }

    /// Starts a second release, which must be rejected while the first one is in progress.
    ///
    /// # Errors
    /// Returns an error if the second release is not rejected.
    pub async fn start_second(&self, world: &World) -> Result<(), String> {
        let text = self.plan_file(world, "other").ok_or("no release can be started")?;
        std::fs::write(self.dir.join("other.toml"), text).map_err(|e| e.to_string())?;
        let mut child = self.spawn("other.toml", "other.log").map_err(|e| e.to_string())?;
        match tokio::time::timeout(Duration::from_secs(8), child.wait()).await {
            Ok(Ok(status)) if status.code() == Some(1) => Ok(()),
            Ok(status) => Err(format!("a second release ended with {status:?}")),
            Err(_) => {
                let _ = child.kill().await;
                Err("a second release was not rejected".to_owned())
            }
        }
    }

    /// Gives the controller an operator's order.
    ///
    /// # Errors
    /// Returns an error if the command fails.
    pub async fn send_order(&self, word: &str) -> Result<(), String> {
        let program = self.program.as_ref().ok_or("the daleturn command was not found")?;
        let mut command = Command::new(program);
        command.args(["release", word, "--state"]).arg(&self.dir).arg(self.dir.join("plan.toml"));
        let done = command.stdin(Stdio::null()).stdout(Stdio::null()).status().await;
        match done {
            Ok(status) if status.success() => Ok(()),
            other => Err(format!("release {word}: {other:?}")),
        }
    }

    /// Returns the state of the release (`done`, `back`, `abandoned`, or its mode while it is not over),
    /// the reason, and the number of servers on the new version. `None` if there was no release.
    pub fn outcome(&self) -> Option<(String, String, usize)> {
        let text = std::fs::read_to_string(self.dir.join("day/status.json")).ok()?;
        let status: Value = serde_json::from_str(&text).ok()?;
        let on_new = lock(&self.on_new).len();
        let word = match status["mode"].as_str()? {
            "over" if status["back"] == true => "back",
            "over" if status["on_new"] == status["of"] => "done",
            "over" => "abandoned",
            other => other,
        };
        Some((word.to_owned(), status["why"].as_str().unwrap_or_default().to_owned(), on_new))
    }

    /// Returns the servers restarted by the release, one entry per restart.
    pub fn restarts(&self) -> Vec<usize> {
        lock(&self.restarts).clone()
    }
}

impl FaultInjector {
    /// Executes a line like `restart s-3 2`: ends the server's process and starts it cold with that
    /// version.
    async fn restart(&self, line: &str) -> Result<(), String> {
        let world = &self.world;
        let words: Vec<&str> = line.split_whitespace().collect();
        let ["restart", id, version] = words[..] else { return Err(format!("{line:?} is not an order")) };
        let machine = world.plan.machines.iter().position(|m| m.name == id);
        let server = machine.ok_or_else(|| format!("there is no server {id}"))?;
        let release = &world.plan.scenario.release;
        if release.broken.iter().any(|b| b == id) && version == "2" {
            tokio::time::sleep(FAILED_RESTART_DELAY).await;
            return Err(format!("{id} does not start with version 2"));
        }
        let host = world.host(server).ok_or("no such server")?.clone();
        lock(&world.releases.restarts).push(server);
        host.down(false);
        tokio::time::sleep(Duration::from_secs_f64(release.restart_s)).await;
        if version == "2" {
            lock(&world.releases.on_new).insert(server);
        } else {
            lock(&world.releases.on_new).remove(&server);
        }
        self.apply_active();
        host.start_cold(world.now());
        self.update_discovery(server, id.to_owned(), "up", World::boot_ms(), 1.0);
        Ok(())
    }
}
