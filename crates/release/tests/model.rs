//! The release machine under a model checker: its controller dies after any action, and a node is deaf from any moment
//! on, while the world does what it was told before.

use daleturn_release::machine::{Action, Event, Head, Machine, Member, Mode, Ms, Phase, Seen, Version};
use daleturn_release::plan::{self, Plan};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const STEPS: u16 = 70;
const STEP_MS: Ms = 1000;
const NODES: usize = 2;
/// Seconds that a restart takes beyond the first.
const RESTART: u8 = 2;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    step: u16,
    head: Head,
    members: Vec<Member>,
    started: Ms,
    stored: BTreeMap<String, String>,
    cordoned: Vec<BTreeSet<usize>>,
    starts: Vec<Ms>,
    on: Vec<Version>,
    /// Restarts that the world is about to make, whoever asked for them.
    pending: Vec<Option<(Version, u8)>>,
    runs: Vec<u8>,
    deaths: u8,
    deaf: Option<usize>,
    unsafe_restart: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// A second passes.
    Pass,
    /// The same, but the controller dies after so many actions.
    Die(usize),
    /// A node hears nothing from here on.
    Deaf(usize),
}

struct World {
    plan: Arc<Plan>,
    deaths: u8,
    deaf: bool,
}

impl World {
    fn new(deaths: u8, deaf: bool) -> World {
        let mut plan = Plan { name: "r".into(), from: "1".into(), to: "2".into(), ..Plan::default() };
        plan.nodes = (1..=NODES).map(|n| format!("127.0.0.1:{n}").parse().unwrap()).collect();
        plan.member =
            (0..2).map(|n| plan::Member { id: format!("s-{n}"), zone: format!("z{n}") }).collect();
        plan.stage = vec![plan::Stage { name: "all".into(), members: 2 }];
        plan.limits.in_percent = 0;
        plan.times = plan::Times { cordon_s: 3, drain_s: 2, back_s: 6, warm_s: 1, watch_s: 1, wait_s: 3 };
        plan.restart.limit_s = 4;
        World { plan: Arc::new(plan), deaths, deaf }
    }

    /// Carries actions out, but for those after the `most`th; false: the controller died on the way.
    fn carry_out(
        &self,
        s: &mut State,
        machine: &mut Machine,
        event: Event,
        left: &mut Option<usize>,
    ) -> bool {
        let now = Ms::from(s.step) * STEP_MS;
        let mut out = Vec::new();
        machine.handle(now, event, &mut out);
        for action in out {
            if let Some(left) = left {
                if *left == 0 {
                    return false;
                }
                *left -= 1;
            }
            match action {
                Action::Store(key, text) => {
                    s.stored.insert(key, text);
                }
                Action::Tell { member, node, out } if s.deaf != Some(node) => {
                    if out {
                        s.cordoned[member].insert(node);
                    } else {
                        s.cordoned[member].remove(&node);
                    }
                    if !self.carry_out(s, machine, Event::Answered { member, node, out, why: None }, left) {
                        return false;
                    }
                }
                Action::Run { member, to } => {
                    s.unsafe_restart |= s.cordoned[member].len() < NODES;
                    s.runs[member] += 1;
                    s.pending[member] = Some((to, RESTART));
                }
                Action::Tell { .. } | Action::Watch | Action::Audit(_) => {}
            }
        }
        true
    }

    fn pass(&self, s: &mut State, mut left: Option<usize>) {
        s.step += 1;
        let now = Ms::from(s.step) * STEP_MS;
        let mut machine = Machine::with(self.plan.clone(), s.head.clone(), s.members.clone(), s.started);
        let mut lives = true;
        for n in 0..s.on.len() {
            if let Some((to, left @ 1..)) = s.pending[n] {
                s.pending[n] = Some((to, left - 1));
            } else if let Some((to, _)) = s.pending[n].take() {
                (s.on[n], s.starts[n]) = (to, now);
                lives = lives && self.carry_out(s, &mut machine, Event::Ran(n, None), &mut left);
            }
            let seen = Seen {
                up: s.pending[n].is_none(),
                start: s.starts[n],
                cordoned: !s.cordoned[n].is_empty(),
                in_flight: Some(0),
            };
            lives = lives && self.carry_out(s, &mut machine, Event::Looked(n, seen), &mut left);
        }
        lives = lives && self.carry_out(s, &mut machine, Event::Tick, &mut left);
        if !lives || left.is_some() {
            s.deaths += 1;
            machine = Machine::new(now, self.plan.clone(), &s.stored);
            s.started = now;
        }
        (s.head, s.members) = (machine.head.clone(), machine.members.clone());
    }
}

impl Model for World {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let machine = Machine::new(0, self.plan.clone(), &BTreeMap::new());
        let count = self.plan.member.len();
        vec![State {
            step: 0,
            head: machine.head.clone(),
            members: machine.members.clone(),
            started: 0,
            stored: BTreeMap::new(),
            cordoned: vec![BTreeSet::new(); count],
            starts: vec![1; count],
            on: vec![Version::Old; count],
            pending: vec![None; count],
            runs: vec![0; count],
            deaths: 0,
            deaf: None,
            unsafe_restart: false,
        }]
    }

    fn actions(&self, s: &State, actions: &mut Vec<Step>) {
        if s.step >= STEPS || s.head.mode == Mode::Over {
            return;
        }
        actions.push(Step::Pass);
        if s.deaths < self.deaths {
            actions.extend((0..6).map(Step::Die));
        }
        if self.deaf && s.deaf.is_none() {
            actions.extend((0..NODES).map(Step::Deaf));
        }
    }

    fn next_state(&self, state: &State, action: Step) -> Option<State> {
        let mut next = state.clone();
        match action {
            Step::Pass => self.pass(&mut next, None),
            Step::Die(after) => self.pass(&mut next, Some(after)),
            Step::Deaf(node) => next.deaf = Some(node),
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<World>> {
        vec![
            Property::always("no restart before every node's yes", |_, s: &State| !s.unsafe_restart),
            Property::always("no more out than allowed", |_, s: &State| {
                s.cordoned.iter().filter(|c| !c.is_empty()).count() <= 1
            }),
            Property::always("no restart is made twice", |_, s: &State| s.runs.iter().all(|n| *n <= 1)),
            Property::always("it ends, or halts and names whoever is not back", |_, s: &State| {
                let named = |n: usize| s.cordoned[n].is_empty() || s.members[n].phase != Phase::In;
                s.step < STEPS
                    || s.head.mode == Mode::Over
                    || (s.head.mode == Mode::Halted && (0..s.on.len()).all(named))
            }),
            Property::always("what is over is whole", |_, s: &State| {
                s.head.mode != Mode::Over
                    || (s.on.iter().all(|v| *v == Version::New)
                        && s.cordoned.iter().all(BTreeSet::is_empty))
            }),
            Property::sometimes("it ends", |_, s: &State| s.head.mode == Mode::Over),
        ]
    }
}

fn check(deaths: u8, deaf: bool) {
    let checker = World::new(deaths, deaf).checker().threads(4).spawn_bfs().join();
    println!(
        "{deaths} deaths, deaf {deaf}: {} states, {} of them unique, depth {}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth()
    );
    checker.assert_properties();
}

#[test]
fn whatever_the_moments_of_two_deaths_it_ends_and_restarts_each_member_once() {
    check(2, false);
}

#[test]
fn with_a_node_that_turns_deaf_and_a_death_it_ends_or_halts_and_names() {
    check(1, true);
}
