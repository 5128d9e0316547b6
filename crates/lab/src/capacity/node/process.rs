//! One process of a node: started with files of its own, looked at from outside, and gone when it is
//! dropped or when this program ends.

use super::super::MeasureError;
use super::environment::Client;
use super::{PATIENCE, ZONES};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The shell ends the node and removes its files once nobody holds the shell's input any more: also where
/// this program is killed.
const KEEPER: &str = "trap : INT TERM HUP\nulimit -n 1024\n\"$0\" 2>\"$1/log\" >/dev/null &\np=$!\necho $p\n\
                      read -r _\nkill -9 $p\nwait $p\nrm -rf -- \"$1\"\n";
/// A line of the log that tells of settings that were taken on SIGHUP.
const TAKEN: &str = "config.taken";
/// One that tells of settings that were not.
const REFUSED: &str = "config.refused";

/// A node's process.
pub struct Process {
    /// Where clients connect.
    pub listen: SocketAddr,
    keeper: Child,
    pid: Pid,
    dir: PathBuf,
    config: Value,
}

fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> MeasureError {
    let what = what.into();
    move |cause| MeasureError::Io { what, cause }
}

/// Classes of the settings, each with another effect.
pub fn classes() -> Vec<Value> {
    let class = |(name, semantics)| {
        json!({"name": name, "semantics": semantics, "objectiveMs": 400.0, "hardLimitMs": 1000.0,
               "value": 1.0})
    };
    [("page", "idempotent"), ("pay", "at_most_once")].map(class).into()
}

fn settings() -> Value {
    let areas: Vec<String> = (0..ZONES).map(|n| format!("zone-{n}")).collect();
    json!({
        "areas": areas, "zone": "zone-0", "instances": 4200, "slotNo": 7, "tickMs": 5.0,
        "membershipMode": "pushed", "classes": classes(),
        "tenants": [{"name": "tenant", "quotaRps": 1000.0}],
        "limits": {"attemptsCap": 3, "connIdleMs": 15000.0, "connectTimeoutMs": 300.0, "mayCancel": true,
                   "maxRetryAfterMs": 2000.0, "maxStreams": 1, "openCap": 20000, "peerMessages": false,
                   "probing": false, "secondCopies": false},
        "rules": {"coldMs": 20000.0, "startCapacity": 0.14, "fallMultiple": 3.0, "fallMs": 1500.0,
                  "drainGraceMs": 500.0, "mustAskInMs": 10000.0}
    })
}

impl Process {
    /// Starts one and waits until it says that it can serve; the milliseconds from its start to then.
    pub fn start(
        program: &Path,
        discovery: SocketAddr,
        seed: u64,
        change: impl FnOnce(&mut Value),
        topology: bool,
    ) -> Result<(Process, f64), MeasureError> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("daleturn-capacity-{}-{n}", std::process::id()));
        std::fs::create_dir_all(&dir).map_err(io(dir.display().to_string()))?;
        // An address of this process's own: nobody else takes a port of it between here and the node's start.
        let pid = std::process::id();
        let ip = Ipv4Addr::new(127, 32 + (pid % 200) as u8, (pid / 200 % 250) as u8, (n % 250 + 1) as u8);
        let listen = TcpListener::bind((ip, 0)).and_then(|l| l.local_addr());
        let listen = listen.map_err(io("an address for clients"))?;
        let mut config = json!({
            "name": "n7", "listen": listen.to_string(), "discovery": discovery.to_string(),
            "seed": format!("{seed:016x}"), "limits": {"cores": 1.0, "memory_mb": 1024, "sockets": 1024},
            "known": {"rev": 0, "all": true, "targets": []}, "settings": settings()
        });
        change(&mut config);
        let file = dir.join("config.json");
        std::fs::write(&file, config.to_string()).map_err(io(file.display().to_string()))?;
        let mut command = Command::new("/bin/sh");
        command.args(["-c", KEEPER]).arg(program).arg(&dir).env_clear().env("LB_CONFIG", &file);
        command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::null());
        if topology {
            let zones = config["settings"]["areas"].as_array().into_iter().flatten().enumerate();
            let regions: Vec<String> =
                zones.map(|(n, z)| format!("{} = \"region-{}\"\n", z, n % 4)).collect();
            let options = dir.join("daleturn.toml");
            let text = format!("[topology]\non = true\n[topology.regions]\n{}", regions.concat());
            std::fs::write(&options, text).map_err(io(options.display().to_string()))?;
            command.env("DALETURN_CONFIG", options);
        }
        let begun = Instant::now();
        let mut keeper = command.spawn().map_err(io(program.display().to_string()))?;
        let mut line = String::new();
        let said = keeper.stdout.take().map(|out| BufReader::new(out).read_line(&mut line));
        let pid = line.trim().parse::<i32>().ok().and_then(Pid::from_raw);
        let Some(pid) = pid.filter(|_| matches!(said, Some(Ok(_)))) else {
            drop(keeper.stdin.take());
            let _ = keeper.wait();
            return Err(MeasureError::Unexpected(format!("{}: cannot be started", program.display())));
        };
        let own = Process { listen, keeper, pid, dir, config };
        loop {
            let up = Client::open(listen).and_then(|mut c| c.up(PATIENCE));
            if up.is_ok_and(|status| status == 200) {
                return Ok((own, begun.elapsed().as_secs_f64() * 1000.0));
            }
            if begun.elapsed() > PATIENCE || own.memory_mb("VmHWM:").is_err() {
                let log = own.log().lines().last().unwrap_or("it wrote nothing").to_owned();
                return Err(MeasureError::Unexpected(format!("{} is not ready: {log}", program.display())));
            }
            sleep(Duration::from_millis(1));
        }
    }

    fn log(&self) -> String {
        std::fs::read_to_string(self.dir.join("log")).unwrap_or_default()
    }

    fn proc(&self, name: &str) -> PathBuf {
        Path::new("/proc").join(self.pid.as_raw_nonzero().to_string()).join(name)
    }

    /// Processor time so far, of all threads that run, in nanoseconds.
    pub fn cpu_ns(&self) -> Result<u64, MeasureError> {
        let dir = self.proc("task");
        let tasks =
            std::fs::read_dir(&dir).map_err(io(format!("{}: the node has ended", dir.display())))?;
        let of = |task: std::fs::DirEntry| {
            let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
            text.split(' ').next()?.parse::<u64>().ok()
        };
        Ok(tasks.flatten().filter_map(of).sum())
    }

    /// A line of the process's status that counts kilobytes, in megabytes.
    pub fn memory_mb(&self, name: &str) -> Result<f64, MeasureError> {
        let path = self.proc("status");
        let text = std::fs::read_to_string(&path)
            .map_err(io(format!("{}: the node has ended", path.display())))?;
        let kb = text
            .lines()
            .find_map(|l| l.strip_prefix(name)?.trim().trim_end_matches(" kB").parse::<f64>().ok());
        kb.map(|kb| kb / 1024.0)
            .ok_or_else(|| MeasureError::Unexpected(format!("{name} the node has ended")))
    }

    /// Changes its file, tells it, and waits until it has taken it.
    pub fn reconfigure(
        &mut self,
        change: impl FnOnce(&mut Value),
        limit: Duration,
    ) -> Result<(), MeasureError> {
        let taken = |log: &str| log.matches(TAKEN).count();
        let before = taken(&self.log());
        change(&mut self.config);
        let file = self.dir.join("config.json");
        std::fs::write(&file, self.config.to_string()).map_err(io(file.display().to_string()))?;
        kill_process(self.pid, Signal::HUP).map_err(|e| io("SIGHUP")(e.into()))?;
        let end = Instant::now() + limit;
        loop {
            let log = self.log();
            if taken(&log) > before {
                return Ok(());
            }
            if log.contains(REFUSED) || Instant::now() > end {
                let last = log.lines().last().unwrap_or_default().to_owned();
                return Err(MeasureError::Unexpected(format!(
                    "settings were not taken on SIGHUP: {last:.300}"
                )));
            }
            sleep(Duration::from_millis(1));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The keeper sees its input end, and ends the node.
        drop(self.keeper.stdin.take());
        let _ = self.keeper.wait();
    }
}
