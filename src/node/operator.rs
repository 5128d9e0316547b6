//! The operators' address: one call to a connection, one line back, then it closes.

use crate::active_settings::CurrentSettings;
use crate::driver::Driver;
use crate::durable::{Cordon, Durable};
use crate::log::{Log, log_event};
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

/// Callers at once: of more, the one that has been there longest is closed.
const CALLERS: usize = 8;
/// Descriptors set aside: the callers, the listener, and one just accepted.
pub const DESCRIPTORS: usize = CALLERS + 2;
/// Time for a whole call.
const CALL_TIME: Duration = Duration::from_secs(3);
/// Time for the answer to be taken, and for the caller to close.
const FAREWELL: Duration = Duration::from_millis(500);
/// Time for a word to wait for the one before it, so that its caller is answered within its second.
const TURN: Duration = Duration::from_millis(250);
/// A lease that was not renewed for so many seconds may be taken by another release.
const LEASE_S: u64 = 20;
/// Why a word for the whole fleet is turned down.
const UNSHARED: &str = "nothing changed: this node shares nothing ([share] is off); say it to each node";
/// Reads one line, LF or CRLF at its end.
async fn line(stream: &mut TcpStream) -> Result<Vec<u8>, OperatorCallError> {
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

/// The lease of a release: one controller at a time may take backends out, the one with the greatest number.
#[derive(Debug, Default)]
pub struct Lease {
    holder: String,
    number: u64,
    renewed: Option<Instant>,
}

impl Lease {
    /// The one that was stored.
    pub fn stored(text: Option<&str>) -> Lease {
        let (holder, number) = text.and_then(|t| t.split_once(' ')).unwrap_or_default();
        let number = number.parse().unwrap_or(0);
        Lease { holder: holder.to_owned(), number, renewed: None }
    }

    fn age_s(&self) -> Option<u64> {
        self.renewed.map(|at| at.elapsed().as_secs())
    }

    /// Whether a controller may take or renew it.
    fn check(&self, holder: &str, number: u64) -> Result<(), String> {
        if holder == NO_HOLDER && number == self.number {
            return Ok(());
        }
        let lower = number < self.number || (number == self.number && holder != self.holder);
        let free = self.holder.is_empty() || self.holder == NO_HOLDER || holder == self.holder;
        let held = !free && self.age_s().is_some_and(|s| s < LEASE_S);
        if lower || held {
            return Err(format!("the lease is held by {} with {}", self.holder, self.number));
        }
        Ok(())
    }

    /// Whether a word under that number counts.
    fn counts(&self, number: u64) -> Result<(), String> {
        if number < self.number {
            return Err(format!("the lease is held by {} with {}", self.holder, self.number));
        }
        Ok(())
    }
}

/// Answers operators.
pub struct Operator {
    /// Where backends are taken out.
    pub driver: Rc<Driver>,
    /// Where clients are sent away.
    pub server: Rc<Server>,
    /// Who to ask for room where the system has no descriptor left.
    pub descriptors: Rc<Descriptors>,
    /// What else there are figures of.
    pub current_settings: Rc<CurrentSettings>,
    /// Connections to backends.
    pub upstream: Rc<Upstream>,
    /// Datagrams.
    pub peers: Option<Rc<Peers>>,
    /// Lines that were dropped.
    pub log: Rc<Log>,
    /// What survives the machine, where there is a place for it.
    pub durable: Option<Rc<Durable>>,
    /// Who may take backends out for a release.
    pub lease: RefCell<Lease>,
    /// Who took which backend out, and why, as far as it was said here.
    pub cordons: RefCell<BTreeMap<String, Cordon>>,
    /// Whose word on a backend is being stored: the next one is judged by what that leaves.
    pub turn: tokio::sync::Mutex<()>,
    /// What the nodes share, where they do.
    pub sharing: Option<Rc<Sharing>>,
    /// Zones, where they are judged.
    pub zoning: Option<Rc<Zoning>>,
    /// The node's name.
    pub name: String,
    /// When the process started.
    pub started: Instant,
    /// The same in milliseconds since 1970.
    pub started_ms: u64,
    /// Bytes of memory that it may use.
    pub memory: usize,
}

impl Operator {
    /// Takes calls for as long as the node lives.
    pub async fn listen(self: Rc<Self>, listener: TcpListener) {
        let mut callers: VecDeque<AbortHandle> = VecDeque::new();
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(e) => {
                    log_event!(WARN, "operator", reason = e.to_string().as_str(), "operator.accept_failed");
                    self.descriptors.relieve();
                    tokio::time::sleep(Duration::from_millis(5)).await;
                    continue;
                }
            };
            callers.retain(|c| !c.is_finished());
            while callers.len() >= CALLERS {
                if let Some(longest) = callers.pop_front() {
                    longest.abort();
                }
            }
            let own = self.clone();
            callers.push_back(spawn_local(async move { own.converse(stream).await }).abort_handle());
        }
    }

    async fn converse(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let line = tokio::time::timeout(CALL_TIME, line(&mut stream)).await;
        let line = line.unwrap_or(Err(OperatorCallError::TimedOut(CALL_TIME.as_secs())));
        let call = line.as_deref().map_err(ToString::to_string);
        let answer = call.and_then(|l| OperatorCall::parse(l).map_err(|e| e.to_string()));
        let said = match answer {
            Ok(call) => self.carry_out(&call).await,
            Err(why) => Err(why),
        };
        let answer = match said {
            Ok(text) => format!("OK {text}\n"),
            Err(reason) => format!("ERR {reason}\n"),
        };
        // Closed with something unread, the connection would be reset and the answer lost with it.
        let _ = tokio::time::timeout(FAREWELL, async {
            stream.write_all(answer.as_bytes()).await?;
            stream.shutdown().await?;
            let mut rest = [0; 256];
            while stream.read(&mut rest).await? > 0 {}
            Ok::<_, std::io::Error>(())
        })
        .await;
    }

    /// A word that is to outlive this machine is on its disk before it holds, and before it is answered.
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
        stored.map_err(|why| format!("nothing changed, it cannot be stored: {why}"))
    }

    /// What a call makes of a backend's cordon; none where it puts it back.
    fn said(&self, call: &OperatorCall) -> Option<Cordon> {
        match call {
            OperatorCall::Cordon { reason, .. } => Some(Cordon::now(false, reason)),
            OperatorCall::FleetCordon(_) => Some(Cordon::now(false, "said for the whole fleet")),
            OperatorCall::Leased { cordon: true, id, .. } => {
                let out = self.driver.cordoned_backends().contains(id);
                Some(Cordon::for_release(self.cordons.borrow().get(id).filter(|_| out)))
            }
            _ => None,
        }
    }

    /// Remembers who took a backend out, once it holds.
    fn remember(&self, id: &str, said: Option<Cordon>) {
        let mut cordons = self.cordons.borrow_mut();
        match said {
            Some(said) => drop(cordons.insert(id.to_owned(), said)),
            None => drop(cordons.remove(id)),
        }
    }

    /// An operator has it out, by a word to this node or to the whole fleet: no controller puts it back.
    fn operators(&self, id: &str) -> bool {
        self.cordons.borrow().get(id).is_some_and(|c| !c.is_release)
            || self.sharing.as_ref().is_some_and(|s| s.is_out(id))
    }

    fn zoning(&self) -> Result<&Zoning, String> {
        self.zoning.as_deref().ok_or_else(zoning::off)
    }

    /// At this node as any other word, and then at the others.
    fn fleet_word(&self, id: &str, out: bool) -> Result<String, String> {
        let sharing = self.sharing.as_ref().ok_or(UNSHARED)?;
        let said = if out { self.driver.cordon(id) } else { self.driver.uncordon(id) };
        let said = said.map_err(|e| e.to_string())?;
        sharing.say(id, out, 0)?;
        let others = sharing.alive().saturating_sub(1);
        Ok(format!("{said}, and {others} others hear of it"))
    }

    async fn carry_out(&self, call: &OperatorCall) -> Result<String, String> {
        if let OperatorCall::FleetCordon(id) | OperatorCall::FleetUncordon(id) = call {
            // Nothing may hold here that cannot be said to all.
            self.sharing.as_ref().ok_or(UNSHARED)?;
            if id.len() > MAX_NAME_BYTES {
                return Err(format!(
                    "nothing changed: an ID for the fleet has at most {MAX_NAME_BYTES} bytes"
                ));
            }
        }
        let _turn = match call {
            OperatorCall::Cordon { .. }
            | OperatorCall::Uncordon(_)
            | OperatorCall::FleetCordon(_)
            | OperatorCall::FleetUncordon(_)
            | OperatorCall::Leased { .. } => {
                let turn = tokio::time::timeout(TURN, self.turn.lock()).await;
                Some(turn.map_err(|_| "nothing changed, the word before it is still being stored")?)
            }
            _ => None,
        };
        match call {
            OperatorCall::Lease { holder, number } => self.lease.borrow().check(holder, *number)?,
            OperatorCall::Leased { lease, .. } => self.lease.borrow().counts(*lease)?,
            _ => {}
        }
        if let OperatorCall::Leased { cordon: false, id, .. } = call
            && self.operators(id)
        {
            return Ok(format!("{id} stays out, as an operator said"));
        }
        // By what holds before this word does.
        let cordon = self.said(call);
        self.store(call, cordon.as_ref()).await?;
        let said = match call {
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
                let said = self.driver.cordon(id).map_err(|e| e.to_string())?;
                self.remember(id, cordon);
                said
            }
            OperatorCall::Leased { id, .. } | OperatorCall::Uncordon(id) => {
                let said = self.driver.uncordon(id).map_err(|e| e.to_string())?;
                self.remember(id, cordon);
                said
            }
            OperatorCall::Cordon { id, .. } => {
                let said = self.driver.cordon(id).map_err(|e| e.to_string())?;
                self.remember(id, cordon);
                let lasts = self.durable.is_some() || self.driver.can_store();
                said + if lasts { "" } else { ", until this process ends" }
            }
            OperatorCall::ZoneLeave { zone, for_s, force } => {
                self.zoning()?.say(zone, true, *for_s, *force).await?
            }
            OperatorCall::ZoneHold(zone) => self.zoning()?.say(zone, true, None, true).await?,
            OperatorCall::ZoneReturn(zone) => self.zoning()?.say(zone, false, None, true).await?,
            OperatorCall::Zones => {
                return Ok(Zoning::figures(&self.driver, &self.current_settings)?.to_string());
            }
            OperatorCall::FleetCordon(id) | OperatorCall::FleetUncordon(id) => {
                let said = self.fleet_word(id, matches!(call, OperatorCall::FleetCordon(_)))?;
                self.remember(id, cordon);
                said
            }
            OperatorCall::Quiesce => self.server.quiesce()?,
            OperatorCall::Resume => self.server.resume()?,
            OperatorCall::Stats => return Ok(self.stats()),
        };
        log_event!(
            INFO,
            "operator",
            call = call.to_string().as_str(),
            said = said.as_str(),
            "operator.called"
        );
        Ok(said)
    }

    /// All figures, as one line of JSON.
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
        json["memory"] = json!({"used_kb": resident_kb(), "limit_kb": self.memory / 1024});
        let state = self.durable.as_ref().map(|d| d.status());
        json["state"] = json!({"kept": state.is_some(), "incarnation": state.and_then(|s| s.incarnation),
            "failed": state.map(|s| s.failed)});
        let lease = self.lease.borrow();
        json["lease"] = json!({"holder": lease.holder, "number": lease.number, "age_s": lease.age_s()});
        // Those that are out: one may have been put back by a word to another node.
        let out = self.driver.cordoned_backends();
        let cordons = self.cordons.borrow();
        let who = |uid: &String| {
            let said = cordons.get(uid);
            json!({"id": uid, "since_ms": said.map(|c| c.since_ms), "why": said.map(|c| c.reason.as_str()),
                   "by": said.map(|c| if c.is_release { "release" } else { "operator" })})
        };
        json["cordons"] = out.iter().map(who).collect();
        json["topology"] = Zoning::figures(&self.driver, &self.current_settings).unwrap_or(Value::Null);
        json["share"] = self.sharing.as_ref().map_or(Value::Null, |s| s.json());
        json["peers"] = json!({"sent": sent, "received": received});
        json["log"] = json!({"unwritten": unwritten, "over": over});
        json.to_string()
    }

    fn health(&self) -> Result<String, String> {
        let serving = self.server.health()?;
        if !self.driver.has_list() {
            return Err("no list of backends yet".to_owned());
        }
        Ok(serving.to_owned())
    }
}

/// Memory that this process holds, in units of 1024 bytes; none where the system does not say.
fn resident_kb() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    line.trim().trim_end_matches("kB").trim().parse().ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn of_two_controllers_the_greater_number_holds_and_a_name_until_it_is_old() {
        let mut lease = Lease::stored(Some("first 4"));
        assert!(lease.check("first", 4).is_ok() && lease.check("first", 3).is_err());
        assert!(lease.check("other", 4).is_err());
        assert!(lease.check("other", 5).is_ok(), "nobody has renewed it since this start");
        lease.renewed = Some(Instant::now());
        assert!(lease.check("other", 5).is_err(), "the first one is there");
        assert!(lease.check("first", 5).is_ok(), "its next controller");
        // One that stood still and wakes has the lower number.
        lease.number = 5;
        assert!(lease.counts(4).is_err() && lease.counts(5).is_ok() && lease.counts(6).is_ok());
        assert!(lease.check(NO_HOLDER, 4).is_err() && lease.check(NO_HOLDER, 5).is_ok());
        lease.holder = NO_HOLDER.to_owned();
        assert!(lease.check("other", 6).is_ok(), "it was given up");
        assert_eq!(Lease::stored(None).number, 0);
    }
}
