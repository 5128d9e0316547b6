//! Which of two operator orders on the same backend holds: the one that a node knows, or one that the fleet
//! tells it. An order undoes another only if it is known to be the later one.
//!
//! Orders for the whole fleet have a version, and an age that every holder measures. An order for one node
//! has the version that the node had heard of by then, and the time at which it was given. Ages are told in
//! whole seconds, and by clocks of several machines, so they are exact to [`AGE_ERROR_MS`] only. Between two
//! orders that are closer than that the one that takes the backend out holds.

use super::membership::NodeId;

/// Error of the age of an order that the fleet tells, in milliseconds.
pub const AGE_ERROR_MS: f64 = 2000.0;

/// Version of an order for the whole fleet; the greater one is the later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderVersion {
    /// Sequence number over all nodes.
    pub number: u32,
    /// Node that received the order; breaks ties.
    pub node: NodeId,
}

/// Latest order on a backend that a node has carried out.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownOrder {
    /// True if the backend is out of use.
    pub cordoned: bool,
    /// When the order was given, in milliseconds since 1970 by the node's clock.
    pub given_ms: f64,
    /// Latest version for the whole fleet that the node had heard of; the order is not older.
    pub version: Option<OrderVersion>,
    /// True if a release controller gave the order, rather than an operator.
    pub is_release: bool,
}

/// An order for the whole fleet that a node hears of.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetOrder {
    /// True if the backend is out of use.
    pub cordoned: bool,
    /// Its version.
    pub version: OrderVersion,
    /// When it was given, in milliseconds since 1970 by the node's clock, as its age tells.
    pub given_ms: f64,
}

impl FleetOrder {
    /// True if this order is later than the known one.
    #[must_use]
    pub fn supersedes(&self, known: &KnownOrder) -> bool {
        if known.version.is_some_and(|version| self.version <= version) {
            return false;
        }
        let later_by_ms = self.given_ms - known.given_ms;
        later_by_ms > AGE_ERROR_MS || self.cordoned && later_by_ms > -AGE_ERROR_MS
    }
}
