//! What a release does next, and why: a machine without I/O or clock. It is told what happened and when, and says what
//! to do; each step is handed out to be stored before what it leads to is done, so that a controller may die at any
//! point and the next one goes on. A step that was stored and perhaps not done is done again: cordons may be said twice,
//! and a restart is looked for before it is made again.

use crate::gate::{GateResult, Sample, evaluate};
use crate::plan::{BreachAction, Plan};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Milliseconds of a wall clock: times outlive the controller.
pub type Ms = u64;

/// What was not answered is said again after so long.
const AGAIN_MS: Ms = 2000;
/// A member is idle when it was seen so at least this long after its last cordon.
const SETTLE_MS: Ms = 700;

/// Which of the two versions a member has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Version {
    /// The one that was there.
    Old,
    /// The one to come.
    New,
}

/// Where a member stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// In service, untouched for now.
    In,
    /// Nodes are told to send it nothing new.
    Cordoning,
    /// Requests under way end.
    Draining,
    /// The plan's command runs, or ran when the controller died.
    Restarting,
    /// It is to come up.
    Returning,
    /// Nodes are told that it is back.
    Uncordoning,
    /// It warms; the next one waits.
    Warming,
    /// Cordoned, and a person must look.
    Stuck,
}

/// A member of the release.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Where it stands.
    pub phase: Phase,
    /// What it has.
    pub version: Version,
    /// Since when it stands there.
    pub since: Ms,
    /// Why, where that needs a word.
    pub why: String,
    /// Its start before it was restarted, or the one that was seen last.
    pub start: Ms,
    /// An operator has taken it out.
    pub held: bool,
    #[serde(skip)]
    said: BTreeSet<usize>,
    #[serde(skip)]
    told: Ms,
    #[serde(skip)]
    running: bool,
    #[serde(skip)]
    seen: Option<(Ms, Seen)>,
}

/// How a member was seen by the nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Seen {
    /// Discovery lists it as up.
    pub up: bool,
    /// When it started, as listed.
    pub start: Ms,
    /// Some node holds it for cordoned.
    pub cordoned: bool,
    /// Requests of all nodes under way there; none where some node did not say.
    pub in_flight: Option<u64>,
}

/// What the release as a whole does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// It goes on.
    Running,
    /// It waits for a person.
    Halted,
    /// It gives members back that are not restarted yet, and ends.
    Ending,
    /// It is over.
    Over,
}

/// What is kept of it besides its members.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Head {
    /// What it does.
    pub mode: Mode,
    /// On the way back.
    pub back: bool,
    /// Why it halted, turned, or is over.
    pub why: String,
    /// The stage that it is in.
    pub stage: usize,
    /// Since when the stage is watched.
    pub watched: Option<Ms>,
}

/// What a person wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Order {
    /// Stop; what is begun is given back or brought to its end.
    Halt,
    /// Go on.
    Resume,
    /// Bring the old version back.
    Back,
    /// End it as it stands.
    Abandon,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time passed; comes several times a second.
    Tick,
    /// A node answered a cordon (`out`) or its end.
    Answered {
        /// The member.
        member: usize,
        /// The node.
        node: usize,
        /// It was a cordon.
        out: bool,
        /// What it said where that was no yes.
        why: Option<String>,
    },
    /// A member was looked at.
    Looked(usize, Seen),
    /// A member's command ended: what went wrong, if anything.
    Ran(usize, Option<String>),
    /// What the members with the new version, and the rest, have done since the watch began.
    Compared(Sample, Sample),
    /// A person spoke.
    Ordered(Order),
    /// Another controller has taken over.
    Overtaken,
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Store this before anything that follows is done.
    Store(String, String),
    /// Tell a node that a member is out, or back.
    Tell {
        /// The member.
        member: usize,
        /// The node.
        node: usize,
        /// Out.
        out: bool,
    },
    /// Run the member's command, the way there or back.
    Run {
        /// The member.
        member: usize,
        /// The version that it is to have.
        to: Version,
    },
    /// Count from here on what is compared.
    Watch,
    /// For the audit log.
    Audit(String),
}

/// A release under way.
#[derive(Clone, Debug)]
pub struct Machine {
    plan: Arc<Plan>,
    /// What it does as a whole.
    pub head: Head,
    /// Its members, in the plan's order.
    pub members: Vec<Member>,
    started: Ms,
    overtaken: bool,
}

/// Key of what is stored of the release as a whole.
const HEAD: &str = "head";

impl Machine {
    /// One that goes on from what was stored, by key; or begins, where nothing was.
    pub fn new(now: Ms, plan: Arc<Plan>, stored: &BTreeMap<String, String>) -> Machine {
        let head = stored.get(HEAD).and_then(|text| serde_json::from_str(text).ok());
        let head = head.unwrap_or(Head {
            mode: Mode::Running,
            back: false,
            why: String::new(),
            stage: 0,
            watched: None,
        });
        let member = |id: &str| {
            let known =
                stored.get(&format!("member {id}")).and_then(|text| serde_json::from_str(text).ok());
            known.unwrap_or(Member {
                phase: Phase::In,
                version: Version::Old,
                since: now,
                why: String::new(),
                start: 0,
                held: false,
                said: BTreeSet::new(),
                told: 0,
                running: false,
                seen: None,
            })
        };
        let members = plan.member.iter().map(|m| member(&m.id)).collect();
        Machine { plan, head, members, started: now, overtaken: false }
    }

    /// One with these parts, as a checker of all its states needs it.
    pub fn with(plan: Arc<Plan>, head: Head, members: Vec<Member>, started: Ms) -> Machine {
        Machine { plan, head, members, started, overtaken: false }
    }

    /// Takes one event at the time `now` and adds what is to be done to `out`.
    pub fn handle(&mut self, now: Ms, event: Event, out: &mut Vec<Action>) {
        if self.overtaken {
            return;
        }
        match event {
            Event::Tick => self.tick(now, out),
            Event::Answered { member, node, out: was_out, why } => {
                let Some(m) = self.members.get_mut(member) else { return };
                let wanted = if was_out { Phase::Cordoning } else { Phase::Uncordoning };
                match why {
                    None if m.phase == wanted => {
                        m.said.insert(node);
                    }
                    None => {}
                    Some(why) => m.why = format!("node {node}: {why}"),
                }
            }
            Event::Looked(member, seen) => self.looked(now, member, seen, out),
            Event::Ran(member, why) => self.ran(now, member, why, out),
            Event::Compared(new, rest) => self.compared(now, &new, &rest, out),
            Event::Ordered(order) => self.ordered(now, order, out),
            Event::Overtaken => self.overtaken = true,
        }
    }

    fn turn(&mut self, now: Ms, member: usize, phase: Phase, why: &str, out: &mut Vec<Action>) {
        let (Some(m), Some(named)) = (self.members.get_mut(member), self.plan.member.get(member)) else {
            return;
        };
        (m.phase, m.since, m.why) = (phase, now, why.to_owned());
        (m.told, m.running) = (0, false);
        m.said.clear();
        let text = serde_json::to_string(m).unwrap_or_default();
        out.push(Action::Store(format!("member {}", named.id), text));
        let note = if why.is_empty() { String::new() } else { format!(", {why}") };
        out.push(Action::Audit(format!("{} {phase:?} version {:?}{note}", named.id, m.version)));
    }

    fn set(&mut self, head: Head, out: &mut Vec<Action>) {
        if head == self.head {
            return;
        }
        let text = serde_json::to_string(&head).unwrap_or_default();
        out.push(Action::Store(HEAD.to_owned(), text));
        let way = if head.back { "back" } else { "there" };
        out.push(Action::Audit(format!(
            "release {:?} on the way {way}, stage {}: {}",
            head.mode, head.stage, head.why
        )));
        self.head = head;
    }

    fn halt(&mut self, why: String, out: &mut Vec<Action>) {
        let head = Head { mode: Mode::Halted, why, watched: None, ..self.head.clone() };
        self.set(head, out);
    }

    fn breach(&mut self, why: String, out: &mut Vec<Action>) {
        if self.plan.gate.breach == BreachAction::Back && !self.head.back {
            let head = Head { back: true, watched: None, why, ..self.head.clone() };
            return self.set(head, out);
        }
        self.halt(why, out);
    }

    /// What members are to have.
    fn target(&self) -> Version {
        if self.head.back { Version::Old } else { Version::New }
    }

    fn tick(&mut self, now: Ms, out: &mut Vec<Action>) {
        if self.head.mode == Mode::Over {
            return;
        }
        for member in 0..self.members.len() {
            self.step(now, member, out);
        }
        match self.head.mode {
            Mode::Running => self.next(now, out),
            Mode::Halted | Mode::Ending => {
                // Nothing half-done is left: what is not restarted yet is given back.
                for member in 0..self.members.len() {
                    if matches!(self.members[member].phase, Phase::Cordoning | Phase::Draining) {
                        self.turn(now, member, Phase::Uncordoning, "given back", out);
                    }
                }
                let begun = |m: &Member| !matches!(m.phase, Phase::In | Phase::Stuck | Phase::Warming);
                if self.head.mode == Mode::Ending && !self.members.iter().any(begun) {
                    let head = Head { mode: Mode::Over, ..self.head.clone() };
                    self.set(head, out);
                }
            }
            Mode::Over => {}
        }
    }

    fn tell(&mut self, now: Ms, member: usize, out_of_service: bool, out: &mut Vec<Action>) {
        let nodes = self.plan.confirming_nodes();
        let Some(m) = self.members.get_mut(member) else { return };
        if m.told == 0 || now >= m.told + AGAIN_MS {
            m.told = now.max(1);
            for node in (0..nodes).filter(|n| !m.said.contains(n)) {
                out.push(Action::Tell { member, node, out: out_of_service });
            }
        }
    }

    fn step(&mut self, now: Ms, member: usize, out: &mut Vec<Action>) {
        let (nodes, times) = (self.plan.confirming_nodes(), self.plan.times.clone());
        let m = &self.members[member];
        let (waited, since) = (now.saturating_sub(m.since), m.since);
        let all_said = m.said.len() >= nodes;
        match m.phase {
            Phase::In | Phase::Stuck => {}
            Phase::Cordoning if all_said => self.turn(now, member, Phase::Draining, "", out),
            Phase::Cordoning if waited > times.cordon_s * 1000 => {
                // Who has not said yes may still send: no restart is safe.
                let silent: Vec<String> = (0..nodes)
                    .filter(|n| !m.said.contains(n))
                    .map(|n| self.plan.nodes[n].to_string())
                    .collect();
                let why = format!(
                    "{} did not take the cordon of {}",
                    silent.join(", "),
                    self.plan.member[member].id
                );
                self.turn(now, member, Phase::Uncordoning, &why, out);
                self.halt(why, out);
            }
            Phase::Cordoning => self.tell(now, member, true, out),
            Phase::Draining => {
                let idle = m.seen.is_some_and(|(at, s)| at > since + SETTLE_MS && s.in_flight == Some(0));
                if idle || waited > times.drain_s * 1000 {
                    let start = m.seen.map_or(m.start, |(_, s)| s.start);
                    self.members[member].start = start;
                    let why = if idle { "" } else { "requests were still under way" };
                    self.turn(now, member, Phase::Restarting, why, out);
                    self.run(member, out);
                }
            }
            Phase::Restarting if !m.running => {
                // The controller died: the restart is looked for before it is made again.
                let made = m.seen.is_some_and(|(_, s)| s.start > m.start);
                if made {
                    self.ran(now, member, None, out);
                } else if now > self.started + 1000 * self.command_s(member) {
                    // Nor can the command that died with it, or outlived it, be running any more.
                    self.run(member, out);
                }
            }
            Phase::Restarting => {}
            Phase::Returning => {
                let back = m.seen.is_some_and(|(at, s)| at > since && s.up_after(m.start));
                if back {
                    self.members[member].start = m.seen.map_or(m.start, |(_, s)| s.start);
                    self.turn(now, member, Phase::Uncordoning, "", out);
                } else if waited > times.back_s * 1000 {
                    self.turn(now, member, Phase::Stuck, "it did not come back", out);
                    let why = format!("{} did not come back", self.plan.member[member].id);
                    self.breach(why, out);
                }
            }
            Phase::Uncordoning if all_said => self.turn(now, member, Phase::Warming, "", out),
            Phase::Uncordoning => {
                self.tell(now, member, false, out);
                if waited > times.cordon_s * 1000 && self.head.mode == Mode::Running {
                    let why = format!("not every node takes {} back", self.plan.member[member].id);
                    self.halt(why, out);
                }
            }
            Phase::Warming if waited > times.warm_s * 1000 => self.turn(now, member, Phase::In, "", out),
            Phase::Warming => {}
        }
    }

    /// The longest that the member's command may take.
    fn command_s(&self, member: usize) -> u64 {
        let new = self.members[member].version == Version::Old;
        if new { self.plan.restart.limit_seconds() } else { self.plan.back.limit_seconds() }
    }

    fn run(&mut self, member: usize, out: &mut Vec<Action>) {
        // What it has decides where it goes: a plan that turned meanwhile waits for its next turn.
        let to = if self.members[member].version == Version::Old { Version::New } else { Version::Old };
        self.members[member].running = true;
        out.push(Action::Run { member, to });
    }

    fn ran(&mut self, now: Ms, member: usize, why: Option<String>, out: &mut Vec<Action>) {
        let Some(m) = self.members.get_mut(member).filter(|m| m.phase == Phase::Restarting) else { return };
        match why {
            None => {
                m.version = if m.version == Version::Old { Version::New } else { Version::Old };
                self.turn(now, member, Phase::Returning, "", out);
            }
            Some(why) => {
                self.turn(now, member, Phase::Stuck, &why, out);
                let why = format!("{}: {why}", self.plan.member[member].id);
                self.breach(why, out);
            }
        }
    }

    fn looked(&mut self, now: Ms, member: usize, seen: Seen, out: &mut Vec<Action>) {
        let Some(m) = self.members.get_mut(member) else { return };
        m.seen = Some((now, seen));
        let ours = !matches!(m.phase, Phase::In | Phase::Warming);
        m.held = !ours && seen.cordoned && now > m.since + 3 * AGAIN_MS;
        let again = !ours && m.version == Version::New && m.start > 0 && seen.start > m.start;
        if again && self.head.mode == Mode::Running && !self.head.back {
            m.start = seen.start;
            let why = format!("{} started again by itself", self.plan.member[member].id);
            self.breach(why, out);
        }
    }

    /// Members that are out, by zone, whoever took them out.
    fn out(&self) -> BTreeMap<&str, usize> {
        let mut zones = BTreeMap::new();
        for (m, named) in self.members.iter().zip(&self.plan.member) {
            let down = m.seen.is_some_and(|(_, s)| !s.up);
            let out = m.held || down || !matches!(m.phase, Phase::In);
            *zones.entry(named.zone.as_str()).or_insert(0) += usize::from(out);
        }
        zones
    }

    /// Whether one more may go out.
    fn room(&self, member: usize) -> bool {
        let out = self.out();
        let all: usize = out.values().sum();
        let zone = self.plan.member[member].zone.as_str();
        let here = out.get(zone).copied().unwrap_or(0);
        let of_zone = self.plan.member.iter().filter(|m| m.zone == zone).count();
        let total = self.members.len();
        let last = of_zone > 1 && here + 1 >= of_zone;
        let stays = (total - all).saturating_sub(1) * 100;
        all < self.plan.limits.out
            && here < self.plan.limits.out_per_zone
            && !last
            && (stays >= self.plan.limits.in_percent as usize * total || total == 1)
    }

    fn next(&mut self, now: Ms, out: &mut Vec<Action>) {
        let target = self.target();
        let begun = |m: &Member| !matches!(m.phase, Phase::In | Phase::Stuck);
        let there = self.members.iter().filter(|m| m.version == target && !begun(m)).count();
        let under_way = self.members.iter().filter(|m| begun(m)).count();
        let most = match (self.head.back, self.plan.stage.get(self.head.stage)) {
            (false, Some(stage)) => stage.members.min(self.members.len()),
            _ => self.members.len(),
        };
        if there + under_way < most {
            let fit = |n: &usize| {
                let m = &self.members[*n];
                m.phase == Phase::In && m.version != target && !m.held && m.seen.is_some_and(|(_, s)| s.up)
            };
            let mut order: Vec<usize> = (0..self.members.len()).filter(fit).collect();
            if self.head.back {
                order.reverse();
            }
            if let Some(member) = order.into_iter().find(|n| self.room(*n)) {
                self.turn(now, member, Phase::Cordoning, "", out);
                self.tell(now, member, true, out);
            }
            return;
        }
        if under_way > 0 {
            return;
        }
        if self.head.back {
            let head = Head {
                mode: Mode::Over,
                why: format!("back on {}: {}", self.plan.from, self.head.why),
                ..self.head.clone()
            };
            return self.set(head, out);
        }
        if self.head.watched.is_none() {
            let head = Head { watched: Some(now), why: "watched".to_owned(), ..self.head.clone() };
            self.set(head, out);
            out.push(Action::Watch);
        }
        if !self.members.iter().any(|m| m.version == Version::Old) {
            // Nobody is left to compare with.
            self.pass(now, out);
        }
    }

    fn pass(&mut self, now: Ms, out: &mut Vec<Action>) {
        let Some(from) = self.head.watched.filter(|from| now >= from + self.plan.times.watch_s * 1000)
        else {
            return;
        };
        let _ = from;
        let stage = self.head.stage + 1;
        let head = if stage >= self.plan.stage.len() {
            Head { mode: Mode::Over, why: format!("all are on {}", self.plan.to), ..self.head.clone() }
        } else {
            Head { stage, watched: None, why: "the stage before was good".to_owned(), ..self.head.clone() }
        };
        self.set(head, out);
    }

    fn compared(&mut self, now: Ms, new: &Sample, rest: &Sample, out: &mut Vec<Action>) {
        let Some(from) = self.head.watched.filter(|_| self.head.mode == Mode::Running && !self.head.back)
        else {
            return;
        };
        let waited = now.saturating_sub(from);
        match evaluate(new, rest, &self.plan.gate, waited >= self.plan.times.watch_s * 1000) {
            GateResult::Breach(why) => self.breach(why, out),
            GateResult::Pass => self.pass(now, out),
            GateResult::InsufficientTraffic if waited > self.plan.times.wait_s * 1000 => {
                self.halt("too little traffic to tell".to_owned(), out);
            }
            GateResult::InsufficientTraffic => {}
        }
    }

    fn ordered(&mut self, now: Ms, order: Order, out: &mut Vec<Action>) {
        if self.head.mode == Mode::Over {
            return;
        }
        let head = match order {
            Order::Halt if self.head.mode != Mode::Running => return,
            Order::Halt => Head {
                mode: Mode::Halted,
                why: "a person said so".to_owned(),
                watched: None,
                ..self.head.clone()
            },
            Order::Resume => {
                Head { mode: Mode::Running, why: "a person let it go on".to_owned(), ..self.head.clone() }
            }
            Order::Back => Head {
                mode: Mode::Running,
                back: true,
                watched: None,
                why: "a person said so".to_owned(),
                ..self.head.clone()
            },
            Order::Abandon => {
                Head { mode: Mode::Ending, why: "abandoned".to_owned(), watched: None, ..self.head.clone() }
            }
        };
        self.set(head, out);
        if matches!(order, Order::Resume | Order::Back) {
            // What was stuck is a person's to mend: by this word it is, and it is tried again from where it stands.
            for member in 0..self.members.len() {
                if self.members[member].phase == Phase::Stuck {
                    self.turn(now, member, Phase::Returning, "tried again", out);
                }
            }
        }
        self.tick(now, out);
    }

    /// Members that somebody must look at, with why.
    pub fn named(&self) -> Vec<(String, String)> {
        let stuck = self.members.iter().zip(&self.plan.member).filter(|(m, _)| {
            m.phase == Phase::Stuck || (m.phase == Phase::Uncordoning && !m.why.is_empty())
        });
        stuck.map(|(m, named)| (named.id.clone(), m.why.clone())).collect()
    }

    /// The plan.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }
}

impl Seen {
    /// It is up, and started after that.
    fn up_after(self, start: Ms) -> bool {
        self.up && (self.start > start || self.start == 0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A fleet that does as it is told, with faults as a test wants them.
    pub struct Fleet {
        pub plan: Arc<Plan>,
        pub machine: Machine,
        pub now: Ms,
        pub stored: BTreeMap<String, String>,
        pub cordoned: Vec<BTreeSet<usize>>,
        pub starts: Vec<Ms>,
        pub on: Vec<Version>,
        pub most_out: usize,
        pub audit: Vec<String>,
        pub deaf: Option<usize>,
        pub fails: Option<usize>,
        pub runs: usize,
        pub bad: f64,
        watch: Ms,
    }

    pub fn plan(members: usize, breach: BreachAction) -> Plan {
        let mut plan = Plan { name: "r".into(), from: "1".into(), to: "2".into(), ..Plan::default() };
        plan.nodes = vec!["127.0.0.1:1".parse().unwrap(), "127.0.0.1:2".parse().unwrap()];
        let zones = ["a", "b"];
        plan.member = (0..members)
            .map(|n| crate::plan::Member { id: format!("s-{n}"), zone: zones[n % 2].into() })
            .collect();
        let stage = |name: &str, members| crate::plan::Stage { name: name.into(), members };
        plan.stage = vec![stage("canary", 1), stage("all", members)];
        plan.restart.run = vec!["x".into()];
        plan.back.run = vec!["x".into()];
        plan.gate.breach = breach;
        plan.limits.in_percent = 50;
        plan
    }

    impl Fleet {
        pub fn new(plan: Plan) -> Fleet {
            let (plan, count) = (Arc::new(plan.clone()), plan.member.len());
            let machine = Machine::new(1000, plan.clone(), &BTreeMap::new());
            Fleet {
                plan,
                machine,
                now: 1000,
                stored: BTreeMap::new(),
                cordoned: vec![BTreeSet::new(); count],
                starts: vec![1; count],
                on: vec![Version::Old; count],
                most_out: 0,
                audit: Vec::new(),
                deaf: None,
                fails: None,
                runs: 0,
                bad: 0.0,
                watch: 0,
            }
        }

        pub fn act(&mut self, event: Event) {
            let mut out = Vec::new();
            self.machine.handle(self.now, event, &mut out);
            for action in out {
                match action {
                    Action::Store(key, text) => drop(self.stored.insert(key, text)),
                    Action::Tell { member, node, out } if self.deaf != Some(node) => {
                        if out {
                            self.cordoned[member].insert(node);
                        } else {
                            self.cordoned[member].remove(&node);
                        }
                        self.act(Event::Answered { member, node, out, why: None });
                    }
                    Action::Tell { .. } => {}
                    Action::Run { member, to } => {
                        assert_eq!(self.cordoned[member].len(), 2, "no restart before every node's yes");
                        self.runs += 1;
                        if self.fails == Some(member) {
                            self.act(Event::Ran(member, Some("exit code 1".into())));
                        } else {
                            (self.on[member], self.starts[member]) = (to, self.now);
                            self.act(Event::Ran(member, None));
                        }
                    }
                    Action::Watch => self.watch = self.now,
                    Action::Audit(line) => self.audit.push(line),
                }
            }
            self.most_out = self.most_out.max(self.cordoned.iter().filter(|c| !c.is_empty()).count());
        }

        pub fn second(&mut self) {
            for _ in 0..5 {
                self.now += 200;
                for n in 0..self.on.len() {
                    let cordoned = !self.cordoned[n].is_empty();
                    let seen = Seen { up: true, start: self.starts[n], cordoned, in_flight: Some(0) };
                    self.act(Event::Looked(n, seen));
                }
                self.act(Event::Tick);
            }
            let n = (self.now - self.watch) / 10;
            let group = |failing: f64| {
                let failed = (n as f64 * failing) as u64;
                Sample { done: n - failed, failed, ms: n as f64 * 10.0, ms_squared: n as f64 * 200.0 }
            };
            let (new, rest) = (group(0.01 + self.bad), group(0.01));
            self.act(Event::Compared(new, rest));
        }

        pub fn until(&mut self, seconds: usize, done: impl Fn(&Fleet) -> bool) -> bool {
            (0..seconds).any(|_| {
                self.second();
                done(self)
            })
        }

        fn over(&self) -> bool {
            self.machine.head.mode == Mode::Over
        }

        /// The controller dies, and the next one goes on from what was stored.
        pub fn die(&mut self) {
            self.machine = Machine::new(self.now, self.plan.clone(), &self.stored);
        }
    }

    #[test]
    fn a_clean_release_goes_through_its_stages_one_out_at_a_time() {
        let mut f = Fleet::new(plan(4, BreachAction::Halt));
        assert!(f.until(600, Fleet::over), "{:?}", f.machine.head);
        assert_eq!((f.on.clone(), f.most_out, f.runs), (vec![Version::New; 4], 1, 4));
        assert!(f.cordoned.iter().all(BTreeSet::is_empty) && f.machine.named().is_empty());
        assert_eq!(f.machine.head.why, "all are on 2");
    }

    #[test]
    fn a_bad_canary_halts_it_before_a_second_one_is_touched_and_the_way_back_is_taken() {
        let mut f = Fleet::new(plan(4, BreachAction::Halt));
        f.bad = 0.1;
        assert!(f.until(300, |f| f.machine.head.mode == Mode::Halted));
        assert_eq!(f.runs, 1);
        assert!(f.machine.head.why.contains("fail"), "{}", f.machine.head.why);
        f.act(Event::Ordered(Order::Back));
        assert!(f.until(300, Fleet::over));
        assert_eq!((f.on.clone(), f.runs), (vec![Version::Old; 4], 2));
        let mut f = Fleet::new(plan(4, BreachAction::Back));
        f.bad = 0.1;
        assert!(f.until(300, Fleet::over));
        assert_eq!((f.on.clone(), f.runs), (vec![Version::Old; 4], 2));
    }

    #[test]
    fn a_controller_that_dies_at_any_second_is_followed_by_one_that_ends_it_and_repeats_no_restart() {
        for second in 0..150 {
            let mut f = Fleet::new(plan(3, BreachAction::Halt));
            f.until(second, |_| false);
            f.die();
            assert!(
                f.until(900, Fleet::over),
                "died at {second}: {:?} {:?}",
                f.machine.head,
                f.machine.members
            );
            assert_eq!(
                (f.on.clone(), f.runs, f.most_out),
                (vec![Version::New; 3], 3, 1),
                "died at {second}"
            );
            assert!(f.cordoned.iter().all(BTreeSet::is_empty));
        }
    }

    #[test]
    fn a_node_that_does_not_take_the_cordon_halts_it_and_nothing_is_restarted() {
        let mut f = Fleet::new(plan(4, BreachAction::Back));
        f.deaf = Some(1);
        assert!(f.until(60, |f| f.machine.head.mode == Mode::Halted));
        assert_eq!(f.runs, 0);
        assert!(
            f.machine.head.why.contains("127.0.0.1:2 did not take the cordon of s-0"),
            "{}",
            f.machine.head.why
        );
        assert!(!f.machine.named().is_empty(), "it is named until every node has it back");
        f.deaf = None;
        f.until(60, |_| false);
        assert!(f.cordoned.iter().all(BTreeSet::is_empty) && f.machine.named().is_empty());
        f.act(Event::Ordered(Order::Resume));
        assert!(f.until(600, Fleet::over));
    }

    #[test]
    fn a_restart_that_fails_leaves_its_member_cordoned_and_named() {
        let mut f = Fleet::new(plan(4, BreachAction::Halt));
        f.fails = Some(0);
        assert!(f.until(60, |f| f.machine.head.mode == Mode::Halted));
        assert_eq!(f.machine.named(), [("s-0".to_owned(), "exit code 1".to_owned())]);
        assert_eq!(f.cordoned[0].len(), 2);
        assert!(f.cordoned[1..].iter().all(BTreeSet::is_empty));
    }

    #[test]
    fn a_halt_gives_back_what_is_not_restarted_and_resume_goes_on() {
        let mut f = Fleet::new(plan(4, BreachAction::Halt));
        f.second();
        assert_eq!(f.machine.members[0].phase, Phase::Draining);
        f.act(Event::Ordered(Order::Halt));
        f.second();
        assert!(f.cordoned.iter().all(BTreeSet::is_empty) && f.runs == 0);
        f.until(60, |_| false);
        assert_eq!((f.machine.head.mode, f.runs), (Mode::Halted, 0));
        f.act(Event::Ordered(Order::Resume));
        assert!(f.until(600, Fleet::over));
        // Abandoned, it ends as it stands.
        let mut f = Fleet::new(plan(4, BreachAction::Halt));
        f.until(30, |_| false);
        f.act(Event::Ordered(Order::Abandon));
        assert!(f.until(30, Fleet::over));
        assert!(f.cordoned.iter().all(BTreeSet::is_empty));
    }

    #[test]
    fn what_others_took_out_counts_and_stays_out() {
        let mut f = Fleet::new(plan(4, BreachAction::Halt));
        // Both of zone b but one: an operator's.
        f.cordoned[1].extend([0, 1]);
        assert!(
            !f.until(200, |f| f.machine.members[3].phase != Phase::In),
            "it would be the last of its zone"
        );
        assert!(f.runs <= 2 && f.cordoned[1].len() == 2);
        f.cordoned[1].clear();
        assert!(f.until(600, Fleet::over));
        assert_eq!(f.on, [Version::New; 4]);
    }

    #[test]
    fn one_that_starts_again_by_itself_is_a_breach() {
        let mut f = Fleet::new(plan(4, BreachAction::Back));
        assert!(f.until(60, |f| f.machine.head.watched.is_some()));
        f.starts[0] = f.now;
        assert!(f.until(300, Fleet::over));
        assert_eq!(f.on, [Version::Old; 4]);
        assert!(f.machine.head.why.contains("started again"), "{}", f.machine.head.why);
    }

    #[test]
    fn an_overtaken_controller_does_nothing_more() {
        let mut f = Fleet::new(plan(2, BreachAction::Halt));
        f.second();
        f.act(Event::Overtaken);
        let (stored, runs) = (f.stored.clone(), f.runs);
        f.until(60, |_| false);
        assert_eq!((stored, runs), (f.stored.clone(), f.runs));
    }
}
