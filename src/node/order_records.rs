//! The latest operator order on each backend, with its time and its version in the fleet. The records are
//! shared by the processes of a node and read by its next process, which otherwise could not tell an old
//! order of the fleet from a new one.

use crate::log::log_event;
use crate::process_files::ProcessFiles;
use daleturn::control::operator_orders::{KnownOrder, OrderVersion};
use daleturn::wire::stable_hash;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Prefix of the record files.
const RECORD_PREFIX: &str = "order-";
/// Maximum number of records; the oldest ones that put a backend back in use are dropped first.
const MAX_RECORDS: usize = 512;

/// Content of a record file.
#[derive(Serialize, Deserialize)]
struct Record {
    uid: String,
    cordoned: bool,
    given_ms: f64,
    version: Option<(u32, u16)>,
    #[serde(default)]
    is_release: bool,
}

impl Record {
    fn new(uid: &str, order: &KnownOrder) -> Record {
        Record {
            uid: uid.to_owned(),
            cordoned: order.cordoned,
            given_ms: order.given_ms,
            version: order.version.map(|version| (version.number, version.node)),
            is_release: order.is_release,
        }
    }

    fn order(self) -> KnownOrder {
        KnownOrder {
            cordoned: self.cordoned,
            given_ms: self.given_ms,
            version: self.version.map(|(number, node)| OrderVersion { number, node }),
            is_release: self.is_release,
        }
    }
}

/// Records of the latest orders.
pub struct OrderRecords {
    process_files: Rc<ProcessFiles>,
    /// Records of this process; the files may be newer.
    known: RefCell<BTreeMap<String, KnownOrder>>,
}

/// Returns the name of a backend's record file.
fn file_name(uid: &str) -> String {
    format!("{RECORD_PREFIX}{:016x}", stable_hash(uid))
}

impl OrderRecords {
    /// Reads the records that earlier processes have left.
    pub fn open(process_files: Rc<ProcessFiles>) -> OrderRecords {
        let files = process_files.read_all(RECORD_PREFIX);
        let records = files.iter().filter_map(|text| serde_json::from_str::<Record>(text).ok());
        let known = records.map(|record| (record.uid.clone(), record.order())).collect();
        OrderRecords { process_files, known: RefCell::new(known) }
    }

    /// Returns the latest order on a backend. `cordoned` is what holds: a record that says otherwise was
    /// written by a build or a process that ended in between, and only the time of the cordon is known.
    pub fn latest(&self, uid: &str, cordoned: bool) -> Option<KnownOrder> {
        let read = self.process_files.read(&file_name(uid));
        let stored = read.and_then(|text| serde_json::from_str::<Record>(&text).ok());
        let stored = stored.filter(|record| record.uid == uid).map(Record::order);
        let order = stored.or_else(|| self.known.borrow().get(uid).cloned());
        order.filter(|order| order.cordoned == cordoned).or_else(|| {
            let given_ms = self.process_files.cordoned_at_ms(uid).filter(|_| cordoned)?;
            Some(KnownOrder { cordoned, given_ms, version: None, is_release: false })
        })
    }

    /// Records an order. If it cannot be written, it is known to this process only.
    pub fn record(&self, uid: &str, order: KnownOrder) {
        let text = serde_json::to_string(&Record::new(uid, &order)).unwrap_or_default();
        if let Err(e) = self.process_files.write(&file_name(uid), text.as_bytes()) {
            log_event!(WARN, "state", reason = e.to_string().as_str(), "state.failed");
        }
        self.known.borrow_mut().insert(uid.to_owned(), order);
        self.drop_oldest();
    }

    /// Keeps the number of records bounded.
    fn drop_oldest(&self) {
        let mut known = self.known.borrow_mut();
        while known.len() > MAX_RECORDS {
            let rank = |order: &KnownOrder| (order.cordoned, order.given_ms);
            let oldest = known
                .iter()
                .min_by(|a, b| rank(a.1).partial_cmp(&rank(b.1)).unwrap_or(std::cmp::Ordering::Equal));
            let Some(oldest) = oldest.map(|(uid, _)| uid.clone()) else { return };
            known.remove(&oldest);
            self.process_files.remove(&file_name(&oldest));
        }
    }
}
