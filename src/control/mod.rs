//! Slow verdicts from many observations, which the nodes of a fleet share: state machines like the policy's, without
//! I/O, clock or threads. They choose for no single request; what they find reaches the policy as an event.
//!
//! [`gossip::Gossip`] owns the parts: [`members`] says who is in the fleet, [`share`] holds what is shared, and
//! [`packet`] is how it is written into datagrams of at most 256 bytes. `docs/shared-state.md` tells the whole.

pub mod datagram;
pub mod departures;
pub mod gossip;
pub mod list_sync;
pub mod membership;
pub mod shared_state;
pub mod start_times;
pub mod subset;
pub mod zones;
