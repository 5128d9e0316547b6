//! Model checking of the rollout. The controller may die after any action, and a node may stop receiving
//! calls at any time, while commands that were already started still complete.

use daleturn_release::plan::{self, Plan};
use daleturn_release::rollout::{
    Action, Event, Member, MemberObservation, Mode, Ms, Phase, Rollout, RolloutState, Version,
};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const MAX_STEPS: u16 = 70;
const STEP_MS: Ms = 1000;
const NODES: usize = 2;
/// Seconds that a restart takes beyond the first.
const RESTART_S: u8 = 2;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    step: u16,
    rollout_state: RolloutState,
    members: Vec<Member>,
    started: Ms,
    stored: BTreeMap<String, String>,
    cordoned_by: Vec<BTreeSet<usize>>,
    starts: Vec<Ms>,
    versions: Vec<Version>,
    /// Restarts in progress, by member. They complete even if the controller that ordered them dies.
    pending_restarts: Vec<Option<(Version, u8)>>,
    command_runs: Vec<u8>,
    deaths: u8,
    unreachable_node: Option<usize>,
    unsafe_restart: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// One second passes.
    Pass,
    /// One second passes, and the controller dies after this many actions.
    Die(usize),
    /// A node receives no calls from here on.
    Unreachable(usize),
}

struct ReleaseModel {
    plan: Arc<Plan>,
    max_deaths: u8,
    node_may_fail: bool,
}

impl ReleaseModel {
    fn new(max_deaths: u8, node_may_fail: bool) -> ReleaseModel {
        let mut plan = Plan { name: "r".into(), from: "1".into(), to: "2".into(), ..Plan::default() };
        plan.nodes = (1..=NODES).map(|n| format!("127.0.0.1:{n}").parse().unwrap()).collect();
        plan.member =
            (0..2).map(|n| plan::Member { id: format!("s-{n}"), zone: format!("z{n}") }).collect();
        plan.stage = vec![plan::Stage { name: "all".into(), members: 2 }];
        plan.limits.in_percent = 0;
        plan.times = plan::Times { cordon_s: 3, drain_s: 2, back_s: 6, warm_s: 1, watch_s: 1, wait_s: 3 };
        plan.restart.limit_s = 4;
        ReleaseModel { plan: Arc::new(plan), max_deaths, node_may_fail }
    }

    /// Carries out actions until `actions_left` is used up; `None` is no limit. Returns false if the controller
    /// died.
    fn carry_out(
        &self,
        s: &mut State,
        rollout: &mut Rollout,
        event: Event,
        actions_left: &mut Option<usize>,
    ) -> bool {
        let now = Ms::from(s.step) * STEP_MS;
        let mut actions = Vec::new();
        rollout.handle(now, event, &mut actions);
        for action in actions {
            if let Some(count) = actions_left {
                if *count == 0 {
                    return false;
                }
                *count -= 1;
            }
            match action {
                Action::Store(key, text) => {
                    s.stored.insert(key, text);
                }
                Action::SetCordon { member, node, cordon } if s.unreachable_node != Some(node) => {
                    if cordon {
                        s.cordoned_by[member].insert(node);
                    } else {
                        s.cordoned_by[member].remove(&node);
                    }
                    if !self.carry_out(
                        s,
                        rollout,
                        Event::CordonAnswered { member, node, cordon, error: None },
                        actions_left,
                    ) {
                        return false;
                    }
                }
                Action::RunCommand { member, to } => {
                    s.unsafe_restart |= s.cordoned_by[member].len() < NODES;
                    s.command_runs[member] += 1;
                    s.pending_restarts[member] = Some((to, RESTART_S));
                }
                Action::SetCordon { .. } | Action::StartWatch | Action::Audit(_) => {}
            }
        }
        true
    }

    fn run_one_second(&self, s: &mut State, mut actions_left: Option<usize>) {
        s.step += 1;
        let now = Ms::from(s.step) * STEP_MS;
        let mut rollout =
            Rollout::from_parts(self.plan.clone(), s.rollout_state.clone(), s.members.clone(), s.started);
        let mut alive = true;
        for n in 0..s.versions.len() {
            if let Some((to, seconds_left @ 1..)) = s.pending_restarts[n] {
                s.pending_restarts[n] = Some((to, seconds_left - 1));
            } else if let Some((to, _)) = s.pending_restarts[n].take() {
                (s.versions[n], s.starts[n]) = (to, now);
                alive = alive
                    && self.carry_out(s, &mut rollout, Event::CommandEnded(n, None), &mut actions_left);
            }
            let observation = MemberObservation {
                up: s.pending_restarts[n].is_none(),
                start: s.starts[n],
                cordoned: !s.cordoned_by[n].is_empty(),
                in_flight: Some(0),
            };
            alive = alive
                && self.carry_out(s, &mut rollout, Event::Observed(n, observation), &mut actions_left);
        }
        alive = alive && self.carry_out(s, &mut rollout, Event::Tick, &mut actions_left);
        if !alive || actions_left.is_some() {
            s.deaths += 1;
            rollout = Rollout::new(now, self.plan.clone(), &s.stored);
            s.started = now;
        }
        (s.rollout_state, s.members) = (rollout.state.clone(), rollout.members.clone());
    }
}

impl Model for ReleaseModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let rollout = Rollout::new(0, self.plan.clone(), &BTreeMap::new());
        let count = self.plan.member.len();
        vec![State {
            step: 0,
            rollout_state: rollout.state.clone(),
            members: rollout.members.clone(),
            started: 0,
            stored: BTreeMap::new(),
            cordoned_by: vec![BTreeSet::new(); count],
            starts: vec![1; count],
            versions: vec![Version::Old; count],
            pending_restarts: vec![None; count],
            command_runs: vec![0; count],
            deaths: 0,
            unreachable_node: None,
            unsafe_restart: false,
        }]
    }

    fn actions(&self, s: &State, actions: &mut Vec<Step>) {
        if s.step >= MAX_STEPS || s.rollout_state.mode == Mode::Over {
            return;
        }
        actions.push(Step::Pass);
        if s.deaths < self.max_deaths {
            actions.extend((0..6).map(Step::Die));
        }
        if self.node_may_fail && s.unreachable_node.is_none() {
            actions.extend((0..NODES).map(Step::Unreachable));
        }
    }

    fn next_state(&self, state: &State, action: Step) -> Option<State> {
        let mut next = state.clone();
        match action {
            Step::Pass => self.run_one_second(&mut next, None),
            Step::Die(after) => self.run_one_second(&mut next, Some(after)),
            Step::Unreachable(node) => next.unreachable_node = Some(node),
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<ReleaseModel>> {
        vec![
            Property::always("no restart before every node has confirmed the cordon", |_, s: &State| {
                !s.unsafe_restart
            }),
            Property::always("no more members out of service than allowed", |_, s: &State| {
                s.cordoned_by.iter().filter(|c| !c.is_empty()).count() <= 1
            }),
            Property::always("no restart is repeated", |_, s: &State| {
                s.command_runs.iter().all(|n| *n <= 1)
            }),
            Property::always(
                "the release ends, or halts and reports each member that is not in service",
                |_, s: &State| {
                    let is_reported =
                        |n: usize| s.cordoned_by[n].is_empty() || s.members[n].phase != Phase::In;
                    s.step < MAX_STEPS
                        || s.rollout_state.mode == Mode::Over
                        || (s.rollout_state.mode == Mode::Halted && (0..s.versions.len()).all(is_reported))
                },
            ),
            Property::always(
                "a release that is over has updated and uncordoned all members",
                |_, s: &State| {
                    s.rollout_state.mode != Mode::Over
                        || (s.versions.iter().all(|v| *v == Version::New)
                            && s.cordoned_by.iter().all(BTreeSet::is_empty))
                },
            ),
            Property::sometimes("the release ends", |_, s: &State| s.rollout_state.mode == Mode::Over),
        ]
    }
}

fn check(max_deaths: u8, node_may_fail: bool) {
    let checker = ReleaseModel::new(max_deaths, node_may_fail).checker().threads(4).spawn_bfs().join();
    println!(
        "{max_deaths} deaths, unreachable node {node_may_fail}: {} states, {} of them unique, depth {}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth()
    );
    checker.assert_properties();
}

#[test]
fn release_ends_with_one_restart_per_member_for_any_two_controller_deaths() {
    check(2, false);
}

#[test]
fn release_ends_or_halts_with_a_report_if_a_node_becomes_unreachable_and_the_controller_dies() {
    check(1, true);
}
