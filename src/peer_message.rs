//! Messages between nodes about a backend, in five bytes: what happened, and the backend's short ID.

use crate::interface::BackendId;

/// What happened at a backend. The discriminant is the first byte of the message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerMessage {
    /// An attempt failed.
    AttemptFailed = 1,
    /// An attempt was answered after others had failed.
    AttemptAnswered,
    /// A trial of a congested backend failed.
    TrialFailed,
    /// A trial of a congested backend was answered.
    TrialSucceeded,
}

impl PeerMessage {
    const ALL: [PeerMessage; 4] = [
        PeerMessage::AttemptFailed,
        PeerMessage::AttemptAnswered,
        PeerMessage::TrialFailed,
        PeerMessage::TrialSucceeded,
    ];

    /// Encodes the message.
    pub(crate) fn encode(self, backend: BackendId) -> Vec<u8> {
        let mut bytes = vec![self as u8];
        bytes.extend(backend.short().to_be_bytes());
        bytes
    }

    /// Decodes a message into its kind and the backend's short ID; none if the bytes are not a valid message.
    pub(crate) fn decode(bytes: &[u8]) -> Option<(PeerMessage, u32)> {
        let &[kind, a, b, c, d] = bytes else { return None };
        let message = PeerMessage::ALL.into_iter().find(|message| *message as u8 == kind)?;
        Some((message, u32::from_be_bytes([a, b, c, d])))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_encoded_message_decodes_to_itself_and_other_bytes_are_rejected() {
        let backend = BackendId(0x0123_4567_89ab_cdef);
        for message in PeerMessage::ALL {
            let bytes = message.encode(backend);
            assert_eq!(PeerMessage::decode(&bytes), Some((message, backend.short())));
            assert_eq!(PeerMessage::decode(&bytes[..4]), None);
            assert_eq!(PeerMessage::decode(&[&bytes[..], &[0]].concat()), None);
        }
        assert_eq!(PeerMessage::decode(&[9, 1, 2, 3, 4]), None);
        assert_eq!(PeerMessage::decode(&[]), None);
    }
}
