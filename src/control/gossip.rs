//! Gossip between the nodes of a fleet, as one node takes part in it: waves of totals up and down a tree of
//! the members, updates pushed along its edges, and comparisons that repair losses. A state machine without
//! I/O or a clock: the caller passes in datagrams and ticks, and carries out the returned actions.
//!
//! A wave costs each node one datagram up and one down. The root begins one every [`PERIOD_MS`]. Each node
//! passes it on at once, and reports to its parent shortly before the next wave, a little after its own
//! children, so the root's totals are half a second old instead of one period per level. What is missing is
//! requested again within that half second.

use super::datagram::{self, Body, DatagramError, Header, MAX_COMPARED_MEMBERS, MAX_NAME_BYTES, Update};
use super::membership::{MemberState, Membership, Message, Ms, NodeId, Output, Status};
use super::shared_state::{OperatorOrder, SharedState, TenantTotals, Verdict};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Time between two waves.
pub const PERIOD_MS: Ms = 1250;
/// Time before the next wave at which a node reports, for each level that it is below the root.
const REPORT_SLOT_MS: Ms = 250;
/// Times after which a missing datagram of a wave is requested again.
const REREQUEST_MS: [Ms; 3] = [100, 160, 215];
/// Extra delay of these requests for each further level below the root: what a parent receives late reaches
/// its children without a request.
const REREQUEST_LEVEL_MS: Ms = 110;
/// A neighbour that was not heard for this long is checked.
const SILENT_MS: Ms = PERIOD_MS * 3 / 2;
/// Time for which updates are collected before they are sent.
const COLLECT_MS: Ms = 15;
/// Time after which unacknowledged updates are sent again, which grows by 30 ms each time, and the maximum
/// number of times that they are sent.
const RESEND_MS: Ms = 110;
const MAX_SENDS: u32 = 7;
/// Maximum number of datagrams with updates, and of responses to comparisons, that a node may send for each
/// neighbour: per second, and in a burst.
const UPDATE_DATAGRAMS_PER_S: f64 = 1.0;
const UPDATE_DATAGRAMS_BURST: f64 = 24.0;
/// Maximum number of updates queued for one neighbour; comparisons repair what is dropped.
const MAX_QUEUED_UPDATES: usize = 512;
/// Maximum number of key locations queued for a neighbour until a wave has space for them.
const MAX_QUEUED_LOCATIONS: usize = 64;
/// Time for which a silent member keeps its part of a divided quota: it may still serve on its side of a
/// network partition.
const QUOTA_HOLD_MS: Ms = 60_000;
/// Maximum number of differences sent in response to a comparison, and how many of them are the lowest
/// members.
const MAX_DIFFERENCES: usize = 80;
const MAX_LOWEST_DIFFERENCES: usize = 20;
/// Views that differ are compared at once if no status has changed here for this long, otherwise after the
/// second wave in a row that shows a difference.
const SETTLE_MS: Ms = 600;
/// A wave's datagram that was requested again raises the neighbour's loss score by the first number, and each
/// wave sent lowers it by one. From the second number on, waves are sent twice.
const LOSS_SCORE_STEP: u32 = 3;
const MIN_LOSSY_SCORE: u32 = 4;
/// Number of a member's latest datagrams that may arrive out of order.
const REPLAY_WINDOW: u32 = 64;

/// Maximum ages at which shared state is used, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MaxAges {
    /// Totals of tenants.
    pub limits_ms: Ms,
    /// Verdicts on servers.
    pub verdicts_ms: Ms,
    /// Locations of keys.
    pub affinity_ms: Ms,
}

/// Input of the state machine.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// Time has passed; expected about every 20 ms.
    Tick,
    /// A datagram has arrived from this member's address.
    Datagram(NodeId, &'a [u8]),
    /// Rates of the tenants at this node, in requests a second, by the tenant's short hash.
    TenantRates(&'a [(u32, f32)]),
    /// This node found that a server fails, or that it serves again.
    Verdict {
        /// The server's short ID.
        server: u32,
        /// Identifies the server's start.
        start: u32,
        /// True if the server fails.
        failing: bool,
    },
    /// This node sent a key to a server that is not one of the key's candidates.
    KeyLocation {
        /// The key's short hash.
        key: u32,
        /// The server's short ID.
        server: u32,
    },
    /// An operator gave this node an order for the whole fleet.
    OperatorOrder {
        /// A server's uid, or `zone:` and a zone's name.
        subject: &'a str,
        /// True if the server or zone is out of use.
        cordoned: bool,
        /// Duration of the order in seconds; 0 means until it is withdrawn.
        for_s: u32,
    },
    /// This node ends.
    Leave,
}

/// What the caller has to do or to take note of.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send(NodeId, Vec<u8>),
    /// Another node has found that a server fails, or that it serves again.
    Verdict {
        /// The server's short ID.
        server: u32,
        /// Identifies the server's start.
        start: u32,
        /// The node that found it.
        node: NodeId,
        /// True if the server fails.
        failing: bool,
        /// Age of the verdict in milliseconds.
        age: Ms,
    },
    /// Another node has located a key.
    KeyLocation {
        /// The key's short hash.
        key: u32,
        /// The server's short ID.
        server: u32,
        /// Age of the location in milliseconds.
        age: Ms,
    },
    /// An operator gave another node an order.
    OperatorOrder {
        /// A server's uid, or `zone:` and a zone's name.
        subject: String,
        /// The order and its version.
        order: OperatorOrder,
        /// Age of the order in milliseconds.
        age: Ms,
    },
}

/// Numbers of rejected datagrams, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RejectedDatagrams {
    /// Truncated, corrupt, or not a gossip datagram.
    pub corrupt: u64,
    /// Of an unsupported version.
    pub version: u64,
    /// Sent under another member's number.
    pub wrong_sender: u64,
    /// Received before, or from an earlier incarnation.
    pub replayed: u64,
}

/// Numbers of datagrams since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Datagrams accepted.
    pub received: u64,
    /// Datagrams rejected.
    pub rejected: RejectedDatagrams,
}

/// Key of an update; its content is looked up when it is sent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum UpdateKey {
    OperatorOrder(String),
    Member(NodeId),
    Verdict(u32, NodeId),
    KeyLocation(u32),
}

/// Updates that were sent to one neighbour in one datagram.
#[derive(Clone, Debug)]
struct SentBatch {
    id: u16,
    update_keys: Vec<UpdateKey>,
    resend_at: Ms,
    sends: u32,
}

/// Updates that wait to be sent to one neighbour.
#[derive(Clone, Debug, Default)]
struct Queue {
    pending: BTreeSet<UpdateKey>,
    pending_since: Ms,
    unacknowledged: Option<SentBatch>,
    locations: VecDeque<u32>,
    /// Loss score; rises with each datagram of a wave that the neighbour did not receive.
    loss_score: u32,
}

/// A node that reports to this one, and its latest totals.
#[derive(Clone, Debug, Default)]
struct Child {
    totals: TenantTotals,
    reported_at: Ms,
    /// Number of requests sent for the totals of the current wave.
    requests: usize,
}

/// Replay protection: the datagrams of one member that have arrived.
#[derive(Clone, Copy, Debug, Default)]
struct ReplayWindow {
    incarnation: u32,
    /// Highest sequence number received.
    highest: u32,
    /// Bit `n` is set if the datagram with the number `highest - n` has arrived.
    received: u64,
}

impl ReplayWindow {
    /// Returns true if the datagram has not arrived before and is not from an earlier incarnation.
    fn accept(&mut self, incarnation: u32, number: u32) -> bool {
        if incarnation != self.incarnation {
            let is_later = incarnation > self.incarnation;
            if is_later {
                *self = ReplayWindow { incarnation, highest: number, received: 1 };
            }
            return is_later;
        }
        if number > self.highest {
            let step = number - self.highest;
            self.received = if step < REPLAY_WINDOW { self.received << step | 1 } else { 1 };
            self.highest = number;
            return true;
        }
        let back = self.highest - number;
        let bit = 1_u64.checked_shl(back).unwrap_or(0);
        let is_new = bit != 0 && self.received & bit == 0;
        self.received |= bit;
        is_new
    }
}

/// The latest wave that this node has passed on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Wave {
    /// The root's number and incarnation.
    root: (NodeId, u32),
    number: u32,
    /// This node's distance from the root.
    depth: u8,
    received_at: Ms,
}

/// One node's part in the gossip.
#[derive(Debug)]
pub struct Gossip {
    max_ages: MaxAges,
    rng: fastrand::Rng,
    members: Membership,
    shared: SharedState,
    /// Rates of the tenants at this node.
    local_rates: Vec<(u32, f32)>,
    children: BTreeMap<NodeId, Child>,
    parent: Option<NodeId>,
    neighbours: Vec<NodeId>,
    /// Version of the membership for which the place in the tree was computed.
    membership_version: Option<u64>,
    wave: Wave,
    next_wave_at: Ms,
    next_report_at: Ms,
    /// Number of requests for the next wave sent to the parent.
    wave_requests: usize,
    /// Time at which a member's status last changed here: updates about it are still under way for a while.
    status_changed_at: Ms,
    digest_mismatches: u32,
    /// Totals of the fleet and the time at which they were created.
    fleet_totals: Option<(TenantTotals, Ms)>,
    queues: BTreeMap<NodeId, Queue>,
    /// Token bucket of datagrams with updates.
    update_tokens: f64,
    ticked_at: Ms,
    datagram_number: u32,
    batch_number: u16,
    verdict_number: u16,
    replay_windows: Vec<ReplayWindow>,
    /// This node has announced that it ends.
    has_left: bool,
    /// Version of the membership, and the digest of its presence codes.
    presence_digest: (u64, u32),
    counts: Counts,
}

impl Gossip {
    /// Creates the part of node `local_id` of `count` nodes. `incarnation` must be greater at each start; if
    /// it is not, the other nodes report the known one, and this node goes above it.
    pub fn new(
        now: Ms,
        local_id: NodeId,
        count: u16,
        incarnation: u32,
        max_ages: MaxAges,
        seed: u64,
    ) -> Gossip {
        let mut rng = fastrand::Rng::with_seed(seed);
        let members = Membership::new(now, local_id, count, incarnation);
        let first = now + rng.u64(..PERIOD_MS);
        Gossip {
            max_ages,
            replay_windows: vec![ReplayWindow::default(); members.count()],
            members,
            shared: SharedState::default(),
            local_rates: Vec::new(),
            children: BTreeMap::new(),
            parent: None,
            neighbours: Vec::new(),
            membership_version: None,
            wave: Wave { received_at: now, ..Wave::default() },
            next_wave_at: first,
            next_report_at: first,
            wave_requests: 0,
            status_changed_at: now,
            digest_mismatches: 0,
            fleet_totals: None,
            queues: BTreeMap::new(),
            // The first tick limits this to a full burst.
            update_tokens: f64::INFINITY,
            ticked_at: now,
            datagram_number: 0,
            batch_number: 0,
            verdict_number: 0,
            has_left: false,
            presence_digest: (u64::MAX, 0),
            counts: Counts::default(),
            rng,
        }
    }

    /// Takes new maximum ages from the settings.
    pub fn update_settings(&mut self, max_ages: MaxAges) {
        self.max_ages = max_ages;
    }

    /// Returns the membership.
    pub fn members(&self) -> &Membership {
        &self.members
    }

    /// Returns the shared state.
    pub fn shared(&self) -> &SharedState {
        &self.shared
    }

    /// Returns the numbers of datagrams since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the node that this node reports to; none at the root.
    pub fn parent(&self) -> Option<NodeId> {
        self.parent
    }

    /// Returns the totals of the fleet and their age, if they are recent enough to be used.
    pub fn totals(&self, now: Ms) -> Option<(&TenantTotals, Ms)> {
        let (totals, created_at) = self.fleet_totals.as_ref()?;
        let age = now.saturating_sub(*created_at);
        (age <= self.max_ages.limits_ms && totals.counted > 0).then_some((totals, age))
    }

    /// Returns the share of a tenant's requests, 0 to 1, that is within its quota of `quota` requests a
    /// second over the whole fleet; none if the totals are too old or do not include the tenant. Members that
    /// the totals leave out keep their part of the quota: they may still serve on their side of a network
    /// partition.
    pub fn share_within_quota(&self, now: Ms, tenant: u32, quota: f64) -> Option<f64> {
        let (totals, _) = self.totals(now)?;
        let rate = f64::from(totals.rate(tenant)?);
        let quota_holders =
            self.members.quota_holders(now, QUOTA_HOLD_MS).max(usize::from(totals.counted)).max(1);
        let counted_quota = quota * f64::from(totals.counted) / quota_holders as f64;
        (rate > 0.0 && quota > 0.0).then(|| (counted_quota / rate).min(1.0))
    }

    /// Handles one event at the time `now` and appends the actions to `out`.
    pub fn handle(&mut self, now: Ms, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::Datagram(from, bytes) => self.handle_datagram(now, from, bytes, out),
            Event::TenantRates(rates) => {
                self.local_rates = rates.iter().copied().filter(|r| r.1.is_finite() && r.1 > 0.0).collect();
                self.local_rates.sort_by_key(|r| r.0);
                self.local_rates.dedup_by_key(|r| r.0);
            }
            Event::Verdict { server, start, failing } => {
                self.verdict_number = self.verdict_number.wrapping_add(1);
                let own = self.members.local_state(now).incarnation;
                let verdict = Verdict { incarnation: own, number: self.verdict_number, start, failing };
                let node = self.members.local_id();
                if self.shared.merge_verdict(server, node, verdict, now) {
                    self.disseminate(now, &UpdateKey::Verdict(server, node), None);
                }
            }
            Event::KeyLocation { key, server } => {
                if self.shared.record_location(now, self.members.local_id(), key, server).is_some() {
                    self.disseminate(now, &UpdateKey::KeyLocation(key), None);
                }
            }
            Event::OperatorOrder { subject, cordoned, for_s } => {
                if !subject.is_empty() && subject.len() <= MAX_NAME_BYTES {
                    self.shared.record_order(now, self.members.local_id(), subject, cordoned, for_s);
                    self.disseminate(now, &UpdateKey::OperatorOrder(subject.to_owned()), None);
                }
            }
            Event::Leave => {
                let mut outputs = Vec::new();
                self.members.leave(now, &mut outputs);
                self.has_left = true;
                self.carry_out(now, outputs, None, out);
                // The process ends: updates are not collected any longer.
                self.send_queued(now + COLLECT_MS, out);
            }
        }
    }

    fn tick(&mut self, now: Ms, out: &mut Vec<Action>) {
        if self.has_left {
            return self.send_queued(now, out);
        }
        let seconds = now.saturating_sub(self.ticked_at) as f64 / 1000.0;
        let neighbours = self.neighbours.len().max(1) as f64;
        self.update_tokens = (self.update_tokens + seconds * UPDATE_DATAGRAMS_PER_S * neighbours)
            .min(UPDATE_DATAGRAMS_BURST * neighbours);
        self.ticked_at = now;
        self.update_tree(now, out);
        let mut outputs = Vec::new();
        let neighbours = std::mem::take(&mut self.neighbours);
        let rng = &mut self.rng;
        self.members.tick(now, &neighbours, SILENT_MS, &mut || rng.u64(..), &mut outputs);
        self.neighbours = neighbours;
        self.carry_out(now, outputs, None, out);
        self.tick_waves(now, out);
        self.send_queued(now, out);
        self.shared.expire(now, self.max_ages.verdicts_ms, self.max_ages.affinity_ms);
    }

    /// Recomputes this node's place in the tree if a member's status has changed.
    fn update_tree(&mut self, now: Ms, out: &mut Vec<Action>) {
        if self.membership_version == Some(self.members.version()) {
            return;
        }
        self.membership_version = Some(self.members.version());
        self.status_changed_at = now;
        let before = (self.parent, std::mem::take(&mut self.neighbours));
        self.parent = self.members.parent(self.members.local_id());
        let children = self.members.children();
        // A node that reports here by its own view of the tree stays a child until it stops reporting.
        let adopted = |n: &NodeId, c: &Child| {
            now.saturating_sub(c.reported_at) < 2 * PERIOD_MS && self.members.is_present(*n)
        };
        self.children.retain(|n, c| children.contains(n) || adopted(n, c));
        for child in children {
            self.children.entry(child).or_insert(Child { reported_at: now, ..Child::default() });
        }
        self.neighbours = self.parent.into_iter().chain(self.children.keys().copied()).collect();
        let new_neighbours = self.neighbours.iter().filter(|n| !before.1.contains(n)).count();
        self.update_tokens += UPDATE_DATAGRAMS_BURST * new_neighbours as f64;
        let neighbours = &self.neighbours;
        self.queues.retain(|n, _| neighbours.contains(n));
        let mut outputs = Vec::new();
        if let Some(parent) = self.parent.filter(|p| before.0.is_some_and(|b| b != *p)) {
            self.members.check_now(now, parent, &mut outputs);
            // The new parent gets this node's totals at once.
            self.next_report_at = self.next_report_at.min(now + self.rng.u64(20..120));
        }
        if self.parent.is_none() && before.0.is_some() {
            self.next_wave_at = now + self.rng.u64(20..REPORT_SLOT_MS);
            self.wave.number = self.wave.number.wrapping_add(1);
        }
        if self.parent != before.0 {
            self.wave_requests = 0;
            self.wave.received_at = now;
        }
        self.carry_out(now, outputs, None, out);
    }

    fn carry_out(
        &mut self,
        now: Ms,
        outputs: Vec<Output>,
        excluded: Option<NodeId>,
        out: &mut Vec<Action>,
    ) {
        for output in outputs {
            match output {
                Output::Send(to, message) => {
                    self.send(now, to, &Body::MembershipCheck(message), &[], out);
                }
                Output::Disseminate(node) => {
                    if !self.members.is_flapping(node) {
                        self.disseminate(now, &UpdateKey::Member(node), excluded);
                    }
                }
                Output::Notify(node) => {
                    let known = self.members.state(node);
                    let updates: Vec<Update> =
                        known.map(|state| Update::Member(node, state)).into_iter().collect();
                    self.send(
                        now,
                        node,
                        &Body::MembershipCheck(Message::Ping(self.members.local_id())),
                        &updates,
                        out,
                    );
                }
            }
        }
    }

    /// Encodes and sends a datagram. Returns the number of updates that fit.
    fn send(
        &mut self,
        now: Ms,
        to: NodeId,
        body: &Body,
        updates: &[Update],
        out: &mut Vec<Action>,
    ) -> usize {
        let state = self.members.local_state(now);
        self.datagram_number = self.datagram_number.wrapping_add(1);
        let header = Header { from: self.members.local_id(), state, number: self.datagram_number };
        let (bytes, written) = datagram::encode(&header, body, updates);
        self.counts.sent += 1;
        out.push(Action::Send(to, bytes));
        written
    }

    /// Queues an update for all neighbours but the one that it came from.
    fn disseminate(&mut self, now: Ms, update_key: &UpdateKey, excluded: Option<NodeId>) {
        for n in self.neighbours.iter().filter(|n| Some(**n) != excluded) {
            let queue = self.queues.entry(*n).or_default();
            Gossip::enqueue(queue, now, update_key.clone());
        }
    }

    fn enqueue(queue: &mut Queue, now: Ms, update_key: UpdateKey) {
        if let UpdateKey::KeyLocation(key) = update_key {
            queue.locations.push_back(key);
            if queue.locations.len() > MAX_QUEUED_LOCATIONS {
                queue.locations.pop_front();
            }
            return;
        }
        if queue.pending.is_empty() {
            queue.pending_since = now;
        }
        if queue.pending.len() < MAX_QUEUED_UPDATES {
            queue.pending.insert(update_key);
        }
    }

    /// Returns the current content of an update; none if it was dropped.
    fn current_update(&self, now: Ms, update_key: &UpdateKey) -> Option<Update> {
        let age = |created_at: Ms| now.saturating_sub(created_at);
        Some(match update_key {
            UpdateKey::Member(node) => Update::Member(*node, self.members.state(*node)?),
            UpdateKey::Verdict(server, node) => {
                let verdict = self.shared.verdict(*server, *node)?;
                Update::Verdict(*server, *node, verdict.value, age(verdict.created_at))
            }
            UpdateKey::KeyLocation(key) => {
                let location = self.shared.location(*key)?;
                Update::KeyLocation(*key, location.value, age(location.created_at))
            }
            UpdateKey::OperatorOrder(subject) => {
                let order = self.shared.operator_order(subject)?;
                Update::OperatorOrder(subject.clone(), order.value, age(order.created_at))
            }
        })
    }

    /// Returns the queued updates that may go along with a wave. Updates that fit count as sent.
    fn wave_updates(&self, now: Ms, to: NodeId) -> Vec<(Option<UpdateKey>, Update)> {
        let Some(queue) = self.queues.get(&to) else { return Vec::new() };
        let pending =
            queue.pending.iter().filter_map(|n| Some((Some(n.clone()), self.current_update(now, n)?)));
        let locations = queue
            .locations
            .iter()
            .filter_map(|k| Some((None, self.current_update(now, &UpdateKey::KeyLocation(*k))?)));
        pending.take(20).chain(locations.take(20)).collect()
    }

    fn send_wave(&mut self, now: Ms, to: NodeId, body: &Body, out: &mut Vec<Action>) {
        let candidates = self.wave_updates(now, to);
        let updates: Vec<Update> = candidates.iter().map(|a| a.1.clone()).collect();
        let written = self.send(now, to, body, &updates, out);
        let loss_score = self.queues.get(&to).map_or(0, |queue| queue.loss_score);
        if loss_score >= MIN_LOSSY_SCORE {
            self.send(now, to, body, &updates, out);
        }
        let spare = self.update_tokens >= 1.0;
        let Some(queue) = self.queues.get_mut(&to) else { return };
        queue.loss_score = loss_score.saturating_sub(1);
        for (update_key, _) in candidates.into_iter().take(written) {
            match update_key {
                Some(update_key) if !spare => {
                    queue.pending.remove(&update_key);
                }
                // The budget allows a further datagram: the update is sent again there, to be acknowledged.
                Some(_) => {}
                None => {
                    queue.locations.pop_front();
                }
            }
        }
    }

    /// Sends queued updates to neighbours until they are acknowledged.
    fn send_queued(&mut self, now: Ms, out: &mut Vec<Action>) {
        let due: Vec<NodeId> = (self.queues.iter())
            .filter(|(_, queue)| match &queue.unacknowledged {
                Some(sent) => now >= sent.resend_at,
                None => !queue.pending.is_empty() && now >= queue.pending_since + COLLECT_MS,
            })
            .map(|(n, _)| *n)
            .collect();
        for to in due {
            let Some(queue) = self.queues.get(&to) else { continue };
            if self.update_tokens < 1.0 {
                return;
            }
            let (id, update_keys, sends) = match &queue.unacknowledged {
                Some(sent) if sent.sends >= MAX_SENDS || !self.members.is_present(to) => {
                    // The neighbour is not present or cannot answer: comparisons repair the loss.
                    self.queues.entry(to).or_default().unacknowledged = None;
                    continue;
                }
                Some(sent) => (sent.id, sent.update_keys.clone(), sent.sends + 1),
                None => {
                    self.batch_number = self.batch_number.wrapping_add(1);
                    (self.batch_number, queue.pending.iter().take(24).cloned().collect(), 1)
                }
            };
            let known: Vec<(UpdateKey, Update)> = update_keys
                .into_iter()
                .filter_map(|n| Some((n.clone(), self.current_update(now, &n)?)))
                .collect();
            let updates: Vec<Update> = known.iter().map(|k| k.1.clone()).collect();
            self.update_tokens -= 1.0;
            let written = self.send(now, to, &Body::Updates(id), &updates, out);
            let update_keys: Vec<UpdateKey> = known.into_iter().take(written).map(|k| k.0).collect();
            let queue = self.queues.entry(to).or_default();
            if sends == 1 {
                queue.pending.retain(|n| !update_keys.contains(n));
                queue.pending.retain(|n| !matches!(n, UpdateKey::KeyLocation(_)));
            }
            let resend_at = now + RESEND_MS + 30 * Ms::from(sends);
            queue.unacknowledged =
                (!update_keys.is_empty()).then_some(SentBatch { id, update_keys, resend_at, sends });
            if queue.unacknowledged.is_none() {
                queue.pending.clear();
            }
        }
    }

    fn digests(&mut self) -> [u32; 2] {
        if self.presence_digest.0 != self.members.version() {
            let presence_codes = self.members.presence_codes(0, self.members.count());
            self.presence_digest = (self.members.version(), crc32fast::hash(&presence_codes));
        }
        [self.presence_digest.1, self.shared.digest()]
    }

    /// Returns this node's distance from the root.
    fn level(&self) -> u8 {
        if self.parent.is_none() { 0 } else { self.wave.depth.max(1) }
    }

    /// Returns the totals of this node and the nodes below it, as far as they are recent enough.
    fn subtree_totals(&self, now: Ms) -> TenantTotals {
        let mut all = TenantTotals { tenants: self.local_rates.clone(), counted: 1, age: 0 };
        for child in self.children.values().filter(|c| c.totals.counted > 0) {
            let age = child.totals.age + now.saturating_sub(child.reported_at);
            // The totals must still be recent enough when all nodes have used them. Their age is that of
            // their oldest part, and each level above may miss a wave.
            if age + PERIOD_MS * (2 + Ms::from(self.level())) <= self.max_ages.limits_ms {
                all.add(&TenantTotals { age, ..child.totals.clone() });
            }
        }
        all.trim();
        all
    }

    fn send_report(&mut self, now: Ms, out: &mut Vec<Action>) {
        let Some(parent) = self.parent else { return };
        let body = Body::TotalsUp {
            wave: self.wave.number,
            totals: self.subtree_totals(now),
            digests: self.digests(),
        };
        self.send_wave(now, parent, &body, out);
    }

    fn forward_totals(&mut self, now: Ms, to: &[NodeId], out: &mut Vec<Action>) {
        let Some((totals, created_at)) = self.fleet_totals.clone() else { return };
        let totals = TenantTotals { age: now.saturating_sub(created_at), ..totals };
        let (root, wave, depth) = (self.wave.root, self.wave.number, self.wave.depth);
        let body = Body::TotalsDown { root, wave, depth, totals, digests: self.digests() };
        for n in to {
            self.send_wave(now, *n, &body, out);
        }
    }

    fn present_children(&self) -> Vec<NodeId> {
        self.children.keys().copied().filter(|n| self.members.is_present(*n)).collect()
    }

    fn tick_waves(&mut self, now: Ms, out: &mut Vec<Action>) {
        let due = if self.parent.is_none() { self.next_wave_at } else { self.next_report_at };
        // Request the totals of children that have not reported for this wave.
        if now + REPORT_SLOT_MS >= due && !self.children.is_empty() {
            let since = due.saturating_sub(REPORT_SLOT_MS);
            let late: Vec<NodeId> = (self.children.iter())
                .filter(|(n, c)| {
                    let is_overdue = REREQUEST_MS.get(c.requests).is_some_and(|ms| now >= since + ms);
                    is_overdue && c.reported_at + PERIOD_MS / 2 < due && self.members.is_present(**n)
                })
                .map(|(n, _)| *n)
                .collect();
            for n in late {
                if let Some(child) = self.children.get_mut(&n) {
                    child.requests += 1;
                }
                self.send(now, n, &Body::Resend { up: true, wave: self.wave.number }, &[], out);
            }
        }
        if self.parent.is_none() {
            if now >= self.next_wave_at {
                self.next_wave_at = (self.next_wave_at + PERIOD_MS).max(now + PERIOD_MS / 2);
                let own = self.members.local_state(now).incarnation;
                let number = self.wave.number.wrapping_add(1);
                self.wave =
                    Wave { root: (self.members.local_id(), own), number, depth: 0, received_at: now };
                let totals = self.subtree_totals(now);
                self.fleet_totals = Some((totals.clone(), now.saturating_sub(totals.age)));
                self.children.values_mut().for_each(|c| c.requests = 0);
                let children = self.present_children();
                self.forward_totals(now, &children, out);
            }
            return;
        }
        if now >= self.next_report_at {
            self.next_report_at = now + PERIOD_MS;
            self.children.values_mut().for_each(|c| c.requests = 0);
            self.send_report(now, out);
        }
        let expected = self.wave.received_at
            + PERIOD_MS
            + REREQUEST_LEVEL_MS * Ms::from(self.wave.depth.saturating_sub(1));
        if REREQUEST_MS.get(self.wave_requests).is_some_and(|ms| now >= expected + ms)
            && let Some(parent) = self.parent
        {
            self.wave_requests += 1;
            self.send(now, parent, &Body::Resend { up: false, wave: self.wave.number }, &[], out);
        }
        if now >= self.wave.received_at + 2 * PERIOD_MS {
            // No wave came: count it as missed and wait for the next.
            self.wave.received_at += PERIOD_MS;
            self.wave_requests = 0;
        }
    }

    fn handle_datagram(&mut self, now: Ms, from: NodeId, bytes: &[u8], out: &mut Vec<Action>) {
        let rejected = &mut self.counts.rejected;
        let (header, body, updates) = match datagram::decode(bytes) {
            Ok(decoded) => decoded,
            Err(DatagramError::Version(_)) => return rejected.version += 1,
            Err(_) => return rejected.corrupt += 1,
        };
        if header.from != from || from == self.members.local_id() {
            return rejected.wrong_sender += 1;
        }
        let Some(window) = self.replay_windows.get_mut(usize::from(from)) else {
            return rejected.wrong_sender += 1;
        };
        let known = self.members.state(from).map_or(0, |state| state.incarnation);
        if window.incarnation > known {
            // The incarnation was accepted by mistake, or the member went back to the one that the other
            // nodes know.
            *window = ReplayWindow::default();
        }
        if !window.accept(header.state.incarnation, header.number) {
            rejected.replayed += 1;
            if self.members.state(from).is_some_and(|known| header.state < known) {
                // If the sender restarted with lower numbers, it learns the known ones from this.
                let update = self.members.state(from).map(|state| Update::Member(from, state));
                let updates: Vec<Update> = update.into_iter().collect();
                self.send(
                    now,
                    from,
                    &Body::MembershipCheck(Message::Ping(self.members.local_id())),
                    &updates,
                    out,
                );
            }
            return;
        }
        self.counts.received += 1;
        let previous_status = self.members.state(from).map(|state| state.status);
        let mut outputs = Vec::new();
        self.members.heard_from(now, from, header.state, &mut outputs);
        self.carry_out(now, outputs, Some(from), out);
        for update in updates {
            self.apply_update(now, from, update, out);
        }
        if previous_status == Some(Status::Dead) && self.members.is_present(from) {
            // The member returns after a network partition, perhaps with others: compare both views of the
            // membership.
            self.send_comparison(now, from, out);
        }
        self.update_tree(now, out);
        self.handle_body(now, from, body, out);
    }

    fn apply_update(&mut self, now: Ms, from: NodeId, update: Update, out: &mut Vec<Action>) {
        match update {
            Update::Member(node, state) => {
                let (draw, mut outputs) = (self.rng.u64(..), Vec::new());
                let is_new = self.members.apply_update(now, node, state, draw, &mut outputs);
                self.carry_out(now, outputs, Some(from), out);
                let known = self.members.state(node);
                if !is_new
                    && known
                        .is_some_and(|k| k > state && k.status.is_present() != state.status.is_present())
                {
                    // The sender's view is outdated.
                    let queue = self.queues.entry(from).or_default();
                    Gossip::enqueue(queue, now, UpdateKey::Member(node));
                }
            }
            Update::Verdict(server, node, verdict, age) => {
                let created_at = now.saturating_sub(age);
                if node == self.members.local_id() || usize::from(node) >= self.members.count() {
                    return;
                }
                if self.shared.merge_verdict(server, node, verdict, created_at) {
                    self.disseminate(now, &UpdateKey::Verdict(server, node), Some(from));
                    if age <= self.max_ages.verdicts_ms {
                        let Verdict { start, failing, .. } = verdict;
                        out.push(Action::Verdict { server, start, node, failing, age });
                    }
                }
            }
            Update::KeyLocation(key, location, age) => {
                let is_recent = age <= self.max_ages.affinity_ms;
                if is_recent && self.shared.merge_location(key, location, now.saturating_sub(age)) {
                    self.disseminate(now, &UpdateKey::KeyLocation(key), Some(from));
                    out.push(Action::KeyLocation { key, server: location.server, age });
                }
            }
            Update::OperatorOrder(subject, order, age) => {
                let (local_id, created_at) = (self.members.local_id(), now.saturating_sub(age));
                if self.shared.renew_later_order(local_id, &subject, order, created_at) {
                    // The sender and whoever has heard it must take this node's order for the later one.
                    self.disseminate(now, &UpdateKey::OperatorOrder(subject), None);
                } else if self.shared.merge_order(&subject, order, created_at) {
                    self.disseminate(now, &UpdateKey::OperatorOrder(subject.clone()), Some(from));
                    out.push(Action::OperatorOrder { subject, order, age });
                } else if self.shared.operator_order(&subject).is_some_and(|known| known.value > order) {
                    // The sender's view is outdated.
                    let queue = self.queues.entry(from).or_default();
                    Gossip::enqueue(queue, now, UpdateKey::OperatorOrder(subject));
                }
            }
        }
    }

    fn send_comparison(&mut self, now: Ms, to: NodeId, out: &mut Vec<Action>) {
        let count = self.members.count();
        let first =
            if count > MAX_COMPARED_MEMBERS { self.rng.usize(..=count - MAX_COMPARED_MEMBERS) } else { 0 };
        let first = NodeId::try_from(first).unwrap_or(0);
        let presence_codes = self.members.presence_codes(first, MAX_COMPARED_MEMBERS);
        let orders_digest = self.shared.digest();
        self.send(now, to, &Body::Comparison { first, presence_codes, orders_digest }, &[], out);
    }

    fn handle_body(&mut self, now: Ms, from: NodeId, body: Body, out: &mut Vec<Action>) {
        match body {
            Body::TotalsUp { mut totals, .. } => {
                totals.trim();
                if Some(from) == self.parent || !self.members.is_present(from) {
                    return;
                }
                let is_new_child = !self.children.contains_key(&from);
                let child = self.children.entry(from).or_default();
                *child = Child { totals, reported_at: now, requests: child.requests };
                if is_new_child {
                    // By its own view of the tree the sender reports here, so it gets the waves, too.
                    self.neighbours.push(from);
                }
            }
            Body::TotalsDown { root, wave, depth, mut totals, digests } => {
                totals.trim();
                self.handle_totals_down(
                    now,
                    from,
                    Wave { root, number: wave, depth: depth.saturating_add(1), received_at: now },
                    totals,
                    out,
                );
                let own = self.digests();
                self.digest_mismatches = if digests == own { 0 } else { self.digest_mismatches + 1 };
                let is_settled = now.saturating_sub(self.status_changed_at) > SETTLE_MS;
                if self.digest_mismatches >= if is_settled { 1 } else { 2 } {
                    self.digest_mismatches = 0;
                    self.send_comparison(now, from, out);
                    if digests[1] != own[1] {
                        self.send_orders(now, from, out);
                    }
                }
            }
            Body::Updates(id) => {
                self.send(now, from, &Body::Ack(id), &[], out);
            }
            Body::Ack(id) => {
                if let Some(queue) = self.queues.get_mut(&from)
                    && queue.unacknowledged.as_ref().is_some_and(|o| o.id == id)
                {
                    queue.unacknowledged = None;
                    queue.pending_since = now.saturating_sub(COLLECT_MS);
                }
            }
            Body::Resend { up: true, .. } => {
                if Some(from) == self.parent {
                    self.record_loss(from);
                    self.send_report(now, out);
                }
            }
            Body::Resend { up: false, wave } => {
                if wave != self.wave.number && now.saturating_sub(self.wave.received_at) < PERIOD_MS {
                    self.record_loss(from);
                    self.forward_totals(now, &[from], out);
                }
            }
            Body::MembershipCheck(message) => {
                let mut outputs = Vec::new();
                self.members.handle_message(now, from, message, &mut outputs);
                self.carry_out(now, outputs, Some(from), out);
            }
            Body::Comparison { first, presence_codes, orders_digest } => {
                self.handle_comparison(now, from, first, &presence_codes, orders_digest, out)
            }
        }
    }

    fn record_loss(&mut self, to: NodeId) {
        let queue = self.queues.entry(to).or_default();
        queue.loss_score = (queue.loss_score + LOSS_SCORE_STEP).min(4 * MIN_LOSSY_SCORE);
    }

    /// Handles a wave from the root: accepts it and passes it on if it is newer.
    fn handle_totals_down(
        &mut self,
        now: Ms,
        from: NodeId,
        wave: Wave,
        totals: TenantTotals,
        out: &mut Vec<Action>,
    ) {
        if self.parent.is_none() || wave.root.0 == self.members.local_id() {
            return;
        }
        let is_stale = now.saturating_sub(self.wave.received_at) > 2 * PERIOD_MS;
        let is_newer = if wave.root == self.wave.root {
            wave.number > self.wave.number || is_stale
        } else {
            Some(from) == self.parent || is_stale
        };
        if !is_newer {
            return;
        }
        self.wave = wave;
        self.wave_requests = 0;
        self.next_report_at =
            now + PERIOD_MS - (REPORT_SLOT_MS * Ms::from(wave.depth)).min(PERIOD_MS - REPORT_SLOT_MS);
        self.fleet_totals = Some((totals.clone(), now.saturating_sub(totals.age)));
        let children = self.present_children();
        self.forward_totals(now, &children, out);
    }

    /// Handles another node's presence codes: sends it the states that differ here.
    fn handle_comparison(
        &mut self,
        now: Ms,
        from: NodeId,
        first: NodeId,
        presence_codes: &[u8],
        orders_digest: u32,
        out: &mut Vec<Action>,
    ) {
        let own = self.members.presence_codes(first, presence_codes.len());
        let differing =
            own.iter().zip(presence_codes).zip(first..).filter(|((a, b), _)| a != b).map(|(_, n)| n);
        let known = differing.filter_map(|n| Some((n, self.members.state(n)?)));
        // Of a member that was never heard here, only the status dead is sent.
        let (heard, unheard): (Vec<_>, Vec<_>) =
            known.partition(|(_, state)| state.incarnation > 0 || !state.status.is_present());
        let mut updates: Vec<Update> =
            heard.into_iter().map(|(node, state)| Update::Member(node, state)).collect();
        if !unheard.is_empty() && self.update_tokens >= 1.0 {
            // The other node knows more about the member and sends it in response to a comparison.
            self.update_tokens -= 1.0;
            self.send_comparison(now, from, out);
        }
        if updates.len() > MAX_DIFFERENCES {
            // The lowest members have the most nodes below them; of the others a random part is sent.
            if let Some(others) = updates.get_mut(MAX_LOWEST_DIFFERENCES..) {
                self.rng.shuffle(others);
            }
            updates.truncate(MAX_DIFFERENCES);
        }
        self.send_now(now, from, &updates, out);
        if orders_digest != self.shared.digest() {
            self.send_orders(now, from, out);
        }
    }

    fn send_orders(&mut self, now: Ms, to: NodeId, out: &mut Vec<Action>) {
        let all: Vec<String> = self.shared.orders().map(|order| order.0.to_owned()).collect();
        let updates: Vec<Update> = all
            .into_iter()
            .filter_map(|subject| self.current_update(now, &UpdateKey::OperatorOrder(subject)))
            .collect();
        self.send_now(now, to, &updates, out);
    }

    /// Sends updates at once, in as many datagrams as they need and the budget allows.
    fn send_now(&mut self, now: Ms, to: NodeId, updates: &[Update], out: &mut Vec<Action>) {
        let mut remaining = updates;
        while !remaining.is_empty() && self.update_tokens >= 1.0 {
            self.update_tokens -= 1.0;
            self.batch_number = self.batch_number.wrapping_add(1);
            let written = self.send(now, to, &Body::Updates(self.batch_number), remaining, out);
            remaining = remaining.get(written.max(1)..).unwrap_or_default();
        }
    }

    /// Returns the ages of the verdicts and key locations that may be used now, in milliseconds.
    pub fn ages(&self, now: Ms) -> (Vec<Ms>, Vec<Ms>) {
        self.shared.ages(now, self.max_ages.verdicts_ms)
    }

    /// Returns the state that this node reports of itself.
    pub fn local_state(&mut self, now: Ms) -> MemberState {
        self.members.local_state(now)
    }
}
