//! What the nodes of a fleet share: what each tenant asks of all of them, verdicts on servers, where keys have gone,
//! and operators' words. Each kind may be merged in any order, doubled, lost or late, with the same result, and is
//! bounded in number and in age. Ages are sums of times that each holder measured itself: no clock of another node is
//! believed.

use super::membership::{Ms, NodeId};
use std::collections::BTreeMap;

/// Tenants that are told of: those that use most, the first to be dropped those that use least.
pub const MAX_TENANTS: usize = 12;
/// Verdicts that are kept: the oldest goes first.
const VERDICTS: usize = 1024;
/// Places that are kept, and words: the oldest goes first, words that took something back before others.
const PLACES: usize = 512;
const WORDS: usize = 64;
/// A rate that no node can have, in requests a second.
const MOST_RPS: f32 = 1e7;
/// Numbers that jump by more than this are not believed.
const STEP: u32 = 1 << 16;

/// What tenants ask, summed over some nodes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantTotals {
    /// Requests a second, by the tenant's short hash, least hash first.
    pub tenants: Vec<(u32, f32)>,
    /// Nodes that are counted.
    pub counted: u16,
    /// Age of the oldest part of it.
    pub age: Ms,
}

impl TenantTotals {
    /// Adds what others counted.
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

    /// Keeps to the tenants that ask most, and to rates that can be.
    pub fn trim(&mut self) {
        self.tenants.retain(|t| t.1.is_finite() && t.1 > 0.0);
        self.tenants.iter_mut().for_each(|t| t.1 = t.1.min(MOST_RPS));
        while self.tenants.len() > MAX_TENANTS {
            let least = self.tenants.iter().enumerate().min_by(|a, b| a.1.1.total_cmp(&b.1.1));
            let Some((least, _)) = least else { return };
            self.tenants.remove(least);
        }
    }

    /// What a tenant asks.
    pub fn rate(&self, tenant: u32) -> Option<f32> {
        self.tenants.binary_search_by_key(&tenant, |t| t.0).ok().map(|n| self.tenants[n].1)
    }
}

/// What a node found of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Verdict {
    /// Its author's start.
    pub incarnation: u32,
    /// Counts its author's findings.
    pub number: u16,
    /// Which start of the server: low bits of the list's time.
    pub start: u32,
    /// It fails; else it serves again.
    pub failing: bool,
}

/// Where a key has gone that its candidates could not take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyLocation {
    /// Counts up over all nodes: the greater is the later.
    pub number: u32,
    /// Who found it; breaks ties.
    pub node: NodeId,
    /// The server.
    pub server: u32,
}

/// An operator's word on a server that holds for the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperatorOrder {
    /// Counts up over all nodes: the greater is the later.
    pub number: u32,
    /// Who was told; breaks ties.
    pub node: NodeId,
    /// It is out.
    pub cordoned: bool,
    /// For so many seconds from when it was said; 0 until it is taken back.
    pub for_s: u32,
}

/// A value and when it was made, by this node's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Aged<T> {
    /// The value.
    pub value: T,
    /// When.
    pub made: Ms,
}

/// Values by key of which the greatest holds.
#[derive(Clone, Debug)]
struct LatestByKey<K, T> {
    all: BTreeMap<K, Aged<T>>,
    most: usize,
}

impl<K: Ord + Clone, T: Ord + Copy> LatestByKey<K, T> {
    fn new(most: usize) -> LatestByKey<K, T> {
        LatestByKey { all: BTreeMap::new(), most }
    }

    /// True: it is news.
    fn join(&mut self, key: &K, value: T, made: Ms) -> bool {
        match self.all.get_mut(key) {
            Some(known) if known.value >= value => {
                // The same by another way may be known to be older.
                if known.value == value {
                    known.made = known.made.min(made);
                }
                return false;
            }
            Some(known) => *known = Aged { value, made },
            None => {
                self.all.insert(key.clone(), Aged { value, made });
            }
        }
        true
    }

    fn bound(&mut self, first: impl Fn(&Aged<T>) -> (bool, Ms)) {
        while self.all.len() > self.most {
            let goes = self.all.iter().min_by_key(|(_, v)| first(v)).map(|(k, _)| k.clone());
            let Some(goes) = goes else { return };
            self.all.remove(&goes);
        }
    }

    fn expire(&mut self, now: Ms, age: Ms) {
        self.all.retain(|_, v| now.saturating_sub(v.made) <= age);
    }
}

/// All that a node holds of it.
#[derive(Clone, Debug)]
pub struct SharedState {
    findings: LatestByKey<(u32, NodeId), Verdict>,
    places: LatestByKey<u32, KeyLocation>,
    words: LatestByKey<String, OperatorOrder>,
    last: u32,
}

impl Default for SharedState {
    fn default() -> SharedState {
        SharedState {
            findings: LatestByKey::new(VERDICTS),
            places: LatestByKey::new(PLACES),
            words: LatestByKey::new(WORDS),
            last: 0,
        }
    }
}

impl SharedState {
    /// The next number of this node's places and words: above all it has seen.
    fn next(&mut self) -> u32 {
        self.last = self.last.saturating_add(1);
        self.last
    }

    /// A number that can be, which the own ones go above from here on.
    fn fits(&mut self, number: u32) -> bool {
        let fits = number <= self.last.saturating_add(STEP);
        if fits {
            self.last = self.last.max(number);
        }
        fits
    }

    /// Takes in a finding. True: it is news.
    pub fn finding(&mut self, server: u32, node: NodeId, finding: Verdict, made: Ms) -> bool {
        let news = self.findings.join(&(server, node), finding, made);
        self.findings.bound(|v| (true, v.made));
        news
    }

    /// What a node last found of a server.
    pub fn found(&self, server: u32, node: NodeId) -> Option<Aged<Verdict>> {
        self.findings.all.get(&(server, node)).copied()
    }

    /// How many nodes' findings against this start of a server are younger than `age`.
    pub fn against(&self, now: Ms, server: u32, start: u32, age: Ms) -> usize {
        let of = self.findings.all.range((server, 0)..=(server, NodeId::MAX));
        of.filter(|(_, v)| v.value.failing && v.value.start == start && now.saturating_sub(v.made) <= age)
            .count()
    }

    /// The same of any start, without one node's own.
    pub fn failing_verdicts_by_others(&self, now: Ms, server: u32, own: NodeId, age: Ms) -> usize {
        let of = self.findings.all.range((server, 0)..=(server, NodeId::MAX));
        let fresh = |made: Ms| now.saturating_sub(made) <= age;
        of.filter(|((_, node), v)| *node != own && v.value.failing && fresh(v.made)).count()
    }

    /// This node puts a key there.
    pub fn put(&mut self, now: Ms, node: NodeId, key: u32, server: u32) -> Option<KeyLocation> {
        if self.places.all.get(&key).is_some_and(|p| p.value.server == server && now - p.made < 1000) {
            return None;
        }
        let place = KeyLocation { number: self.next(), node, server };
        self.place(key, place, now).then_some(place)
    }

    /// Takes in a place. True: it is news.
    pub fn place(&mut self, key: u32, place: KeyLocation, made: Ms) -> bool {
        let news = self.fits(place.number) && self.places.join(&key, place, made);
        self.places.bound(|v| (true, v.made));
        news
    }

    /// Where a key is.
    pub fn placed(&self, key: u32) -> Option<Aged<KeyLocation>> {
        self.places.all.get(&key).copied()
    }

    /// This node was told that a server is out, or back.
    pub fn say(
        &mut self,
        now: Ms,
        node: NodeId,
        server: &str,
        cordoned: bool,
        for_s: u32,
    ) -> OperatorOrder {
        let word = OperatorOrder { number: self.next(), node, cordoned, for_s };
        self.word(server, word, now);
        word
    }

    /// Takes in a word. True: it is news.
    pub fn word(&mut self, server: &str, word: OperatorOrder, made: Ms) -> bool {
        let news = self.fits(word.number) && self.words.join(&server.to_owned(), word, made);
        // Words that took something back go first.
        self.words.bound(|v| (v.value.cordoned, v.made));
        news
    }

    /// What was last said of a server.
    pub fn operator_order(&self, server: &str) -> Option<Aged<OperatorOrder>> {
        self.words.all.get(server).copied()
    }

    /// All words, by server.
    pub fn words(&self) -> impl Iterator<Item = (&str, OperatorOrder)> {
        self.words.all.iter().map(|(server, v)| (server.as_str(), v.value))
    }

    /// Differs where the words do.
    pub fn digest(&self) -> u32 {
        let mut hash = crc32fast::Hasher::new();
        for (server, word) in self.words() {
            hash.update(server.as_bytes());
            hash.update(&word.number.to_be_bytes());
            hash.update(&word.node.to_be_bytes());
            hash.update(&[u8::from(word.cordoned)]);
            hash.update(&word.for_s.to_be_bytes());
        }
        hash.finalize()
    }

    /// Forgets what is past its age; words are never too old.
    pub fn expire(&mut self, now: Ms, verdicts: Ms, places: Ms) {
        // A finding that is too old to be used still tells older ones of its author that they are.
        self.findings.expire(now, 4 * verdicts);
        self.places.expire(now, places);
    }

    /// Ages of the findings and of the places that may be used.
    pub fn ages(&self, now: Ms, verdicts: Ms) -> (Vec<Ms>, Vec<Ms>) {
        let age = |made: Ms| now.saturating_sub(made);
        let findings = self.findings.all.values().map(|v| age(v.made)).filter(|a| *a <= verdicts).collect();
        (findings, self.places.all.values().map(|v| age(v.made)).collect())
    }

    /// How many findings, places and words are held.
    pub fn counts(&self) -> [usize; 3] {
        [self.findings.all.len(), self.places.all.len(), self.words.all.len()]
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
        let finding =
            (0_u32..3, 0_u16..3, 1_u32..3, 0_u16..4, any::<bool>()).prop_map(|(s, w, i, n, failing)| {
                // An author gives a number to one finding only.
                let start = u32::from(n) / 2;
                Fact::Verdict(
                    s,
                    w,
                    Verdict { incarnation: i, number: n, start, failing: failing && n > 0 || n == 3 },
                )
            });
        let place = (0_u32..3, 1_u32..9, 0_u16..3).prop_map(|(k, n, w)| {
            Fact::KeyLocation(k, KeyLocation { number: n, node: w, server: n * 7 + u32::from(w) })
        });
        let word = (0_u32..3, 1_u32..9, 0_u16..3).prop_map(|(s, n, w)| {
            Fact::OperatorOrder(
                format!("s-{s}"),
                OperatorOrder { number: n, node: w, cordoned: (n + u32::from(w)) % 2 == 0, for_s: 0 },
            )
        });
        prop_oneof![finding, place, word]
    }

    fn take(shared: &mut SharedState, fact: &Fact) {
        match fact.clone() {
            Fact::Verdict(s, w, f) => drop(shared.finding(s, w, f, 5)),
            Fact::KeyLocation(k, p) => drop(shared.place(k, p, 5)),
            Fact::OperatorOrder(s, w) => drop(shared.word(&s, w, 5)),
        }
    }

    fn values(s: &SharedState) -> impl PartialEq + std::fmt::Debug + use<> {
        (s.findings.all.clone(), s.places.all.clone(), s.words.all.clone())
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]
        /// In any order, each as often as it likes, the same is known in the end.
        #[test]
        fn facts_converge(facts in prop::collection::vec(fact(), 1..20), order in any::<u64>()) {
            let mut one = SharedState::default();
            facts.iter().for_each(|f| take(&mut one, f));
            let mut rng = fastrand::Rng::with_seed(order);
            let mut doubled: Vec<Fact> = facts.iter().chain(&facts).cloned().collect();
            rng.shuffle(&mut doubled);
            let mut other = SharedState::default();
            doubled.iter().for_each(|f| take(&mut other, f));
            prop_assert_eq!(values(&one), values(&other));
            prop_assert_eq!(one.digest(), other.digest());
        }
    }

    #[test]
    fn all_of_it_is_bounded() {
        let mut shared = SharedState::default();
        let finding = Verdict { incarnation: 1, number: 1, start: 0, failing: true };
        for n in 0..5000_u32 {
            shared.finding(n, 1, finding, Ms::from(n));
            shared.put(Ms::from(n), 1, n, 7);
            shared.say(Ms::from(n), 1, &format!("s-{n}"), n % 2 == 0, 0);
        }
        assert_eq!(shared.counts(), [VERDICTS, PLACES, WORDS]);
        assert!(shared.words().all(|w| w.1.cordoned), "words that took something back went first");
        assert!(shared.found(0, 1).is_none() && shared.found(4999, 1).is_some());
        assert!(
            !shared.word("far", OperatorOrder { number: u32::MAX, node: 1, cordoned: true, for_s: 0 }, 0),
            "from the far future"
        );
    }

    #[test]
    fn totals_keep_to_the_tenants_that_ask_most_and_to_rates_that_can_be() {
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
