//! Messages between nodes about backends: when they are sent, and how a received one is applied. Their
//! encoding is in `src/peer_message.rs`.

use super::Balancer;
use crate::interface::Action;
use crate::peer_message::PeerMessage;

/// Share of failing attempts over all backends from which a failure says nothing about one backend.
const MAX_FLEET_FAILURE_SHARE: f64 = 0.12;
/// Share of failing attempts at a backend from which its answers are reported too.
pub(super) const REPORT_ANSWERS_FROM: f64 = 0.3;
/// Answers of a backend within the failure window from which one node detects its failure alone.
const MIN_WINDOW_ANSWERS: f64 = 8.0;

impl Balancer {
    /// True if this node sends to each backend too seldom to detect its failure alone, and messages between
    /// nodes are allowed. Nodes then report failures to each other.
    pub(super) fn relies_on_peers(&self) -> bool {
        self.settings.peer_messages && self.settings.instances > 1 && self.has_few_answers()
    }

    /// True if a warm backend gives this node too few answers within the failure window.
    pub(super) fn has_few_answers(&self) -> bool {
        self.warm_rate.peak * self.failure_window_ms() / 1000.0 < MIN_WINDOW_ANSWERS
    }

    /// Sends a message about a backend to all other nodes, where they rely on each other and the failure is
    /// not one of the whole fleet.
    pub(super) fn broadcast(&self, message: PeerMessage, i: usize, actions: &mut Vec<Action>) {
        if self.relies_on_peers() && self.fleet_failure_share < MAX_FLEET_FAILURE_SHARE {
            actions.push(Action::SendPeerMessage { to: None, bytes: message.encode(self.backends[i].id) });
        }
    }

    /// Applies another node's message. A message that cannot be decoded, or whose backend is not listed
    /// here, is ignored.
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
