//! Releases on a day: a controller as a process of its own, and the warden that its commands reach, which restarts
//! servers on another version.

use super::links::{lock, own_ip};
use super::{Troubles, World};
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

/// Where the warden listens.
const ADDRESS: u32 = 242;
/// A restart that is to fail says no after this.
const REFUSED: Duration = Duration::from_millis(200);

/// All releases of a day.
pub struct Releases {
    dir: PathBuf,
    program: Option<PathBuf>,
    warden: OnceLock<SocketAddr>,
    child: Mutex<Option<Child>>,
    /// Servers on the new version.
    on_new: Mutex<BTreeSet<usize>>,
    /// Restarts that were asked for, by server.
    restarts: Mutex<Vec<usize>>,
}

impl Releases {
    /// None begun yet; `program` is the operators' command.
    pub fn new(dir: PathBuf, program: Option<PathBuf>) -> Releases {
        Releases {
            dir,
            program,
            warden: OnceLock::new(),
            child: Mutex::default(),
            on_new: Mutex::default(),
            restarts: Mutex::default(),
        }
    }

    /// The operators' command.
    pub fn program(&self) -> Option<PathBuf> {
        self.program.clone()
    }

    /// A server has the new version.
    pub fn on_new(&self, server: usize) -> bool {
        lock(&self.on_new).contains(&server)
    }

    /// Opens the warden.
    pub async fn open(&self, troubles: &Arc<Troubles>) -> io::Result<()> {
        let listener = TcpListener::bind((own_ip(ADDRESS), 0)).await?;
        let _ = self.warden.set(listener.local_addr()?);
        let troubles = troubles.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let troubles = troubles.clone();
                tokio::spawn(async move {
                    let (read, mut write) = stream.into_split();
                    let mut line = String::new();
                    if BufReader::new(read).read_line(&mut line).await.is_ok() {
                        let said = match troubles.restart(line.trim()).await {
                            Ok(()) => "OK\n".to_owned(),
                            Err(why) => format!("ERR {why}\n"),
                        };
                        // Who asked may be gone.
                        let _ = write.write_all(said.as_bytes()).await;
                    }
                });
            }
        });
        Ok(())
    }

    fn plan(&self, world: &World, name: &str) -> Option<String> {
        let (s, r) = (&world.plan.scenario, &world.plan.scenario.release);
        let (warden, program) = (self.warden.get()?, self.program.as_ref()?.display());
        let nodes: Vec<String> =
            world.nodes.iter().filter_map(|n| n.operator()).map(|a| format!("\"{a}\"")).collect();
        let mut text =
            format!("name = \"{name}\"\nfrom = \"1\"\nto = \"2\"\nnodes = [{}]\n", nodes.join(", "));
        // Writing to a String cannot fail.
        let of_nodes = r.what == ReleaseTarget::Nodes;
        if of_nodes {
            text.push_str("what = \"nodes\"\n");
        }
        let tables = if of_nodes { &[][..] } else { &[("restart", "2"), ("back", "1")][..] };
        for (table, version) in tables {
            let _ = write!(
                text,
                "[{table}]\nrun = [\"{program}\", \"lab\", \"poke\", \"{warden}\", \"restart\", \"{{id}}\", \"{version}\"]\n\
                 limit_s = 6\n"
            );
        }
        let _ = write!(
            text,
            "[limits]\nout = {}\nout_per_zone = {}\nin_percent = {}\n[times]\ncordon_s = 4\ndrain_s = 3\nback_s = 15\n\
             warm_s = {}\nwatch_s = {}\nwait_s = 60\n[gate]\nleast = {}\nbreach = \"{}\"\n",
            r.out, r.out_per_zone, r.in_percent, r.warm_s, r.watch_s, r.least, r.breach
        );
        for (n, members) in r.stages.iter().enumerate() {
            let _ = write!(text, "[[stage]]\nname = \"stage-{n}\"\nmembers = {members}\n");
        }
        let servers = world.plan.machines.iter().map(|m| (m.name.clone(), m.zone));
        let nodes = world.plan.node_zones.iter().enumerate().map(|(n, zone)| (format!("n{n}"), *zone));
        let members: Vec<(String, usize)> = if of_nodes { nodes.collect() } else { servers.collect() };
        for (id, zone) in members {
            let zone = &s.fleet.zones[zone];
            let _ = write!(text, "[[member]]\nid = \"{id}\"\nzone = \"{zone}\"\n");
        }
        Some(text)
    }

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

    /// Starts the controller, or the next one on the same journal.
    pub fn start(&self, world: &World) -> io::Result<()> {
        std::fs::create_dir_all(&self.dir)?;
        let file = self.dir.join("plan.toml");
        if !file.exists() {
            let text = self.plan(world, "day").ok_or(io::ErrorKind::NotFound)?;
            std::fs::write(&file, text)?;
        }
        *lock(&self.child) = Some(self.spawn("plan.toml", "controller.log")?);
        Ok(())
    }

    /// SIGKILL to the controller.
    pub async fn kill(&self) {
        let child = lock(&self.child).take();
        if let Some(mut child) = child {
            let _ = child.kill().await;
        }
    }

    /// SIGSTOP to the controller, or its end.
    pub fn freeze(&self, frozen: bool) {
        let pid = lock(&self.child).as_ref().and_then(Child::id).and_then(|id| i32::try_from(id).ok());
        if let Some(pid) = pid.and_then(Pid::from_raw) {
            // One that has ended meanwhile needs none.
            let _ = kill_process(pid, if frozen { Signal::STOP } else { Signal::CONT });
        }
    }

    /// A second release, which must be turned down while the first one is under way.
    pub async fn second(&self, world: &World) -> Result<(), String> {
        let text = self.plan(world, "other").ok_or("no release can be begun")?;
        std::fs::write(self.dir.join("other.toml"), text).map_err(|e| e.to_string())?;
        let mut child = self.spawn("other.toml", "other.log").map_err(|e| e.to_string())?;
        match tokio::time::timeout(Duration::from_secs(8), child.wait()).await {
            Ok(Ok(status)) if status.code() == Some(1) => Ok(()),
            Ok(status) => Err(format!("a second release ended with {status:?}")),
            Err(_) => {
                let _ = child.kill().await;
                Err("a second release was not turned down".to_owned())
            }
        }
    }

    /// Hands an order to the controller.
    pub async fn order(&self, word: &str) -> Result<(), String> {
        let program = self.program.as_ref().ok_or("no operators' command")?;
        let mut command = Command::new(program);
        command.args(["release", word, "--state"]).arg(&self.dir).arg(self.dir.join("plan.toml"));
        let done = command.stdin(Stdio::null()).stdout(Stdio::null()).status().await;
        match done {
            Ok(status) if status.success() => Ok(()),
            other => Err(format!("release {word}: {other:?}")),
        }
    }

    /// How the release stands: `done`, `back`, `halted`, `running`; with why, and who is on the new version. None
    /// where there was none.
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

    /// How often each server was restarted.
    pub fn restarts(&self) -> Vec<usize> {
        lock(&self.restarts).clone()
    }
}

impl Troubles {
    /// `restart s-3 2`: the server's process ends, and starts cold with that version.
    async fn restart(&self, line: &str) -> Result<(), String> {
        let world = &self.world;
        let words: Vec<&str> = line.split_whitespace().collect();
        let ["restart", id, version] = words[..] else { return Err(format!("{line:?} is no order")) };
        let machine = world.plan.machines.iter().position(|m| m.name == id);
        let server = machine.ok_or_else(|| format!("there is no server {id}"))?;
        let r = &world.plan.scenario.release;
        if r.broken.iter().any(|b| b == id) && version == "2" {
            tokio::time::sleep(REFUSED).await;
            return Err(format!("{id} does not start with version 2"));
        }
        let host = world.host(server).ok_or("no such server")?.clone();
        lock(&world.releases.restarts).push(server);
        host.down(false);
        tokio::time::sleep(Duration::from_secs_f64(r.restart_s)).await;
        if version == "2" {
            lock(&world.releases.on_new).insert(server);
        } else {
            lock(&world.releases.on_new).remove(&server);
        }
        self.apply();
        host.start_cold(world.now());
        self.notice(server, id.to_owned(), "up", World::boot_ms(), 1.0);
        Ok(())
    }
}
