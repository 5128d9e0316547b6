//! Membership of the fleet: which nodes are alive, suspected, dead or have left. A state machine without I/O
//! or a clock, after the published SWIM and Lifeguard protocols. A neighbour that falls silent is pinged,
//! then pinged through other nodes, then suspected. A suspicion can be refuted by its subject or by any node
//! that has heard it since, and a node that was late itself gives the others more time. Unlike SWIM, a node
//! does not probe randomly drawn members, which would cost two datagrams a second; it watches its neighbours
//! in the [`tree`](Membership::parent), which send to it anyway.
//!
//! What is known of a member is a [`MemberState`]. Of two states the greater holds, so updates may arrive in
//! any order, repeatedly or late.

use std::collections::BTreeMap;

/// A node's number in the platform's list of peers.
pub type NodeId = u16;
/// Milliseconds of the host's monotonic clock.
pub type Ms = u64;

/// Length of a heartbeat. A node's heartbeat counter rises while it lives, which makes suspicions outdated.
const HEARTBEAT_MS: Ms = 250;
/// Time to wait for an acknowledgement. The first ping is direct, the next ones also go through other nodes,
/// and the last one gets more time.
const ACK_TIMEOUT_MS: Ms = 160;
const LAST_ACK_TIMEOUT_MS: Ms = 300;
const MAX_PINGS: u32 = 4;
/// Other nodes that are asked to ping, for each repeated ping.
const PING_HELPERS: usize = 3;
/// Time in which a suspicion can be refuted, and the random part added to it, so that nodes do not all
/// declare the member dead at once.
const SUSPICION_MS: Ms = 2000;
const SUSPICION_SPREAD_MS: Ms = 500;
/// Minimum interval at which a node pings dead members.
const DEAD_PING_INTERVAL_MS: Ms = 500;
/// If no tick came for this long, this node itself was stalled.
const STALL_MS: Ms = 300;
/// Maximum of the node's lateness score, and the time after which the score falls by one.
const MAX_LATENESS: u32 = 4;
const LATENESS_DECAY_MS: Ms = 2000;
/// Furthest that other nodes' updates may raise a member's incarnation or heartbeat beyond the known one.
const MAX_INCARNATION_STEP: u32 = 1000;
const MAX_HEARTBEAT_STEP: u32 = 1 << 16;
/// Incarnations are below this: they are counts of starts, or seconds since 1970.
pub const INCARNATION_LIMIT: u32 = 1 << 31;
/// A member whose status changed more often than this flaps; the count falls by one in each decay time.
/// Updates on a flapping member are not pushed to other nodes.
const MAX_FLAPS: u32 = 6;
const FLAP_DECAY_MS: Ms = 10_000;

/// Status of a member. Of two statuses with the same heartbeat the greater holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Status {
    /// The member is heard.
    Alive,
    /// Some node does not hear the member.
    Suspect,
    /// The suspicion was not refuted in time.
    Dead,
    /// The member announced that it ends.
    Left,
}

impl Status {
    /// All statuses, in their order.
    pub const ALL: [Status; 4] = [Status::Alive, Status::Suspect, Status::Dead, Status::Left];

    /// True if the member counts as present.
    pub fn is_present(self) -> bool {
        matches!(self, Status::Alive | Status::Suspect)
    }
}

/// What is known of a member. The greater of two states is the newer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberState {
    /// Number of the member's start; 0 if the member was never heard.
    pub incarnation: u32,
    /// Heartbeat counter; rises while the member lives.
    pub heartbeat: u32,
    /// Status of the member.
    pub status: Status,
}

/// A member as this node knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Member {
    state: MemberState,
    /// Time at which the member was last heard directly, or the node started.
    heard_at: Ms,
    /// Time at which the status last changed here.
    changed_at: Ms,
    /// Time until which a suspicion may be refuted.
    refutable_until: Ms,
    /// This node raised the suspicion.
    is_suspected_here: bool,
    /// Number of recent changes of the status, and the time at which this number last changed.
    flaps: u32,
    flapped_at: Ms,
}

/// An unanswered ping.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Check {
    deadline: Ms,
    pings: u32,
}

/// Messages between members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Message {
    /// Asks the receiver for an acknowledgement, on behalf of this node.
    Ping(NodeId),
    /// Asks the receiver to ping this node for the sender.
    PingRequest(NodeId),
    /// Reports the state of a member that was pinged.
    Ack {
        /// The pinged member.
        subject: NodeId,
        /// Its state, as it reported it itself.
        state: MemberState,
        /// The node that asked for the ping.
        requester: NodeId,
    },
}

/// What the caller has to do after an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send this message to the node.
    Send(NodeId, Message),
    /// Disseminate the state of this member.
    Disseminate(NodeId),
    /// Send this member the state that is known of it: the member is behind.
    Notify(NodeId),
}

/// All members, as one of them knows them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Membership {
    local_id: NodeId,
    started_at: Ms,
    /// Amount by which the own heartbeat was raised to refute suspicions.
    heartbeat_boost: u32,
    members: Vec<Member>,
    checks: BTreeMap<NodeId, Check>,
    /// Maximum number of children of a member in the tree.
    fan_out: usize,
    /// Score of this node's own delays, 0 to [`MAX_LATENESS`]. It rises when this node was stalled, suspected
    /// a member that was alive, or was suspected itself; the higher it is, the more time other members get.
    lateness: u32,
    lateness_changed_at: Ms,
    ticked_at: Ms,
    dead_pinged_at: Ms,
    version: u64,
}

/// Status of a member that is well.
const ALIVE: Status = Status::Alive;

impl Membership {
    /// Creates the membership of `count` nodes, all of which count as alive until found otherwise.
    pub fn new(now: Ms, local_id: NodeId, count: u16, incarnation: u32) -> Membership {
        let state = MemberState { incarnation: 0, heartbeat: 0, status: ALIVE };
        let unknown = Member {
            state,
            heard_at: now,
            changed_at: now,
            refutable_until: 0,
            is_suspected_here: false,
            flaps: 0,
            flapped_at: now,
        };
        let mut members = vec![unknown; usize::from(count.max(local_id.saturating_add(1)))];
        if let Some(me) = members.get_mut(usize::from(local_id)) {
            me.state.incarnation = incarnation.clamp(1, INCARNATION_LIMIT - 1);
        }
        let fan_out = (members.len() as f64).sqrt().ceil().max(4.0) as usize;
        Membership {
            local_id,
            started_at: now,
            heartbeat_boost: 0,
            members,
            checks: BTreeMap::new(),
            fan_out,
            lateness: 0,
            lateness_changed_at: now,
            ticked_at: now,
            dead_pinged_at: now,
            version: 0,
        }
    }

    /// Returns this node's number.
    pub fn local_id(&self) -> NodeId {
        self.local_id
    }

    /// Returns the number of members, whatever their status.
    pub fn count(&self) -> usize {
        self.members.len()
    }

    /// Returns a counter that rises whenever a member's status changes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the score of this node's own recent delays, 0 to 4.
    pub fn lateness(&self) -> u32 {
        self.lateness
    }

    fn member(&self, node: NodeId) -> Option<&Member> {
        self.members.get(usize::from(node))
    }

    /// Returns the state of a member; for this node, the state that it reports itself.
    pub fn state(&self, node: NodeId) -> Option<MemberState> {
        self.member(node).map(|m| m.state)
    }

    /// Updates and returns the state that this node reports of itself.
    pub fn local_state(&mut self, now: Ms) -> MemberState {
        let heartbeat =
            u32::try_from(now.saturating_sub(self.started_at) / HEARTBEAT_MS).unwrap_or(u32::MAX);
        let heartbeat = heartbeat.saturating_add(self.heartbeat_boost).max(1);
        let own = usize::from(self.local_id);
        let Some(me) = self.members.get_mut(own) else {
            return MemberState { incarnation: 1, heartbeat, status: ALIVE };
        };
        me.state.heartbeat = me.state.heartbeat.max(heartbeat);
        me.heard_at = now;
        me.state
    }

    /// True if the member counts as present.
    pub fn is_present(&self, node: NodeId) -> bool {
        self.member(node).is_some_and(|m| m.state.status.is_present())
    }

    fn is_alive(&self, node: usize) -> bool {
        self.members.get(node).is_some_and(|m| m.state.status == ALIVE)
    }

    /// True if the member has a place in the tree. Only suspicions that this node raised itself take the
    /// place away, not those of other nodes.
    fn is_in_tree(&self, node: usize) -> bool {
        self.members.get(node).is_some_and(|m| m.state.status.is_present() && !m.is_suspected_here)
    }

    /// True if the member's status changes too often for its updates to be pushed.
    pub fn is_flapping(&self, node: NodeId) -> bool {
        self.member(node).is_some_and(|m| m.flaps > MAX_FLAPS)
    }

    /// Returns the numbers of members that are alive, suspected, dead and left.
    pub fn counts(&self) -> [usize; 4] {
        let mut counts = [0; 4];
        for m in &self.members {
            if let Some(n) = counts.get_mut(m.state.status as usize) {
                *n += 1;
            }
        }
        counts
    }

    /// Returns the number of members that still have a part of a divided quota: members that are present;
    /// members that were never heard, whose build may not support gossip; and members that fell silent less
    /// than `hold` ago, which may still serve on their side of a network partition.
    pub fn quota_holders(&self, now: Ms, hold: Ms) -> usize {
        let holds_quota = |m: &&Member| match m.state.status {
            Status::Alive | Status::Suspect => true,
            Status::Dead => m.state.incarnation == 0 || now.saturating_sub(m.changed_at) < hold,
            Status::Left => false,
        };
        self.members.iter().filter(holds_quota).count()
    }

    /// Returns the node that `node` reports to: its nearest ancestor in the tree, a heap over the members'
    /// numbers, or, if no ancestor is in the tree, the lowest member that is. Returns none for the root.
    pub fn parent(&self, node: NodeId) -> Option<NodeId> {
        let mut position = usize::from(node);
        while position > 0 {
            position = (position - 1) / self.fan_out;
            if self.is_in_tree(position) {
                return u16::try_from(position).ok();
            }
        }
        let lowest = (0..self.members.len()).find(|n| self.is_in_tree(*n))?;
        u16::try_from(lowest).ok().filter(|n| *n < node)
    }

    /// Returns the nodes that report to this node.
    pub fn children(&self) -> Vec<NodeId> {
        let all = 0..u16::try_from(self.members.len()).unwrap_or(u16::MAX);
        all.filter(|n| *n != self.local_id && self.is_present(*n) && self.parent(*n) == Some(self.local_id))
            .collect()
    }

    /// Returns the presence codes of `count` members from `first` on: 0 present, 1 dead, 2 left.
    pub fn presence_codes(&self, first: NodeId, count: usize) -> Vec<u8> {
        let code = |m: &Member| match m.state.status {
            Status::Alive | Status::Suspect => 0,
            Status::Dead => 1,
            Status::Left => 2,
        };
        self.members.iter().skip(usize::from(first)).take(count).map(code).collect()
    }

    fn set_state(&mut self, now: Ms, node: NodeId, state: MemberState, draw: u64) {
        let Some(m) = self.members.get_mut(usize::from(node)) else { return };
        if m.state.status != state.status {
            m.changed_at = now;
            m.refutable_until =
                now + SUSPICION_MS * u64::from(2 + self.lateness) / 2 + draw % SUSPICION_SPREAD_MS;
            m.flaps += 1;
            m.flapped_at = now;
            self.version += 1;
            if m.is_suspected_here && state.status == ALIVE {
                // The suspicion was false: this node may hear less than others do.
                self.lateness = (self.lateness + 1).min(MAX_LATENESS);
                self.lateness_changed_at = now;
            }
            m.is_suspected_here = false;
        }
        m.state = state;
    }

    /// Handles the state that a member reported of itself.
    pub fn heard_from(&mut self, now: Ms, from: NodeId, state: MemberState, out: &mut Vec<Output>) {
        if from == self.local_id || state.incarnation == 0 || state.incarnation >= INCARNATION_LIMIT {
            return;
        }
        let Some(m) = self.members.get_mut(usize::from(from)) else { return };
        let (known, reported) = (m.state, state);
        if reported.incarnation < known.incarnation {
            // The member restarted with a lower incarnation, or this is an old datagram. In the first case
            // the member raises its incarnation; in the second the reply does no harm.
            out.push(Output::Notify(from));
            return;
        }
        if reported > known {
            self.set_state(now, from, reported, 0);
            // Hearing a member for the first time is not disseminated: all members count as alive from the
            // start.
            let has_restarted = known.incarnation != reported.incarnation && known.incarnation > 0;
            if known.status != reported.status || has_restarted {
                out.push(Output::Disseminate(from));
            }
        } else if known.status != ALIVE {
            // The state is not newer than the report against the member, which must learn of that report to
            // refute it.
            out.push(Output::Notify(from));
            return;
        }
        let Some(m) = self.members.get_mut(usize::from(from)) else { return };
        m.heard_at = now;
        self.checks.remove(&from);
    }

    /// Handles the state of a member that another node reported. Returns true if it changed the member's
    /// status or incarnation here. `draw` is a random number.
    pub fn apply_update(
        &mut self,
        now: Ms,
        node: NodeId,
        state: MemberState,
        draw: u64,
        out: &mut Vec<Output>,
    ) -> bool {
        if state.incarnation >= INCARNATION_LIMIT {
            return false;
        }
        if node == self.local_id {
            self.refute(now, state, out);
            return false;
        }
        let Some(known) = self.state(node) else { return false };
        let never_heard = known.incarnation == 0;
        let is_plausible = state.incarnation <= known.incarnation.saturating_add(MAX_INCARNATION_STEP)
            && (state.incarnation > known.incarnation
                || state.heartbeat <= known.heartbeat.saturating_add(MAX_HEARTBEAT_STEP));
        if !never_heard && !is_plausible {
            return false;
        }
        if state > known {
            self.set_state(now, node, state, draw);
            if state.status == ALIVE {
                self.checks.remove(&node);
            }
            let has_restarted = known.incarnation != state.incarnation && known.incarnation > 0;
            let is_new = known.status != state.status || has_restarted;
            if is_new {
                out.push(Output::Disseminate(node));
            }
            return is_new;
        }
        if known.status == ALIVE && state.status != ALIVE && state.status != Status::Left && state < known {
            // This node has heard the member since: the suspicion is outdated.
            out.push(Output::Disseminate(node));
        }
        false
    }

    /// Refutes another node's report that this node is not alive.
    fn refute(&mut self, now: Ms, reported: MemberState, out: &mut Vec<Output>) {
        let own = self.local_state(now);
        if reported <= own && reported.status == ALIVE {
            return;
        }
        if (reported.incarnation, reported.heartbeat) < (own.incarnation, own.heartbeat)
            && reported.status != Status::Left
        {
            out.push(Output::Disseminate(self.local_id));
            return;
        }
        let number = usize::from(self.local_id);
        if let Some(me) = self.members.get_mut(number) {
            let ahead =
                (reported.incarnation, reported.heartbeat) > (me.state.incarnation, me.state.heartbeat);
            if ahead || reported.status == Status::Left {
                // The report is about an earlier start with greater numbers.
                let above = reported.incarnation.max(me.state.incarnation).saturating_add(1);
                me.state.incarnation = above.min(INCARNATION_LIMIT - 1);
            } else {
                self.heartbeat_boost = self.heartbeat_boost.saturating_add(1);
                me.state.heartbeat = me.state.heartbeat.saturating_add(1);
            }
        }
        if reported.status == Status::Suspect {
            // Other nodes did not hear this node in time.
            self.lateness = (self.lateness + 1).min(MAX_LATENESS);
        }
        out.push(Output::Disseminate(self.local_id));
    }

    /// Marks this node as left, for all that it reports from now on.
    pub fn leave(&mut self, now: Ms, out: &mut Vec<Output>) {
        self.local_state(now);
        if let Some(me) = self.members.get_mut(usize::from(self.local_id)) {
            me.state.status = Status::Left;
        }
        out.push(Output::Disseminate(self.local_id));
    }

    /// Handles a message. The sender's own state was passed to [`heard_from`](Membership::heard_from) before.
    pub fn handle_message(&mut self, now: Ms, from: NodeId, message: Message, out: &mut Vec<Output>) {
        match message {
            Message::Ping(requester) => {
                let (subject, state) = (self.local_id, self.local_state(now));
                out.push(Output::Send(from, Message::Ack { subject, state, requester }));
            }
            Message::PingRequest(target) if target != self.local_id && target != from => {
                out.push(Output::Send(target, Message::Ping(from)));
            }
            Message::PingRequest(_) => {}
            Message::Ack { subject, state, requester } if requester == self.local_id => {
                if subject != from {
                    // The acknowledgement came through another node, so it is trusted only within the limits
                    // on incarnation and heartbeat.
                    self.apply_update(now, subject, state, 0, out);
                    if let Some(m) = self.members.get_mut(usize::from(subject))
                        && m.state == state
                    {
                        m.heard_at = now;
                        self.checks.remove(&subject);
                    }
                }
            }
            Message::Ack { subject, state, requester } if subject == from && requester != from => {
                out.push(Output::Send(requester, Message::Ack { subject, state, requester }));
            }
            Message::Ack { .. } => {}
        }
    }

    /// Advances the time. `watched` are this node's neighbours, which should have sent something within
    /// `silent`; `draw` returns random numbers.
    pub fn tick(
        &mut self,
        now: Ms,
        watched: &[NodeId],
        silent: Ms,
        draw: &mut dyn FnMut() -> u64,
        out: &mut Vec<Output>,
    ) {
        self.local_state(now);
        let stalled_ms = now.saturating_sub(self.ticked_at);
        self.ticked_at = now;
        if stalled_ms > STALL_MS {
            // Members were not heard because this node was stalled.
            self.lateness = (self.lateness + 1).min(MAX_LATENESS);
            self.lateness_changed_at = now;
            for m in &mut self.members {
                m.heard_at = (m.heard_at + stalled_ms).min(now);
                m.refutable_until += stalled_ms;
            }
            self.checks.values_mut().for_each(|c| c.deadline += stalled_ms);
        } else if now.saturating_sub(self.lateness_changed_at) > LATENESS_DECAY_MS {
            self.lateness = self.lateness.saturating_sub(1);
            self.lateness_changed_at = now;
        }
        for m in &mut self.members {
            if m.flaps > 0 && now.saturating_sub(m.flapped_at) > FLAP_DECAY_MS {
                m.flaps -= 1;
                m.flapped_at = now;
            }
        }
        self.check_neighbours(now, watched, silent, out);
        self.continue_checks(now, draw, out);
        for node in 0..u16::try_from(self.members.len()).unwrap_or(u16::MAX) {
            let Some(m) = self.member(node) else { break };
            if m.state.status == Status::Suspect && now >= m.refutable_until {
                let state = MemberState { status: Status::Dead, ..m.state };
                self.set_state(now, node, state, 0);
                out.push(Output::Disseminate(node));
            }
        }
        self.ping_dead(now, draw, out);
    }

    fn check_neighbours(&mut self, now: Ms, watched: &[NodeId], silent: Ms, out: &mut Vec<Output>) {
        let time_factor = Ms::from(1 + self.lateness);
        self.checks.retain(|node, _| watched.contains(node));
        for &node in watched {
            let is_silent = self.member(node).is_some_and(|m| {
                m.state.status == ALIVE && now.saturating_sub(m.heard_at) > silent * (1 + time_factor) / 2
            });
            if is_silent && !self.checks.contains_key(&node) {
                self.checks.insert(node, Check { deadline: now + ACK_TIMEOUT_MS * time_factor, pings: 1 });
                out.push(Output::Send(node, Message::Ping(self.local_id)));
            }
        }
    }

    /// Pings a new neighbour at once: it is not known when that node was last heard.
    pub fn check_now(&mut self, now: Ms, node: NodeId, out: &mut Vec<Output>) {
        let time_factor = Ms::from(1 + self.lateness);
        if let Some(m) = self.members.get_mut(usize::from(node)).filter(|m| m.state.status == ALIVE) {
            m.heard_at = m.heard_at.max(now.saturating_sub(1));
            let deadline = now + ACK_TIMEOUT_MS * time_factor;
            self.checks.entry(node).or_insert(Check { deadline, pings: 1 });
            out.push(Output::Send(node, Message::Ping(self.local_id)));
        }
    }

    fn continue_checks(&mut self, now: Ms, draw: &mut dyn FnMut() -> u64, out: &mut Vec<Output>) {
        let time_factor = Ms::from(1 + self.lateness);
        let overdue: Vec<NodeId> =
            self.checks.iter().filter(|(_, c)| now >= c.deadline).map(|(node, _)| *node).collect();
        for node in overdue {
            let Some(check) = self.checks.get_mut(&node) else { continue };
            if check.pings < MAX_PINGS {
                check.pings += 1;
                let last = check.pings == MAX_PINGS;
                check.deadline =
                    now + if last { LAST_ACK_TIMEOUT_MS } else { ACK_TIMEOUT_MS } * time_factor;
                out.push(Output::Send(node, Message::Ping(self.local_id)));
                for helper in self.choose_helpers(node, draw) {
                    out.push(Output::Send(helper, Message::PingRequest(node)));
                }
                continue;
            }
            self.checks.remove(&node);
            let Some(state) = self.state(node).filter(|state| state.status == ALIVE) else { continue };
            self.set_state(now, node, MemberState { status: Status::Suspect, ..state }, draw());
            if let Some(m) = self.members.get_mut(usize::from(node)) {
                m.is_suspected_here = true;
            }
            self.version += 1;
            out.push(Output::Disseminate(node));
        }
    }

    /// Draws a few other members that are alive.
    fn choose_helpers(&self, excluded: NodeId, draw: &mut dyn FnMut() -> u64) -> Vec<NodeId> {
        let is_eligible =
            |n: &NodeId| *n != self.local_id && *n != excluded && self.is_alive(usize::from(*n));
        let mut all: Vec<NodeId> =
            (0..u16::try_from(self.members.len()).unwrap_or(u16::MAX)).filter(is_eligible).collect();
        let mut chosen = Vec::new();
        while chosen.len() < PING_HELPERS && !all.is_empty() {
            let n = usize::try_from(draw() % all.len() as u64).unwrap_or(0);
            chosen.push(all.swap_remove(n));
        }
        chosen
    }

    /// Pings a dead member now and then, by which a partition heals. All nodes together send a few of these
    /// pings a second, whatever their number.
    fn ping_dead(&mut self, now: Ms, draw: &mut dyn FnMut() -> u64, out: &mut Vec<Output>) {
        if now.saturating_sub(self.dead_pinged_at) < DEAD_PING_INTERVAL_MS {
            return;
        }
        self.dead_pinged_at = now + draw() % 50;
        let [alive, suspected, dead, _] = self.counts();
        let alive = (alive + suspected).max(1) as f64;
        let probability = (2.0 * dead as f64 / alive).min(8.0 / alive).min(0.5);
        if (draw() >> 11) as f64 / (1_u64 << 53) as f64 >= probability {
            return;
        }
        let all = 0..u16::try_from(self.members.len()).unwrap_or(u16::MAX);
        let dead: Vec<NodeId> =
            all.filter(|n| self.member(*n).is_some_and(|m| m.state.status == Status::Dead)).collect();
        // Half of the time the lowest dead member is pinged: the tree grows together from there.
        let n = if draw() & 1 << 20 == 0 { 0 } else { draw() % dead.len().max(1) as u64 };
        if let Some(node) = dead.get(usize::try_from(n).unwrap_or(0)) {
            out.push(Output::Send(*node, Message::Ping(self.local_id)));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn state(incarnation: u32, heartbeat: u32, status: Status) -> MemberState {
        MemberState { incarnation, heartbeat, status }
    }

    fn membership() -> Membership {
        Membership::new(0, 0, 5, 7)
    }

    #[test]
    fn the_newer_of_two_states_holds_in_any_order_of_arrival() {
        let states = [
            state(3, 8, Status::Alive),
            state(3, 8, Status::Suspect),
            state(3, 9, Status::Alive),
            state(3, 8, Status::Dead),
        ];
        let mut out = Vec::new();
        for order in [[0, 1, 2, 3], [3, 2, 1, 0], [2, 3, 0, 1], [1, 1, 3, 2]] {
            let mut m = membership();
            for n in order {
                m.apply_update(10, 2, states[n], 0, &mut out);
            }
            assert_eq!(m.state(2), Some(states[2]), "{order:?}");
        }
    }

    #[test]
    fn a_silent_neighbour_is_pinged_then_pinged_through_others_then_suspected_then_dead() {
        let mut m = membership();
        let mut out = Vec::new();
        let mut seen = Vec::new();
        for now in (0..8000).step_by(50) {
            for alive in [2, 3] {
                m.heard_from(now, alive, state(1, u32::try_from(now / 250).unwrap(), ALIVE), &mut out);
            }
            out.clear();
            m.tick(now, &[1, 2], 1000, &mut || 1, &mut out);
            let status = m.state(1).unwrap().status;
            seen.extend(out.iter().filter(|o| !matches!(o, Output::Send(4, _))).map(|o| (*o, status)));
        }
        let ping = |n| Output::Send(n, Message::Ping(0));
        assert_eq!(seen[0], (ping(1), ALIVE));
        assert_eq!(seen[1], (ping(1), ALIVE));
        assert!(seen[2..].iter().any(|s| s.0 == Output::Send(2, Message::PingRequest(1))));
        let spread: Vec<Status> =
            seen.iter().filter(|s| s.0 == Output::Disseminate(1)).map(|s| s.1).collect();
        assert_eq!(spread, [Status::Suspect, Status::Dead]);
        assert_eq!(m.state(2).unwrap().status, ALIVE);
    }

    #[test]
    fn a_node_that_was_stalled_suspects_no_member() {
        let mut m = membership();
        let mut out = Vec::new();
        m.tick(0, &[1], 1000, &mut || 1, &mut out);
        m.tick(5000, &[1], 1000, &mut || 1, &mut out);
        m.tick(5050, &[1], 1000, &mut || 1, &mut out);
        assert!(out.is_empty(), "{out:?}");
        assert_eq!(m.lateness(), 1);
    }

    #[test]
    fn a_suspicion_is_refuted_by_its_subject_and_by_a_node_that_heard_it_since() {
        let mut m = membership();
        let mut out = Vec::new();
        let own = m.local_state(1000);
        m.apply_update(1000, 0, MemberState { status: Status::Suspect, ..own }, 0, &mut out);
        assert_eq!(out, [Output::Disseminate(0)]);
        assert!(m.local_state(1000) > MemberState { status: Status::Left, ..own });
        out.clear();
        m.heard_from(1000, 3, state(1, 9, ALIVE), &mut out);
        out.clear();
        m.apply_update(1000, 3, state(1, 8, Status::Dead), 0, &mut out);
        assert_eq!(out, [Output::Disseminate(3)]);
        assert_eq!(m.state(3), Some(state(1, 9, ALIVE)));
    }

    #[test]
    fn a_node_that_restarts_with_lower_numbers_rises_above_the_known_ones() {
        let mut m = membership();
        let mut out = Vec::new();
        m.apply_update(0, 0, state(900, 70, Status::Dead), 0, &mut out);
        assert!(m.local_state(0) > state(900, 70, Status::Dead));
        assert_eq!(m.state(0).unwrap().incarnation, 901);
        // A node that learns of the higher numbers only after it has spoken is told of them.
        let mut other = Membership::new(0, 1, 5, 1);
        other.heard_from(0, 0, state(900, 70, ALIVE), &mut out);
        out.clear();
        other.heard_from(0, 0, state(7, 1, ALIVE), &mut out);
        assert_eq!(out, [Output::Notify(0)]);
    }

    #[test]
    fn implausible_numbers_reported_by_others_are_ignored() {
        let mut m = membership();
        let mut out = Vec::new();
        m.heard_from(0, 3, state(5, 9, ALIVE), &mut out);
        out.clear();
        for implausible in [
            state(u32::MAX, 0, Status::Dead),
            state(5_000_000, 0, Status::Dead),
            state(5, u32::MAX, Status::Dead),
        ] {
            assert!(!m.apply_update(0, 3, implausible, 0, &mut out));
        }
        assert_eq!(m.state(3), Some(state(5, 9, ALIVE)));
        assert!(out.is_empty());
    }

    #[test]
    fn the_tree_skips_members_that_are_not_present() {
        let mut m = Membership::new(0, 0, 30, 1);
        let mut out = Vec::new();
        assert_eq!((m.parent(0), m.parent(1), m.parent(7)), (None, Some(0), Some(1)));
        m.apply_update(0, 1, state(1, 1, Status::Dead), 0, &mut out);
        assert_eq!(m.parent(7), Some(0), "its grandparent");
        assert!(m.children().contains(&7));
        // If the root is dead, the lowest member takes its place in every node's view.
        let mut m = Membership::new(0, 9, 30, 1);
        m.apply_update(0, 0, state(1, 1, Status::Dead), 0, &mut out);
        m.apply_update(0, 1, state(1, 1, Status::Dead), 0, &mut out);
        assert_eq!((m.parent(2), m.parent(9), m.parent(3)), (None, Some(2), Some(2)));
    }

    #[test]
    fn members_never_heard_or_recently_silent_keep_their_part_of_the_quota() {
        let mut m = membership();
        let mut out = Vec::new();
        m.heard_from(0, 1, state(1, 1, ALIVE), &mut out);
        m.apply_update(1000, 1, state(1, 1, Status::Dead), 0, &mut out);
        m.apply_update(1000, 2, state(0, 0, Status::Dead), 0, &mut out);
        m.apply_update(1000, 3, state(1, 1, Status::Left), 0, &mut out);
        assert_eq!(m.quota_holders(2000, 60_000), 4);
        assert_eq!(m.quota_holders(70_000, 60_000), 3);
    }
}
