//! The supervisor of a machine's node. It restarts the node when its process exits, upgrades it by starting
//! the new version beside the running one, and rolls back by itself if a new version keeps crashing. It
//! accepts operator calls on its own address; calls that it does not handle itself are forwarded to the
//! serving node.

use daleturn::files::read_text;
use daleturn::operator_call::{MAX_CALL_BYTES, OperatorCall, call_node};
use daleturn::tomlfile::{self, TomlError};
use rustix::process::{Pid, Signal, kill_process};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use thiserror::Error;

/// Maximum size of the supervisor's configuration file, in bytes.
const MAX_CONFIG_BYTES: u64 = 1024 * 1024;
/// Interval at which the supervisor checks its node and waits for calls.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Pause before the first restart after an exit.
const FIRST_RESTART_PAUSE: Duration = Duration::from_millis(200);
/// Maximum pause before a restart. Also the pause after a start that failed.
const MAX_RESTART_PAUSE: Duration = Duration::from_secs(10);
/// Time limit for reading a caller's line, and for a forwarded call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of concurrent connections.
const MAX_CONNECTIONS: usize = 8;
/// Name of the file that stores the current and the previous version.
const CURRENT_FILE: &str = "current";

/// The supervisor's configuration file.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Address on which the supervisor accepts calls.
    pub listen: String,
    /// Directory that stores which version is current. It must survive a reboot.
    pub state: PathBuf,
    /// Operator addresses of the node's processes. The two processes of an upgrade alternate between the
    /// first two.
    pub operators: Vec<SocketAddr>,
    /// Version to start if none is stored.
    pub first: String,
    /// Available versions.
    pub version: Vec<Build>,
    /// Environment variables of the node, in addition to the supervisor's own environment.
    pub env: BTreeMap<String, String>,
    /// Time for a new process to become healthy, in seconds.
    pub yes_s: u64,
    /// Time for a process to exit after SIGTERM, in seconds.
    pub end_s: u64,
    /// Number of exits within `within_s` that counts as a crash loop.
    pub crashes: usize,
    /// Period over which exits are counted, in seconds.
    pub within_s: u64,
}

/// `[[version]]`: a version of the node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Build {
    /// Name of the version.
    pub name: String,
    /// Path of its program.
    pub path: PathBuf,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            listen: String::new(),
            state: PathBuf::new(),
            operators: Vec::new(),
            first: String::new(),
            version: Vec::new(),
            env: BTreeMap::new(),
            yes_s: 6,
            end_s: 6,
            crashes: 3,
            within_s: 30,
        }
    }
}

impl Config {
    /// Reads and checks a configuration file.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read or is not a valid configuration.
    pub fn read(path: &Path) -> Result<Config, TomlError> {
        let config: Config = tomlfile::parse(&read_text(path, MAX_CONFIG_BYTES)?)?;
        let invalid = |key: &str, reason: &str| {
            Err(TomlError::Content { line: 1, key: key.to_owned(), reason: reason.to_owned() })
        };
        if config.listen.parse::<SocketAddr>().is_err() {
            return invalid("listen", "must be an address and port");
        }
        if config.operators.len() < 2 || config.operators[0] == config.operators[1] {
            return invalid("operators", "needs two addresses: one for each process of an upgrade");
        }
        if config.build(&config.first).is_none() {
            return invalid("first", "names none of the versions");
        }
        Ok(config)
    }

    fn build(&self, name: &str) -> Option<&Build> {
        self.version.iter().find(|b| b.name == name)
    }
}

/// Error that prevents a supervisor from running.
#[derive(Debug, Error)]
pub enum SuperviseError {
    /// A system call failed; holds its subject and the error.
    #[error("{0}: {1}")]
    System(String, io::Error),
}

/// A running process of the node.
struct Process {
    child: Child,
    /// Index of the process's address in `Config::operators`.
    operator_index: usize,
}

/// A call that a connection's thread passes to the supervisor.
struct SupervisorCall {
    call: OperatorCall,
    /// Sender for the answer.
    answer: Sender<Result<String, String>>,
}

/// Operator address of the serving node; `None` while no node serves.
type ServingAddress = Arc<Mutex<Option<SocketAddr>>>;

/// State of a running supervisor.
struct Supervisor<'a> {
    config: &'a Config,
    /// Version that serves, or is started next.
    current: String,
    /// Version to return to if the current one keeps crashing.
    previous: Option<String>,
    process: Option<Process>,
    /// Times of the exits within the last `Config::within_s` seconds.
    recent_exits: Vec<Instant>,
    /// Earliest time of the next start.
    next_start: Instant,
    serving: ServingAddress,
}

/// Keeps the node running until SIGTERM or SIGINT, and answers calls. `log` receives a line for each event.
///
/// # Errors
/// Returns an error if the address or the state directory cannot be used.
pub fn run(config: &Config, mut log: impl FnMut(&str)) -> Result<(), SuperviseError> {
    let system_error = |what: String| move |e| SuperviseError::System(what, e);
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal, stop.clone()).map_err(system_error("signals".to_owned()))?;
    }
    std::fs::create_dir_all(&config.state).map_err(system_error(config.state.display().to_string()))?;
    let listener = TcpListener::bind(&config.listen).map_err(system_error(config.listen.clone()))?;
    let serving = ServingAddress::default();
    let (call_sender, calls) = channel();
    let (shared_serving, shared_sender) = (serving.clone(), Arc::new(Mutex::new(call_sender)));
    std::thread::spawn(move || {
        let connections = Arc::new(());
        for stream in listener.incoming().flatten() {
            // Connections beyond the limit are closed.
            if Arc::strong_count(&connections) > MAX_CONNECTIONS {
                continue;
            }
            let connection = connections.clone();
            let (serving, call_sender) = (shared_serving.clone(), shared_sender.lock().map(|s| s.clone()));
            let Ok(call_sender) = call_sender else { return };
            std::thread::spawn(move || {
                serve_connection(stream, &serving, &call_sender);
                drop(connection);
            });
        }
    });
    let (current, previous) = stored_versions(config);
    let mut supervisor = Supervisor {
        config,
        current,
        previous,
        process: None,
        recent_exits: Vec::new(),
        next_start: Instant::now(),
        serving,
    };
    supervisor.run_until_stopped(&calls, &stop, &mut log);
    Ok(())
}

/// Returns the stored current and previous versions.
fn stored_versions(config: &Config) -> (String, Option<String>) {
    let text = std::fs::read_to_string(config.state.join(CURRENT_FILE)).unwrap_or_default();
    let mut names = text.split_whitespace().filter(|n| config.build(n).is_some()).map(str::to_owned);
    (names.next().unwrap_or_else(|| config.first.clone()), names.next())
}

/// Answers one call on a connection, in the protocol of a node's operator address.
fn serve_connection(stream: TcpStream, serving: &ServingAddress, calls: &Sender<SupervisorCall>) {
    let _ = stream.set_read_timeout(Some(CALL_TIMEOUT));
    let _ = stream.set_write_timeout(Some(CALL_TIMEOUT));
    let mut line = String::new();
    let read = BufReader::new((&stream).take(MAX_CALL_BYTES as u64 + 2)).read_line(&mut line);
    let call = read
        .map_err(|e| e.to_string())
        .and_then(|_| OperatorCall::parse(line.trim_end().as_bytes()).map_err(|e| e.to_string()));
    let result = call.and_then(|call| match call {
        OperatorCall::Upgrade(_) | OperatorCall::Versions => {
            let (answer, answered) = channel();
            calls.send(SupervisorCall { call, answer }).map_err(|_| "the supervisor ends".to_owned())?;
            answered.recv().unwrap_or_else(|_| Err("the supervisor ends".to_owned()))
        }
        call => {
            let address = serving.lock().ok().and_then(|s| *s).ok_or("no node serves")?;
            call_node(address, &call, CALL_TIMEOUT).unwrap_or_else(|e| Err(e.to_string()))
        }
    });
    let text = match result {
        Ok(answer) => format!("OK {answer}\n"),
        Err(why) => format!("ERR {why}\n"),
    };
    // An error means that the caller has disconnected.
    let _ = (&stream).write_all(text.as_bytes());
}

impl Supervisor<'_> {
    /// Checks the node and answers calls until `stop` is set, then stops the node.
    fn run_until_stopped(
        &mut self,
        calls: &Receiver<SupervisorCall>,
        stop: &AtomicBool,
        log: &mut impl FnMut(&str),
    ) {
        loop {
            if stop.load(Ordering::SeqCst) {
                if let Some(process) = self.process.take() {
                    self.stop_process(process, log);
                }
                return;
            }
            self.check_node(log);
            if let Ok(SupervisorCall { call, answer }) = calls.recv_timeout(TICK_INTERVAL) {
                let result = match call {
                    OperatorCall::Upgrade(version) => self.upgrade(&version, log),
                    _ => Ok(self.versions()),
                };
                // An error means that the caller has disconnected.
                let _ = answer.send(result);
            }
        }
    }

    /// Returns the answer to a `versions` call as JSON.
    fn versions(&self) -> String {
        let names: Vec<&str> = self.config.version.iter().map(|b| b.name.as_str()).collect();
        let pid = self.process.as_ref().map(|p| p.child.id());
        json!({"serves": self.current, "before": self.previous, "versions": names, "pid": pid,
               "ended_by_itself": self.recent_exits.len()})
        .to_string()
    }

    /// Stores the current and the previous version. A failure is logged only.
    fn store_versions(&self, log: &mut impl FnMut(&str)) {
        let text = format!("{} {}\n", self.current, self.previous.as_deref().unwrap_or_default());
        let draft = self.config.state.join("draft");
        let result = std::fs::File::create(&draft)
            .and_then(|mut f| f.write_all(text.as_bytes()).and_then(|()| f.sync_all()))
            .and_then(|()| std::fs::rename(&draft, self.config.state.join(CURRENT_FILE)));
        if let Err(e) = result {
            log(&format!("{} cannot be written: {e}", self.config.state.display()));
        }
    }

    /// Starts a process of the given version with the operator address at this index.
    fn start(&self, version: &str, operator_index: usize) -> Result<Process, String> {
        let build = self.config.build(version).ok_or_else(|| format!("there is no version {version:?}"))?;
        let address = self.config.operators[operator_index].to_string();
        let mut command = Command::new(&build.path);
        command.envs(&self.config.env).env("LB_OPERATOR", address).stdin(Stdio::null());
        let child = command.spawn().map_err(|e| format!("{}: {e}", build.path.display()))?;
        Ok(Process { child, operator_index })
    }

    /// Sets the serving process, and the address to which calls are forwarded.
    fn set_serving(&mut self, process: Option<Process>) {
        let address = process.as_ref().map(|p| self.config.operators[p.operator_index]);
        if let Ok(mut serving) = self.serving.lock() {
            *serving = address;
        }
        self.process = process;
    }

    /// Starts the node if it is not running, with a longer pause after each recent exit.
    fn check_node(&mut self, log: &mut impl FnMut(&str)) {
        if let Some(process) = &mut self.process {
            let Ok(Some(status)) = process.child.try_wait() else { return };
            log(&format!("version {} exited: {status}", self.current));
            self.set_serving(None);
            self.recent_exits.push(Instant::now());
            let within = Duration::from_secs(self.config.within_s);
            self.recent_exits.retain(|at| at.elapsed() < within);
            if self.recent_exits.len() >= self.config.crashes
                && let Some(previous) = self.previous.take()
            {
                // The previous version has served before. The crashing version is not kept as a version to
                // return to.
                log(&format!("version {} keeps crashing: rolling back to {previous}", self.current));
                self.current = previous;
                self.recent_exits.clear();
                self.store_versions(log);
            }
            let doublings = u32::try_from(self.recent_exits.len().saturating_sub(1)).unwrap_or(8).min(8);
            // Random jitter keeps nodes that exited together from restarting together.
            let pause = (FIRST_RESTART_PAUSE * 2_u32.pow(doublings)).min(MAX_RESTART_PAUSE);
            self.next_start = Instant::now() + pause.mul_f64(0.5 + 0.5 * fastrand::f64());
        }
        if Instant::now() < self.next_start {
            return;
        }
        match self.start(&self.current, 0) {
            Ok(process) => {
                log(&format!("version {} started, pid {}", self.current, process.child.id()));
                self.set_serving(Some(process));
            }
            Err(why) => {
                log(&format!("version {} cannot be started: {why}", self.current));
                self.next_start = Instant::now() + MAX_RESTART_PAUSE;
            }
        }
    }

    /// Starts another version beside the serving one, and stops the old process once the new one is
    /// healthy.
    fn upgrade(&mut self, version: &str, log: &mut impl FnMut(&str)) -> Result<String, String> {
        if self.config.build(version).is_none() {
            return Err(format!("there is no version {version:?}"));
        }
        if version == self.current && self.process.is_some() {
            return Ok(format!("{version} serves already"));
        }
        let operator_index = self.process.as_ref().map_or(0, |p| 1 - p.operator_index.min(1));
        let mut new = self.start(version, operator_index)?;
        let deadline = Instant::now() + Duration::from_secs(self.config.yes_s);
        loop {
            if let Ok(Some(status)) = new.child.try_wait() {
                return Err(format!(
                    "version {version} ended at once: {status}; {} serves on",
                    self.current
                ));
            }
            if matches!(
                call_node(self.config.operators[operator_index], &OperatorCall::Health, CALL_TIMEOUT),
                Ok(Ok(_))
            ) {
                break;
            }
            if Instant::now() > deadline {
                let _ = new.child.kill().and_then(|()| new.child.wait().map(drop));
                return Err(format!(
                    "version {version} said no yes within {} s; {} serves on",
                    self.config.yes_s, self.current
                ));
            }
            std::thread::sleep(TICK_INTERVAL);
        }
        let old = self.process.take();
        self.set_serving(Some(new));
        self.previous = Some(std::mem::replace(&mut self.current, version.to_owned()));
        self.recent_exits.clear();
        self.store_versions(log);
        if let Some(old) = old {
            self.stop_process(old, log);
        }
        log(&format!("version {version} serves"));
        Ok(format!("{version} serves"))
    }

    /// Stops a process with SIGTERM, and kills it after `Config::end_s` seconds.
    fn stop_process(&self, mut process: Process, log: &mut impl FnMut(&str)) {
        let pid = i32::try_from(process.child.id()).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid {
            // An error means that the process has already exited.
            let _ = kill_process(pid, Signal::TERM);
        }
        let deadline = Instant::now() + Duration::from_secs(self.config.end_s);
        while Instant::now() < deadline {
            if let Ok(Some(_)) = process.child.try_wait() {
                return;
            }
            std::thread::sleep(TICK_INTERVAL);
        }
        log("a process did not exit after SIGTERM and is killed");
        let _ = process.child.kill().and_then(|()| process.child.wait().map(drop));
    }
}
