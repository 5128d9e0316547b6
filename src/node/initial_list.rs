//! Selects the list that a process starts with, before discovery or another process of the node says more.

use crate::durable::StoredList;
use crate::list_parser::{ParsedList, parse_list};
use daleturn::control::list_origin::ListSource;
use daleturn::wire::Names;
use serde_json::Value;

/// Field of a stored list that is set if backends have departed which its version still had.
pub const UNCONFIRMED_FIELD: &str = "unconfirmed";

/// A list to start with.
pub struct InitialList {
    /// The list, if there is one.
    pub list: Option<ParsedList>,
    /// What it is based on.
    pub source: ListSource,
    /// Version of the configured list.
    pub configured_version: Option<u64>,
}

impl InitialList {
    /// Selects the newer one of the configured and the stored list, by their versions. `now` is the time on
    /// the machine's monotonic clock, in milliseconds.
    pub fn select(configured: &Value, stored: Option<&StoredList>, names: &Names, now: f64) -> InitialList {
        let configured = parse_list(configured, names);
        let configured_version = configured.as_ref().map(|list| list.rev);
        let stored = stored.and_then(|stored| {
            let json = serde_json::from_str::<Value>(&stored.json).ok()?;
            let has_departures = json.get(UNCONFIRMED_FIELD).and_then(Value::as_bool).unwrap_or(false);
            let list = parse_list(&json, names)?;
            let is_newer = configured_version
                .is_none_or(|version| list.rev > version || list.rev == version && has_departures);
            let stored_ms = now - stored.age.as_secs_f64() * 1000.0;
            is_newer.then_some((list, stored_ms))
        });
        let (list, source) = match (stored, configured) {
            (Some((list, stored_ms)), _) => {
                let source = ListSource::Stored { version: list.rev, stored_ms };
                (Some(list), source)
            }
            (None, Some(list)) => {
                let source = ListSource::Configured(list.rev);
                (Some(list), source)
            }
            (None, None) => (None, ListSource::None),
        };
        InitialList { list, source, configured_version }
    }
}
