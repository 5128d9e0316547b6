//! State that the nodes of a fleet share: the request rates of tenants summed over all nodes, verdicts on
//! servers, locations of keys, and operators' orders. Each kind can be merged in any order, repeatedly, late
//! or with losses, with the same result, and is bounded in number and age. An age is the sum of the times
//! that each holder measured itself; no other node's clock is trusted.

use super::membership::{Ms, NodeId};
use super::operator_orders::{AGE_ERROR_MS, OrderVersion};
use std::collections::BTreeMap;

/// Maximum number of tenants in the totals. Those with the lowest rates are dropped first.
pub const MAX_TENANTS: usize = 12;
/// Maximum number of verdicts kept; the oldest is dropped first.
const MAX_VERDICTS: usize = 1024;
/// Maximum numbers of key locations and operators' orders kept. The oldest is dropped first; orders that put
/// a server or zone back in use are dropped before others.
const MAX_KEY_LOCATIONS: usize = 512;
const MAX_ORDERS: usize = 64;
/// Highest plausible rate of a node, in requests a second.
const MAX_RATE_RPS: f32 = 1e7;
/// Sequence numbers that exceed the last one by more than this are ignored.
const MAX_NUMBER_STEP: u32 = 1 << 16;

/// Request rates of tenants, summed over some nodes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantTotals {
    /// Requests a second by the tenant's short hash, in ascending order of the hash.
    pub tenants: Vec<(u32, f32)>,
    /// Number of nodes included.
    pub counted: u16,
    /// Age of the oldest part, in milliseconds.
    pub age: Ms,
}

impl TenantTotals {
    /// Adds the totals of other nodes.
    pub fn add(&mut self, other: &TenantTotals) {
        for (tenant, rate) in &other.tenants {
            match self.tenants.binary_search_by_key(tenant, |t| t.0) {
                Ok(n) => self.tenants[n].1 += rate,
                Err(n) => self.tenants.insert(n, (*tenant, *rate)),
            }
        }
        self.counted = self.counted.saturating_add(other.counted);
        self.age = self.age.max(other.age);
    }

    /// Drops implausible rates and all but the tenants with the highest rates.
    pub fn trim(&mut self) {
        self.tenants.retain(|t| t.1.is_finite() && t.1 > 0.0);
        self.tenants.iter_mut().for_each(|t| t.1 = t.1.min(MAX_RATE_RPS));
        while self.tenants.len() > MAX_TENANTS {
            let lowest = self.tenants.iter().enumerate().min_by(|a, b| a.1.1.total_cmp(&b.1.1));
            let Some((lowest, _)) = lowest else { return };
            self.tenants.remove(lowest);
        }
    }

    /// Returns a tenant's rate, in requests a second.
    pub fn rate(&self, tenant: u32) -> Option<f32> {
        self.tenants.binary_search_by_key(&tenant, |t| t.0).ok().map(|n| self.tenants[n].1)
    }
}

/// A node's verdict on a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Verdict {
    /// Incarnation of the node that found it.
    pub incarnation: u32,
    /// Number of this verdict among those of its node.
    pub number: u16,
    /// Identifies the server's start: the low bits of the listed start time.
    pub start: u32,
    /// True if the server fails, false if it serves again.
    pub failing: bool,
}

/// Location of a key that none of its candidate servers could take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyLocation {
    /// Sequence number over all nodes; the greater one is the later.
    pub number: u32,
    /// Node that found it; breaks ties.
    pub node: NodeId,
    /// Short ID of the server.
    pub server: u32,
}

/// An operator's order, on a server or a zone, that holds for the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperatorOrder {
    /// Sequence number over all nodes; the greater one is the later.
    pub number: u32,
    /// Node that received the order; breaks ties.
    pub node: NodeId,
    /// True if the server or zone is out of use.
    pub cordoned: bool,
    /// Duration of the order in seconds, from when it was given; 0 means until it is withdrawn.
    pub for_s: u32,
}

impl OperatorOrder {
    /// Returns the version of the order.
    #[must_use]
    pub fn version(&self) -> OrderVersion {
        OrderVersion { number: self.number, node: self.node }
    }
}

/// A value and the time at which it was created, by this node's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Aged<T> {
    /// The value.
    pub value: T,
    /// Time of creation.
    pub created_at: Ms,
}

/// Values by key, of which the greatest holds.
#[derive(Clone, Debug)]
struct LatestByKey<K, T> {
    values: BTreeMap<K, Aged<T>>,
    capacity: usize,
}

impl<K: Ord + Clone, T: Ord + Copy> LatestByKey<K, T> {
    fn new(capacity: usize) -> LatestByKey<K, T> {
        LatestByKey { values: BTreeMap::new(), capacity }
    }

    /// Merges a value. Returns true if it is new.
    fn merge(&mut self, key: &K, value: T, created_at: Ms) -> bool {
        match self.values.get_mut(key) {
            Some(known) if known.value >= value => {
                // The same value, arriving by another path, may be known to be older.
                if known.value == value {
                    known.created_at = known.created_at.min(created_at);
                }
                return false;
            }
            Some(known) => *known = Aged { value, created_at },
            None => {
                self.values.insert(key.clone(), Aged { value, created_at });
            }
        }
        true
    }

    /// Drops the values with the lowest rank until no more than `capacity` are left.
    fn evict(&mut self, rank: impl Fn(&Aged<T>) -> (bool, Ms)) {
        while self.values.len() > self.capacity {
            let evicted = self.values.iter().min_by_key(|(_, v)| rank(v)).map(|(k, _)| k.clone());
            let Some(evicted) = evicted else { return };
            self.values.remove(&evicted);
        }
    }

    /// Drops the values that are older than `max_age`.
    fn expire(&mut self, now: Ms, max_age: Ms) {
        self.values.retain(|_, v| now.saturating_sub(v.created_at) <= max_age);
    }
}

/// The shared state that a node holds.
#[derive(Clone, Debug)]
pub struct SharedState {
    verdicts: LatestByKey<(u32, NodeId), Verdict>,
    locations: LatestByKey<u32, KeyLocation>,
    orders: LatestByKey<String, OperatorOrder>,
    last_number: u32,
}

impl Default for SharedState {
    fn default() -> SharedState {
        SharedState {
            verdicts: LatestByKey::new(MAX_VERDICTS),
            locations: LatestByKey::new(MAX_KEY_LOCATIONS),
            orders: LatestByKey::new(MAX_ORDERS),
            last_number: 0,
        }
    }
}

impl SharedState {
    /// Returns the next sequence number of this node, above all that it has seen.
    fn next_number(&mut self) -> u32 {
        self.last_number = self.last_number.saturating_add(1);
        self.last_number
    }

    /// Returns true if a received sequence number is plausible, and raises this node's own numbers above it.
    fn accept_number(&mut self, number: u32) -> bool {
        let is_plausible = number <= self.last_number.saturating_add(MAX_NUMBER_STEP);
        if is_plausible {
            self.last_number = self.last_number.max(number);
        }
        is_plausible
    }

    /// Merges a verdict. Returns true if it is new.
    pub fn merge_verdict(&mut self, server: u32, node: NodeId, verdict: Verdict, created_at: Ms) -> bool {
        let is_new = self.verdicts.merge(&(server, node), verdict, created_at);
        self.verdicts.evict(|v| (true, v.created_at));
        is_new
    }

    /// Returns a node's latest verdict on a server.
    pub fn verdict(&self, server: u32, node: NodeId) -> Option<Aged<Verdict>> {
        self.verdicts.values.get(&(server, node)).copied()
    }

    /// Returns the number of nodes whose verdict, no older than `age`, says that this start of a server
    /// fails.
    pub fn failing_verdicts(&self, now: Ms, server: u32, start: u32, age: Ms) -> usize {
        let verdicts = self.verdicts.values.range((server, 0)..=(server, NodeId::MAX));
        verdicts
            .filter(|(_, v)| {
                v.value.failing && v.value.start == start && now.saturating_sub(v.created_at) <= age
            })
            .count()
    }

    /// Returns the number of nodes other than `own` whose verdict, no older than `age`, says that any start
    /// of a server fails.
    pub fn failing_verdicts_by_others(&self, now: Ms, server: u32, own: NodeId, age: Ms) -> usize {
        let verdicts = self.verdicts.values.range((server, 0)..=(server, NodeId::MAX));
        let is_recent = |created_at: Ms| now.saturating_sub(created_at) <= age;
        verdicts.filter(|((_, node), v)| *node != own && v.value.failing && is_recent(v.created_at)).count()
    }

    /// Records a key location that this node found. Returns none if the same location is already known and
    /// less than 1 s old.
    pub fn record_location(&mut self, now: Ms, node: NodeId, key: u32, server: u32) -> Option<KeyLocation> {
        if self
            .locations
            .values
            .get(&key)
            .is_some_and(|p| p.value.server == server && now - p.created_at < 1000)
        {
            return None;
        }
        let location = KeyLocation { number: self.next_number(), node, server };
        self.merge_location(key, location, now).then_some(location)
    }

    /// Merges a key location. Returns true if it is new.
    pub fn merge_location(&mut self, key: u32, location: KeyLocation, created_at: Ms) -> bool {
        let is_new =
            self.accept_number(location.number) && self.locations.merge(&key, location, created_at);
        self.locations.evict(|v| (true, v.created_at));
        is_new
    }

    /// Returns the location of a key.
    pub fn location(&self, key: u32) -> Option<Aged<KeyLocation>> {
        self.locations.values.get(&key).copied()
    }

    /// Records an operator's order that this node received.
    pub fn record_order(
        &mut self,
        now: Ms,
        node: NodeId,
        subject: &str,
        cordoned: bool,
        for_s: u32,
    ) -> OperatorOrder {
        let order = OperatorOrder { number: self.next_number(), node, cordoned, for_s };
        self.merge_order(subject, order, now);
        order
    }

    /// Gives an order of this node a new number if `received`, created earlier at another node, has the
    /// greater one: this node had not heard of it when it numbered its own. Returns true if it did.
    pub fn renew_later_order(
        &mut self,
        node: NodeId,
        subject: &str,
        received: OperatorOrder,
        received_at: Ms,
    ) -> bool {
        let Some(known) = self.operator_order(subject) else { return false };
        let is_later = received_at.saturating_add(AGE_ERROR_MS as Ms) < known.created_at;
        if known.value.node != node || received <= known.value || !is_later {
            return false;
        }
        if !self.accept_number(received.number) {
            return false;
        }
        let renewed = OperatorOrder { number: self.next_number(), ..known.value };
        self.orders.merge(&subject.to_owned(), renewed, known.created_at)
    }

    /// Merges an operator's order. Returns true if it is new.
    pub fn merge_order(&mut self, subject: &str, order: OperatorOrder, created_at: Ms) -> bool {
        let is_new =
            self.accept_number(order.number) && self.orders.merge(&subject.to_owned(), order, created_at);
        // Orders that put a server or zone back in use are dropped first.
        self.orders.evict(|v| (v.value.cordoned, v.created_at));
        is_new
    }

    /// Returns the latest order on a server or zone.
    pub fn operator_order(&self, subject: &str) -> Option<Aged<OperatorOrder>> {
        self.orders.values.get(subject).copied()
    }

    /// Returns all orders by server or zone.
    pub fn orders(&self) -> impl Iterator<Item = (&str, OperatorOrder)> {
        self.orders.values.iter().map(|(subject, v)| (subject.as_str(), v.value))
    }

    /// Returns a digest of the orders; it differs where the orders differ.
    pub fn digest(&self) -> u32 {
        let mut hash = crc32fast::Hasher::new();
        for (subject, order) in self.orders() {
            hash.update(subject.as_bytes());
            hash.update(&order.number.to_be_bytes());
            hash.update(&order.node.to_be_bytes());
            hash.update(&[u8::from(order.cordoned)]);
            hash.update(&order.for_s.to_be_bytes());
        }
        hash.finalize()
    }

    /// Drops verdicts and key locations that are too old. Orders have no maximum age.
    pub fn expire(&mut self, now: Ms, max_verdict_age: Ms, max_location_age: Ms) {
        // A verdict that is too old to be used still marks earlier verdicts of its node as outdated.
        self.verdicts.expire(now, 4 * max_verdict_age);
        self.locations.expire(now, max_location_age);
    }

    /// Returns the ages of the verdicts and key locations that may be used, in milliseconds.
    pub fn ages(&self, now: Ms, max_verdict_age: Ms) -> (Vec<Ms>, Vec<Ms>) {
        let age = |created_at: Ms| now.saturating_sub(created_at);
        let verdicts = self
            .verdicts
            .values
            .values()
            .map(|v| age(v.created_at))
            .filter(|a| *a <= max_verdict_age)
            .collect();
        (verdicts, self.locations.values.values().map(|v| age(v.created_at)).collect())
    }

    /// Returns the numbers of verdicts, key locations and orders held.
    pub fn counts(&self) -> [usize; 3] {
        [self.verdicts.values.len(), self.locations.values.len(), self.orders.values.len()]
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[derive(Clone, Debug)]
    enum Fact {
        Verdict(u32, NodeId, Verdict),
        KeyLocation(u32, KeyLocation),
        OperatorOrder(String, OperatorOrder),
    }

    fn fact() -> impl Strategy<Value = Fact> {
        let verdict = (0_u32..3, 0_u16..3, 1_u32..3, 0_u16..4, any::<bool>()).prop_map(
            |(server, node, incarnation, number, failing)| {
                // A node gives a number to one verdict only.
                let start = u32::from(number) / 2;
                Fact::Verdict(
                    server,
                    node,
                    Verdict { incarnation, number, start, failing: failing && number > 0 || number == 3 },
                )
            },
        );
        let location = (0_u32..3, 1_u32..9, 0_u16..3).prop_map(|(key, number, node)| {
            Fact::KeyLocation(key, KeyLocation { number, node, server: number * 7 + u32::from(node) })
        });
        let order = (0_u32..3, 1_u32..9, 0_u16..3).prop_map(|(server, number, node)| {
            Fact::OperatorOrder(
                format!("s-{server}"),
                OperatorOrder { number, node, cordoned: (number + u32::from(node)) % 2 == 0, for_s: 0 },
            )
        });
        prop_oneof![verdict, location, order]
    }

    fn merge(shared: &mut SharedState, fact: &Fact) {
        match fact.clone() {
            Fact::Verdict(server, node, verdict) => drop(shared.merge_verdict(server, node, verdict, 5)),
            Fact::KeyLocation(key, location) => drop(shared.merge_location(key, location, 5)),
            Fact::OperatorOrder(subject, order) => drop(shared.merge_order(&subject, order, 5)),
        }
    }

    fn values(s: &SharedState) -> impl PartialEq + std::fmt::Debug + use<> {
        (s.verdicts.values.clone(), s.locations.values.clone(), s.orders.values.clone())
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]
        /// Facts merged in any order, any number of times, lead to the same state.
        #[test]
        fn facts_converge(facts in prop::collection::vec(fact(), 1..20), order in any::<u64>()) {
            let mut one = SharedState::default();
            facts.iter().for_each(|f| merge(&mut one, f));
            let mut rng = fastrand::Rng::with_seed(order);
            let mut repeated: Vec<Fact> = facts.iter().chain(&facts).cloned().collect();
            rng.shuffle(&mut repeated);
            let mut other = SharedState::default();
            repeated.iter().for_each(|f| merge(&mut other, f));
            prop_assert_eq!(values(&one), values(&other));
            prop_assert_eq!(one.digest(), other.digest());
        }
    }

    #[test]
    fn verdicts_locations_and_orders_are_bounded() {
        let mut shared = SharedState::default();
        let verdict = Verdict { incarnation: 1, number: 1, start: 0, failing: true };
        for n in 0..5000_u32 {
            shared.merge_verdict(n, 1, verdict, Ms::from(n));
            shared.record_location(Ms::from(n), 1, n, 7);
            shared.record_order(Ms::from(n), 1, &format!("s-{n}"), n % 2 == 0, 0);
        }
        assert_eq!(shared.counts(), [MAX_VERDICTS, MAX_KEY_LOCATIONS, MAX_ORDERS]);
        assert!(
            shared.orders().all(|(_, order)| order.cordoned),
            "orders that put something back in use are dropped first"
        );
        assert!(shared.verdict(0, 1).is_none() && shared.verdict(4999, 1).is_some());
        assert!(
            !shared.merge_order(
                "far",
                OperatorOrder { number: u32::MAX, node: 1, cordoned: true, for_s: 0 },
                0
            ),
            "an implausible number"
        );
    }

    #[test]
    fn totals_keep_the_highest_plausible_rates() {
        let mut all = TenantTotals::default();
        for n in 0..20 {
            all.add(&TenantTotals {
                tenants: vec![(n, n as f32), (99, f32::NAN)],
                counted: 1,
                age: u64::from(n),
            });
        }
        all.trim();
        assert_eq!((all.tenants.len(), all.counted, all.age), (MAX_TENANTS, 20, 19));
        assert_eq!((all.rate(19), all.rate(2), all.rate(99)), (Some(19.0), None, None));
    }
}
