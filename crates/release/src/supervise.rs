//! The supervisor of one machine's node: keeps it running, holds versions side by side, brings the next one up beside
//! the one that serves, and goes back by itself where a new one only crashes. It answers on an address of the operators'
//! form; what it does not know itself it passes on to the node that serves.

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

/// A longer file is none of ours.
const LONGEST_FILE: u64 = 1024 * 1024;
/// How often it looks at its node.
const TICK: Duration = Duration::from_millis(50);
/// First pause before a node that ended by itself is started again, and the longest.
const PAUSE: Duration = Duration::from_millis(200);
const LONGEST_PAUSE: Duration = Duration::from_secs(10);
/// Time for a caller's line, and for an answer that is passed on.
const CALL: Duration = Duration::from_secs(2);
/// Callers at once.
const CALLERS: usize = 8;
/// File that names the version that serves, and the one before.
const CURRENT: &str = "current";

/// The supervisor's file.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Where it is called.
    pub listen: String,
    /// A directory that survives the machine: which version serves.
    pub state: PathBuf,
    /// Operators' addresses of the node's processes, which take them in turns.
    pub operators: Vec<SocketAddr>,
    /// The version that serves first.
    pub first: String,
    /// The versions, and their programs.
    pub version: Vec<Build>,
    /// The node's environment, besides this program's own.
    pub env: BTreeMap<String, String>,
    /// Seconds for a new process to say yes.
    pub yes_s: u64,
    /// Seconds for a process to end after SIGTERM.
    pub end_s: u64,
    /// So many ends by itself within so many seconds are a crash loop.
    pub crashes: usize,
    /// See above.
    pub within_s: u64,
}

/// `[[version]]`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Build {
    /// What it is called.
    pub name: String,
    /// Its program.
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
    /// Reads a file.
    ///
    /// # Errors
    /// It cannot be read, or does not say what a supervisor needs.
    pub fn read(path: &Path) -> Result<Config, TomlError> {
        let config: Config = tomlfile::parse(&read_text(path, LONGEST_FILE)?)?;
        let wrong = |key: &str, reason: &str| {
            Err(TomlError::Content { line: 1, key: key.to_owned(), reason: reason.to_owned() })
        };
        if config.listen.parse::<SocketAddr>().is_err() {
            return wrong("listen", "must be an address and port");
        }
        if config.operators.len() < 2 || config.operators[0] == config.operators[1] {
            return wrong("operators", "needs two addresses: one for each process of an upgrade");
        }
        if config.build(&config.first).is_none() {
            return wrong("first", "names none of the versions");
        }
        Ok(config)
    }

    fn build(&self, name: &str) -> Option<&Build> {
        self.version.iter().find(|b| b.name == name)
    }
}

/// Why a supervisor cannot run.
#[derive(Debug, Error)]
pub enum SuperviseError {
    /// The system says why.
    #[error("{0}: {1}")]
    System(String, io::Error),
}

/// A process of the node.
struct Process {
    child: Child,
    operator: usize,
}

/// What the callers' threads want of it.
struct Wish {
    call: OperatorCall,
    answer: Sender<Result<String, String>>,
}

/// Where the node that serves hears operators.
type Serving = Arc<Mutex<Option<SocketAddr>>>;

struct Supervisor<'a> {
    config: &'a Config,
    current: String,
    previous: Option<String>,
    process: Option<Process>,
    ends: Vec<Instant>,
    start_at: Instant,
    serving: Serving,
}

/// Keeps the node running until SIGTERM, and hears calls meanwhile; `say` is told what happens.
///
/// # Errors
/// The address or the state directory cannot be used.
pub fn run(config: &Config, mut say: impl FnMut(&str)) -> Result<(), SuperviseError> {
    let system = |what: String| move |e| SuperviseError::System(what, e);
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal, stop.clone()).map_err(system("signals".to_owned()))?;
    }
    std::fs::create_dir_all(&config.state).map_err(system(config.state.display().to_string()))?;
    let listener = TcpListener::bind(&config.listen).map_err(system(config.listen.clone()))?;
    let serving = Serving::default();
    let (wish, wishes) = channel();
    let (own, shared) = (serving.clone(), Arc::new(Mutex::new(wish)));
    std::thread::spawn(move || {
        let callers = Arc::new(());
        for stream in listener.incoming().flatten() {
            // Who comes while so many are there is closed.
            if Arc::strong_count(&callers) > CALLERS {
                continue;
            }
            let caller = callers.clone();
            let (serving, wish) = (own.clone(), shared.lock().map(|w| w.clone()));
            let Ok(wish) = wish else { return };
            std::thread::spawn(move || {
                converse(stream, &serving, &wish);
                drop(caller);
            });
        }
    });
    let (current, previous) = kept(config);
    let mut supervisor = Supervisor {
        config,
        current,
        previous,
        process: None,
        ends: Vec::new(),
        start_at: Instant::now(),
        serving,
    };
    supervisor.keep(&wishes, &stop, &mut say);
    Ok(())
}

/// What serves, and what did before, as the last supervisor left it.
fn kept(config: &Config) -> (String, Option<String>) {
    let text = std::fs::read_to_string(config.state.join(CURRENT)).unwrap_or_default();
    let mut names = text.split_whitespace().filter(|n| config.build(n).is_some()).map(str::to_owned);
    (names.next().unwrap_or_else(|| config.first.clone()), names.next())
}

/// One call to a connection, as with a node.
fn converse(stream: TcpStream, serving: &Serving, wishes: &Sender<Wish>) {
    let _ = stream.set_read_timeout(Some(CALL));
    let _ = stream.set_write_timeout(Some(CALL));
    let mut line = String::new();
    let read = BufReader::new((&stream).take(MAX_CALL_BYTES as u64 + 2)).read_line(&mut line);
    let call = read
        .map_err(|e| e.to_string())
        .and_then(|_| OperatorCall::parse(line.trim_end().as_bytes()).map_err(|e| e.to_string()));
    let said = call.and_then(|call| match call {
        OperatorCall::Upgrade(_) | OperatorCall::Versions => {
            let (answer, answered) = channel();
            wishes.send(Wish { call, answer }).map_err(|_| "the supervisor ends".to_owned())?;
            answered.recv().unwrap_or_else(|_| Err("the supervisor ends".to_owned()))
        }
        call => {
            let at = serving.lock().ok().and_then(|s| *s).ok_or("no node serves")?;
            call_node(at, &call, CALL).unwrap_or_else(|e| Err(e.to_string()))
        }
    });
    let text = match said {
        Ok(said) => format!("OK {said}\n"),
        Err(why) => format!("ERR {why}\n"),
    };
    // Who asked may be gone.
    let _ = (&stream).write_all(text.as_bytes());
}

impl Supervisor<'_> {
    fn keep(&mut self, wishes: &Receiver<Wish>, stop: &AtomicBool, say: &mut impl FnMut(&str)) {
        loop {
            if stop.load(Ordering::SeqCst) {
                if let Some(process) = self.process.take() {
                    self.end(process, say);
                }
                return;
            }
            self.look(say);
            if let Ok(Wish { call, answer }) = wishes.recv_timeout(TICK) {
                let said = match call {
                    OperatorCall::Upgrade(version) => self.upgrade(&version, say),
                    _ => Ok(self.versions()),
                };
                // Who asked may be gone.
                let _ = answer.send(said);
            }
        }
    }

    fn versions(&self) -> String {
        let names: Vec<&str> = self.config.version.iter().map(|b| b.name.as_str()).collect();
        let pid = self.process.as_ref().map(|p| p.child.id());
        json!({"serves": self.current, "before": self.previous, "versions": names, "pid": pid,
               "ended_by_itself": self.ends.len()})
        .to_string()
    }

    fn remember(&self, say: &mut impl FnMut(&str)) {
        let text = format!("{} {}\n", self.current, self.previous.as_deref().unwrap_or_default());
        let draft = self.config.state.join("draft");
        let stored = std::fs::File::create(&draft)
            .and_then(|mut f| f.write_all(text.as_bytes()).and_then(|()| f.sync_all()))
            .and_then(|()| std::fs::rename(&draft, self.config.state.join(CURRENT)));
        if let Err(e) = stored {
            say(&format!("{} cannot be written: {e}", self.config.state.display()));
        }
    }

    fn start(&self, version: &str, operator: usize) -> Result<Process, String> {
        let build = self.config.build(version).ok_or_else(|| format!("there is no version {version:?}"))?;
        let address = self.config.operators[operator].to_string();
        let mut command = Command::new(&build.path);
        command.envs(&self.config.env).env("LB_OPERATOR", address).stdin(Stdio::null());
        let child = command.spawn().map_err(|e| format!("{}: {e}", build.path.display()))?;
        Ok(Process { child, operator })
    }

    fn set_serving(&mut self, process: Option<Process>) {
        let at = process.as_ref().map(|p| self.config.operators[p.operator]);
        if let Ok(mut serving) = self.serving.lock() {
            *serving = at;
        }
        self.process = process;
    }

    /// Starts the node where it is not there, with a longer pause each time that it ends by itself.
    fn look(&mut self, say: &mut impl FnMut(&str)) {
        if let Some(process) = &mut self.process {
            let Ok(Some(status)) = process.child.try_wait() else { return };
            say(&format!("version {} ended by itself: {status}", self.current));
            self.set_serving(None);
            self.ends.push(Instant::now());
            let within = Duration::from_secs(self.config.within_s);
            self.ends.retain(|at| at.elapsed() < within);
            if self.ends.len() >= self.config.crashes
                && let Some(previous) = self.previous.take()
            {
                // The one before served: it serves again, and this one is no way back.
                say(&format!("version {} only crashes: back to {previous}", self.current));
                self.current = previous;
                self.ends.clear();
                self.remember(say);
            }
            let doublings = u32::try_from(self.ends.len().saturating_sub(1)).unwrap_or(8).min(8);
            // Nodes that ended together do not start together.
            let pause = (PAUSE * 2_u32.pow(doublings)).min(LONGEST_PAUSE);
            self.start_at = Instant::now() + pause.mul_f64(0.5 + 0.5 * fastrand::f64());
        }
        if Instant::now() < self.start_at {
            return;
        }
        match self.start(&self.current, 0) {
            Ok(process) => {
                say(&format!("version {} started, pid {}", self.current, process.child.id()));
                self.set_serving(Some(process));
            }
            Err(why) => {
                say(&format!("version {} cannot be started: {why}", self.current));
                self.start_at = Instant::now() + LONGEST_PAUSE;
            }
        }
    }

    /// Brings another version up beside the one that serves, which ends once the new one says yes.
    fn upgrade(&mut self, version: &str, say: &mut impl FnMut(&str)) -> Result<String, String> {
        if self.config.build(version).is_none() {
            return Err(format!("there is no version {version:?}"));
        }
        if version == self.current && self.process.is_some() {
            return Ok(format!("{version} serves already"));
        }
        let operator = self.process.as_ref().map_or(0, |p| 1 - p.operator.min(1));
        let mut new = self.start(version, operator)?;
        let end = Instant::now() + Duration::from_secs(self.config.yes_s);
        loop {
            if let Ok(Some(status)) = new.child.try_wait() {
                return Err(format!(
                    "version {version} ended at once: {status}; {} serves on",
                    self.current
                ));
            }
            if matches!(call_node(self.config.operators[operator], &OperatorCall::Health, CALL), Ok(Ok(_)))
            {
                break;
            }
            if Instant::now() > end {
                let _ = new.child.kill().and_then(|()| new.child.wait().map(drop));
                return Err(format!(
                    "version {version} said no yes within {} s; {} serves on",
                    self.config.yes_s, self.current
                ));
            }
            std::thread::sleep(TICK);
        }
        let old = self.process.take();
        self.set_serving(Some(new));
        self.previous = Some(std::mem::replace(&mut self.current, version.to_owned()));
        self.ends.clear();
        self.remember(say);
        if let Some(old) = old {
            self.end(old, say);
        }
        say(&format!("version {version} serves"));
        Ok(format!("{version} serves"))
    }

    fn end(&self, mut process: Process, say: &mut impl FnMut(&str)) {
        let pid = i32::try_from(process.child.id()).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid {
            // One that has ended meanwhile needs none.
            let _ = kill_process(pid, Signal::TERM);
        }
        let end = Instant::now() + Duration::from_secs(self.config.end_s);
        while Instant::now() < end {
            if let Ok(Some(_)) = process.child.try_wait() {
                return;
            }
            std::thread::sleep(TICK);
        }
        say("a process did not end after SIGTERM, and is killed");
        let _ = process.child.kill().and_then(|()| process.child.wait().map(drop));
    }
}
