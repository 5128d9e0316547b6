//! Node process: runs the balancer of the crate `daleturn` on real sockets.

mod active_settings;
mod body;
mod body_arrival;
mod client_connection;
mod client_response;
mod clock;
mod discovery;
mod discovery_calls;
mod driver;
mod durable;
mod framing;
mod handover;
mod handover_log;
mod initial_list;
mod list_parser;
mod list_publisher;
mod list_receiver;
mod log;
mod memory_budget;
mod operator;
mod order_records;
mod peers;
mod process_files;
mod request_reader;
mod server;
mod sharing;
mod socket;
mod stats;
mod transfer_progress;
mod transfer_slots;
mod upstream;
mod zoning;

use crate::active_settings::CurrentSettings;
use crate::body::{MAX_BODY_BYTES, body_transfer_time};
use crate::discovery::DiscoveryWatch;
use crate::driver::{Driver, Input, stats_window};
use crate::durable::{Durable, RestoredState};
use crate::handover::{Handover, ListExchange};
use crate::handover_log::Writer;
use crate::initial_list::InitialList;
use crate::list_publisher::ListPublisher;
use crate::list_receiver::ListReceiver;
use crate::log::{Log, log_event};
use crate::memory_budget::MemoryBudget;
use crate::operator::{Lease, Operator};
use crate::peers::Peers;
use crate::process_files::{ProcessFiles, Stage, memory_from_json, memory_to_json};
use crate::server::Server;
use crate::sharing::Sharing;
use crate::socket::{Descriptors, UNCOUNTED_DESCRIPTORS};
use crate::upstream::Upstream;
use crate::zoning::Zoning;
use daleturn::Balancer;
use daleturn::control::list_sync::ListSync;
use daleturn::control::subset::SubsetStats;
use daleturn::interface::{Discovery, ListKind, Settings};
use daleturn::options::Options;
use daleturn::platform::{Config, Reload};
use serde_json::Value;
use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpSocket;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::{LocalSet, spawn_local};

/// Length of the accept backlog, for times when this node is busy or out of descriptors.
const BACKLOG: u32 = 1024;
/// Interval at which idle connections to backends are checked.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum interval at which state is checked for changes to store, and the number of such intervals
/// between two writes of the learned state.
const STORE_INTERVAL: Duration = Duration::from_secs(1);
const INTERVALS_PER_MEMORY_WRITE: u64 = 3;
/// SIGKILL follows SIGTERM after the longest deadline, up to this limit, plus 0.7 s or later. Requests that
/// are unanswered after the deadline plus `FINAL_ANSWER_TIME` are failed; responses that have begun are
/// written to their end.
const MAX_DEADLINE: Duration = Duration::from_secs(3);
const FINAL_ANSWER_TIME: Duration = Duration::from_millis(400);
/// Time for sending those failure responses.
const FLUSH_TIME: Duration = Duration::from_millis(100);

/// Creates a TCP socket bound to an address; `shared` if another process of this node binds it too.
fn bind(at: SocketAddr, shared: bool) -> std::io::Result<TcpSocket> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    // The next process of this node binds the same address before this one ends.
    socket.set_reuseport(shared)?;
    socket.bind(at)?;
    Ok(socket)
}

/// Everything that new settings are applied to.
struct SettingsReload {
    current_settings: Rc<CurrentSettings>,
    driver: Rc<Driver>,
    upstream: Rc<Upstream>,
    peers: Option<Rc<Peers>>,
    discovery: watch::Sender<(SocketAddr, Discovery)>,
    log: Rc<Log>,
    sharing: Option<Rc<Sharing>>,
    zoning: Option<Rc<Zoning>>,
}

impl SettingsReload {
    /// Reads the configuration again and applies all of it or nothing. Returns the configuration in effect.
    async fn reload(&self, running: Value) -> Value {
        // On a blocking thread: a long file must not stall serving.
        let running = Arc::new(running);
        let held = running.clone();
        let read = tokio::task::spawn_blocking(move || Reload::read(&held)).await;
        let reason = match read {
            Ok(Ok(read)) => return self.apply(read),
            Ok(Err(e)) => e.to_string(),
            Err(e) => e.to_string(),
        };
        log_event!(ERROR, "config", reason = reason.as_str(), "config.refused");
        // The reading thread has ended, so this is the only reference.
        Arc::unwrap_or_clone(running)
    }

    /// Applies new settings everywhere. Returns the configuration in effect.
    fn apply(&self, read: Reload) -> Value {
        let Reload { file, discovery, settings, names, digest, options } = read;
        let active = self.current_settings.replace(settings, names, digest);
        self.log.apply_options(&options.log);
        self.driver.set_stats_window(stats_window(&options));
        if let Some(sharing) = &self.sharing {
            sharing.update_settings(&options.share);
        }
        if let Some(zoning) = &self.zoning {
            zoning.update_topology(&options.topology);
        }
        let settings = &active.settings;
        self.driver.apply_settings(&active);
        self.upstream.apply_timeouts(settings.connect_timeout_ms, settings.conn_idle_ms);
        if let Some(peers) = &self.peers {
            peers.set_number(settings.slot);
        }
        let target = (discovery, settings.discovery);
        self.discovery.send_if_modified(|known| std::mem::replace(known, target) != target);
        let taken = active.generation;
        log_event!(INFO, "config", taken, %discovery, ?settings, "config.taken");
        file
    }
}

/// Stores the learned state and the cordons, at most once a second and with jitter, so that nodes do not
/// write at the same time.
async fn store_periodically(
    durable: Rc<Durable>,
    driver: Rc<Driver>,
    publisher: Rc<ListPublisher>,
    current_settings: Rc<CurrentSettings>,
) {
    let mut last_cordoned = driver.cordoned_backends();
    let mut had_lock = durable.status().incarnation.is_some();
    for iteration in 0_u64.. {
        tokio::time::sleep(STORE_INTERVAL.mul_f64(1.0 + 0.5 * fastrand::f64())).await;
        let has_lock = durable.status().incarnation.is_some();
        let cordoned = driver.cordoned_backends();
        // An operator may have called another process of this node, or this process has just locked the
        // directory.
        if cordoned != last_cordoned || has_lock != had_lock {
            durable.store_cordons(cordoned.clone());
        }
        (last_cordoned, had_lock) = (cordoned, has_lock);
        if iteration % INTERVALS_PER_MEMORY_WRITE == 0 {
            let active = current_settings.get();
            let learned = memory_to_json(&driver.memory(), &active.names);
            let version = publisher.source().version();
            durable.store_learned(publisher.changes(), || driver.list_json(&active, version), learned);
        }
    }
}

/// Logs that this process serves, and the list that it begins with.
fn log_serving(
    name: &str,
    listen: SocketAddr,
    settings: &Settings,
    publisher: &ListPublisher,
    driver: &Driver,
) {
    let source = publisher.source();
    let list_age_ms = source.age_ms(driver.clock.to_machine_ms(driver.clock.now_ms()));
    let (list, list_version) = (source.name(), source.version());
    let SubsetStats { listed, up, .. } = driver.subset_stats();
    log_event!(
        INFO,
        "node",
        name,
        %listen,
        list,
        ?list_version,
        ?list_age_ms,
        listed,
        up,
        ?settings,
        "node.serving"
    );
}

/// Runs the node until it has stopped.
async fn run(mut config: Config, options: Options, log: Rc<Log>) -> Result<(), Box<dyn Error>> {
    let started = Instant::now();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let listener = bind(config.listen, true).map_err(|e| format!("listen: {}: {e}", config.listen))?;
    let operators = match config.operator {
        Some(at) => {
            let bound = bind(at, false).and_then(|s| s.listen(BACKLOG));
            Some(bound.map_err(|e| format!("operator: {at}: {e}"))?)
        }
        None => None,
    };
    let process_files = Rc::new(ProcessFiles::open(config.listen));
    // An old process of this node writes its list while this one prepares to serve.
    process_files.publish(process_files.record(Stage::Starting, 0));
    let (durable, restored) = match options.state.dir.as_str() {
        "" => (None, RestoredState::default()),
        _ => {
            let (durable, restored) = Durable::open(options.state.clone());
            (Some(durable), restored)
        }
    };
    for uid in restored.cordons.keys() {
        // Makes the cordon known to other processes of this node. If it cannot be written, it still holds
        // in this process.
        let _ = process_files.cordon(uid);
    }
    let current_settings = CurrentSettings::new(config.settings, config.names, config.digest);
    let settings = current_settings.get().settings.clone();
    let reserved = if operators.is_some() { operator::RESERVED_DESCRIPTORS } else { 0 };
    let memory = MemoryBudget::new(config.memory);
    let descriptors = Descriptors::new(config.sockets.saturating_sub(reserved), memory.clone());
    let upstream = Upstream::new(
        descriptors.clone(),
        memory.clone(),
        settings.connect_timeout_ms,
        settings.conn_idle_ms,
    );
    let peers = match config.peer_listen {
        Some(at) => match Peers::new(at, config.peers, config.peers_all, settings.slot) {
            Ok(peers) => Some(Rc::new(peers)),
            Err(e) if settings.peer_messages => return Err(format!("peer_listen: {at}: {e}").into()),
            Err(_) => None,
        },
        None => None,
    };
    let balancer = Balancer::new(settings.clone(), config.seed)?;
    let (watch_sender, watch_requests) = mpsc::unbounded_channel();
    let driver = Driver::new(
        balancer,
        &current_settings.get(),
        upstream.clone(),
        peers.clone(),
        process_files.clone(),
        watch_sender,
        &options,
    );
    driver.restore_cordons(&restored.cordons);
    driver.handle(Input::Start);
    let names = &current_settings.get().names;
    let machine_now_ms = driver.clock.to_machine_ms(driver.clock.now_ms());
    let configured = config.known.take();
    let InitialList { list, source, configured_version } =
        InitialList::select(&configured, restored.list.as_ref(), names, machine_now_ms);
    // Dropping a long list takes time, so it happens on a blocking thread.
    drop(tokio::task::spawn_blocking(move || drop(configured)));
    let version = list.as_ref().and_then(list_parser::ParsedList::complete_version);
    driver.set_list_version(version);
    if let Some(list) = list {
        list.log_skipped();
        discovery::apply_content(&driver, ListKind::Saved, list.content).await;
    }
    let writer =
        Writer { node: config.name.clone(), listen: config.listen, started: process_files.started() };
    let publisher = ListPublisher::new(
        process_files.clone(),
        driver.clone(),
        current_settings.clone(),
        writer.clone(),
        source,
        configured_version,
        config.discovery,
    );
    let (delivery_sender, deliveries) = mpsc::unbounded_channel();
    let receiver = ListReceiver::new(
        process_files.clone(),
        publisher.clone(),
        current_settings.clone(),
        driver.clock,
        writer,
        delivery_sender,
    );
    if let Some(memory) = restored.learned.as_deref().and_then(|text| memory_from_json(text, names)) {
        log_event!(INFO, "state", backends = memory.backends.len(), "state.remembers");
        driver.restore_memory(memory);
    }
    let sharing = match &peers {
        Some(peers) if options.share.on => Sharing::new(
            &options.share,
            peers.clone(),
            driver.clone(),
            current_settings.clone(),
            config.seed,
        ),
        None if options.share.on => {
            log_event!(ERROR, "share", reason = "peer_listen is not configured", "share.unusable");
            None
        }
        _ => None,
    };
    let zoning = options.topology.on.then(|| {
        let (sharing, durable) = (sharing.clone(), durable.clone());
        Zoning::new(&options.topology, driver.clone(), current_settings.clone(), sharing, durable)
    });
    if let (Some(zoning), Some(sharing)) = (&zoning, &sharing) {
        sharing.set_zoning(zoning);
    }
    let (discovery, address) = watch::channel((config.discovery, settings.discovery));
    let settings_reload = SettingsReload {
        current_settings: current_settings.clone(),
        driver: driver.clone(),
        upstream: upstream.clone(),
        peers: peers.clone(),
        discovery,
        log: log.clone(),
        sharing: sharing.clone(),
        zoning: zoning.clone(),
    };
    spawn_local(async move {
        let mut running = config.file;
        while hangup.recv().await.is_some() {
            running = settings_reload.reload(running).await;
        }
    });
    let list_sync = ListSync::new(settings.discovery, settings.must_ask_in_ms, version, config.seed);
    let watch = DiscoveryWatch {
        address,
        list_sync,
        current_settings: current_settings.clone(),
        descriptors: descriptors.clone(),
        watch_requests,
        publisher: publisher.clone(),
        deliveries,
    };
    spawn_local(watch.run(driver.clone()));
    if let Some(sharing) = sharing.clone() {
        sharing.listen();
    } else if let Some(peers) = peers.clone() {
        let driver = driver.clone();
        spawn_local(
            async move { peers.listen(|from, bytes| driver.handle_peer_message(from, bytes)).await },
        );
    }
    let (pool, log_handle) = (upstream.clone(), log.clone());
    spawn_local(async move {
        let mut ticks = tokio::time::interval(IDLE_CHECK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            pool.close_expired();
            log_handle.log_dropped();
        }
    });
    let server =
        Server::new(driver.clone(), upstream.clone(), current_settings.clone(), descriptors.clone());
    for uid in driver.cordoned_backends() {
        log_event!(INFO, "operator", backend = uid.as_str(), "operator.still_out");
    }
    if let Some(durable) = durable.clone() {
        let (driver, publisher) = (driver.clone(), publisher.clone());
        spawn_local(store_periodically(durable, driver, publisher, current_settings.clone()));
    }
    if let Some(listener) = operators {
        let descriptors = descriptors.clone();
        let operator = Operator {
            driver: driver.clone(),
            server: server.clone(),
            descriptors,
            current_settings: current_settings.clone(),
            upstream: upstream.clone(),
            peers: peers.clone(),
            log,
            durable: durable.clone(),
            sharing: sharing.clone(),
            zoning: zoning.clone(),
            lease: Lease::stored(restored.lease.as_deref()).into(),
            cordons: restored.cordons.clone().into(),
            order_lock: tokio::sync::Mutex::new(()),
            name: config.name.clone(),
            started,
            started_ms: driver.clock.now_ms() as u64,
            memory,
        };
        spawn_local(Rc::new(operator).listen(listener));
    }
    if let Some(zoning) = zoning {
        spawn_local(zoning.run(restored.zones.clone()));
    }
    let handover = Handover::new(
        process_files,
        driver.clone(),
        descriptors,
        upstream.clone(),
        current_settings.clone(),
        ListExchange { publisher: publisher.clone(), receiver },
        UNCOUNTED_DESCRIPTORS + reserved,
    );
    spawn_local(handover.clone().run());
    if let Some(sharing) = sharing.clone() {
        spawn_local(sharing.run(handover.clone()));
    }
    tokio::select! {
        () = handover.wait_until_ready() => {}
        // This process does not listen yet, so no client can have connected.
        _ = terminate.recv() => return Ok(()),
    }
    let listener = listener.listen(BACKLOG).map_err(|e| format!("listen: {}: {e}", config.listen))?;
    handover.start_serving();
    log_serving(&config.name, config.listen, &settings, &publisher, &driver);
    let mut accepting = {
        let server = server.clone();
        spawn_local(async move { server.accept(listener).await })
    };
    if restored.is_quiesced {
        // After the accept loop has started, and before any request is answered.
        tokio::task::yield_now().await;
        if let Err(why) = server.quiesce() {
            log_event!(ERROR, "operator", why, "operator.not_quiesced");
        }
    }
    terminate.recv().await;
    let longest = current_settings.get().settings.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
    let longest = Duration::from_secs_f64(longest.clamp(0.0, 1e6) / 1000.0).min(MAX_DEADLINE);
    let end = Instant::now() + longest + FINAL_ANSWER_TIME;
    let successor = handover.begin_stopping();
    log_event!(INFO, "node", successor, "node.stopping");
    server.stop(successor);
    if let Some(sharing) = sharing.filter(|_| !successor) {
        sharing.leave();
    }
    if let Some(peers) = peers.filter(|_| successor) {
        peers.release();
    }
    // Accepted requests are answered even if the accept loop has not ended by itself.
    if tokio::time::timeout_at(end.into(), &mut accepting).await.is_err() {
        accepting.abort();
    }
    server.close_clients(end).await;
    server.fail_remaining();
    server.close_clients(Instant::now() + FLUSH_TIME).await;
    if let Some(durable) = durable {
        // Before the last responses, which may take long: a successor needs the directory.
        durable.close().await;
    }
    server.finish_responses(Instant::now() + body_transfer_time(MAX_BODY_BYTES)).await;
    Ok(())
}

/// Loads the configuration and runs the node. An error has an exit code and a reason.
fn serve(log: &Rc<Log>, options: Options) -> Result<(), (u8, String)> {
    let config = Config::load().map_err(|e| (2, e.to_string()))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| (1, format!("no runtime: {e}")))?;
    let run = run(config, options, log.clone());
    LocalSet::new().block_on(&runtime, run).map_err(|e| (1, e.to_string()))
}

fn main() -> ExitCode {
    let options = Options::load();
    let log =
        Rc::new(Log::open(&options.as_ref().map_or_else(|_| Options::default().log, |o| o.log.clone())));
    match options.map_err(|e| (2, e)).and_then(|options| serve(&log, options)) {
        Ok(()) => ExitCode::SUCCESS,
        Err((code, reason)) => {
            log_event!(ERROR, "node", reason = reason.as_str(), "node.failed");
            ExitCode::from(code)
        }
    }
}
