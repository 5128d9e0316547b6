//! Follows the requests on a connection just far enough to detect a header with two framings of the body.
//!
//! A header with both `Transfer-Encoding` and `Content-Length` may mean different things to this node and
//! to a proxy in front of it (request smuggling). The HTTP parser behind this one uses `Transfer-Encoding`
//! without reporting the conflict.

/// Number of bytes kept of a header line; the rest of a longer line is irrelevant here.
const MAX_LINE_BYTES: usize = 256;

/// What the next byte of a connection belongs to.
#[derive(Debug)]
enum Position {
    Head,
    Body(u64),
    ChunkSize,
    /// Chunk data including its line end.
    Chunk(u64),
    Trailer,
}

/// Position of a connection within its requests.
#[derive(Debug)]
pub struct Framing {
    at: Position,
    line: Vec<u8>,
    has_line: bool,
    chunked: bool,
    length: Option<u64>,
    has_conflict: bool,
    /// Number of requests that have ended.
    completed: u64,
    /// Number of bytes of the head that is being read.
    head_bytes: usize,
}

impl Framing {
    /// Starts at the beginning of a request.
    pub fn new() -> Framing {
        Framing {
            at: Position::Head,
            line: Vec::new(),
            has_line: false,
            chunked: false,
            length: None,
            has_conflict: false,
            completed: 0,
            head_bytes: 0,
        }
    }

    /// Returns the number of requests that have ended, which is the number of the request to which the next
    /// byte belongs.
    pub fn completed_requests(&self) -> u64 {
        self.completed
    }

    /// Returns the number of bytes read of a request head that is not complete.
    pub fn head_bytes(&self) -> usize {
        self.head_bytes
    }

    /// True if the next byte begins a request.
    pub fn is_between_requests(&self) -> bool {
        matches!(self.at, Position::Head) && !self.has_line && self.line.is_empty()
    }

    /// Returns the number of bytes that the current body still lacks, if its length was announced.
    pub fn missing_body_bytes(&self) -> Option<u64> {
        match self.at {
            Position::Body(left) => Some(left),
            Position::Head | Position::ChunkSize | Position::Chunk(_) | Position::Trailer => None,
        }
    }

    /// True once a header with two framings was seen.
    pub fn has_conflict(&self) -> bool {
        self.has_conflict
    }

    /// Processes received bytes. What cannot be followed is left to the HTTP parser, which rejects it.
    pub fn process(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() && !self.has_conflict {
            if let Position::Body(left) | Position::Chunk(left) = &mut self.at {
                let n = usize::try_from(*left).unwrap_or(usize::MAX).min(bytes.len());
                *left -= n as u64;
                let is_consumed = *left == 0;
                bytes = &bytes[n..];
                if is_consumed {
                    if matches!(self.at, Position::Body(_)) {
                        self.finish_request();
                    } else {
                        self.at = Position::ChunkSize;
                    }
                }
                continue;
            }
            let (piece, ended) = match bytes.iter().position(|b| *b == b'\n') {
                Some(end) => (&bytes[..end], true),
                None => (bytes, false),
            };
            let space = MAX_LINE_BYTES.saturating_sub(self.line.len()).min(piece.len());
            self.line.extend_from_slice(&piece[..space]);
            let consumed = piece.len() + usize::from(ended);
            bytes = &bytes[consumed..];
            if matches!(self.at, Position::Head) {
                self.head_bytes += consumed;
            }
            if ended {
                self.finish_line();
                self.line.clear();
            }
        }
    }

    /// Starts over with the head of the next request.
    fn finish_request(&mut self) {
        self.at = Position::Head;
        self.completed += 1;
    }

    /// Processes the end of a line.
    fn finish_line(&mut self) {
        let line = self.line.trim_ascii();
        match self.at {
            Position::Head if line.is_empty() && !self.has_line => {}
            Position::Head if line.is_empty() => {
                self.has_conflict = self.chunked && self.length.is_some();
                match self.length {
                    _ if self.chunked => self.at = Position::ChunkSize,
                    Some(length) if length > 0 => self.at = Position::Body(length),
                    _ => self.finish_request(),
                }
                (self.has_line, self.chunked, self.length, self.head_bytes) = (false, false, None, 0);
            }
            Position::Head => {
                self.has_line = true;
                let Some(colon) = line.iter().position(|b| *b == b':') else { return };
                let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
                if name.eq_ignore_ascii_case(b"transfer-encoding") {
                    self.chunked = true;
                } else if name.eq_ignore_ascii_case(b"content-length") {
                    let value = std::str::from_utf8(value).ok().and_then(|v| v.parse().ok());
                    self.length = Some(value.unwrap_or(0));
                }
            }
            Position::ChunkSize => {
                let digits = line.split(|b| *b == b';').next().unwrap_or_default().trim_ascii();
                let size = std::str::from_utf8(digits).ok().and_then(|d| u64::from_str_radix(d, 16).ok());
                self.at = match size {
                    Some(0) | None => Position::Trailer,
                    // Includes the line end after the chunk, which would otherwise be parsed as a size.
                    Some(size) => Position::Chunk(size.saturating_add(2)),
                };
            }
            Position::Trailer if line.is_empty() => self.finish_request(),
            Position::Trailer | Position::Body(_) | Position::Chunk(_) => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Processes the bytes at once and byte by byte; both must agree.
    fn has_conflict(bytes: &[u8]) -> bool {
        let (mut whole, mut pieces) = (Framing::new(), Framing::new());
        whole.process(bytes);
        bytes.iter().for_each(|b| pieces.process(&[*b]));
        assert_eq!(whole.has_conflict(), pieces.has_conflict());
        whole.has_conflict()
    }

    const CHUNKED: &[u8] =
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;x=\"y\"\r\nab\r\ncd\r\n0\r\nT: t\r\n\r\n";
    const PLAIN: &[u8] =
        b"POST / HTTP/1.1\r\ncontent-length: 35\r\n\r\nTransfer-Encoding: x\r\n\r\nContent-Len";

    #[test]
    fn single_framing_is_no_conflict() {
        let get = b"\r\nGET / HTTP/1.1\r\nHost: n\r\n\r\n";
        assert!(!has_conflict(&[CHUNKED, PLAIN, get, CHUNKED, get, PLAIN].concat()));
        assert!(!has_conflict(b"POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\nGET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"));
    }

    #[test]
    fn two_framings_conflict_at_any_position() {
        for heads in [
            "Transfer-Encoding: chunked\r\nContent-Length: 5",
            "content-length:5\r\nA: b\r\ntransfer-encoding:gzip",
        ] {
            let twice = format!("POST / HTTP/1.1\r\n{heads}\r\n\r\n");
            assert!(has_conflict(twice.as_bytes()));
            assert!(has_conflict(&[CHUNKED, PLAIN, CHUNKED, twice.as_bytes()].concat()));
        }
    }

    #[test]
    fn requests_are_counted_when_their_last_byte_is_processed() {
        for (bytes, is_chunked) in [(CHUNKED, true), (PLAIN, false)] {
            let mut framing = Framing::new();
            framing.process(b"GET / HTTP/1.1\r\n\r\n");
            assert_eq!(framing.completed_requests(), 1);
            framing.process(&bytes[..bytes.len() - 1]);
            assert_eq!(framing.completed_requests(), 1);
            assert_eq!(framing.missing_body_bytes(), (!is_chunked).then_some(1));
            framing.process(&bytes[bytes.len() - 1..]);
            assert_eq!((framing.completed_requests(), framing.missing_body_bytes()), (2, None));
        }
    }

    #[test]
    fn malformed_input_does_not_panic() {
        has_conflict(&[0xff; 5000]);
        has_conflict(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nx");
        has_conflict(b"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\nx");
    }
}
