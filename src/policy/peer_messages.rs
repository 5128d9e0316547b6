//! What nodes say to each other of backends, when they say it, and what is made of it. How a message is
//! written stands in `src/news.rs`.

use super::Balancer;
use crate::interface::Action;
use crate::peer_message::PeerMessage;

/// Part of all attempts that fail from which a failure says nothing of one backend.
const SHARED_FAILING: f64 = 0.12;
/// Part of attempts that fail at a backend whose answers are news too.
pub(super) const TOLD_ANSWERS: f64 = 0.3;
/// Answers of a backend within the failure window from which a node learns of it alone.
const ENOUGH_VISITS: f64 = 8.0;

impl Balancer {
    /// Whether one node meets a backend too seldom to learn of it alone. Then nodes tell each other.
    pub(super) fn seldom(&self) -> bool {
        self.settings.peer_messages && self.settings.instances > 1 && self.meets_few()
    }

    pub(super) fn meets_few(&self) -> bool {
        self.warm.most * self.window() / 1000.0 < ENOUGH_VISITS
    }

    /// Tells the other nodes what each of them would otherwise have to find out by itself.
    pub(super) fn tell_all(&self, news: PeerMessage, i: usize, out: &mut Vec<Action>) {
        if self.seldom() && self.fleet_failing < SHARED_FAILING {
            out.push(Action::SendPeerMessage { to: None, bytes: news.encode(self.backends[i].id) });
        }
    }

    /// Another node's news; what cannot be read, or is of a backend that is not listed here, changes nothing.
    pub(super) fn on_news(&mut self, now: f64, bytes: &[u8], out: &mut Vec<Action>) {
        let Some((news, short)) = PeerMessage::decode(bytes) else { return };
        let Some(i) = self.backends.iter().position(|b| b.id.short() == short) else { return };
        let window = self.window();
        let congested = self.backends[i].record.congested;
        match news {
            PeerMessage::TrialFailed | PeerMessage::TrialSucceeded if congested => {
                self.settle(now, i, news, out)
            }
            PeerMessage::AttemptFailed | PeerMessage::AttemptAnswered if !congested && self.seldom() => {
                self.backends[i].record.window.note(
                    now,
                    window,
                    matches!(news, PeerMessage::AttemptFailed),
                );
                self.judge(now, i, out);
            }
            _ => {}
        }
    }
}
