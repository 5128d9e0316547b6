//! Backends that operators, release controllers or other nodes have taken out of use, and the orders by which
//! that was done.

use super::{Driver, Input};
use crate::durable::Cordon;
use crate::log::log_event;
use daleturn::control::operator_orders::{FleetOrder, KnownOrder, OrderVersion};
use daleturn::interface::BackendId;
use daleturn::wire::stable_hash;
use std::collections::BTreeMap;
use std::rc::Rc;
use thiserror::Error;

/// Error of a call that cordons or uncordons a backend.
#[derive(Debug, Error)]
pub enum CordonError {
    /// The backend is neither listed nor cordoned.
    #[error("no backend {0:?} is known")]
    Unknown(String),
    /// The change could not be stored, so it would not survive this process.
    #[error("nothing changed, it cannot be stored: {0}")]
    Unstored(#[from] std::io::Error),
}

/// Who gave an order on a backend, and what this node knew then.
#[derive(Clone, Copy, Debug)]
pub struct OrderOrigin {
    /// True for a release controller, false for an operator.
    pub is_release: bool,
    /// Latest order of the fleet on this backend that this node has heard of.
    pub version: Option<OrderVersion>,
}

impl Driver {
    /// Replaces the set of cordoned backends with one that another process of this node may have stored.
    pub fn set_cordons(self: &Rc<Self>, cordoned: BTreeMap<BackendId, String>) {
        let changes: Vec<String> = {
            let known = &self.core.borrow().cordoned;
            let out = cordoned
                .iter()
                .filter(|(id, _)| !known.contains_key(id))
                .map(|(_, u)| format!("{u} is out"));
            let back = known
                .iter()
                .filter(|(id, _)| !cordoned.contains_key(id))
                .map(|(_, u)| format!("{u} is back"));
            out.chain(back).collect()
        };
        if !changes.is_empty() {
            log_event!(INFO, "upgrade", changes = changes.join(", ").as_str(), "upgrade.operators_word");
            self.handle(Input::Cordons(cordoned));
        }
    }

    /// Applies an order for the whole fleet that another node received, whether or not the backend is listed,
    /// unless this node knows a later order.
    pub fn apply_fleet_order(self: &Rc<Self>, uid: &str, order: FleetOrder) {
        let (out, is_release) = (order.cordoned, false);
        if let Some(known) = self.latest_order(uid).filter(|known| !order.supersedes(known)) {
            log_event!(INFO, "share", backend = uid, out, held = known.cordoned, "share.order_outdated");
            return;
        }
        let FleetOrder { cordoned, given_ms, version } = order;
        self.order_records
            .record(uid, KnownOrder { cordoned, given_ms, version: Some(version), is_release });
        let stored = if out { self.process_files.cordon(uid) } else { self.process_files.uncordon(uid) };
        let stored = stored.err().map(|e| e.to_string());
        log_event!(INFO, "share", backend = uid, out, ?stored, "share.operators_word");
        self.set_cordoned(uid, out);
    }

    /// Returns the latest order on a backend that this node has carried out.
    pub fn latest_order(&self, uid: &str) -> Option<KnownOrder> {
        let id = BackendId(stable_hash(uid));
        let cordoned = self.core.borrow().cordoned.contains_key(&id);
        self.order_records.latest(uid, cordoned)
    }

    /// Records the version that an order of this node got in the fleet.
    pub fn record_order_version(&self, uid: &str, version: Option<OrderVersion>) {
        if let Some(order) = self.latest_order(uid) {
            self.order_records.record(uid, KnownOrder { version, ..order });
        }
    }

    /// Takes a backend out of use or puts it back.
    fn set_cordoned(self: &Rc<Self>, uid: &str, out: bool) {
        let mut cordoned = self.core.borrow().cordoned.clone();
        let id = BackendId(stable_hash(uid));
        if out {
            cordoned.insert(id, uid.to_owned());
        } else {
            cordoned.remove(&id);
        }
        self.handle(Input::Cordons(cordoned));
    }

    /// True if a cordon survives this process.
    pub fn can_store(&self) -> bool {
        self.process_files.can_store()
    }

    /// Adds cordons stored before this start.
    pub fn restore_cordons(self: &Rc<Self>, stored: &BTreeMap<String, Cordon>) {
        let mut cordoned = self.core.borrow().cordoned.clone();
        cordoned.extend(stored.keys().map(|uid| (BackendId(stable_hash(uid)), uid.clone())));
        self.handle(Input::Cordons(cordoned));
        for (uid, cordon) in stored {
            let is_recorded = self.latest_order(uid).is_some_and(|order| order.version.is_some());
            if !is_recorded {
                let (given_ms, is_release) = (cordon.since_ms as f64, cordon.is_release);
                let order = KnownOrder { cordoned: true, given_ms, version: None, is_release };
                self.order_records.record(uid, order);
            }
        }
    }

    /// Returns the IDs of all cordoned backends.
    pub fn cordoned_backends(&self) -> Vec<String> {
        self.core.borrow().cordoned.values().cloned().collect()
    }

    /// Checks that a backend is listed or cordoned.
    ///
    /// # Errors
    /// Returns [`CordonError::Unknown`] if it is neither.
    pub fn check_known(&self, uid: &str) -> Result<(), CordonError> {
        self.find_known(uid).map(drop)
    }

    /// Cordons a backend: the balancer treats it as draining, whatever its listed state.
    pub fn cordon(self: &Rc<Self>, uid: &str, origin: OrderOrigin) -> Result<String, CordonError> {
        self.find_known(uid)?;
        self.record_order(uid, true, origin);
        self.process_files.cordon(uid)?;
        self.set_cordoned(uid, true);
        Ok(format!("{uid} is out"))
    }

    /// Uncordons a backend: its listed state applies again.
    pub fn uncordon(self: &Rc<Self>, uid: &str, origin: OrderOrigin) -> Result<String, CordonError> {
        let id = self.find_known(uid)?;
        self.record_order(uid, false, origin);
        self.process_files.uncordon(uid)?;
        let was_out = self.core.borrow().cordoned.contains_key(&id);
        self.set_cordoned(uid, false);
        Ok(format!("{uid} {}", if was_out { "is back" } else { "was not out" }))
    }

    /// Records an order that this node receives.
    fn record_order(&self, uid: &str, cordoned: bool, origin: OrderOrigin) {
        let OrderOrigin { is_release, version } = origin;
        let given_ms = self.clock.now_ms();
        self.order_records.record(uid, KnownOrder { cordoned, given_ms, version, is_release });
    }

    /// Returns the ID of a backend that is listed or cordoned.
    fn find_known(&self, uid: &str) -> Result<BackendId, CordonError> {
        let id = BackendId(stable_hash(uid));
        let core = self.core.borrow();
        let known = core.subset.is_listed(id) || core.cordoned.contains_key(&id);
        if known { Ok(id) } else { Err(CordonError::Unknown(uid.to_owned())) }
    }
}
