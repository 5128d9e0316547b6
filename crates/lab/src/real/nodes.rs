//! Node processes: each has a directory of its own and can be started, killed, frozen, stopped, reloaded,
//! upgraded and called.

use super::World;
use super::addresses::free_address;
use super::links::{lock, loopback_ip};
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

/// Maximum size of a process's log that is kept, in bytes.
const MAX_LOG_BYTES: usize = 16 * 1024 * 1024;
/// First index of the loopback addresses on which nodes listen for clients, operators and datagrams.
const ADDRESS_INDEX: u32 = 200;
/// Time within which a new process must report that it is healthy during an upgrade.
const HEALTHY_TIMEOUT: Duration = Duration::from_secs(6);
/// Time within which a process must end after SIGTERM.
const EXIT_TIMEOUT: Duration = Duration::from_secs(6);

/// A process of a node.
struct Process {
    child: Child,
    operator: SocketAddr,
    cpu_ns: u64,
}

/// A node: its files and its processes.
pub struct Node {
    /// Index of the node.
    pub number: usize,
    /// Address on which the node accepts clients.
    pub listen: SocketAddr,
    /// Address on which the node receives datagrams.
    pub peer_listen: SocketAddr,
    program: Mutex<PathBuf>,
    dir: PathBuf,
    logs: Option<PathBuf>,
    processes: Mutex<Vec<Process>>,
    /// True while the node is down or frozen because of a fault, or has exited: requests lost at it break
    /// no further rule.
    pub losses_excused: AtomicBool,
    /// Time of the run at which the node last resumed, in milliseconds. Requests sent before may have been
    /// open while the node was down.
    pub resumed_ms: AtomicU64,
    /// CPU time of processes that have ended, in nanoseconds.
    ended_cpu_ns: Mutex<u64>,
    starts: Mutex<u32>,
}

impl Node {
    /// Creates the directory of a node, which is not started yet.
    ///
    /// # Errors
    /// Returns an error if a directory cannot be created or no address is free.
    pub fn new(number: usize, program: &Path, dir: &Path, logs: Option<&Path>) -> io::Result<Node> {
        let dir = dir.join(format!("n{number}"));
        std::fs::create_dir_all(dir.join("tmp"))?;
        std::fs::create_dir_all(dir.join("state"))?;
        if let Some(logs) = logs {
            std::fs::create_dir_all(logs)?;
        }
        let ip = loopback_ip(ADDRESS_INDEX + number as u32 % 30);
        Ok(Node {
            number,
            listen: free_address(ip)?,
            peer_listen: free_address(ip)?,
            program: Mutex::new(program.to_owned()),
            dir,
            logs: logs.map(Path::to_owned),
            processes: Mutex::default(),
            losses_excused: AtomicBool::new(false),
            resumed_ms: AtomicU64::new(0),
            ended_cpu_ns: Mutex::new(0),
            starts: Mutex::new(0),
        })
    }

    /// Sets the program that the node runs from its next start on.
    pub fn set_program(&self, program: &Path) {
        program.clone_into(&mut lock(&self.program));
    }

    /// Returns the directory in which the node keeps its state.
    pub fn state_dir(&self) -> PathBuf {
        self.dir.join("state")
    }

    /// Returns the directory through which faults of the node's disk are controlled.
    fn disk_faults_dir(&self) -> PathBuf {
        self.dir.join("rehearsal")
    }

    /// Sets the faults of the node's disk.
    ///
    /// # Errors
    /// Returns an error if the orders cannot be written.
    pub fn set_disk_faults(&self, orders: FaultOrders) -> io::Result<()> {
        write_orders(&self.disk_faults_dir(), orders)
    }

    /// Leaves the files of the node, whose processes must have ended, in a state that a power loss may
    /// produce.
    ///
    /// # Errors
    /// Returns an error if the files cannot be read or written.
    pub fn lose_power(&self, draw: impl FnMut(usize) -> usize) -> io::Result<()> {
        simulate_power_loss(&self.state_dir(), &self.disk_faults_dir(), draw)
    }

    /// Writes the node's configuration files for the current state of the fleet.
    ///
    /// # Errors
    /// Returns an error if a file cannot be written.
    pub fn write_config(&self, world: &World) -> io::Result<()> {
        let config = self.config(world);
        std::fs::write(self.dir.join("config.json"), config.to_string())?;
        let mut product = world.plan.scenario.product.clone();
        if let Some(toml::Value::Table(state)) = product.get_mut("state") {
            let dir = self.state_dir().to_string_lossy().into_owned();
            state.insert("dir".to_owned(), toml::Value::String(dir));
            if world.has_disk_faults() {
                let faults_dir = self.disk_faults_dir().to_string_lossy().into_owned();
                state.insert("rehearse".to_owned(), toml::Value::String(faults_dir));
            }
        }
        std::fs::write(self.dir.join("daleturn.toml"), product.to_string())
    }

    /// Returns the node's configuration in the platform's format.
    fn config(&self, world: &World) -> Value {
        let s = &world.plan.scenario;
        let (peers, all) = world.peer_addresses(self.number).unwrap_or_default();
        let discovery = world.discovery().and_then(|d| d.address(self.number));
        json!({
            "name": format!("n{}", self.number), "listen": self.listen.to_string(),
            "discovery": discovery.map(|d| d.to_string()), "seed": format!("{:016x}", world.plan.seed ^ self.number as u64),
            "limits": {"cores": 1.0, "memory_mb": s.fleet.memory_mb, "sockets": s.fleet.sockets},
            "peer_listen": self.peer_listen.to_string(), "peers": peers, "peers_all": all,
            "known": world.discovery().map(|d| d.full_list(world, self.number)),
            "settings": settings(&world.plan, self.number),
        })
    }

    /// Returns the time to start the node's program with `--version`, in milliseconds: the cost of a
    /// process start by itself.
    pub async fn bare_start_ms(&self) -> Option<f64> {
        let program = lock(&self.program).clone();
        let mut fastest_ms = None;
        for _ in 0..5 {
            let begun = std::time::Instant::now();
            let mut command = Command::new("/bin/sh");
            command.args(["-c", "ulimit -n 512; exec \"$0\" \"$@\""]).arg(&program).arg("--version");
            let ended =
                command.env_clear().stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
            if ended.status().await.is_ok() {
                let ms = begun.elapsed().as_secs_f64() * 1000.0;
                fastest_ms = Some(fastest_ms.map_or(ms, |f: f64| f.min(ms)));
            }
        }
        fastest_ms
    }

    /// Returns true if each node runs under a supervisor, which a release of nodes requires.
    fn is_supervised(world: &World) -> bool {
        world.plan.scenario.release.what == ReleaseTarget::Nodes
            && world.plan.scenario.trouble.iter().any(|t| t.kind == FaultKind::Release)
    }

    /// Writes the supervisor's configuration with both versions of the program. Returns its path and the
    /// supervisor's address.
    fn write_supervisor_config(&self, world: &World) -> io::Result<(PathBuf, SocketAddr)> {
        let ip = loopback_ip(ADDRESS_INDEX + self.number as u32 % 30);
        let (address, first_operator, second_operator) =
            (free_address(ip)?, free_address(ip)?, free_address(ip)?);
        let current_program = lock(&self.program).clone();
        let next_program = world.upgrade_program.clone().unwrap_or_else(|| current_program.clone());
        // Each version has a path of its own, by which the running version is recognized from outside.
        let (old, new) = (self.dir.join("version-1"), self.dir.join("version-2"));
        let bad_config = self.dir.join("bad.json");
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
                std::fs::write(&bad_config, config.to_string())?;
                Some(format!("LB_CONFIG={:?} exec {:?}", bad_config, self.dir.join("version-2-program")))
            }
        };
        for (link, target) in [(&old, &current_program), (&new, &next_program)] {
            match std::fs::remove_file(link) {
                Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
                _ => std::os::unix::fs::symlink(std::fs::canonicalize(target)?, link)?,
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
            "listen = \"{address}\"\nstate = {:?}\noperators = [\"{first_operator}\", \"{second_operator}\"]\nfirst = \"1\"\nyes_s = 4\n{}{}[env]\n\
             {env}",
            self.dir.join("supervisor").to_string_lossy(),
            version("1", &old),
            version("2", &new)
        );
        let file = self.dir.join("supervisor.toml");
        std::fs::write(&file, text)?;
        Ok((file, address))
    }

    /// Returns true if the serving process runs the new version, according to its command line.
    pub fn runs_new_version(&self) -> bool {
        let new = self.dir.join("version-2");
        let new = new.to_string_lossy().into_owned();
        self.process_tree().iter().any(|pid| {
            let line = std::fs::read(format!("/proc/{pid}/cmdline")).unwrap_or_default();
            String::from_utf8_lossy(&line).split('\0').any(|w| w.starts_with(&new))
        })
    }

    /// Returns the ids of the node's processes and their descendants.
    fn process_tree(&self) -> Vec<u32> {
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

    /// Starts a process of the node, next to one that may be running already. Returns its address for
    /// operators.
    ///
    /// # Errors
    /// Returns an error if the process cannot be started.
    pub fn start(&self, world: &World) -> io::Result<SocketAddr> {
        if lock(&self.processes).is_empty() {
            // The platform's temporary directory is empty at each start, except when another process of the
            // node is running.
            let tmp = self.dir.join("tmp");
            std::fs::remove_dir_all(&tmp).and_then(|()| std::fs::create_dir_all(&tmp))?;
        }
        self.write_config(world)?;
        let mut operator = free_address(loopback_ip(ADDRESS_INDEX + self.number as u32 % 30))?;
        let supervisor = if Node::is_supervised(world) {
            let (file, address) = self.write_supervisor_config(world)?;
            operator = address;
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
            // If it cannot be pinned, the system chooses the core.
            let _ = rustix::thread::sched_setaffinity(Some(pid), &cores);
        }
        let starts = {
            let mut starts = lock(&self.starts);
            *starts += 1;
            *starts
        };
        if let Some(stderr) = child.stderr.take() {
            let file = self.logs.as_ref().map(|l| l.join(format!("n{}-{starts}.log", self.number)));
            tokio::spawn(copy_log(stderr, file));
        }
        lock(&self.processes).push(Process { child, operator, cpu_ns: 0 });
        Ok(operator)
    }

    fn signal(&self, signal: Signal) {
        for process in lock(&self.processes).iter() {
            if let Some(pid) = pid(&process.child) {
                // A process that has ended in the meantime needs no signal.
                let _ = kill_process(pid, signal);
            }
        }
    }

    /// Sends SIGKILL to all processes of the node and waits for their end.
    pub async fn kill(&self) {
        // Killing a supervisor does not kill the node that it started.
        let process_tree = self.process_tree();
        for pid in process_tree.iter().skip(1).filter_map(|p| Pid::from_raw(i32::try_from(*p).ok()?)) {
            let _ = kill_process(pid, Signal::KILL);
        }
        let processes = std::mem::take(&mut *lock(&self.processes));
        for mut process in processes {
            self.add_cpu(&mut process);
            let _ = process.child.kill().await;
        }
    }

    /// Sends SIGSTOP, or SIGCONT if `frozen` is false.
    pub fn freeze(&self, frozen: bool) {
        self.signal(if frozen { Signal::STOP } else { Signal::CONT });
    }

    /// Rewrites the node's configuration and sends SIGHUP.
    ///
    /// # Errors
    /// Returns an error if a file cannot be written.
    pub fn reload(&self, world: &World) -> io::Result<()> {
        self.write_config(world)?;
        self.signal(Signal::HUP);
        Ok(())
    }

    /// Sends SIGTERM to the oldest process and waits for its end. A process that does not end in time is
    /// killed.
    ///
    /// # Errors
    /// Returns an error if the process ends with a failure or has to be killed.
    pub async fn stop(&self) -> Result<(), String> {
        let Some(mut old) = ({
            let mut processes = lock(&self.processes);
            (!processes.is_empty()).then(|| processes.remove(0))
        }) else {
            return Ok(());
        };
        // The system drops the counters of a process when it ends.
        update_cpu(&mut old);
        if let Some(pid) = pid(&old.child) {
            let _ = kill_process(pid, Signal::TERM);
        }
        let ended = tokio::time::timeout(EXIT_TIMEOUT, old.child.wait()).await;
        self.add_cpu(&mut old);
        match ended {
            Ok(Ok(status)) if status.success() => Ok(()),
            Ok(status) => Err(format!("node {} ended after SIGTERM: {status:?}", self.number)),
            Err(_) => {
                let _ = old.child.kill().await;
                Err(format!(
                    "node {} did not end within {} s of SIGTERM",
                    self.number,
                    EXIT_TIMEOUT.as_secs()
                ))
            }
        }
    }

    /// Starts a new process next to the old one, waits until it is healthy, and stops the old one.
    ///
    /// # Errors
    /// Returns an error if the new process does not start, does not become healthy in time, or the old one
    /// does not end.
    pub async fn upgrade(&self, world: &World) -> Result<(), String> {
        let operator = self.start(world).map_err(|e| e.to_string())?;
        let end = tokio::time::Instant::now() + HEALTHY_TIMEOUT;
        loop {
            let healthy = tokio::task::spawn_blocking(move || {
                call_node(operator, &OperatorCall::Health, Duration::from_secs(1))
            })
            .await;
            if matches!(healthy, Ok(Ok(Ok(_)))) {
                return self.stop().await;
            }
            if tokio::time::Instant::now() > end {
                return Err(format!("the new process of node {} did not become healthy", self.number));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns the address of the newest process for operators.
    pub fn operator(&self) -> Option<SocketAddr> {
        lock(&self.processes).last().map(|p| p.operator)
    }

    /// Returns a description of a process that has exited on its own, if there is one, and forgets the
    /// process.
    pub fn take_crashed(&self) -> Option<String> {
        let mut processes = lock(&self.processes);
        let n = processes.iter_mut().position(|p| matches!(p.child.try_wait(), Ok(Some(_)) | Err(_)))?;
        let mut exited = processes.remove(n);
        Some(format!("node {} exited on its own: {:?}", self.number, exited.child.try_wait()))
    }

    /// Adds the CPU time of a process that ends to the total.
    fn add_cpu(&self, process: &mut Process) {
        update_cpu(process);
        *lock(&self.ended_cpu_ns) += process.cpu_ns;
    }

    /// Returns the CPU time used by all processes of the node, in nanoseconds.
    pub fn cpu_ns(&self) -> u64 {
        let mut processes = lock(&self.processes);
        processes.iter_mut().for_each(update_cpu);
        *lock(&self.ended_cpu_ns) + processes.iter().map(|p| p.cpu_ns).sum::<u64>()
    }

    /// Returns the bytes that the newest process has written to files, as counted by the system.
    pub fn written_bytes(&self) -> u64 {
        let read = || {
            let pid = lock(&self.processes).last()?.child.id()?;
            let io = std::fs::read_to_string(format!("/proc/{pid}/io")).ok()?;
            io.lines().find_map(|l| l.strip_prefix("write_bytes:"))?.trim().parse().ok()
        };
        read().unwrap_or(0)
    }

    /// Returns the resident memory of the newest process, in kB.
    pub fn memory_kb(&self) -> Option<u64> {
        let pid = lock(&self.processes).last()?.child.id()?;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
        line.trim().trim_end_matches("kB").trim().parse().ok()
    }

    /// Sets whether requests lost at the node break no rule.
    pub fn excuse_losses(&self, losses_excused: bool) {
        self.losses_excused.store(losses_excused, Ordering::SeqCst);
    }
}

fn pid(child: &Child) -> Option<Pid> {
    child.id().and_then(|id| i32::try_from(id).ok()).and_then(Pid::from_raw)
}

/// Updates the CPU time of a process. The system counts in units of a hundredth of a second, which is
/// accurate enough over a whole run.
fn update_cpu(process: &mut Process) {
    const TICK_NS: u64 = 10_000_000;
    let Some(id) = process.child.id() else { return };
    let Ok(stat) = std::fs::read_to_string(format!("/proc/{id}/stat")) else { return };
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<u64>().ok()).unwrap_or(0);
    process.cpu_ns = process.cpu_ns.max((ticks(11) + ticks(12)) * TICK_NS);
}

/// Reads a log to its end and keeps its beginning, which prevents a node that logs without end from filling
/// the disk.
async fn copy_log(mut from: tokio::process::ChildStderr, into: Option<PathBuf>) {
    let mut file = match into {
        Some(path) => tokio::fs::File::create(path).await.ok(),
        None => None,
    };
    let (mut piece, mut kept) = (vec![0; 16 * 1024], 0);
    while let Ok(n @ 1..) = from.read(&mut piece).await {
        kept += n;
        if let (Some(file), true, Some(bytes)) = (&mut file, kept <= MAX_LOG_BYTES, piece.get(..n)) {
            let _ = file.write_all(bytes).await;
        }
    }
    if let Some(mut file) = file {
        let _ = file.flush().await;
    }
}

/// Sends an operator's call to a node and returns the answer.
///
/// # Errors
/// Returns an error if the call is invalid, gets no answer, or the node answers with an error.
pub async fn call(operator: SocketAddr, words: String) -> Result<String, String> {
    let call = OperatorCall::parse(words.as_bytes()).map_err(|e| e.to_string())?;
    let asked =
        tokio::task::spawn_blocking(move || call_node(operator, &call, Duration::from_secs(2))).await;
    match asked {
        Ok(Ok(answer)) => answer,
        Ok(Err(e)) => Err(e.to_string()),
        Err(e) => Err(e.to_string()),
    }
}

/// The nodes by index.
pub type Nodes = Vec<Arc<Node>>;
