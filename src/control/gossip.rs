//! The fleet's shared state in one node: waves of totals up and down a tree of the members, news pressed along its
//! edges, and comparisons that repair what was lost. A machine without I/O and clock; whoever drives it hands in
//! datagrams and ticks, and sends what it says.
//!
//! A wave costs each node one datagram up and one down. The root begins one every [`PERIOD_MS`]; each node passes it
//! on at once, and reports shortly before the next, its children a little earlier, so that what the root tells is
//! half a second old and not a period for each level. What is missing is asked for again within that half second.

use super::datagram::{self, Body, DatagramError, Header, MAX_COMPARED_MEMBERS, MAX_NAME_BYTES, Update};
use super::membership::{MemberState, Membership, Message, Ms, NodeId, Output, Status};
use super::shared_state::{SharedState, TenantTotals, Verdict};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Time between two waves.
pub const PERIOD_MS: Ms = 1250;
/// A node reports so long before the next wave, for each level that it is below the root.
const SLOT_MS: Ms = 250;
/// What has not come is asked for after so long, and again.
const AGAIN_MS: [Ms; 3] = [100, 160, 215];
/// Deeper nodes ask later: what their parents get again comes to them unasked.
const AGAIN_LEVEL_MS: Ms = 110;
/// A neighbour that has not spoken for so long is checked.
const SILENT_MS: Ms = PERIOD_MS * 3 / 2;
/// News waits for more to go with it.
const GATHER_MS: Ms = 15;
/// And is told again until it is acknowledged, so often.
const RESEND_MS: Ms = 110;
const RESENDS: u32 = 7;
/// Datagrams of news, and answers to comparisons, that a node may send a second for each neighbour, and at once.
const NEWS_A_SECOND: f64 = 1.0;
const NEWS_AT_ONCE: f64 = 24.0;
/// News that waits for one neighbour; beyond that it is left to comparisons.
const WAITING: usize = 512;
/// Places that wait for room in a wave.
const IDLE: usize = 64;
/// A member that fell silent keeps its part of what is shared out for so long: it may serve beyond a cut.
const HOLD_MS: Ms = 60_000;
/// Differences that are answered at once to a comparison.
const DIFFERENCES: usize = 80;
const LOWEST: usize = 20;
/// Views that differ are compared when nothing has changed here for so long.
const UNDER_WAY_MS: Ms = 600;
/// What was asked for again counts so much, one wave takes one of it; from so much on, waves go twice.
const LOST: u32 = 3;
const LOSSY: u32 = 4;
/// Datagrams of one member that may overtake each other.
const WINDOW: u32 = 64;

/// How old what is shared may be to be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MaxAges {
    /// Tenants' totals.
    pub limits_ms: Ms,
    /// Verdicts on servers.
    pub verdicts_ms: Ms,
    /// Places of keys.
    pub affinity_ms: Ms,
}

/// What happens.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// Time passes; comes every 20 ms or so.
    Tick,
    /// A datagram from a member's address.
    Datagram(NodeId, &'a [u8]),
    /// Requests a second that tenants ask of this node, by short hash.
    TenantRates(&'a [(u32, f32)]),
    /// This node found that a server fails, or serves again; `start` tells its starts apart.
    Verdict {
        /// The server's short id.
        server: u32,
        /// Which of its starts.
        start: u32,
        /// It fails.
        failing: bool,
    },
    /// A key went to a server that is none of its candidates.
    KeyLocation {
        /// The key's short hash.
        key: u32,
        /// The server's short id.
        server: u32,
    },
    /// An operator's word for the whole fleet.
    OperatorOrder {
        /// What it is about: a server's uid, or `zone:` and a zone's name.
        subject: &'a str,
        /// It is out.
        cordoned: bool,
        /// For so many seconds; 0 until it is taken back.
        for_s: u32,
    },
    /// This node ends.
    Leave,
}

/// What is to be done, or known.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send(NodeId, Vec<u8>),
    /// Another node found something of a server, so long ago.
    Verdict {
        /// The server's short id.
        server: u32,
        /// Which of its starts.
        start: u32,
        /// Who.
        node: NodeId,
        /// It fails, or serves again.
        failing: bool,
        /// Age in milliseconds.
        age: Ms,
    },
    /// Another node knows where a key is.
    KeyLocation {
        /// The key's short hash.
        key: u32,
        /// The server's short id.
        server: u32,
        /// Age in milliseconds.
        age: Ms,
    },
    /// An operator's word to another node.
    OperatorOrder {
        /// What it is about.
        subject: String,
        /// It is out.
        cordoned: bool,
        /// For so many seconds; 0 until it is taken back.
        for_s: u32,
        /// Age in milliseconds.
        age: Ms,
    },
}

/// What was rejected, and why.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RejectedDatagrams {
    /// Cut, spoilt or strange.
    pub corrupt: u64,
    /// Of another version.
    pub version: u64,
    /// Under another's number.
    pub wrong_sender: u64,
    /// Doubled, or of an earlier time.
    pub replayed: u64,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Datagrams taken in.
    pub received: u64,
    /// Datagrams rejected.
    pub rejected: RejectedDatagrams,
}

/// A reference to a piece of news; its content is looked up when it is sent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum News {
    OperatorOrder(String),
    Member(NodeId),
    Verdict(u32, NodeId),
    KeyLocation(u32),
}

#[derive(Clone, Debug)]
struct Out {
    id: u16,
    news: Vec<News>,
    again_at: Ms,
    tries: u32,
}

/// What goes to one neighbour.
#[derive(Clone, Debug, Default)]
struct Line {
    waiting: BTreeSet<News>,
    since: Ms,
    out: Option<Out>,
    idle: VecDeque<u32>,
    /// Grows with each wave's datagram that was lost on the way there.
    lossy: u32,
}

#[derive(Clone, Debug, Default)]
struct Child {
    totals: TenantTotals,
    at: Ms,
    asked: usize,
}

/// Datagrams of one member that have come, so that none counts twice.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    incarnation: u32,
    last: u32,
    bits: u64,
}

impl Seen {
    /// True: it has not come before, and is not from an earlier time.
    fn fresh(&mut self, incarnation: u32, number: u32) -> bool {
        if incarnation != self.incarnation {
            let later = incarnation > self.incarnation;
            if later {
                *self = Seen { incarnation, last: number, bits: 1 };
            }
            return later;
        }
        if number > self.last {
            let step = number - self.last;
            self.bits = if step < WINDOW { self.bits << step | 1 } else { 1 };
            self.last = number;
            return true;
        }
        let back = self.last - number;
        let bit = 1_u64.checked_shl(back).unwrap_or(0);
        let fresh = bit != 0 && self.bits & bit == 0;
        self.bits |= bit;
        fresh
    }
}

/// The wave that this node has last passed on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Wave {
    root: (NodeId, u32),
    number: u32,
    depth: u8,
    at: Ms,
}

/// One node's part of the fleet.
#[derive(Debug)]
pub struct Gossip {
    bounds: MaxAges,
    rng: fastrand::Rng,
    members: Membership,
    shared: SharedState,
    /// What tenants ask here.
    own: Vec<(u32, f32)>,
    children: BTreeMap<NodeId, Child>,
    parent: Option<NodeId>,
    neighbours: Vec<NodeId>,
    version: Option<u64>,
    wave: Wave,
    wave_at: Ms,
    up_at: Ms,
    down_asked: usize,
    /// When somebody's status last changed here: news of it is under way for a moment.
    changed: Ms,
    unlike: u32,
    /// The totals of all, and when they were made.
    total: Option<(TenantTotals, Ms)>,
    lines: BTreeMap<NodeId, Line>,
    tokens: f64,
    ticked: Ms,
    number: u32,
    news: u16,
    finding: u16,
    seen: Vec<Seen>,
    left: bool,
    digest: (u64, u32),
    counts: Counts,
}

impl Gossip {
    /// The part of node `own` of `count`. `incarnation` must be greater at each start; where it is not, the others
    /// say so, and this node goes above what they know.
    pub fn new(now: Ms, own: NodeId, count: u16, incarnation: u32, bounds: MaxAges, seed: u64) -> Gossip {
        let mut rng = fastrand::Rng::with_seed(seed);
        let members = Membership::new(now, own, count, incarnation);
        let first = now + rng.u64(..PERIOD_MS);
        Gossip {
            bounds,
            seen: vec![Seen::default(); members.count()],
            members,
            shared: SharedState::default(),
            own: Vec::new(),
            children: BTreeMap::new(),
            parent: None,
            neighbours: Vec::new(),
            version: None,
            wave: Wave { at: now, ..Wave::default() },
            wave_at: first,
            up_at: first,
            down_asked: 0,
            changed: now,
            unlike: 0,
            total: None,
            lines: BTreeMap::new(),
            // Full with the first neighbours.
            tokens: f64::INFINITY,
            ticked: now,
            number: 0,
            news: 0,
            finding: 0,
            left: false,
            digest: (u64::MAX, 0),
            counts: Counts::default(),
            rng,
        }
    }

    /// Other bounds from here on.
    pub fn update_settings(&mut self, bounds: MaxAges) {
        self.bounds = bounds;
    }

    /// Who is in the fleet.
    pub fn members(&self) -> &Membership {
        &self.members
    }

    /// What is shared.
    pub fn shared(&self) -> &SharedState {
        &self.shared
    }

    /// Datagrams so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Whom this node reports to; none at the root.
    pub fn parent(&self) -> Option<NodeId> {
        self.parent
    }

    /// The totals of the fleet and their age, if they are young enough to be used.
    pub fn totals(&self, now: Ms) -> Option<(&TenantTotals, Ms)> {
        let (totals, made) = self.total.as_ref()?;
        let age = now.saturating_sub(*made);
        (age <= self.bounds.limits_ms && totals.counted > 0).then_some((totals, age))
    }

    /// What part of a tenant's requests is within its share of `quota` requests a second over the whole fleet; none
    /// where the totals are too old, or do not tell of it. Who is not counted keeps its part of the quota: it may
    /// serve beyond a cut.
    pub fn share_within_quota(&self, now: Ms, tenant: u32, quota: f64) -> Option<f64> {
        let (totals, _) = self.totals(now)?;
        let asked = f64::from(totals.rate(tenant)?);
        let parties = self.members.quota_holders(now, HOLD_MS).max(usize::from(totals.counted)).max(1);
        let ours = quota * f64::from(totals.counted) / parties as f64;
        (asked > 0.0 && quota > 0.0).then(|| (ours / asked).min(1.0))
    }

    /// Takes one event at the time `now` and adds what is to be done to `out`.
    pub fn handle(&mut self, now: Ms, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::Datagram(from, bytes) => self.heard(now, from, bytes, out),
            Event::TenantRates(rates) => {
                self.own = rates.iter().copied().filter(|r| r.1.is_finite() && r.1 > 0.0).collect();
                self.own.sort_by_key(|r| r.0);
                self.own.dedup_by_key(|r| r.0);
            }
            Event::Verdict { server, start, failing } => {
                self.finding = self.finding.wrapping_add(1);
                let own = self.members.local_state(now).incarnation;
                let finding = Verdict { incarnation: own, number: self.finding, start, failing };
                let node = self.members.local_id();
                if self.shared.merge_verdict(server, node, finding, now) {
                    self.spread(now, &News::Verdict(server, node), None);
                }
            }
            Event::KeyLocation { key, server } => {
                if self.shared.record_location(now, self.members.local_id(), key, server).is_some() {
                    self.spread(now, &News::KeyLocation(key), None);
                }
            }
            Event::OperatorOrder { subject, cordoned, for_s } => {
                if !subject.is_empty() && subject.len() <= MAX_NAME_BYTES {
                    self.shared.record_order(now, self.members.local_id(), subject, cordoned, for_s);
                    self.spread(now, &News::OperatorOrder(subject.to_owned()), None);
                }
            }
            Event::Leave => {
                let mut outputs = Vec::new();
                self.members.leave(now, &mut outputs);
                self.left = true;
                self.carry_out(now, outputs, None, out);
                // There is no time to gather.
                self.flush(now + GATHER_MS, out);
            }
        }
    }

    fn tick(&mut self, now: Ms, out: &mut Vec<Action>) {
        if self.left {
            return self.flush(now, out);
        }
        let seconds = now.saturating_sub(self.ticked) as f64 / 1000.0;
        let lines = self.neighbours.len().max(1) as f64;
        self.tokens = (self.tokens + seconds * NEWS_A_SECOND * lines).min(NEWS_AT_ONCE * lines);
        self.ticked = now;
        self.settle(now, out);
        let mut outputs = Vec::new();
        let neighbours = std::mem::take(&mut self.neighbours);
        let rng = &mut self.rng;
        self.members.tick(now, &neighbours, SILENT_MS, &mut || rng.u64(..), &mut outputs);
        self.neighbours = neighbours;
        self.carry_out(now, outputs, None, out);
        self.waves(now, out);
        self.flush(now, out);
        self.shared.expire(now, self.bounds.verdicts_ms, self.bounds.affinity_ms);
    }

    /// Finds this node's place in the tree anew, where somebody's status has changed.
    fn settle(&mut self, now: Ms, out: &mut Vec<Action>) {
        if self.version == Some(self.members.version()) {
            return;
        }
        self.version = Some(self.members.version());
        self.changed = now;
        let before = (self.parent, std::mem::take(&mut self.neighbours));
        self.parent = self.members.parent(self.members.local_id());
        let children = self.members.children();
        // One that reports here by its own view is heard until it does not any more.
        let adopted =
            |n: &NodeId, c: &Child| now.saturating_sub(c.at) < 2 * PERIOD_MS && self.members.is_present(*n);
        self.children.retain(|n, c| children.contains(n) || adopted(n, c));
        for child in children {
            self.children.entry(child).or_insert(Child { at: now, ..Child::default() });
        }
        self.neighbours = self.parent.into_iter().chain(self.children.keys().copied()).collect();
        let met = self.neighbours.iter().filter(|n| !before.1.contains(n)).count();
        self.tokens += NEWS_AT_ONCE * met as f64;
        let neighbours = &self.neighbours;
        self.lines.retain(|n, _| neighbours.contains(n));
        let mut outputs = Vec::new();
        if let Some(parent) = self.parent.filter(|p| before.0.is_some_and(|b| b != *p)) {
            self.members.check_now(now, parent, &mut outputs);
            // And it hears at once what is counted here.
            self.up_at = self.up_at.min(now + self.rng.u64(20..120));
        }
        if self.parent.is_none() && before.0.is_some() {
            self.wave_at = now + self.rng.u64(20..SLOT_MS);
            self.wave.number = self.wave.number.wrapping_add(1);
        }
        if self.parent != before.0 {
            self.down_asked = 0;
            self.wave.at = now;
        }
        self.carry_out(now, outputs, None, out);
    }

    fn carry_out(&mut self, now: Ms, outputs: Vec<Output>, but: Option<NodeId>, out: &mut Vec<Action>) {
        for output in outputs {
            match output {
                Output::Send(to, message) => {
                    self.send(now, to, &Body::MembershipCheck(message), &[], out);
                }
                Output::Disseminate(node) => {
                    if !self.members.is_flapping(node) {
                        self.spread(now, &News::Member(node), but);
                    }
                }
                Output::Notify(node) => {
                    let known = self.members.state(node);
                    let items: Vec<Update> = known.map(|l| Update::Member(node, l)).into_iter().collect();
                    self.send(
                        now,
                        node,
                        &Body::MembershipCheck(Message::Ping(self.members.local_id())),
                        &items,
                        out,
                    );
                }
            }
        }
    }

    /// Writes and sends; says how many of the items went along.
    fn send(&mut self, now: Ms, to: NodeId, body: &Body, items: &[Update], out: &mut Vec<Action>) -> usize {
        let state = self.members.local_state(now);
        self.number = self.number.wrapping_add(1);
        let head = Header { from: self.members.local_id(), state, number: self.number };
        let (bytes, written) = datagram::encode(&head, body, items);
        self.counts.sent += 1;
        out.push(Action::Send(to, bytes));
        written
    }

    /// News for all neighbours but the one it came from.
    fn spread(&mut self, now: Ms, news: &News, but: Option<NodeId>) {
        for n in self.neighbours.iter().filter(|n| Some(**n) != but) {
            let line = self.lines.entry(*n).or_default();
            Gossip::wait(line, now, news.clone());
        }
    }

    fn wait(line: &mut Line, now: Ms, news: News) {
        if let News::KeyLocation(key) = news {
            line.idle.push_back(key);
            if line.idle.len() > IDLE {
                line.idle.pop_front();
            }
            return;
        }
        if line.waiting.is_empty() {
            line.since = now;
        }
        if line.waiting.len() < WAITING {
            line.waiting.insert(news);
        }
    }

    /// What news says now; none where it is forgotten or too old to be used.
    fn item(&self, now: Ms, news: &News) -> Option<Update> {
        let age = |made: Ms| now.saturating_sub(made);
        Some(match news {
            News::Member(node) => Update::Member(*node, self.members.state(*node)?),
            News::Verdict(server, node) => {
                let found = self.shared.verdict(*server, *node)?;
                Update::Verdict(*server, *node, found.value, age(found.created_at))
            }
            News::KeyLocation(key) => {
                let place = self.shared.location(*key)?;
                Update::KeyLocation(*key, place.value, age(place.created_at))
            }
            News::OperatorOrder(server) => {
                let said = self.shared.operator_order(server)?;
                Update::OperatorOrder(server.clone(), said.value, age(said.created_at))
            }
        })
    }

    /// What waits for a neighbour and may go along with a wave; it counts as told where so many of it fit.
    fn along(&self, now: Ms, to: NodeId) -> Vec<(Option<News>, Update)> {
        let Some(line) = self.lines.get(&to) else { return Vec::new() };
        let waiting = line.waiting.iter().filter_map(|n| Some((Some(n.clone()), self.item(now, n)?)));
        let idle = line.idle.iter().filter_map(|k| Some((None, self.item(now, &News::KeyLocation(*k))?)));
        waiting.take(20).chain(idle.take(20)).collect()
    }

    fn send_wave(&mut self, now: Ms, to: NodeId, body: &Body, out: &mut Vec<Action>) {
        let along = self.along(now, to);
        let items: Vec<Update> = along.iter().map(|a| a.1.clone()).collect();
        let written = self.send(now, to, body, &items, out);
        let lossy = self.lines.get(&to).map_or(0, |l| l.lossy);
        if lossy >= LOSSY {
            self.send(now, to, body, &items, out);
        }
        let spare = self.tokens >= 1.0;
        let Some(line) = self.lines.get_mut(&to) else { return };
        line.lossy = lossy.saturating_sub(1);
        for (news, _) in along.into_iter().take(written) {
            match news {
                // With a datagram to spare it goes again, to be acknowledged.
                Some(news) if !spare => {
                    line.waiting.remove(&news);
                }
                Some(_) => {}
                None => {
                    line.idle.pop_front();
                }
            }
        }
    }

    /// Presses news on neighbours, again until they have it.
    fn flush(&mut self, now: Ms, out: &mut Vec<Action>) {
        let due: Vec<NodeId> = (self.lines.iter())
            .filter(|(_, l)| match &l.out {
                Some(sent) => now >= sent.again_at,
                None => !l.waiting.is_empty() && now >= l.since + GATHER_MS,
            })
            .map(|(n, _)| *n)
            .collect();
        for to in due {
            let Some(line) = self.lines.get(&to) else { continue };
            if self.tokens < 1.0 {
                return;
            }
            let (id, news, tries) = match &line.out {
                Some(sent) if sent.tries >= RESENDS || !self.members.is_present(to) => {
                    // It is not there, or cannot answer: comparisons repair that.
                    self.lines.entry(to).or_default().out = None;
                    continue;
                }
                Some(sent) => (sent.id, sent.news.clone(), sent.tries + 1),
                None => {
                    self.news = self.news.wrapping_add(1);
                    (self.news, line.waiting.iter().take(24).cloned().collect(), 1)
                }
            };
            let known: Vec<(News, Update)> =
                news.into_iter().filter_map(|n| Some((n.clone(), self.item(now, &n)?))).collect();
            let items: Vec<Update> = known.iter().map(|k| k.1.clone()).collect();
            self.tokens -= 1.0;
            let written = self.send(now, to, &Body::Updates(id), &items, out);
            let news: Vec<News> = known.into_iter().take(written).map(|k| k.0).collect();
            let line = self.lines.entry(to).or_default();
            if tries == 1 {
                line.waiting.retain(|n| !news.contains(n));
                line.waiting.retain(|n| !matches!(n, News::KeyLocation(_)));
            }
            let again_at = now + RESEND_MS + 30 * Ms::from(tries);
            line.out = (!news.is_empty()).then_some(Out { id, news, again_at, tries });
            if line.out.is_none() {
                line.waiting.clear();
            }
        }
    }

    fn digests(&mut self) -> [u32; 2] {
        if self.digest.0 != self.members.version() {
            let classes = self.members.presence_codes(0, self.members.count());
            self.digest = (self.members.version(), crc32fast::hash(&classes));
        }
        [self.digest.1, self.shared.digest()]
    }

    /// How far below the root this node is.
    fn level(&self) -> u8 {
        if self.parent.is_none() { 0 } else { self.wave.depth.max(1) }
    }

    /// What is counted here and below, of what is young enough.
    fn counted(&self, now: Ms) -> TenantTotals {
        let mut all = TenantTotals { tenants: self.own.clone(), counted: 1, age: 0 };
        for child in self.children.values().filter(|c| c.totals.counted > 0) {
            let age = child.totals.age + now.saturating_sub(child.at);
            // By the time that all others have used it, it must be young enough still: the oldest part of a total
            // is what its age is, and each level above may miss a wave.
            if age + PERIOD_MS * (2 + Ms::from(self.level())) <= self.bounds.limits_ms {
                all.add(&TenantTotals { age, ..child.totals.clone() });
            }
        }
        all.trim();
        all
    }

    fn report(&mut self, now: Ms, out: &mut Vec<Action>) {
        let Some(parent) = self.parent else { return };
        let body =
            Body::TotalsUp { wave: self.wave.number, totals: self.counted(now), digests: self.digests() };
        self.send_wave(now, parent, &body, out);
    }

    fn pass_on(&mut self, now: Ms, to: &[NodeId], out: &mut Vec<Action>) {
        let Some((totals, made)) = self.total.clone() else { return };
        let totals = TenantTotals { age: now.saturating_sub(made), ..totals };
        let (root, wave, depth) = (self.wave.root, self.wave.number, self.wave.depth);
        let body = Body::TotalsDown { root, wave, depth, totals, digests: self.digests() };
        for n in to {
            self.send_wave(now, *n, &body, out);
        }
    }

    fn child_nodes(&self) -> Vec<NodeId> {
        self.children.keys().copied().filter(|n| self.members.is_present(*n)).collect()
    }

    fn waves(&mut self, now: Ms, out: &mut Vec<Action>) {
        let due = if self.parent.is_none() { self.wave_at } else { self.up_at };
        // Children that have not reported for this wave are asked to.
        if now + SLOT_MS >= due && !self.children.is_empty() {
            let since = due.saturating_sub(SLOT_MS);
            let late: Vec<NodeId> = (self.children.iter())
                .filter(|(n, c)| {
                    let overdue = AGAIN_MS.get(c.asked).is_some_and(|ms| now >= since + ms);
                    overdue && c.at + PERIOD_MS / 2 < due && self.members.is_present(**n)
                })
                .map(|(n, _)| *n)
                .collect();
            for n in late {
                if let Some(child) = self.children.get_mut(&n) {
                    child.asked += 1;
                }
                self.send(now, n, &Body::Resend { up: true, wave: self.wave.number }, &[], out);
            }
        }
        if self.parent.is_none() {
            if now >= self.wave_at {
                self.wave_at = (self.wave_at + PERIOD_MS).max(now + PERIOD_MS / 2);
                let own = self.members.local_state(now).incarnation;
                let number = self.wave.number.wrapping_add(1);
                self.wave = Wave { root: (self.members.local_id(), own), number, depth: 0, at: now };
                let totals = self.counted(now);
                self.total = Some((totals.clone(), now.saturating_sub(totals.age)));
                self.children.values_mut().for_each(|c| c.asked = 0);
                let children = self.child_nodes();
                self.pass_on(now, &children, out);
            }
            return;
        }
        if now >= self.up_at {
            self.up_at = now + PERIOD_MS;
            self.children.values_mut().for_each(|c| c.asked = 0);
            self.report(now, out);
        }
        let expected =
            self.wave.at + PERIOD_MS + AGAIN_LEVEL_MS * Ms::from(self.wave.depth.saturating_sub(1));
        if AGAIN_MS.get(self.down_asked).is_some_and(|ms| now >= expected + ms)
            && let Some(parent) = self.parent
        {
            self.down_asked += 1;
            self.send(now, parent, &Body::Resend { up: false, wave: self.wave.number }, &[], out);
        }
        if now >= self.wave.at + 2 * PERIOD_MS {
            // None came: this one counts as missed, and the next is waited for.
            self.wave.at += PERIOD_MS;
            self.down_asked = 0;
        }
    }

    fn heard(&mut self, now: Ms, from: NodeId, bytes: &[u8], out: &mut Vec<Action>) {
        let rejected = &mut self.counts.rejected;
        let (head, body, items) = match datagram::decode(bytes) {
            Ok(read) => read,
            Err(DatagramError::Version(_)) => return rejected.version += 1,
            Err(_) => return rejected.corrupt += 1,
        };
        if head.from != from || from == self.members.local_id() {
            return rejected.wrong_sender += 1;
        }
        let Some(seen) = self.seen.get_mut(usize::from(from)) else { return rejected.wrong_sender += 1 };
        let known = self.members.state(from).map_or(0, |l| l.incarnation);
        if seen.incarnation > known {
            // Its numbers were believed by mistake, or it went back to what the others know.
            *seen = Seen::default();
        }
        if !seen.fresh(head.state.incarnation, head.number) {
            rejected.replayed += 1;
            if self.members.state(from).is_some_and(|known| head.state < known) {
                // Should it be a start with lower numbers, it hears of that.
                let item = self.members.state(from).map(|l| Update::Member(from, l));
                let items: Vec<Update> = item.into_iter().collect();
                self.send(
                    now,
                    from,
                    &Body::MembershipCheck(Message::Ping(self.members.local_id())),
                    &items,
                    out,
                );
            }
            return;
        }
        self.counts.received += 1;
        let was = self.members.state(from).map(|l| l.status);
        let mut outputs = Vec::new();
        self.members.heard_from(now, from, head.state, &mut outputs);
        self.carry_out(now, outputs, Some(from), out);
        for item in items {
            self.learn(now, from, item, out);
        }
        if was == Some(Status::Dead) && self.members.is_present(from) {
            // Back from beyond a cut, perhaps with others: both compare whom they know.
            self.compare(now, from, out);
        }
        self.settle(now, out);
        self.take(now, from, body, out);
    }

    fn learn(&mut self, now: Ms, from: NodeId, item: Update, out: &mut Vec<Action>) {
        match item {
            Update::Member(node, state) => {
                let (draw, mut outputs) = (self.rng.u64(..), Vec::new());
                let news = self.members.apply_update(now, node, state, draw, &mut outputs);
                self.carry_out(now, outputs, Some(from), out);
                let known = self.members.state(node);
                if !news
                    && known
                        .is_some_and(|k| k > state && k.status.is_present() != state.status.is_present())
                {
                    // The teller is behind.
                    let line = self.lines.entry(from).or_default();
                    Gossip::wait(line, now, News::Member(node));
                }
            }
            Update::Verdict(server, node, finding, age) => {
                let made = now.saturating_sub(age);
                if node == self.members.local_id() || usize::from(node) >= self.members.count() {
                    return;
                }
                if self.shared.merge_verdict(server, node, finding, made) {
                    self.spread(now, &News::Verdict(server, node), Some(from));
                    if age <= self.bounds.verdicts_ms {
                        let Verdict { start, failing, .. } = finding;
                        out.push(Action::Verdict { server, start, node, failing, age });
                    }
                }
            }
            Update::KeyLocation(key, place, age) => {
                let young = age <= self.bounds.affinity_ms;
                if young && self.shared.merge_location(key, place, now.saturating_sub(age)) {
                    self.spread(now, &News::KeyLocation(key), Some(from));
                    out.push(Action::KeyLocation { key, server: place.server, age });
                }
            }
            Update::OperatorOrder(server, word, age) => {
                if self.shared.merge_order(&server, word, now.saturating_sub(age)) {
                    self.spread(now, &News::OperatorOrder(server.clone()), Some(from));
                    out.push(Action::OperatorOrder {
                        subject: server,
                        cordoned: word.cordoned,
                        for_s: word.for_s,
                        age,
                    });
                } else if self.shared.operator_order(&server).is_some_and(|known| known.value > word) {
                    // The teller is behind.
                    let line = self.lines.entry(from).or_default();
                    Gossip::wait(line, now, News::OperatorOrder(server));
                }
            }
        }
    }

    fn compare(&mut self, now: Ms, with: NodeId, out: &mut Vec<Action>) {
        let count = self.members.count();
        let first =
            if count > MAX_COMPARED_MEMBERS { self.rng.usize(..=count - MAX_COMPARED_MEMBERS) } else { 0 };
        let first = NodeId::try_from(first).unwrap_or(0);
        let presence_codes = self.members.presence_codes(first, MAX_COMPARED_MEMBERS);
        let orders_digest = self.shared.digest();
        self.send(now, with, &Body::Comparison { first, presence_codes, orders_digest }, &[], out);
    }

    fn take(&mut self, now: Ms, from: NodeId, body: Body, out: &mut Vec<Action>) {
        match body {
            Body::TotalsUp { mut totals, .. } => {
                totals.trim();
                if Some(from) == self.parent || !self.members.is_present(from) {
                    return;
                }
                let new = !self.children.contains_key(&from);
                let child = self.children.entry(from).or_default();
                *child = Child { totals, at: now, asked: child.asked };
                if new {
                    // By its view it reports here: it hears what goes down, too.
                    self.neighbours.push(from);
                }
            }
            Body::TotalsDown { root, wave, depth, mut totals, digests } => {
                totals.trim();
                self.down(
                    now,
                    from,
                    Wave { root, number: wave, depth: depth.saturating_add(1), at: now },
                    totals,
                    out,
                );
                let own = self.digests();
                self.unlike = if digests == own { 0 } else { self.unlike + 1 };
                let settled = now.saturating_sub(self.changed) > UNDER_WAY_MS;
                if self.unlike >= if settled { 1 } else { 2 } {
                    self.unlike = 0;
                    self.compare(now, from, out);
                    if digests[1] != own[1] {
                        self.tell_words(now, from, out);
                    }
                }
            }
            Body::Updates(id) => {
                self.send(now, from, &Body::Ack(id), &[], out);
            }
            Body::Ack(id) => {
                if let Some(line) = self.lines.get_mut(&from)
                    && line.out.as_ref().is_some_and(|o| o.id == id)
                {
                    line.out = None;
                    line.since = now.saturating_sub(GATHER_MS);
                }
            }
            Body::Resend { up: true, .. } => {
                if Some(from) == self.parent {
                    self.lost(from);
                    self.report(now, out);
                }
            }
            Body::Resend { up: false, wave } => {
                if wave != self.wave.number && now.saturating_sub(self.wave.at) < PERIOD_MS {
                    self.lost(from);
                    self.pass_on(now, &[from], out);
                }
            }
            Body::MembershipCheck(message) => {
                let mut outputs = Vec::new();
                self.members.handle_message(now, from, message, &mut outputs);
                self.carry_out(now, outputs, Some(from), out);
            }
            Body::Comparison { first, presence_codes, orders_digest } => {
                self.compared(now, from, first, &presence_codes, orders_digest, out)
            }
        }
    }

    fn lost(&mut self, to: NodeId) {
        let line = self.lines.entry(to).or_default();
        line.lossy = (line.lossy + LOST).min(4 * LOSSY);
    }

    /// A wave from the root: taken and passed on if it is a newer one.
    fn down(&mut self, now: Ms, from: NodeId, wave: Wave, totals: TenantTotals, out: &mut Vec<Action>) {
        if self.parent.is_none() || wave.root.0 == self.members.local_id() {
            return;
        }
        let stale = now.saturating_sub(self.wave.at) > 2 * PERIOD_MS;
        let newer = if wave.root == self.wave.root {
            wave.number > self.wave.number || stale
        } else {
            Some(from) == self.parent || stale
        };
        if !newer {
            return;
        }
        self.wave = wave;
        self.down_asked = 0;
        self.up_at = now + PERIOD_MS - (SLOT_MS * Ms::from(wave.depth)).min(PERIOD_MS - SLOT_MS);
        self.total = Some((totals.clone(), now.saturating_sub(totals.age)));
        let children = self.child_nodes();
        self.pass_on(now, &children, out);
    }

    /// Another knows these statuses: it hears of those that are others here.
    fn compared(
        &mut self,
        now: Ms,
        from: NodeId,
        first: NodeId,
        presence_codes: &[u8],
        orders_digest: u32,
        out: &mut Vec<Action>,
    ) {
        let own = self.members.presence_codes(first, presence_codes.len());
        let unlike =
            own.iter().zip(presence_codes).zip(first..).filter(|((a, b), _)| a != b).map(|(_, n)| n);
        let known = unlike.filter_map(|n| Some((n, self.members.state(n)?)));
        // Of one that was never heard here there is nothing to tell but that it is gone.
        let (told, unheard): (Vec<_>, Vec<_>) =
            known.partition(|(_, l)| l.incarnation > 0 || !l.status.is_present());
        let mut items: Vec<Update> = told.into_iter().map(|(n, l)| Update::Member(n, l)).collect();
        if !unheard.is_empty() && self.tokens >= 1.0 {
            // The other one knows more of it, and says so when asked the same.
            self.tokens -= 1.0;
            self.compare(now, from, out);
        }
        if items.len() > DIFFERENCES {
            // The lowest have most below them; of the others some, by lot.
            if let Some(others) = items.get_mut(LOWEST..) {
                self.rng.shuffle(others);
            }
            items.truncate(DIFFERENCES);
        }
        self.press(now, from, &items, out);
        if orders_digest != self.shared.digest() {
            self.tell_words(now, from, out);
        }
    }

    fn tell_words(&mut self, now: Ms, to: NodeId, out: &mut Vec<Action>) {
        let all: Vec<String> = self.shared.orders().map(|w| w.0.to_owned()).collect();
        let items: Vec<Update> =
            all.into_iter().filter_map(|w| self.item(now, &News::OperatorOrder(w))).collect();
        self.press(now, to, &items, out);
    }

    /// Sends items at once, in as many datagrams as they need and the budget has.
    fn press(&mut self, now: Ms, to: NodeId, items: &[Update], out: &mut Vec<Action>) {
        let mut left = items;
        while !left.is_empty() && self.tokens >= 1.0 {
            self.tokens -= 1.0;
            self.news = self.news.wrapping_add(1);
            let written = self.send(now, to, &Body::Updates(self.news), left, out);
            left = left.get(written.max(1)..).unwrap_or_default();
        }
    }

    /// Ages of the verdicts and places that may be used now.
    pub fn ages(&self, now: Ms) -> (Vec<Ms>, Vec<Ms>) {
        self.shared.ages(now, self.bounds.verdicts_ms)
    }

    /// What this node says of itself.
    pub fn local_state(&mut self, now: Ms) -> MemberState {
        self.members.local_state(now)
    }
}
