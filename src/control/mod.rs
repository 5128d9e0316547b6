//! State machines without I/O, clock or threads that support the policy: they keep the list of backends,
//! share state between the nodes of a fleet, and judge zones from many observations. They take no decision on
//! a single request; their results reach the policy as events.
//!
//! [`gossip::Gossip`] combines [`membership`] (which nodes are in the fleet), [`shared_state`] (what they
//! share) and [`datagram`] (its encoding in datagrams of at most 256 bytes). `docs/shared-state.md` has the
//! full description.

pub mod datagram;
pub mod departures;
pub mod gossip;
pub mod list_origin;
pub mod list_sync;
pub mod membership;
pub mod operator_orders;
pub mod shared_state;
pub mod start_times;
pub mod subset;
pub mod zones;
