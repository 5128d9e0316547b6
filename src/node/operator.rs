//! Operator interface: one call per connection, answered with one line.

use crate::active_settings::CurrentSettings;
use crate::driver::{Driver, OrderOrigin};
use crate::durable::{Cordon, Durable};
use crate::log::{Log, log_event};
use crate::memory_budget::{MemoryBudget, resident_bytes};
use crate::peers::Peers;
use crate::server::Server;
use crate::sharing::Sharing;
use crate::socket::Descriptors;
use crate::upstream::Upstream;
use crate::zoning::{self, Zoning};
use daleturn::control::datagram::MAX_NAME_BYTES;
use daleturn::operator_call::{MAX_CALL_BYTES, NO_HOLDER, OperatorCall, OperatorCallError};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, spawn_local};

/// Maximum number of concurrent callers; beyond that, the oldest connection is closed.
const MAX_CALLERS: usize = 8;
/// Reserved descriptors: the callers, the listener, and one accepted connection.
pub const RESERVED_DESCRIPTORS: usize = MAX_CALLERS + 2;
/// Time for a complete call to arrive.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for the caller to read the answer and close the connection.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time that an order waits for the previous one to be stored; the caller expects an answer within a
/// second.
const ORDER_LOCK_TIMEOUT: Duration = Duration::from_millis(250);
/// Seconds without renewal after which another release may take the lease.
const LEASE_TIMEOUT_S: u64 = 20;
/// Error of a fleet-wide order at a node that shares nothing.
const NOT_SHARED: &str = "nothing changed: this node shares nothing ([share] is off); say it to each node";

/// Reads one line that ends with LF or CRLF.
async fn read_line(stream: &mut TcpStream) -> Result<Vec<u8>, OperatorCallError> {
    let mut line = Vec::new();
    let mut piece = [0; 256];
    loop {
        let n = stream.read(&mut piece).await.unwrap_or(0);
        let Some(read) = piece.get(..n).filter(|p| !p.is_empty()) else {
            return Err(OperatorCallError::Unterminated);
        };
        line.extend_from_slice(read);
        if let Some(end) = line.iter().position(|b| *b == b'\n') {
            line.truncate(end);
            if line.last() == Some(&b'\r') {
                line.pop();
            }
        } else if line.len() <= MAX_CALL_BYTES {
            continue;
        }
        return if line.len() <= MAX_CALL_BYTES { Ok(line) } else { Err(OperatorCallError::TooLong) };
    }
}

/// Release lease: only one controller at a time may cordon backends, the one with the greatest number.
#[derive(Debug, Default)]
pub struct Lease {
    holder: String,
    number: u64,
    renewed: Option<Instant>,
}

impl Lease {
    /// Restores a stored lease.
    pub fn stored(text: Option<&str>) -> Lease {
        let (holder, number) = text.and_then(|t| t.split_once(' ')).unwrap_or_default();
        let number = number.parse().unwrap_or(0);
        Lease { holder: holder.to_owned(), number, renewed: None }
    }

    /// Returns the seconds since the lease was last renewed.
    fn age_s(&self) -> Option<u64> {
        self.renewed.map(|at| at.elapsed().as_secs())
    }

    /// Checks that a controller may take or renew the lease.
    fn check(&self, holder: &str, number: u64) -> Result<(), String> {
        if holder == NO_HOLDER && number == self.number {
            return Ok(());
        }
        let lower = number < self.number || (number == self.number && holder != self.holder);
        let free = self.holder.is_empty() || self.holder == NO_HOLDER || holder == self.holder;
        let held = !free && self.age_s().is_some_and(|s| s < LEASE_TIMEOUT_S);
        if lower || held {
            return Err(format!("the lease is held by {} with {}", self.holder, self.number));
        }
        Ok(())
    }

    /// Checks that an order with this lease number is not outdated.
    fn check_number(&self, number: u64) -> Result<(), String> {
        if number < self.number {
            return Err(format!("the lease is held by {} with {}", self.holder, self.number));
        }
        Ok(())
    }
}

/// Answers operators' calls.
pub struct Operator {
    /// Applies cordons.
    pub driver: Rc<Driver>,
    /// Quiesces and resumes serving.
    pub server: Rc<Server>,
    /// Frees descriptors when the system is out of them.
    pub descriptors: Rc<Descriptors>,
    /// Current settings.
    pub current_settings: Rc<CurrentSettings>,
    /// Connections to backends.
    pub upstream: Rc<Upstream>,
    /// Datagrams between nodes.
    pub peers: Option<Rc<Peers>>,
    /// Counters of dropped log lines.
    pub log: Rc<Log>,
    /// State that survives the machine, if configured.
    pub durable: Option<Rc<Durable>>,
    /// Lease of the release controllers.
    pub lease: RefCell<Lease>,
    /// Who cordoned which backend and why, for cordons set at this node.
    pub cordons: RefCell<BTreeMap<String, Cordon>>,
    /// Held while an order on a backend is being stored: the next order depends on its result.
    pub order_lock: tokio::sync::Mutex<()>,
    /// Shared state of the fleet, if enabled.
    pub sharing: Option<Rc<Sharing>>,
    /// Zone health checks, if enabled.
    pub zoning: Option<Rc<Zoning>>,
    /// Name of the node.
    pub name: String,
    /// Start of the process.
    pub started: Instant,
    /// Start of the process, in milliseconds since 1970.
    pub started_ms: u64,
    /// Account of the memory that clients and backends make the process hold.
    pub memory: Rc<MemoryBudget>,
}

impl Operator {
    /// Answers calls while the node runs.
    pub async fn listen(self: Rc<Self>, listener: TcpListener) {
        let mut callers: VecDeque<AbortHandle> = VecDeque::new();
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(e) => {
                    log_event!(WARN, "operator", reason = e.to_string().as_str(), "operator.accept_failed");
                    self.descriptors.reclaim_one();
                    tokio::time::sleep(Duration::from_millis(5)).await;
                    continue;
                }
            };
            callers.retain(|c| !c.is_finished());
            while callers.len() >= MAX_CALLERS {
                if let Some(longest) = callers.pop_front() {
                    longest.abort();
                }
            }
            let operator = self.clone();
            callers.push_back(spawn_local(async move { operator.serve_call(stream).await }).abort_handle());
        }
    }

    /// Reads one call, executes it and writes the answer.
    async fn serve_call(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let line = tokio::time::timeout(CALL_TIMEOUT, read_line(&mut stream)).await;
        let line = line.unwrap_or(Err(OperatorCallError::TimedOut(CALL_TIMEOUT.as_secs())));
        let line = line.as_deref().map_err(ToString::to_string);
        let call = line.and_then(|l| OperatorCall::parse(l).map_err(|e| e.to_string()));
        let result = match call {
            Ok(call) => self.execute(&call).await,
            Err(reason) => Err(reason),
        };
        let answer = match result {
            Ok(text) => format!("OK {text}\n"),
            Err(reason) => format!("ERR {reason}\n"),
        };
        // Closing a connection with unread data resets it, and the answer would be lost.
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, async {
            stream.write_all(answer.as_bytes()).await?;
            stream.shutdown().await?;
            let mut rest = [0; 256];
            while stream.read(&mut rest).await? > 0 {}
            Ok::<_, std::io::Error>(())
        })
        .await;
    }

    /// Stores an order that has to survive the machine, before it is applied and answered.
    async fn store(&self, call: &OperatorCall, cordon: Option<&Cordon>) -> Result<(), String> {
        let Some(durable) = &self.durable else { return Ok(()) };
        let stored = match call {
            OperatorCall::Cordon { id, .. }
            | OperatorCall::Uncordon(id)
            | OperatorCall::FleetCordon(id)
            | OperatorCall::FleetUncordon(id)
            | OperatorCall::Leased { id, .. } => {
                self.driver.check_known(id).map_err(|e| e.to_string())?;
                durable.store_cordon(id, cordon).await
            }
            OperatorCall::Lease { holder, number } if *number > self.lease.borrow().number => {
                durable.store_lease(&format!("{holder} {number}")).await
            }
            OperatorCall::Quiesce | OperatorCall::Resume if self.server.health().is_ok() => {
                durable.store_quiesced(matches!(call, OperatorCall::Quiesce)).await
            }
            _ => Ok(()),
        };
        stored.map_err(|reason| format!("nothing changed, it cannot be stored: {reason}"))
    }

    /// Returns the cordon that a call sets on a backend; `None` if the call revokes it.
    fn cordon_of(&self, call: &OperatorCall) -> Option<Cordon> {
        match call {
            OperatorCall::Cordon { reason, .. } => Some(Cordon::now(false, reason)),
            OperatorCall::FleetCordon(_) => Some(Cordon::now(false, "said for the whole fleet")),
            OperatorCall::Leased { cordon: true, id, .. } => {
                let out = self.driver.cordoned_backends().contains(id);
                let by_operator = out && self.is_operators_cordon(id);
                let cordons = self.cordons.borrow();
                let unknown = by_operator.then(|| Cordon::now(false, ""));
                Some(Cordon::for_release(cordons.get(id).filter(|_| out).or(unknown.as_ref())))
            }
            _ => None,
        }
    }

    /// Records who cordoned a backend, once the order is applied.
    fn record_cordon(&self, id: &str, cordon: Option<Cordon>) {
        let mut cordons = self.cordons.borrow_mut();
        match cordon {
            Some(cordon) => drop(cordons.insert(id.to_owned(), cordon)),
            None => drop(cordons.remove(id)),
        }
    }

    /// True if an operator has cordoned the backend, at this node or fleet-wide; controllers must not
    /// revoke that.
    fn is_operators_cordon(&self, id: &str) -> bool {
        let order = self.driver.latest_order(id).filter(|order| order.cordoned);
        order.is_some_and(|order| !order.is_release)
            || self.cordons.borrow().get(id).is_some_and(|c| !c.is_release)
            || self.sharing.as_ref().is_some_and(|s| s.is_cordoned(id))
    }

    /// Returns the zone health checks, or the error of a call while they are disabled.
    fn zoning(&self) -> Result<&Zoning, String> {
        self.zoning.as_deref().ok_or_else(zoning::disabled_error)
    }

    /// Returns the origin of an order that is given now.
    fn origin(&self, id: &str, is_release: bool) -> OrderOrigin {
        let version = self.sharing.as_ref().and_then(|sharing| sharing.order_version(id));
        // After a start the records of the process before may know more than the fleet has told yet.
        let known = self.driver.latest_order(id).and_then(|order| order.version);
        OrderOrigin { is_release, version: version.max(known) }
    }

    /// Applies an order at this node and shares it with the others.
    fn order_fleet_wide(&self, id: &str, out: bool) -> Result<String, String> {
        let sharing = self.sharing.as_ref().ok_or(NOT_SHARED)?;
        let origin = self.origin(id, false);
        let reply = if out { self.driver.cordon(id, origin) } else { self.driver.uncordon(id, origin) };
        let reply = reply.map_err(|e| e.to_string())?;
        sharing.share_order(id, out, 0)?;
        self.driver.record_order_version(id, sharing.order_version(id));
        let others = sharing.reachable_members().saturating_sub(1);
        Ok(format!("{reply}, and {others} others hear of it"))
    }

    /// Executes a call. Returns the text of the answer, or the reason of the refusal.
    async fn execute(&self, call: &OperatorCall) -> Result<String, String> {
        if let OperatorCall::FleetCordon(id) | OperatorCall::FleetUncordon(id) = call {
            // An order that cannot be shared must not be applied here either.
            self.sharing.as_ref().ok_or(NOT_SHARED)?;
            if id.len() > MAX_NAME_BYTES {
                return Err(format!(
                    "nothing changed: an ID for the fleet has at most {MAX_NAME_BYTES} bytes"
                ));
            }
        }
        let _order_guard = match call {
            OperatorCall::Cordon { .. }
            | OperatorCall::Uncordon(_)
            | OperatorCall::FleetCordon(_)
            | OperatorCall::FleetUncordon(_)
            | OperatorCall::Leased { .. } => {
                let guard = tokio::time::timeout(ORDER_LOCK_TIMEOUT, self.order_lock.lock()).await;
                Some(guard.map_err(|_| "nothing changed, the word before it is still being stored")?)
            }
            _ => None,
        };
        match call {
            OperatorCall::Lease { holder, number } => self.lease.borrow().check(holder, *number)?,
            OperatorCall::Leased { lease, .. } => self.lease.borrow().check_number(*lease)?,
            _ => {}
        }
        if let OperatorCall::Leased { cordon: false, id, .. } = call
            && self.is_operators_cordon(id)
        {
            return Ok(format!("{id} stays out, as an operator said"));
        }
        // Determined from the state before the order is applied.
        let cordon = self.cordon_of(call);
        self.store(call, cordon.as_ref()).await?;
        let reply = match call {
            OperatorCall::Health => return self.health(),
            OperatorCall::Upgrade(_) | OperatorCall::Versions => {
                return Err("a node has no versions: call its supervisor".to_owned());
            }
            OperatorCall::Lease { holder, number } => {
                let mut lease = self.lease.borrow_mut();
                (lease.holder, lease.number) = (holder.clone(), *number);
                let before = lease.renewed.replace(Instant::now());
                if before.is_some() {
                    return Ok("the lease is renewed".to_owned());
                }
                "the lease is taken".to_owned()
            }
            OperatorCall::Leased { cordon: true, id, .. } => {
                let is_release = cordon.as_ref().is_none_or(|cordon| cordon.is_release);
                let origin = self.origin(id, is_release);
                let reply = self.driver.cordon(id, origin).map_err(|e| e.to_string())?;
                self.record_cordon(id, cordon);
                reply
            }
            OperatorCall::Leased { id, .. } | OperatorCall::Uncordon(id) => {
                let origin = self.origin(id, matches!(call, OperatorCall::Leased { .. }));
                let reply = self.driver.uncordon(id, origin).map_err(|e| e.to_string())?;
                self.record_cordon(id, cordon);
                reply
            }
            OperatorCall::Cordon { id, .. } => {
                let origin = self.origin(id, false);
                let reply = self.driver.cordon(id, origin).map_err(|e| e.to_string())?;
                self.record_cordon(id, cordon);
                let lasts = self.durable.is_some() || self.driver.can_store();
                reply + if lasts { "" } else { ", until this process ends" }
            }
            OperatorCall::ZoneLeave { zone, for_s, force } => {
                self.zoning()?.execute_order(zone, true, *for_s, *force).await?
            }
            OperatorCall::ZoneHold(zone) => self.zoning()?.execute_order(zone, true, None, true).await?,
            OperatorCall::ZoneReturn(zone) => self.zoning()?.execute_order(zone, false, None, true).await?,
            OperatorCall::Zones => {
                return Ok(Zoning::json(&self.driver, &self.current_settings)?.to_string());
            }
            OperatorCall::FleetCordon(id) | OperatorCall::FleetUncordon(id) => {
                let reply = self.order_fleet_wide(id, matches!(call, OperatorCall::FleetCordon(_)))?;
                self.record_cordon(id, cordon);
                reply
            }
            OperatorCall::Quiesce => self.server.quiesce()?,
            OperatorCall::Resume => self.server.resume()?,
            OperatorCall::Stats => return Ok(self.stats()),
        };
        log_event!(
            INFO,
            "operator",
            call = call.to_string().as_str(),
            said = reply.as_str(),
            "operator.called"
        );
        Ok(reply)
    }

    /// Returns all statistics as one line of JSON.
    fn stats(&self) -> String {
        let active = self.current_settings.get();
        let mut json = self.driver.stats_json(&active);
        let (sent, received) = self.peers.as_ref().map_or((0, 0), |p| p.counts());
        let (unwritten, over) = self.log.dropped();
        json["name"] = self.name.as_str().into();
        json["version"] = env!("CARGO_PKG_VERSION").into();
        json["pid"] = std::process::id().into();
        json["started_ms"] = self.started_ms.into();
        json["uptime_s"] = self.started.elapsed().as_secs().into();
        json["mode"] = self.server.mode().into();
        json["settings"] = json!({"taken": active.generation, "digest": format!("{:016x}", active.digest)});
        json["descriptors"] = json!({"used": self.descriptors.used(), "limit": self.descriptors.limit(),
            "clients": self.server.client_count(), "idle_upstream": self.upstream.idle_count()});
        json["memory"] = json!({"used_kb": resident_bytes(std::process::id()).map(|bytes| bytes / 1024), "limit_kb": self.memory.limit() / 1024,
            "charged_kb": self.memory.used() / 1024, "budget_kb": self.memory.total() / 1024, "refused": self.memory.refused()});
        let state = self.durable.as_ref().map(|d| d.status());
        json["state"] = json!({"kept": state.is_some(), "incarnation": state.and_then(|s| s.incarnation),
            "failed": state.map(|s| s.failed)});
        let lease = self.lease.borrow();
        json["lease"] = json!({"holder": lease.holder, "number": lease.number, "age_s": lease.age_s()});
        // Only backends that are still cordoned: an order at another node may have revoked a cordon.
        let out = self.driver.cordoned_backends();
        let cordons = self.cordons.borrow();
        let cordon_json = |uid: &String| {
            let cordon = cordons.get(uid);
            json!({"id": uid, "since_ms": cordon.map(|c| c.since_ms), "why": cordon.map(|c| c.reason.as_str()),
                   "by": cordon.map(|c| if c.is_release { "release" } else { "operator" })})
        };
        json["cordons"] = out.iter().map(cordon_json).collect();
        json["topology"] = Zoning::json(&self.driver, &self.current_settings).unwrap_or(Value::Null);
        json["share"] = self.sharing.as_ref().map_or(Value::Null, |s| s.stats_json());
        json["peers"] = json!({"sent": sent, "received": received});
        json["log"] = json!({"unwritten": unwritten, "over": over});
        json.to_string()
    }

    /// Returns whether the node serves clients and knows a backend list.
    fn health(&self) -> Result<String, String> {
        let serving = self.server.health()?;
        if !self.driver.has_list() {
            return Err("no list of backends yet".to_owned());
        }
        Ok(serving.to_owned())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lease_belongs_to_the_greater_number_until_it_expires() {
        let mut lease = Lease::stored(Some("first 4"));
        assert!(lease.check("first", 4).is_ok() && lease.check("first", 3).is_err());
        assert!(lease.check("other", 4).is_err());
        assert!(lease.check("other", 5).is_ok(), "not renewed since this start");
        lease.renewed = Some(Instant::now());
        assert!(lease.check("other", 5).is_err(), "the holder is active");
        assert!(lease.check("first", 5).is_ok(), "a controller of the same holder");
        // A controller that was suspended and resumes has the lower number.
        lease.number = 5;
        assert!(
            lease.check_number(4).is_err()
                && lease.check_number(5).is_ok()
                && lease.check_number(6).is_ok()
        );
        assert!(lease.check(NO_HOLDER, 4).is_err() && lease.check(NO_HOLDER, 5).is_ok());
        lease.holder = NO_HOLDER.to_owned();
        assert!(lease.check("other", 6).is_ok(), "the lease was released");
        assert_eq!(Lease::stored(None).number, 0);
    }
}
