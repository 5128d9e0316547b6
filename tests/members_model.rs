//! The membership machine under a model checker: every way to lose a few messages, to cut a node off and to end one,
//! among three nodes.

use daleturn::control::membership::{MemberState, Membership, Message, Ms, NodeId, Output, Status};
use stateright::{Checker, Model, Property};

/// Time of one step: what was sent in one arrives in the next.
const STEP_MS: Ms = 200;
const SILENT_MS: Ms = 700;
const COUNT: u16 = 3;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum What {
    Check(Message),
    /// What a neighbour says anyway: that it is there.
    Hello,
    News(NodeId, MemberState),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Letter {
    from: NodeId,
    to: NodeId,
    life: MemberState,
    what: What,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    step: u16,
    nodes: Vec<Option<Membership>>,
    letters: Vec<Letter>,
    lost: u8,
    ended: Option<(NodeId, u16)>,
    /// Somebody was declared gone without having been suspected for the time that it has to refute that.
    unfair: bool,
    /// An incarnation went back.
    back: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// All letters arrive but this one.
    Lose(Option<usize>),
    /// This node's process ends, and all letters arrive.
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

    fn take(&mut self, now: Ms, n: NodeId, outputs: Vec<Output>) {
        let others = self.others(n);
        let Some(Some(node)) = self.nodes.get_mut(usize::from(n)) else { return };
        let life = node.local_state(now);
        for output in outputs {
            let (to, what): (Vec<NodeId>, What) = match output {
                Output::Send(to, message) => (vec![to], What::Check(message)),
                Output::Disseminate(who) | Output::Notify(who) => {
                    let to = if matches!(output, Output::Notify(_)) { vec![who] } else { others.clone() };
                    (to, What::News(who, node.state(who).unwrap()))
                }
            };
            for to in to {
                let letter = Letter { from: n, to, life, what: what.clone() };
                if !self.letters.contains(&letter) {
                    self.letters.push(letter);
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
        let mut letters = std::mem::take(&mut self.letters);
        if let Some(n) = lose {
            letters.remove(n);
            self.lost += 1;
        }
        for Letter { from, to, life, what } in letters {
            let mut out = Vec::new();
            let Some(Some(node)) = self.nodes.get_mut(usize::from(to)) else { continue };
            node.heard_from(now, from, life, &mut out);
            match what {
                What::Check(message) => node.handle_message(now, from, message, &mut out),
                What::News(who, life) => {
                    node.apply_update(now, who, life, 0, &mut out);
                }
                What::Hello => {}
            }
            self.take(now, to, out);
        }
        for n in 0..COUNT {
            let others = self.others(n);
            let step = self.step;
            let Some(Some(node)) = self.nodes.get_mut(usize::from(n)) else { continue };
            let held: Vec<Option<Status>> = (0..COUNT).map(|o| node.state(o).map(|l| l.status)).collect();
            let mut out = Vec::new();
            node.tick(now, &others, SILENT_MS, &mut || 0, &mut out);
            // By its own clock alone a node declares nobody gone that it did not hold for suspect before.
            let gone = |o: NodeId| node.state(o).is_some_and(|l| l.status == Status::Dead);
            self.unfair |= (0..COUNT).any(|o| gone(o) && held[usize::from(o)] == Some(Status::Alive));
            self.take(now, n, out);
            if step.is_multiple_of(2) {
                let life = self.nodes[usize::from(n)].as_mut().unwrap().local_state(now);
                for to in self.others(n) {
                    self.letters.push(Letter { from: n, to, life, what: What::Hello });
                }
            }
        }
        for (was, is) in before.iter().zip(self.statuses()) {
            self.back |= was.iter().zip(is).any(|(was, is)| match (was, is) {
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
        let (letters, lost, ended) = (Vec::new(), 0, None);
        vec![State { step: 0, nodes, letters, lost, ended, unfair: false, back: false }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        if state.step >= self.steps {
            return;
        }
        actions.push(Step::Lose(None));
        if state.lost < self.losses {
            actions.extend((0..state.letters.len()).map(|n| Step::Lose(Some(n))));
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
                "nobody is declared gone without a suspicion that it could refute",
                |_, s: &State| !s.unfair,
            ),
            Property::always("no incarnation and no word goes back", |_, s: &State| !s.back),
            Property::always("who lives and can be reached is not gone for long", |_, s: &State| {
                // With few losses every suspicion is refuted in time: nobody alive is ever gone.
                let alive = |n: NodeId| s.nodes[usize::from(n)].is_some();
                s.nodes.iter().flatten().all(|m| {
                    (0..COUNT)
                        .filter(|n| alive(*n))
                        .all(|n| m.state(n).is_some_and(|l| l.status != Status::Dead))
                })
            }),
            Property::always("one that ended is found", |_, s: &State| {
                let Some((dead, at)) = s.ended else { return true };
                // Silence, four questions, and the time to refute: 5 s, and as much again for a lost word.
                s.step < at + 35 || s.nodes.iter().flatten().all(|m| !m.is_present(dead))
            }),
            Property::sometimes("somebody is suspected", |_, s: &State| {
                let suspect = |m: &Membership| {
                    (0..COUNT).any(|n| m.state(n).is_some_and(|l| l.status == Status::Suspect))
                };
                s.nodes.iter().flatten().any(suspect)
            }),
        ]
    }
}

#[test]
fn one_that_ends_is_found_and_nobody_else_is_taken_for_gone_whatever_three_letters_are_lost() {
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
