//! What nodes say to each other of backends, when they say it, and what is made of it. How a message is
//! written stands in `src/news.rs`.

use super::Balancer;
use crate::interface::Action;
use crate::peer_message::PeerMessage;

/// Part of all attempts that fail from which a failure says nothing of one backend.
const MAX_FLEET_FAILURE_SHARE: f64 = 0.12;
/// Part of attempts that fail at a backend whose answers are news too.
pub(super) const REPORT_ANSWERS_FROM: f64 = 0.3;
/// Answers of a backend within the failure window from which a node learns of it alone.
const MIN_WINDOW_ANSWERS: f64 = 8.0;

impl Balancer {
    /// Whether one node meets a backend too seldom to learn of it alone. Then nodes tell each other.
    pub(super) fn relies_on_peers(&self) -> bool {
        self.settings.peer_messages && self.settings.instances > 1 && self.has_few_answers()
    }

    pub(super) fn has_few_answers(&self) -> bool {
        self.warm_rate.peak * self.failure_window_ms() / 1000.0 < MIN_WINDOW_ANSWERS
    }

    /// Tells the other nodes what each of them would otherwise have to find out by itself.
    pub(super) fn broadcast(&self, message: PeerMessage, i: usize, actions: &mut Vec<Action>) {
        if self.relies_on_peers() && self.fleet_failure_share < MAX_FLEET_FAILURE_SHARE {
            actions.push(Action::SendPeerMessage { to: None, bytes: message.encode(self.backends[i].id) });
        }
    }

    /// Another node's news; what cannot be read, or is of a backend that is not listed here, changes nothing.
    pub(super) fn on_peer_message(&mut self, now: f64, bytes: &[u8], actions: &mut Vec<Action>) {
        let Some((message, short)) = PeerMessage::decode(bytes) else { return };
        let Some(i) = self.backends.iter().position(|b| b.id.short() == short) else { return };
        let window = self.failure_window_ms();
        let congested = self.backends[i].failure_record.congested;
        match message {
            PeerMessage::TrialFailed | PeerMessage::TrialSucceeded if congested => {
                self.apply_trial_result(now, i, message, actions)
            }
            PeerMessage::AttemptFailed | PeerMessage::AttemptAnswered
                if !congested && self.relies_on_peers() =>
            {
                self.backends[i].failure_record.window.record(
                    now,
                    window,
                    matches!(message, PeerMessage::AttemptFailed),
                );
                self.update_congestion(now, i, actions);
            }
            _ => {}
        }
    }
}
