//! What nodes tell each other of a backend, in five bytes: what happened, and the short form of its id.

use crate::interface::BackendId;

/// What happened at a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerMessage {
    /// An attempt failed.
    AttemptFailed = 1,
    /// One was answered where others had failed.
    AttemptAnswered,
    /// A trial failed.
    TrialFailed,
    /// A trial was answered.
    TrialSucceeded,
}

impl PeerMessage {
    const ALL: [PeerMessage; 4] = [
        PeerMessage::AttemptFailed,
        PeerMessage::AttemptAnswered,
        PeerMessage::TrialFailed,
        PeerMessage::TrialSucceeded,
    ];

    /// The message.
    pub(crate) fn encode(self, backend: BackendId) -> Vec<u8> {
        let mut bytes = vec![self as u8];
        bytes.extend(backend.short().to_be_bytes());
        bytes
    }

    /// Reads a message; none where it is anything else.
    pub(crate) fn decode(bytes: &[u8]) -> Option<(PeerMessage, u32)> {
        let &[news, a, b, c, d] = bytes else { return None };
        let news = PeerMessage::ALL.into_iter().find(|n| *n as u8 == news)?;
        Some((news, u32::from_be_bytes([a, b, c, d])))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_message_is_read_as_it_was_written_and_nothing_else_is() {
        let backend = BackendId(0x0123_4567_89ab_cdef);
        for news in PeerMessage::ALL {
            let bytes = news.encode(backend);
            assert_eq!(PeerMessage::decode(&bytes), Some((news, backend.short())));
            assert_eq!(PeerMessage::decode(&bytes[..4]), None);
            assert_eq!(PeerMessage::decode(&[&bytes[..], &[0]].concat()), None);
        }
        assert_eq!(PeerMessage::decode(&[9, 1, 2, 3, 4]), None);
        assert_eq!(PeerMessage::decode(&[]), None);
    }
}
