//! A node process with its own files. It is measured from outside through `/proc`, and ends when its
//! [`NodeProcess`] is dropped or this program ends.

use super::super::MeasureError;
use super::environment::Client;
use super::{WAIT_TIMEOUT, ZONES};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Shell script that runs the node, then kills it and removes its files when the script's standard input is
/// closed, which also happens if this program is killed.
const SUPERVISOR_SCRIPT: &str = "trap : INT TERM HUP\nulimit -n 1024\n\
    \"$0\" 2>\"$1/log\" >/dev/null &\np=$!\necho $p\n\
    read -r _\nkill -9 $p\nwait $p\nrm -rf -- \"$1\"\n";
/// Log event of settings that were applied on SIGHUP.
const SETTINGS_APPLIED_EVENT: &str = "config.taken";
/// Log event of settings that were rejected on SIGHUP.
const SETTINGS_REJECTED_EVENT: &str = "config.refused";

/// A running node process.
pub struct NodeProcess {
    /// Address at which the node accepts clients.
    pub listen: SocketAddr,
    supervisor: Child,
    pid: Pid,
    dir: PathBuf,
    config: Value,
}

fn io_error(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> MeasureError {
    let what = what.into();
    move |cause| MeasureError::Io { what, cause }
}

/// Returns the request classes of the settings: one idempotent and one at-most-once.
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

impl NodeProcess {
    /// Starts a node and waits until its health check succeeds. Returns the process and the time from its
    /// start until then, in milliseconds. `edit_config` changes the configuration before the start; with
    /// `has_topology` the zones are divided into four regions.
    ///
    /// # Errors
    /// Returns [`MeasureError::Io`] if the files or the process cannot be created, and
    /// [`MeasureError::Unexpected`] if the node ends or does not become ready in time.
    pub fn start(
        program: &Path,
        discovery: SocketAddr,
        seed: u64,
        edit_config: impl FnOnce(&mut Value),
        has_topology: bool,
    ) -> Result<(NodeProcess, f64), MeasureError> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("daleturn-capacity-{}-{n}", std::process::id()));
        std::fs::create_dir_all(&dir).map_err(io_error(dir.display().to_string()))?;
        // A loopback address made from the process ID, which no other process uses: the port stays free
        // until the node binds it.
        let pid = std::process::id();
        let ip = Ipv4Addr::new(127, 32 + (pid % 200) as u8, (pid / 200 % 250) as u8, (n % 250 + 1) as u8);
        let listen = TcpListener::bind((ip, 0)).and_then(|l| l.local_addr());
        let listen = listen.map_err(io_error("reserving an address for clients"))?;
        let mut config = json!({
            "name": "n7", "listen": listen.to_string(), "discovery": discovery.to_string(),
            "seed": format!("{seed:016x}"), "limits": {"cores": 1.0, "memory_mb": 1024, "sockets": 1024},
            "known": {"rev": 0, "all": true, "targets": []}, "settings": settings()
        });
        edit_config(&mut config);
        let path = dir.join("config.json");
        std::fs::write(&path, config.to_string()).map_err(io_error(path.display().to_string()))?;
        let mut command = Command::new("/bin/sh");
        command.args(["-c", SUPERVISOR_SCRIPT]).arg(program).arg(&dir).env_clear().env("LB_CONFIG", &path);
        command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::null());
        if has_topology {
            let zones = config["settings"]["areas"].as_array().into_iter().flatten().enumerate();
            let regions: Vec<String> =
                zones.map(|(n, z)| format!("{} = \"region-{}\"\n", z, n % 4)).collect();
            let options = dir.join("daleturn.toml");
            let text = format!("[topology]\non = true\n[topology.regions]\n{}", regions.concat());
            std::fs::write(&options, text).map_err(io_error(options.display().to_string()))?;
            command.env("DALETURN_CONFIG", options);
        }
        let started = Instant::now();
        let mut supervisor = command.spawn().map_err(io_error(program.display().to_string()))?;
        let mut line = String::new();
        let read = supervisor.stdout.take().map(|out| BufReader::new(out).read_line(&mut line));
        let pid = line.trim().parse::<i32>().ok().and_then(Pid::from_raw);
        let Some(pid) = pid.filter(|_| matches!(read, Some(Ok(_)))) else {
            drop(supervisor.stdin.take());
            let _ = supervisor.wait();
            return Err(MeasureError::Unexpected(format!("{}: cannot be started", program.display())));
        };
        let node = NodeProcess { listen, supervisor, pid, dir, config };
        loop {
            let status = Client::open(listen).and_then(|mut c| c.health_status(WAIT_TIMEOUT));
            if status.is_ok_and(|status| status == 200) {
                return Ok((node, started.elapsed().as_secs_f64() * 1000.0));
            }
            if started.elapsed() > WAIT_TIMEOUT || node.memory_mb("VmHWM:").is_err() {
                let log = node.log().lines().last().unwrap_or("its log is empty").to_owned();
                return Err(MeasureError::Unexpected(format!("{} is not ready: {log}", program.display())));
            }
            sleep(Duration::from_millis(1));
        }
    }

    fn log(&self) -> String {
        std::fs::read_to_string(self.dir.join("log")).unwrap_or_default()
    }

    fn proc_path(&self, name: &str) -> PathBuf {
        Path::new("/proc").join(self.pid.as_raw_nonzero().to_string()).join(name)
    }

    /// Returns the processor time used so far by all running threads, in nanoseconds.
    ///
    /// # Errors
    /// Returns [`MeasureError::Io`] if the node has ended.
    pub fn cpu_ns(&self) -> Result<u64, MeasureError> {
        let dir = self.proc_path("task");
        let tasks =
            std::fs::read_dir(&dir).map_err(io_error(format!("{}: the node has ended", dir.display())))?;
        let thread_ns = |task: std::fs::DirEntry| {
            let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
            text.split(' ').next()?.parse::<u64>().ok()
        };
        Ok(tasks.flatten().filter_map(thread_ns).sum())
    }

    /// Returns a kilobyte field of `/proc/PID/status`, such as `VmRSS:`, in megabytes.
    ///
    /// # Errors
    /// Returns an error if the node has ended.
    pub fn memory_mb(&self, name: &str) -> Result<f64, MeasureError> {
        let path = self.proc_path("status");
        let text = std::fs::read_to_string(&path)
            .map_err(io_error(format!("{}: the node has ended", path.display())))?;
        let kb = text
            .lines()
            .find_map(|l| l.strip_prefix(name)?.trim().trim_end_matches(" kB").parse::<f64>().ok());
        kb.map(|kb| kb / 1024.0)
            .ok_or_else(|| MeasureError::Unexpected(format!("{name} not found: the node has ended")))
    }

    /// Changes the node's configuration file, sends SIGHUP, and waits until the log shows that the new
    /// settings are applied.
    ///
    /// # Errors
    /// Returns [`MeasureError::Unexpected`] if the node rejects the settings or does not apply them within
    /// `limit`.
    pub fn reload_settings(
        &mut self,
        edit_config: impl FnOnce(&mut Value),
        limit: Duration,
    ) -> Result<(), MeasureError> {
        let applied_count = |log: &str| log.matches(SETTINGS_APPLIED_EVENT).count();
        let before = applied_count(&self.log());
        edit_config(&mut self.config);
        let path = self.dir.join("config.json");
        std::fs::write(&path, self.config.to_string()).map_err(io_error(path.display().to_string()))?;
        kill_process(self.pid, Signal::HUP).map_err(|e| io_error("SIGHUP")(e.into()))?;
        let end = Instant::now() + limit;
        loop {
            let log = self.log();
            if applied_count(&log) > before {
                return Ok(());
            }
            if log.contains(SETTINGS_REJECTED_EVENT) || Instant::now() > end {
                let last = log.lines().last().unwrap_or_default().to_owned();
                return Err(MeasureError::Unexpected(format!(
                    "settings were not applied on SIGHUP: {last:.300}"
                )));
            }
            sleep(Duration::from_millis(1));
        }
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // Closing its input makes the supervisor end the node and remove its files.
        drop(self.supervisor.stdin.take());
        let _ = self.supervisor.wait();
    }
}
