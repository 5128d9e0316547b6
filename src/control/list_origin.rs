//! Where a backend list comes from, and which of two lists is newer.
//!
//! The processes of a node tell each other what discovery has told them. A process compares an update of
//! another process with the list that it holds. A response to a call that was made after another response had
//! been read is the newer of the two, whatever their versions. Where two calls overlapped, the versions decide
//! if both came from one address of discovery, and the times of arrival otherwise.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A response of discovery. Times are in milliseconds on the machine's monotonic clock, which all processes
/// of a node read alike.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListOrigin {
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Version of the list.
    pub version: u64,
    /// Time at which the call was made.
    pub asked_ms: f64,
    /// Time at which the response was read.
    pub received_ms: f64,
}

impl ListOrigin {
    /// True if this response tells more than `other` does.
    pub fn is_newer_than(&self, other: &ListOrigin) -> bool {
        if self == other || other.asked_ms >= self.received_ms {
            return false;
        }
        if self.asked_ms >= other.received_ms {
            return true;
        }
        if self.discovery == other.discovery {
            self.version > other.version
        } else {
            self.received_ms > other.received_ms
        }
    }
}

/// What the list that a process holds is based on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ListSource {
    /// No list is known.
    None,
    /// The list of the configuration file, which may be old, with its version.
    Configured(u64),
    /// The list that an earlier process of this node has stored.
    Stored {
        /// Version of the list.
        version: u64,
        /// Time at which it was stored, in milliseconds on the machine's monotonic clock.
        stored_ms: f64,
    },
    /// A response of discovery to this process, or to the process that handed it over.
    Discovery {
        /// The response.
        origin: ListOrigin,
        /// True if another process of this node received it.
        handed_over: bool,
    },
}

/// What an update of another process contains.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum UpdateKind {
    /// The whole list. Holds the version of the configured list that the other process started with.
    Full(Option<u64>),
    /// Changes since a version.
    Changes(u64),
    /// Departures alone, by a response of which nothing else holds.
    Departures,
}

/// Which part of another process's update is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Adoption {
    /// Nothing: this process knows as much, or more.
    Nothing,
    /// The departures of backends; the rest needs a list that this process does not hold.
    Departures,
    /// All of it.
    All,
}

impl ListSource {
    /// Returns the name of the source for the log.
    pub fn name(&self) -> &'static str {
        match self {
            ListSource::None => "none",
            ListSource::Configured(_) => "configured",
            ListSource::Stored { .. } => "stored",
            ListSource::Discovery { handed_over: false, .. } => "discovery",
            ListSource::Discovery { handed_over: true, .. } => "predecessor",
        }
    }

    /// Returns the version of the list.
    pub fn version(&self) -> Option<u64> {
        match self {
            ListSource::None => None,
            ListSource::Configured(version) | ListSource::Stored { version, .. } => Some(*version),
            ListSource::Discovery { origin, .. } => Some(origin.version),
        }
    }

    /// Returns the age of the list in milliseconds, where it is known.
    pub fn age_ms(&self, now: f64) -> Option<u64> {
        let since = match self {
            ListSource::None | ListSource::Configured(_) => return None,
            ListSource::Stored { stored_ms, .. } => *stored_ms,
            ListSource::Discovery { origin, .. } => origin.received_ms,
        };
        Some((now - since).max(0.0) as u64)
    }

    /// Returns the response of discovery that the list is based on.
    pub fn origin(&self) -> Option<&ListOrigin> {
        match self {
            ListSource::Discovery { origin, .. } => Some(origin),
            _ => None,
        }
    }

    /// Returns which part of an update is applied to the list with this source. `discovery` is the address
    /// from which this process gets its list.
    pub fn adoption(&self, kind: UpdateKind, update: &ListOrigin, discovery: SocketAddr) -> Adoption {
        let is_known = match (self, kind) {
            (ListSource::Discovery { origin, .. }, _) => !update.is_newer_than(origin),
            // A process that started with the same file has been told more since.
            (ListSource::Configured(version), UpdateKind::Full(started_with))
                if started_with == Some(*version) =>
            {
                false
            }
            (ListSource::Configured(version), _) => {
                update.discovery == discovery && update.version < *version
            }
            (ListSource::None | ListSource::Stored { .. }, _) => false,
        };
        if is_known {
            return Adoption::Nothing;
        }
        match kind {
            UpdateKind::Full(_) => Adoption::All,
            UpdateKind::Changes(after) if self.continues_at(after, update) => Adoption::All,
            UpdateKind::Changes(_) | UpdateKind::Departures => Adoption::Departures,
        }
    }

    /// True if this list contains all changes up to the version `after` of the service that `update` came
    /// from.
    fn continues_at(&self, after: u64, update: &ListOrigin) -> bool {
        self.origin().is_some_and(|own| {
            own.discovery == update.discovery && (after..=update.version).contains(&own.version)
        })
    }
}
