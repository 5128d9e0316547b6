//! What nodes tell each other of a backend, in five bytes: what happened, and the short form of its id.

use crate::interface::BackendId;

/// What happened at a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum News {
    /// An attempt failed.
    Failed = 1,
    /// One was answered where others had failed.
    Answered,
    /// A trial failed.
    TrialFailed,
    /// A trial was answered.
    Live,
}

impl News {
    const ALL: [News; 4] = [News::Failed, News::Answered, News::TrialFailed, News::Live];

    /// The message.
    pub(crate) fn to_bytes(self, backend: BackendId) -> Vec<u8> {
        let mut bytes = vec![self as u8];
        bytes.extend(backend.short().to_be_bytes());
        bytes
    }

    /// Reads a message; none where it is anything else.
    pub(crate) fn read(bytes: &[u8]) -> Option<(News, u32)> {
        let &[news, a, b, c, d] = bytes else { return None };
        let news = News::ALL.into_iter().find(|n| *n as u8 == news)?;
        Some((news, u32::from_be_bytes([a, b, c, d])))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_message_is_read_as_it_was_written_and_nothing_else_is() {
        let backend = BackendId(0x0123_4567_89ab_cdef);
        for news in News::ALL {
            let bytes = news.to_bytes(backend);
            assert_eq!(News::read(&bytes), Some((news, backend.short())));
            assert_eq!(News::read(&bytes[..4]), None);
            assert_eq!(News::read(&[&bytes[..], &[0]].concat()), None);
        }
        assert_eq!(News::read(&[9, 1, 2, 3, 4]), None);
        assert_eq!(News::read(&[]), None);
    }
}
