//! Nodes as processes: started with a place of their own, killed, frozen, ended, upgraded, told things.

use super::World;
use super::addresses::free_address;
use super::links::{lock, own_ip};
use crate::scenario::{FaultKind, NextBuild, ReleaseTarget};
use crate::settings::settings;
use daleturn::operator_call::{OperatorCall, call_node};
use daleturn_store::scripted_faults::{FaultOrders, simulate_power_loss, write_orders};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::process::{Child, Command};

/// What is kept of one process's log.
const LONGEST_LOG: usize = 16 * 1024 * 1024;
/// Where nodes listen for clients; operators and datagrams follow.
const ADDRESS: u32 = 200;
/// A new process must say yes within this.
const YES: Duration = Duration::from_secs(6);
/// And the old one must have ended within this.
const END: Duration = Duration::from_secs(6);

/// A process of a node.
struct Process {
    child: Child,
    operator: SocketAddr,
    cpu_ns: u64,
}

/// A node: its files, and the processes that serve for it.
pub struct Node {
    /// Its number.
    pub number: usize,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where datagrams arrive.
    pub peer_listen: SocketAddr,
    program: Mutex<PathBuf>,
    dir: PathBuf,
    logs: Option<PathBuf>,
    processes: Mutex<Vec<Process>>,
    /// The lab has killed, frozen or stopped it: what is lost there is nobody's fault.
    pub excused: AtomicBool,
    /// What was sent before then, in milliseconds of the day, was out while it stood still.
    pub woke_ms: AtomicU64,
    /// CPU of processes that have ended, in nanoseconds.
    spent_ns: Mutex<u64>,
    starts: Mutex<u32>,
}

impl Node {
    /// One that has not started.
    ///
    /// # Errors
    /// Its directory cannot be made.
    pub fn new(number: usize, program: &Path, dir: &Path, logs: Option<&Path>) -> io::Result<Node> {
        let dir = dir.join(format!("n{number}"));
        std::fs::create_dir_all(dir.join("tmp"))?;
        std::fs::create_dir_all(dir.join("state"))?;
        if let Some(logs) = logs {
            std::fs::create_dir_all(logs)?;
        }
        let ip = own_ip(ADDRESS + number as u32 % 30);
        Ok(Node {
            number,
            listen: free_address(ip)?,
            peer_listen: free_address(ip)?,
            program: Mutex::new(program.to_owned()),
            dir,
            logs: logs.map(Path::to_owned),
            processes: Mutex::default(),
            excused: AtomicBool::new(false),
            woke_ms: AtomicU64::new(0),
            spent_ns: Mutex::new(0),
            starts: Mutex::new(0),
        })
    }

    /// From its next start on it is this program.
    pub fn program(&self, program: &Path) {
        program.clone_into(&mut lock(&self.program));
    }

    /// Where its state is to last.
    pub fn state_dir(&self) -> PathBuf {
        self.dir.join("state")
    }

    /// Where its disk is rehearsed with.
    fn rehearsal(&self) -> PathBuf {
        self.dir.join("rehearsal")
    }

    /// What is wrong with its disk from here on.
    ///
    /// # Errors
    /// The orders cannot be written.
    pub fn disk(&self, orders: FaultOrders) -> io::Result<()> {
        write_orders(&self.rehearsal(), orders)
    }

    /// Its disk as a power loss may leave it; its processes are gone.
    ///
    /// # Errors
    /// The files cannot be read or written.
    pub fn lose_power(&self, draw: impl FnMut(usize) -> usize) -> io::Result<()> {
        simulate_power_loss(&self.state_dir(), &self.rehearsal(), draw)
    }

    /// Writes its files as of now.
    ///
    /// # Errors
    /// They cannot be written.
    pub fn write(&self, world: &World) -> io::Result<()> {
        let config = self.config(world);
        std::fs::write(self.dir.join("config.json"), config.to_string())?;
        let mut product = world.plan.scenario.product.clone();
        if let Some(toml::Value::Table(state)) = product.get_mut("state") {
            let dir = self.state_dir().to_string_lossy().into_owned();
            state.insert("dir".to_owned(), toml::Value::String(dir));
            if world.rehearses() {
                let place = self.rehearsal().to_string_lossy().into_owned();
                state.insert("rehearse".to_owned(), toml::Value::String(place));
            }
        }
        std::fs::write(self.dir.join("daleturn.toml"), product.to_string())
    }

    fn config(&self, world: &World) -> Value {
        let s = &world.plan.scenario;
        let (peers, all) = world.peer_addresses(self.number).unwrap_or_default();
        let discovery = world.discovery().and_then(|d| d.address(self.number));
        json!({
            "name": format!("n{}", self.number), "listen": self.listen.to_string(),
            "discovery": discovery.map(|d| d.to_string()), "seed": format!("{:016x}", world.plan.seed ^ self.number as u64),
            "limits": {"cores": 1.0, "memory_mb": s.fleet.memory_mb, "sockets": s.fleet.sockets},
            "peer_listen": self.peer_listen.to_string(), "peers": peers, "peers_all": all,
            "known": world.discovery().map(|d| d.known(world, self.number)),
            "settings": settings(&world.plan, self.number),
        })
    }

    /// What the start of a process costs that does nothing, in milliseconds: its program asked for its version.
    pub async fn bare_start_ms(&self) -> Option<f64> {
        let program = lock(&self.program).clone();
        let mut least = None;
        for _ in 0..5 {
            let begun = std::time::Instant::now();
            let mut command = Command::new("/bin/sh");
            command.args(["-c", "ulimit -n 512; exec \"$0\" \"$@\""]).arg(&program).arg("--version");
            let ended =
                command.env_clear().stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
            if ended.status().await.is_ok() {
                let ms = begun.elapsed().as_secs_f64() * 1000.0;
                least = Some(least.map_or(ms, |l: f64| l.min(ms)));
            }
        }
        least
    }

    /// Whether each node of this day runs under a supervisor.
    fn supervised(world: &World) -> bool {
        world.plan.scenario.release.what == ReleaseTarget::Nodes
            && world.plan.scenario.trouble.iter().any(|t| t.kind == FaultKind::Release)
    }

    /// The supervisor's file, with both versions; where it is called comes back.
    fn supervisor(&self, world: &World) -> io::Result<(PathBuf, SocketAddr)> {
        let ip = own_ip(ADDRESS + self.number as u32 % 30);
        let (at, first, second) = (free_address(ip)?, free_address(ip)?, free_address(ip)?);
        let one = lock(&self.program).clone();
        let next = world.next.clone().unwrap_or_else(|| one.clone());
        // A name of its own for each version: what runs is seen from outside by its path.
        let (old, new) = (self.dir.join("version-1"), self.dir.join("version-2"));
        let bad = self.dir.join("bad.json");
        let script = match world.plan.scenario.release.build {
            NextBuild::Good => None,
            NextBuild::Crash => Some("exit 3".to_owned()),
            NextBuild::Mute => Some("exec sleep 600".to_owned()),
            NextBuild::Bad => {
                let mut config = self.config(world);
                for class in config["settings"]["classes"].as_array_mut().into_iter().flatten() {
                    class["hardLimitMs"] = json!(25.0);
                    class["objectiveMs"] = json!(20.0);
                }
                std::fs::write(&bad, config.to_string())?;
                Some(format!("LB_CONFIG={:?} exec {:?}", bad, self.dir.join("version-2-program")))
            }
        };
        for (at, to) in [(&old, &one), (&new, &next)] {
            match std::fs::remove_file(at) {
                Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
                _ => std::os::unix::fs::symlink(std::fs::canonicalize(to)?, at)?,
            }
        }
        if let Some(text) = script {
            std::fs::rename(&new, self.dir.join("version-2-program"))?;
            std::fs::write(&new, format!("#!/bin/sh\n{text}\n"))?;
            let mode = std::os::unix::fs::PermissionsExt::from_mode(0o755);
            std::fs::set_permissions(&new, mode)?;
        }
        let mut env = toml::Table::new();
        let mut set =
            |key: &str, value: String| drop(env.insert(key.to_owned(), toml::Value::String(value)));
        set("LB_NAME", format!("n{}", self.number));
        set("LB_LISTEN", self.listen.to_string());
        set("LB_CONFIG", self.dir.join("config.json").to_string_lossy().into_owned());
        set("TMPDIR", self.dir.join("tmp").to_string_lossy().into_owned());
        if !world.plan.scenario.product.is_empty() {
            set("DALETURN_CONFIG", self.dir.join("daleturn.toml").to_string_lossy().into_owned());
        }
        let version = |name: &str, path: &Path| {
            format!("[[version]]\nname = \"{name}\"\npath = {:?}\n", path.to_string_lossy())
        };
        let text = format!(
            "listen = \"{at}\"\nstate = {:?}\noperators = [\"{first}\", \"{second}\"]\nfirst = \"1\"\nyes_s = 4\n{}{}[env]\n\
             {env}",
            self.dir.join("supervisor").to_string_lossy(),
            version("1", &old),
            version("2", &new)
        );
        let file = self.dir.join("supervisor.toml");
        std::fs::write(&file, text)?;
        Ok((file, at))
    }

    /// Whether the process that serves is the next version's, as the system has it.
    pub fn on_new(&self) -> bool {
        let new = self.dir.join("version-2");
        let new = new.to_string_lossy().into_owned();
        self.family().iter().any(|pid| {
            let line = std::fs::read(format!("/proc/{pid}/cmdline")).unwrap_or_default();
            String::from_utf8_lossy(&line).split('\0').any(|w| w.starts_with(&new))
        })
    }

    /// Its processes and their children.
    fn family(&self) -> Vec<u32> {
        let mut all: Vec<u32> = lock(&self.processes).iter().filter_map(|p| p.child.id()).collect();
        let mut n = 0;
        while let Some(pid) = all.get(n).copied() {
            let children = std::fs::read_to_string(format!("/proc/{pid}/task/{pid}/children"));
            all.extend(
                children.unwrap_or_default().split_whitespace().filter_map(|c| c.parse::<u32>().ok()),
            );
            n += 1;
        }
        all
    }

    /// Starts a process, beside another one if there is one.
    ///
    /// # Errors
    /// It cannot be started.
    pub fn start(&self, world: &World) -> io::Result<SocketAddr> {
        if lock(&self.processes).is_empty() {
            // The platform's temporary place is empty at each start, but for one beside a living process.
            let tmp = self.dir.join("tmp");
            std::fs::remove_dir_all(&tmp).and_then(|()| std::fs::create_dir_all(&tmp))?;
        }
        self.write(world)?;
        let mut operator = free_address(own_ip(ADDRESS + self.number as u32 % 30))?;
        let supervisor = if Node::supervised(world) {
            let (file, at) = self.supervisor(world)?;
            operator = at;
            Some((world.releases.program().ok_or(io::ErrorKind::NotFound)?, file))
        } else {
            None
        };
        let limit = format!("ulimit -n {}; exec \"$0\" \"$@\"", world.plan.scenario.fleet.sockets);
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &limit])
            .args(match &supervisor {
                Some((program, file)) => {
                    vec![program.clone().into_os_string(), "supervise".into(), file.into()]
                }
                None => vec![lock(&self.program).clone().into_os_string()],
            })
            .args(&world.node_args)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("LB_NAME", format!("n{}", self.number))
            .env("LB_LISTEN", self.listen.to_string())
            .env("LB_CONFIG", self.dir.join("config.json"))
            .env("LB_OPERATOR", operator.to_string())
            .env("TMPDIR", self.dir.join("tmp"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true);
        if !world.plan.scenario.product.is_empty() {
            command.env("DALETURN_CONFIG", self.dir.join("daleturn.toml"));
        }
        let mut child = command.spawn()?;
        if world.plan.scenario.fleet.pin
            && let Some(pid) = pid(&child)
        {
            let mut cores = rustix::thread::CpuSet::new();
            cores.set(self.number % std::thread::available_parallelism().map_or(1, usize::from));
            // Without it the system chooses.
            let _ = rustix::thread::sched_setaffinity(Some(pid), &cores);
        }
        let starts = {
            let mut starts = lock(&self.starts);
            *starts += 1;
            *starts
        };
        if let Some(stderr) = child.stderr.take() {
            let file = self.logs.as_ref().map(|l| l.join(format!("n{}-{starts}.log", self.number)));
            tokio::spawn(keep_log(stderr, file));
        }
        lock(&self.processes).push(Process { child, operator, cpu_ns: 0 });
        Ok(operator)
    }

    fn signal(&self, signal: Signal) {
        for process in lock(&self.processes).iter() {
            if let Some(pid) = pid(&process.child) {
                // One that has ended meanwhile needs none.
                let _ = kill_process(pid, signal);
            }
        }
    }

    /// SIGKILL to all of its processes, and waits until they are gone.
    pub async fn kill(&self) {
        // A supervisor that is killed leaves its node.
        let family = self.family();
        for pid in family.iter().skip(1).filter_map(|p| Pid::from_raw(i32::try_from(*p).ok()?)) {
            let _ = kill_process(pid, Signal::KILL);
        }
        let processes = std::mem::take(&mut *lock(&self.processes));
        for mut process in processes {
            self.count(&mut process);
            let _ = process.child.kill().await;
        }
    }

    /// SIGSTOP, or its end.
    pub fn freeze(&self, frozen: bool) {
        self.signal(if frozen { Signal::STOP } else { Signal::CONT });
    }

    /// New files and SIGHUP.
    ///
    /// # Errors
    /// The files cannot be written.
    pub fn reload(&self, world: &World) -> io::Result<()> {
        self.write(world)?;
        self.signal(Signal::HUP);
        Ok(())
    }

    /// SIGTERM to its oldest process, and waits for its end; what does not end is killed, and said.
    pub async fn stop(&self) -> Result<(), String> {
        let Some(mut old) = ({
            let mut processes = lock(&self.processes);
            (!processes.is_empty()).then(|| processes.remove(0))
        }) else {
            return Ok(());
        };
        // Once it has ended the system has forgotten what it used.
        look(&mut old);
        if let Some(pid) = pid(&old.child) {
            let _ = kill_process(pid, Signal::TERM);
        }
        let ended = tokio::time::timeout(END, old.child.wait()).await;
        self.count(&mut old);
        match ended {
            Ok(Ok(status)) if status.success() => Ok(()),
            Ok(status) => Err(format!("node {} ended after SIGTERM: {status:?}", self.number)),
            Err(_) => {
                let _ = old.child.kill().await;
                Err(format!("node {} did not end within {} s of SIGTERM", self.number, END.as_secs()))
            }
        }
    }

    /// The next process starts beside the old one, says yes, and takes over.
    ///
    /// # Errors
    /// It does not start, does not say yes in time, or the old one does not end.
    pub async fn upgrade(&self, world: &World) -> Result<(), String> {
        let operator = self.start(world).map_err(|e| e.to_string())?;
        let end = tokio::time::Instant::now() + YES;
        loop {
            let yes = tokio::task::spawn_blocking(move || {
                call_node(operator, &OperatorCall::Health, Duration::from_secs(1))
            })
            .await;
            if matches!(yes, Ok(Ok(Ok(_)))) {
                return self.stop().await;
            }
            if tokio::time::Instant::now() > end {
                return Err(format!("the new process of node {} said no yes", self.number));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Where its newest process hears operators.
    pub fn operator(&self) -> Option<SocketAddr> {
        lock(&self.processes).last().map(|p| p.operator)
    }

    /// A process of it has ended by itself.
    pub fn crashed(&self) -> Option<String> {
        let mut processes = lock(&self.processes);
        let n = processes.iter_mut().position(|p| matches!(p.child.try_wait(), Ok(Some(_)) | Err(_)))?;
        let mut gone = processes.remove(n);
        Some(format!("node {} ended by itself: {:?}", self.number, gone.child.try_wait()))
    }

    fn count(&self, process: &mut Process) {
        look(process);
        *lock(&self.spent_ns) += process.cpu_ns;
    }

    /// CPU that it has used, in nanoseconds.
    pub fn cpu_ns(&self) -> u64 {
        let mut processes = lock(&self.processes);
        processes.iter_mut().for_each(look);
        *lock(&self.spent_ns) + processes.iter().map(|p| p.cpu_ns).sum::<u64>()
    }

    /// Bytes that its newest process has handed to the system to be written to files, as the system counts them.
    pub fn written_bytes(&self) -> u64 {
        let read = || {
            let pid = lock(&self.processes).last()?.child.id()?;
            let io = std::fs::read_to_string(format!("/proc/{pid}/io")).ok()?;
            io.lines().find_map(|l| l.strip_prefix("write_bytes:"))?.trim().parse().ok()
        };
        read().unwrap_or(0)
    }

    /// Memory that its newest process holds, in kB.
    pub fn memory_kb(&self) -> Option<u64> {
        let pid = lock(&self.processes).last()?.child.id()?;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
        line.trim().trim_end_matches("kB").trim().parse().ok()
    }

    /// It is excused from here on, or no more.
    pub fn excuse(&self, excused: bool) {
        self.excused.store(excused, Ordering::SeqCst);
    }
}

fn pid(child: &Child) -> Option<Pid> {
    child.id().and_then(|id| i32::try_from(id).ok()).and_then(Pid::from_raw)
}

/// What the system has counted for it, in ticks of a hundredth of a second; exact enough over a whole day.
fn look(process: &mut Process) {
    const TICK_NS: u64 = 10_000_000;
    let Some(id) = process.child.id() else { return };
    let Ok(stat) = std::fs::read_to_string(format!("/proc/{id}/stat")) else { return };
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<u64>().ok()).unwrap_or(0);
    process.cpu_ns = process.cpu_ns.max((ticks(11) + ticks(12)) * TICK_NS);
}

/// Reads a log to its end, and keeps the beginning of it: a node that writes without end fills no disk.
async fn keep_log(mut from: tokio::process::ChildStderr, into: Option<PathBuf>) {
    let mut file = match into {
        Some(path) => tokio::fs::File::create(path).await.ok(),
        None => None,
    };
    let (mut piece, mut kept) = (vec![0; 16 * 1024], 0);
    while let Ok(n @ 1..) = from.read(&mut piece).await {
        kept += n;
        if let (Some(file), true, Some(bytes)) = (&mut file, kept <= LONGEST_LOG, piece.get(..n)) {
            let _ = file.write_all(bytes).await;
        }
    }
    if let Some(mut file) = file {
        let _ = file.flush().await;
    }
}

/// What an operator said, and what came back.
pub async fn say(operator: SocketAddr, words: String) -> Result<String, String> {
    let call = OperatorCall::parse(words.as_bytes()).map_err(|e| e.to_string())?;
    let asked =
        tokio::task::spawn_blocking(move || call_node(operator, &call, Duration::from_secs(2))).await;
    match asked {
        Ok(Ok(answer)) => answer,
        Ok(Err(e)) => Err(e.to_string()),
        Err(e) => Err(e.to_string()),
    }
}

/// Nodes by number.
pub type Nodes = Vec<Arc<Node>>;
