//! Who is in the fleet: alive, suspected, gone or left. A machine without I/O and clock after the published SWIM and
//! Lifeguard protocols: a neighbour that falls silent is asked, then asked through others, then suspected; a
//! suspicion can be refuted by its subject, or by anybody who has heard it since; and a node that was late itself
//! gives the others more time. It differs in whom a node watches: its neighbours in [`tree`](Members::parent),
//! which speak anyway, and not somebody drawn by lot, who would cost two datagrams a second.
//!
//! What is known of a member is a [`MemberState`], and of two lives the greater holds, so that news may come in any order,
//! twice or late.

use std::collections::BTreeMap;

/// A node's number in the platform's list of peers.
pub type NodeId = u16;
/// Milliseconds of the host's monotonic clock.
pub type Ms = u64;

/// A beat lasts this long: a life's beat rises while its subject lives, which outdates suspicions.
const BEAT_MS: Ms = 250;
/// Time for an answer to a question. The first goes straight, the next ones by others as well, and the last may take
/// longer.
const ANSWER_MS: Ms = 160;
const LAST_ANSWER_MS: Ms = 300;
const QUESTIONS: u32 = 4;
/// Others that are asked to ask, each time.
const HELPERS: usize = 3;
/// Time for a suspicion to be refuted, and what chance adds, so that nodes do not all speak at once.
const REFUTE_MS: Ms = 2000;
const REFUTE_SPREAD_MS: Ms = 500;
/// How often a node may ask for members that are gone.
const SEEK_MS: Ms = 500;
/// A machine that was not asked for so long has been late itself.
const STALL_MS: Ms = 300;
/// Its own lateness counts up to this, and one of it is forgiven in so long.
const LATE_MOST: u32 = 4;
const FORGIVE_MS: Ms = 2000;
/// What others tell of a member's numbers is believed up to this beyond what is known.
const INCARNATION_STEP: u32 = 1000;
const BEAT_STEP: u32 = 1 << 16;
/// No incarnation is greater: they are counts of starts, or seconds since 1970.
pub const LAST_INCARNATION: u32 = 1 << 31;
/// One that turns more often than this within a while flaps: its news is not pressed on the others.
const FLAPS: u32 = 6;
const FLAP_MS: Ms = 10_000;

/// How a member fares. Of two words on the same beat the greater holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Status {
    /// It speaks.
    Alive,
    /// It does not, as far as somebody can see.
    Suspect,
    /// Nobody refuted that.
    Dead,
    /// It said that it ends.
    Left,
}

impl Status {
    /// All of them, in their order.
    pub const ALL: [Status; 4] = [Status::Alive, Status::Suspect, Status::Dead, Status::Left];

    /// It counts as there.
    pub fn is_present(self) -> bool {
        matches!(self, Status::Alive | Status::Suspect)
    }
}

/// What is known of a member. The greater of two is the newer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberState {
    /// Which of its starts; 0 for one that was never heard.
    pub incarnation: u32,
    /// Rises while it lives.
    pub heartbeat: u32,
    /// How it fares.
    pub status: Status,
}

/// A member as this node knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Member {
    state: MemberState,
    /// When it was last heard itself, or came into view.
    heard: Ms,
    /// When its status last changed here.
    since: Ms,
    /// Until when a suspicion may be refuted.
    until: Ms,
    /// This node raised it.
    accused: bool,
    flaps: u32,
    flapped: Ms,
}

/// A question that is out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Check {
    due: Ms,
    asked: u32,
}

/// What members ask each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Message {
    /// Are you there? On behalf of this node.
    Ping(NodeId),
    /// Ask that member, please.
    PingFor(NodeId),
    /// That member is there and lives so; for the node that wanted to know.
    Ack {
        /// Who.
        about: NodeId,
        /// As it said itself.
        state: MemberState,
        /// Who wanted to know.
        wanted_by: NodeId,
    },
}

/// What comes of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// To be sent.
    Send(NodeId, Message),
    /// News of that member is to be spread.
    Spread(NodeId),
    /// That member is behind and should hear what is known of it.
    Remind(NodeId),
}

/// The members, as one of them knows them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Membership {
    own: NodeId,
    started: Ms,
    /// What the own beat has been raised by, against suspicions.
    raised: u32,
    members: Vec<Member>,
    checks: BTreeMap<NodeId, Check>,
    fan: usize,
    late: u32,
    forgiven: Ms,
    ticked: Ms,
    sought: Ms,
    version: u64,
}

/// The own status as everybody else sees it, when all is well.
const ALIVE: Status = Status::Alive;

impl Membership {
    /// One of `count`, which are all taken to be there until they are found not to be.
    pub fn new(now: Ms, own: NodeId, count: u16, incarnation: u32) -> Membership {
        let state = MemberState { incarnation: 0, heartbeat: 0, status: ALIVE };
        let unknown =
            Member { state, heard: now, since: now, until: 0, accused: false, flaps: 0, flapped: now };
        let mut members = vec![unknown; usize::from(count.max(own.saturating_add(1)))];
        if let Some(me) = members.get_mut(usize::from(own)) {
            me.state.incarnation = incarnation.clamp(1, LAST_INCARNATION - 1);
        }
        let fan = (members.len() as f64).sqrt().ceil().max(4.0) as usize;
        Membership {
            own,
            started: now,
            raised: 0,
            members,
            checks: BTreeMap::new(),
            fan,
            late: 0,
            forgiven: now,
            ticked: now,
            sought: now,
            version: 0,
        }
    }

    /// This node's number.
    pub fn local_id(&self) -> NodeId {
        self.own
    }

    /// How many there are, whatever became of them.
    pub fn count(&self) -> usize {
        self.members.len()
    }

    /// Rises whenever somebody's status changes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// How late this node has lately been, 0 to 4.
    pub fn lateness(&self) -> u32 {
        self.late
    }

    fn member(&self, node: NodeId) -> Option<&Member> {
        self.members.get(usize::from(node))
    }

    /// What is known of a member; of this one, what it says itself.
    pub fn state(&self, node: NodeId) -> Option<MemberState> {
        self.member(node).map(|m| m.state)
    }

    /// What this node says of itself at a moment.
    pub fn local_state(&mut self, now: Ms) -> MemberState {
        let heartbeat = u32::try_from(now.saturating_sub(self.started) / BEAT_MS).unwrap_or(u32::MAX);
        let heartbeat = heartbeat.saturating_add(self.raised).max(1);
        let own = usize::from(self.own);
        let Some(me) = self.members.get_mut(own) else {
            return MemberState { incarnation: 1, heartbeat, status: ALIVE };
        };
        me.state.heartbeat = me.state.heartbeat.max(heartbeat);
        me.heard = now;
        me.state
    }

    /// It counts as there.
    pub fn is_present(&self, node: NodeId) -> bool {
        self.member(node).is_some_and(|m| m.state.status.is_present())
    }

    fn alive(&self, node: usize) -> bool {
        self.members.get(node).is_some_and(|m| m.state.status == ALIVE)
    }

    /// It has its place in the tree: others' suspicions do not move anybody, what this node found itself does.
    fn stands(&self, node: usize) -> bool {
        self.members.get(node).is_some_and(|m| m.state.status.is_present() && !m.accused)
    }

    /// Its news is not to be pressed on others: it comes and goes all the time.
    pub fn flaps(&self, node: NodeId) -> bool {
        self.member(node).is_some_and(|m| m.flaps > FLAPS)
    }

    /// How many are alive, suspected, gone and left.
    pub fn counts(&self) -> [usize; 4] {
        let mut counts = [0; 4];
        for m in &self.members {
            if let Some(n) = counts.get_mut(m.state.status as usize) {
                *n += 1;
            }
        }
        counts
    }

    /// Members that still have their part of what is shared out: who is there; who was never heard, and may be of a
    /// build that does not speak; and who fell silent less than `hold` ago, and may serve on its side of a cut.
    pub fn parties(&self, now: Ms, hold: Ms) -> usize {
        let has = |m: &&Member| match m.state.status {
            Status::Alive | Status::Suspect => true,
            Status::Dead => m.state.incarnation == 0 || now.saturating_sub(m.since) < hold,
            Status::Left => false,
        };
        self.members.iter().filter(has).count()
    }

    /// Whom this node reports to: the nearest ancestor that stands, in a heap over the members' numbers; where
    /// there is none, the lowest member that does. None at the root.
    pub fn parent(&self, node: NodeId) -> Option<NodeId> {
        let mut at = usize::from(node);
        while at > 0 {
            at = (at - 1) / self.fan;
            if self.stands(at) {
                return u16::try_from(at).ok();
            }
        }
        let lowest = (0..self.members.len()).find(|n| self.stands(*n))?;
        u16::try_from(lowest).ok().filter(|n| *n < node)
    }

    /// Who reports to this node.
    pub fn children(&self) -> Vec<NodeId> {
        let all = 0..u16::try_from(self.members.len()).unwrap_or(u16::MAX);
        all.filter(|n| *n != self.own && self.is_present(*n) && self.parent(*n) == Some(self.own)).collect()
    }

    /// Statuses of `count` members from `first` on: 0 there, 1 gone, 2 left.
    pub fn classes(&self, first: NodeId, count: usize) -> Vec<u8> {
        let class = |m: &Member| match m.state.status {
            Status::Alive | Status::Suspect => 0,
            Status::Dead => 1,
            Status::Left => 2,
        };
        self.members.iter().skip(usize::from(first)).take(count).map(class).collect()
    }

    fn set(&mut self, now: Ms, node: NodeId, state: MemberState, spread: u64) {
        let Some(m) = self.members.get_mut(usize::from(node)) else { return };
        if m.state.status != state.status {
            m.since = now;
            m.until = now + REFUTE_MS * u64::from(2 + self.late) / 2 + spread % REFUTE_SPREAD_MS;
            m.flaps += 1;
            m.flapped = now;
            self.version += 1;
            if m.accused && state.status == ALIVE {
                // Falsely: perhaps this node hears less than others do.
                self.late = (self.late + 1).min(LATE_MOST);
                self.forgiven = now;
            }
            m.accused = false;
        }
        m.state = state;
    }

    /// A member spoke, and said so of itself.
    pub fn heard(&mut self, now: Ms, from: NodeId, state: MemberState, out: &mut Vec<Output>) {
        if from == self.own || state.incarnation == 0 || state.incarnation >= LAST_INCARNATION {
            return;
        }
        let Some(m) = self.members.get_mut(usize::from(from)) else { return };
        let (known, said) = (m.state, state);
        if said.incarnation < known.incarnation {
            // It started again with lower numbers, or this is an old datagram: it bumps, or it does not matter.
            out.push(Output::Remind(from));
            return;
        }
        if said > known {
            self.set(now, from, said, 0);
            // That one is heard for the first time is no news: all are taken to be there.
            let anew = known.incarnation != said.incarnation && known.incarnation > 0;
            if known.status != said.status || anew {
                out.push(Output::Spread(from));
            }
        } else if known.status != ALIVE {
            // Not newer than the word against it: it should hear of that, and refute it.
            out.push(Output::Remind(from));
            return;
        }
        let Some(m) = self.members.get_mut(usize::from(from)) else { return };
        m.heard = now;
        self.checks.remove(&from);
    }

    /// Somebody told of a member. True: it was news here. `draw` is any number.
    pub fn told(
        &mut self,
        now: Ms,
        node: NodeId,
        state: MemberState,
        draw: u64,
        out: &mut Vec<Output>,
    ) -> bool {
        if state.incarnation >= LAST_INCARNATION {
            return false;
        }
        if node == self.own {
            self.refute(now, state, out);
            return false;
        }
        let Some(known) = self.state(node) else { return false };
        let first = known.incarnation == 0;
        let near = state.incarnation <= known.incarnation.saturating_add(INCARNATION_STEP)
            && (state.incarnation > known.incarnation
                || state.heartbeat <= known.heartbeat.saturating_add(BEAT_STEP));
        if !first && !near {
            return false;
        }
        if state > known {
            self.set(now, node, state, draw);
            if state.status == ALIVE {
                self.checks.remove(&node);
            }
            let anew = known.incarnation != state.incarnation && known.incarnation > 0;
            let news = known.status != state.status || anew;
            if news {
                out.push(Output::Spread(node));
            }
            return news;
        }
        if known.status == ALIVE && state.status != ALIVE && state.status != Status::Left && state < known {
            // It was heard since: the suspicion is out of date.
            out.push(Output::Spread(node));
        }
        false
    }

    /// Somebody says that this node is not there.
    fn refute(&mut self, now: Ms, said: MemberState, out: &mut Vec<Output>) {
        let own = self.local_state(now);
        if said <= own && said.status == ALIVE {
            return;
        }
        if (said.incarnation, said.heartbeat) < (own.incarnation, own.heartbeat)
            && said.status != Status::Left
        {
            out.push(Output::Spread(self.own));
            return;
        }
        let number = usize::from(self.own);
        if let Some(me) = self.members.get_mut(number) {
            let ahead = (said.incarnation, said.heartbeat) > (me.state.incarnation, me.state.heartbeat);
            if ahead || said.status == Status::Left {
                // It is of an earlier start that had greater numbers.
                let above = said.incarnation.max(me.state.incarnation).saturating_add(1);
                me.state.incarnation = above.min(LAST_INCARNATION - 1);
            } else {
                self.raised = self.raised.saturating_add(1);
                me.state.heartbeat = me.state.heartbeat.saturating_add(1);
            }
        }
        if said.status == Status::Suspect {
            // Others wait in vain for what this node should have said.
            self.late = (self.late + 1).min(LATE_MOST);
        }
        out.push(Output::Spread(self.own));
    }

    /// This node ends: what it says from here on.
    pub fn leave(&mut self, now: Ms, out: &mut Vec<Output>) {
        self.local_state(now);
        if let Some(me) = self.members.get_mut(usize::from(self.own)) {
            me.state.status = Status::Left;
        }
        out.push(Output::Spread(self.own));
    }

    /// A question or an answer came. The sender was [`heard`](Members::heard) before.
    pub fn asked(&mut self, now: Ms, from: NodeId, message: Message, out: &mut Vec<Output>) {
        match message {
            Message::Ping(wanted_by) => {
                let (about, state) = (self.own, self.local_state(now));
                out.push(Output::Send(from, Message::Ack { about, state, wanted_by }));
            }
            Message::PingFor(target) if target != self.own && target != from => {
                out.push(Output::Send(target, Message::Ping(from)));
            }
            Message::PingFor(_) => {}
            Message::Ack { about, state, wanted_by } if wanted_by == self.own => {
                if about != from {
                    // By way of another: that one is believed only as far as the numbers go.
                    self.told(now, about, state, 0, out);
                    if let Some(m) = self.members.get_mut(usize::from(about))
                        && m.state == state
                    {
                        m.heard = now;
                        self.checks.remove(&about);
                    }
                }
            }
            Message::Ack { about, state, wanted_by } if about == from && wanted_by != from => {
                out.push(Output::Send(wanted_by, Message::Ack { about, state, wanted_by }));
            }
            Message::Ack { .. } => {}
        }
    }

    /// Time passes. `watched` are this node's neighbours, who should have spoken within `silent`; `draw` hands out
    /// random numbers.
    pub fn tick(
        &mut self,
        now: Ms,
        watched: &[NodeId],
        silent: Ms,
        draw: &mut dyn FnMut() -> u64,
        out: &mut Vec<Output>,
    ) {
        self.local_state(now);
        let stall = now.saturating_sub(self.ticked);
        self.ticked = now;
        if stall > STALL_MS {
            // What was not heard meanwhile is this node's own fault.
            self.late = (self.late + 1).min(LATE_MOST);
            self.forgiven = now;
            for m in &mut self.members {
                m.heard = (m.heard + stall).min(now);
                m.until += stall;
            }
            self.checks.values_mut().for_each(|c| c.due += stall);
        } else if now.saturating_sub(self.forgiven) > FORGIVE_MS {
            self.late = self.late.saturating_sub(1);
            self.forgiven = now;
        }
        for m in &mut self.members {
            if m.flaps > 0 && now.saturating_sub(m.flapped) > FLAP_MS {
                m.flaps -= 1;
                m.flapped = now;
            }
        }
        self.watch(now, watched, silent, out);
        self.carry_on(now, draw, out);
        for node in 0..u16::try_from(self.members.len()).unwrap_or(u16::MAX) {
            let Some(m) = self.member(node) else { break };
            if m.state.status == Status::Suspect && now >= m.until {
                let state = MemberState { status: Status::Dead, ..m.state };
                self.set(now, node, state, 0);
                out.push(Output::Spread(node));
            }
        }
        self.seek(now, draw, out);
    }

    fn watch(&mut self, now: Ms, watched: &[NodeId], silent: Ms, out: &mut Vec<Output>) {
        let slower = Ms::from(1 + self.late);
        self.checks.retain(|node, _| watched.contains(node));
        for &node in watched {
            let quiet = self.member(node).is_some_and(|m| {
                m.state.status == ALIVE && now.saturating_sub(m.heard) > silent * (1 + slower) / 2
            });
            if quiet && !self.checks.contains_key(&node) {
                self.checks.insert(node, Check { due: now + ANSWER_MS * slower, asked: 1 });
                out.push(Output::Send(node, Message::Ping(self.own)));
            }
        }
    }

    /// Someone new to watch is asked at once: nobody knows when it last spoke.
    pub fn meet(&mut self, now: Ms, node: NodeId, out: &mut Vec<Output>) {
        let slower = Ms::from(1 + self.late);
        if let Some(m) = self.members.get_mut(usize::from(node)).filter(|m| m.state.status == ALIVE) {
            m.heard = m.heard.max(now.saturating_sub(1));
            let due = now + ANSWER_MS * slower;
            self.checks.entry(node).or_insert(Check { due, asked: 1 });
            out.push(Output::Send(node, Message::Ping(self.own)));
        }
    }

    fn carry_on(&mut self, now: Ms, draw: &mut dyn FnMut() -> u64, out: &mut Vec<Output>) {
        let slower = Ms::from(1 + self.late);
        let due: Vec<NodeId> =
            self.checks.iter().filter(|(_, c)| now >= c.due).map(|(node, _)| *node).collect();
        for node in due {
            let Some(check) = self.checks.get_mut(&node) else { continue };
            if check.asked < QUESTIONS {
                check.asked += 1;
                let last = check.asked == QUESTIONS;
                check.due = now + if last { LAST_ANSWER_MS } else { ANSWER_MS } * slower;
                out.push(Output::Send(node, Message::Ping(self.own)));
                for helper in self.others(node, draw) {
                    out.push(Output::Send(helper, Message::PingFor(node)));
                }
                continue;
            }
            self.checks.remove(&node);
            let Some(state) = self.state(node).filter(|l| l.status == ALIVE) else { continue };
            self.set(now, node, MemberState { status: Status::Suspect, ..state }, draw());
            if let Some(m) = self.members.get_mut(usize::from(node)) {
                m.accused = true;
            }
            self.version += 1;
            out.push(Output::Spread(node));
        }
    }

    /// A few others that are alive, by lot.
    fn others(&self, but: NodeId, draw: &mut dyn FnMut() -> u64) -> Vec<NodeId> {
        let fit = |n: &NodeId| *n != self.own && *n != but && self.alive(usize::from(*n));
        let mut all: Vec<NodeId> =
            (0..u16::try_from(self.members.len()).unwrap_or(u16::MAX)).filter(fit).collect();
        let mut chosen = Vec::new();
        while chosen.len() < HELPERS && !all.is_empty() {
            let n = usize::try_from(draw() % all.len() as u64).unwrap_or(0);
            chosen.push(all.swap_remove(n));
        }
        chosen
    }

    /// Now and then somebody asks for one that is gone: a cut heals by that. All together ask a few times a second,
    /// however many they are.
    fn seek(&mut self, now: Ms, draw: &mut dyn FnMut() -> u64, out: &mut Vec<Output>) {
        if now.saturating_sub(self.sought) < SEEK_MS {
            return;
        }
        self.sought = now + draw() % 50;
        let [alive, suspected, gone, _] = self.counts();
        let alive = (alive + suspected).max(1) as f64;
        let odds = (2.0 * gone as f64 / alive).min(8.0 / alive).min(0.5);
        if (draw() >> 11) as f64 / (1_u64 << 53) as f64 >= odds {
            return;
        }
        let all = 0..u16::try_from(self.members.len()).unwrap_or(u16::MAX);
        let gone: Vec<NodeId> =
            all.filter(|n| self.member(*n).is_some_and(|m| m.state.status == Status::Dead)).collect();
        // Every other time the lowest: the tree grows together from there.
        let n = if draw() & 1 << 20 == 0 { 0 } else { draw() % gone.len().max(1) as u64 };
        if let Some(node) = gone.get(usize::try_from(n).unwrap_or(0)) {
            out.push(Output::Send(*node, Message::Ping(self.own)));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn state(incarnation: u32, heartbeat: u32, status: Status) -> MemberState {
        MemberState { incarnation, heartbeat, status }
    }

    fn fleet() -> Membership {
        Membership::new(0, 0, 5, 7)
    }

    #[test]
    fn of_two_words_the_newer_holds_in_whatever_order_they_come() {
        let words = [
            state(3, 8, Status::Alive),
            state(3, 8, Status::Suspect),
            state(3, 9, Status::Alive),
            state(3, 8, Status::Dead),
        ];
        let mut out = Vec::new();
        for order in [[0, 1, 2, 3], [3, 2, 1, 0], [2, 3, 0, 1], [1, 1, 3, 2]] {
            let mut m = fleet();
            for n in order {
                m.told(10, 2, words[n], 0, &mut out);
            }
            assert_eq!(m.state(2), Some(words[2]), "{order:?}");
        }
    }

    #[test]
    fn a_silent_neighbour_is_asked_asked_through_others_suspected_and_gone() {
        let mut m = fleet();
        let mut out = Vec::new();
        let mut seen = Vec::new();
        for now in (0..8000).step_by(50) {
            for alive in [2, 3] {
                m.heard(now, alive, state(1, u32::try_from(now / 250).unwrap(), ALIVE), &mut out);
            }
            out.clear();
            m.tick(now, &[1, 2], 1000, &mut || 1, &mut out);
            let status = m.state(1).unwrap().status;
            seen.extend(out.iter().filter(|o| !matches!(o, Output::Send(4, _))).map(|o| (*o, status)));
        }
        let ping = |n| Output::Send(n, Message::Ping(0));
        assert_eq!(seen[0], (ping(1), ALIVE));
        assert_eq!(seen[1], (ping(1), ALIVE));
        assert!(seen[2..].iter().any(|s| s.0 == Output::Send(2, Message::PingFor(1))));
        let spread: Vec<Status> = seen.iter().filter(|s| s.0 == Output::Spread(1)).map(|s| s.1).collect();
        assert_eq!(spread, [Status::Suspect, Status::Dead]);
        assert_eq!(m.state(2).unwrap().status, ALIVE);
    }

    #[test]
    fn a_node_that_was_late_itself_accuses_nobody_for_it() {
        let mut m = fleet();
        let mut out = Vec::new();
        m.tick(0, &[1], 1000, &mut || 1, &mut out);
        m.tick(5000, &[1], 1000, &mut || 1, &mut out);
        m.tick(5050, &[1], 1000, &mut || 1, &mut out);
        assert!(out.is_empty(), "{out:?}");
        assert_eq!(m.lateness(), 1);
    }

    #[test]
    fn a_suspicion_is_refuted_by_its_subject_and_by_who_has_heard_it_since() {
        let mut m = fleet();
        let mut out = Vec::new();
        let own = m.local_state(1000);
        m.told(1000, 0, MemberState { status: Status::Suspect, ..own }, 0, &mut out);
        assert_eq!(out, [Output::Spread(0)]);
        assert!(m.local_state(1000) > MemberState { status: Status::Left, ..own });
        out.clear();
        m.heard(1000, 3, state(1, 9, ALIVE), &mut out);
        out.clear();
        m.told(1000, 3, state(1, 8, Status::Dead), 0, &mut out);
        assert_eq!(out, [Output::Spread(3)]);
        assert_eq!(m.state(3), Some(state(1, 9, ALIVE)));
    }

    #[test]
    fn a_node_that_starts_again_with_lower_numbers_goes_above_those_that_are_known() {
        let mut m = fleet();
        let mut out = Vec::new();
        m.told(0, 0, state(900, 70, Status::Dead), 0, &mut out);
        assert!(m.local_state(0) > state(900, 70, Status::Dead));
        assert_eq!(m.state(0).unwrap().incarnation, 901);
        // And where it speaks before it hears of them, it is told.
        let mut other = Membership::new(0, 1, 5, 1);
        other.heard(0, 0, state(900, 70, ALIVE), &mut out);
        out.clear();
        other.heard(0, 0, state(7, 1, ALIVE), &mut out);
        assert_eq!(out, [Output::Remind(0)]);
    }

    #[test]
    fn numbers_from_the_far_future_are_not_believed_of_others() {
        let mut m = fleet();
        let mut out = Vec::new();
        m.heard(0, 3, state(5, 9, ALIVE), &mut out);
        out.clear();
        for wild in [
            state(u32::MAX, 0, Status::Dead),
            state(5_000_000, 0, Status::Dead),
            state(5, u32::MAX, Status::Dead),
        ] {
            assert!(!m.told(0, 3, wild, 0, &mut out));
        }
        assert_eq!(m.state(3), Some(state(5, 9, ALIVE)));
        assert!(out.is_empty());
    }

    #[test]
    fn the_tree_goes_around_who_is_not_there() {
        let mut m = Membership::new(0, 0, 30, 1);
        let mut out = Vec::new();
        assert_eq!((m.parent(0), m.parent(1), m.parent(7)), (None, Some(0), Some(1)));
        m.told(0, 1, state(1, 1, Status::Dead), 0, &mut out);
        assert_eq!(m.parent(7), Some(0), "its grandparent");
        assert!(m.children().contains(&7));
        // Without the root the lowest takes its place, as each of them sees it.
        let mut m = Membership::new(0, 9, 30, 1);
        m.told(0, 0, state(1, 1, Status::Dead), 0, &mut out);
        m.told(0, 1, state(1, 1, Status::Dead), 0, &mut out);
        assert_eq!((m.parent(2), m.parent(9), m.parent(3)), (None, Some(2), Some(2)));
    }

    #[test]
    fn who_was_never_heard_or_fell_silent_lately_keeps_its_part() {
        let mut m = fleet();
        let mut out = Vec::new();
        m.heard(0, 1, state(1, 1, ALIVE), &mut out);
        m.told(1000, 1, state(1, 1, Status::Dead), 0, &mut out);
        m.told(1000, 2, state(0, 0, Status::Dead), 0, &mut out);
        m.told(1000, 3, state(1, 1, Status::Left), 0, &mut out);
        assert_eq!(m.parties(2000, 60_000), 4);
        assert_eq!(m.parties(70_000, 60_000), 3);
    }
}
