//! Model checking of the membership protocol among three nodes: every way to lose a few messages and to end
//! one node.

use daleturn::control::membership::{MemberState, Membership, Message, Ms, NodeId, Output, Status};
use stateright::{Checker, Model, Property};

/// Length of a step: messages sent in one step arrive in the next.
const STEP_MS: Ms = 200;
const SILENT_MS: Ms = 700;
const COUNT: u16 = 3;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Content {
    Message(Message),
    /// Regular traffic of a neighbour, which shows that the node is alive.
    Heartbeat,
    Update(NodeId, MemberState),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Envelope {
    from: NodeId,
    to: NodeId,
    state: MemberState,
    content: Content,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    step: u16,
    nodes: Vec<Option<Membership>>,
    envelopes: Vec<Envelope>,
    lost: u8,
    ended: Option<(NodeId, u16)>,
    /// A node declared a member dead that it had not suspected before.
    died_unsuspected: bool,
    /// A member's state went back to an earlier one.
    went_back: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// All messages arrive except this one.
    Lose(Option<usize>),
    /// This node's process ends; all messages arrive.
    End(NodeId),
}

struct World {
    losses: u8,
    ends: bool,
    steps: u16,
}

impl State {
    fn others(&self, n: NodeId) -> Vec<NodeId> {
        (0..COUNT).filter(|o| *o != n).collect()
    }

    fn send(&mut self, now: Ms, n: NodeId, outputs: Vec<Output>) {
        let others = self.others(n);
        let Some(Some(node)) = self.nodes.get_mut(usize::from(n)) else { return };
        let state = node.local_state(now);
        for output in outputs {
            let (to, content): (Vec<NodeId>, Content) = match output {
                Output::Send(to, message) => (vec![to], Content::Message(message)),
                Output::Disseminate(who) | Output::Notify(who) => {
                    let to = if matches!(output, Output::Notify(_)) { vec![who] } else { others.clone() };
                    (to, Content::Update(who, node.state(who).unwrap()))
                }
            };
            for to in to {
                let envelope = Envelope { from: n, to, state, content: content.clone() };
                if !self.envelopes.contains(&envelope) {
                    self.envelopes.push(envelope);
                }
            }
        }
    }

    fn statuses(&self) -> Vec<Vec<Option<MemberState>>> {
        let of = |m: &Membership| (0..COUNT).map(|n| m.state(n)).collect();
        self.nodes.iter().map(|n| n.as_ref().map_or_else(Vec::new, of)).collect()
    }

    fn deliver(&mut self, lose: Option<usize>) {
        self.step += 1;
        let now = Ms::from(self.step) * STEP_MS;
        let before = self.statuses();
        let mut envelopes = std::mem::take(&mut self.envelopes);
        if let Some(n) = lose {
            envelopes.remove(n);
            self.lost += 1;
        }
        for Envelope { from, to, state, content } in envelopes {
            let mut out = Vec::new();
            let Some(Some(node)) = self.nodes.get_mut(usize::from(to)) else { continue };
            node.heard_from(now, from, state, &mut out);
            match content {
                Content::Message(message) => node.handle_message(now, from, message, &mut out),
                Content::Update(who, state) => {
                    node.apply_update(now, who, state, 0, &mut out);
                }
                Content::Heartbeat => {}
            }
            self.send(now, to, out);
        }
        for n in 0..COUNT {
            let others = self.others(n);
            let step = self.step;
            let Some(Some(node)) = self.nodes.get_mut(usize::from(n)) else { continue };
            let previous: Vec<Option<Status>> =
                (0..COUNT).map(|o| node.state(o).map(|state| state.status)).collect();
            let mut out = Vec::new();
            node.tick(now, &others, SILENT_MS, &mut || 0, &mut out);
            // By its own clock a node declares only members dead that it suspected before.
            let is_dead = |o: NodeId| node.state(o).is_some_and(|state| state.status == Status::Dead);
            self.died_unsuspected |=
                (0..COUNT).any(|o| is_dead(o) && previous[usize::from(o)] == Some(Status::Alive));
            self.send(now, n, out);
            if step.is_multiple_of(2) {
                let state = self.nodes[usize::from(n)].as_mut().unwrap().local_state(now);
                for to in self.others(n) {
                    self.envelopes.push(Envelope { from: n, to, state, content: Content::Heartbeat });
                }
            }
        }
        for (was, is) in before.iter().zip(self.statuses()) {
            self.went_back |= was.iter().zip(is).any(|(was, is)| match (was, is) {
                (Some(was), Some(is)) => is < *was && is.incarnation <= was.incarnation,
                _ => false,
            });
        }
    }
}

impl Model for World {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let nodes = (0..COUNT).map(|n| Some(Membership::new(0, n, COUNT, 1))).collect();
        let (envelopes, lost, ended) = (Vec::new(), 0, None);
        vec![State { step: 0, nodes, envelopes, lost, ended, died_unsuspected: false, went_back: false }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        if state.step >= self.steps {
            return;
        }
        actions.push(Step::Lose(None));
        if state.lost < self.losses {
            actions.extend((0..state.envelopes.len()).map(|n| Step::Lose(Some(n))));
        }
        if self.ends && state.ended.is_none() && state.step < 6 {
            actions.extend((0..COUNT).map(Step::End));
        }
    }

    fn next_state(&self, state: &State, action: Step) -> Option<State> {
        let mut next = state.clone();
        match action {
            Step::Lose(lose) => next.deliver(lose),
            Step::End(n) => {
                next.nodes[usize::from(n)] = None;
                next.ended = Some((n, state.step));
                next.deliver(None);
            }
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<World>> {
        vec![
            Property::always(
                "no member is declared dead without a suspicion that it could refute",
                |_, s: &State| !s.died_unsuspected,
            ),
            Property::always("no member's state goes back", |_, s: &State| !s.went_back),
            Property::always("no live member is declared dead", |_, s: &State| {
                // With so few losses every suspicion is refuted in time, so no live node is ever declared
                // dead.
                let is_running = |n: NodeId| s.nodes[usize::from(n)].is_some();
                s.nodes.iter().flatten().all(|m| {
                    (0..COUNT)
                        .filter(|n| is_running(*n))
                        .all(|n| m.state(n).is_some_and(|state| state.status != Status::Dead))
                })
            }),
            Property::always("a node that ended is found", |_, s: &State| {
                let Some((dead, at)) = s.ended else { return true };
                // Silence, four pings and the time for a refutation take 5 s; the limit of 7 s leaves time for
                // lost messages.
                s.step < at + 35 || s.nodes.iter().flatten().all(|m| !m.is_present(dead))
            }),
            Property::sometimes("some member is suspected", |_, s: &State| {
                let suspects_any = |m: &Membership| {
                    (0..COUNT).any(|n| m.state(n).is_some_and(|state| state.status == Status::Suspect))
                };
                s.nodes.iter().flatten().any(suspects_any)
            }),
        ]
    }
}

#[test]
fn a_node_that_ends_is_found_and_no_other_is_taken_for_dead_whichever_three_messages_are_lost() {
    let world = World { losses: 3, ends: true, steps: 42 };
    let checker = world.checker().threads(4).spawn_bfs().join();
    println!(
        "{} states, {} of them unique, depth {}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth()
    );
    checker.assert_properties();
}
