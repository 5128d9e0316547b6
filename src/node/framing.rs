//! Follows the requests on a connection just far enough to see two that frame their body twice.
//!
//! A head with both `Transfer-Encoding` and `Content-Length` means one thing to us and perhaps another to whoever
//! stands before us. The parser behind this one settles for the first of them and does not say so.

/// Of a longer header line the rest says nothing that is of interest here.
const LINE: usize = 256;

#[derive(Debug)]
enum At {
    Head,
    Body(u64),
    ChunkSize,
    /// And the line end after it.
    Chunk(u64),
    Trailer,
}

/// Where in its requests a connection is.
#[derive(Debug)]
pub struct Framing {
    at: At,
    line: Vec<u8>,
    begun: bool,
    chunked: bool,
    length: Option<u64>,
    conflict: bool,
}

impl Framing {
    /// At the start of a request.
    pub fn new() -> Framing {
        Framing {
            at: At::Head,
            line: Vec::new(),
            begun: false,
            chunked: false,
            length: None,
            conflict: false,
        }
    }

    /// A head was seen that frames its body twice.
    pub fn conflict(&self) -> bool {
        self.conflict
    }

    /// Takes in what was read. What cannot be followed is left to the parser, which refuses it.
    pub fn feed(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() && !self.conflict {
            if let At::Body(left) | At::Chunk(left) = &mut self.at {
                let n = usize::try_from(*left).unwrap_or(usize::MAX).min(bytes.len());
                *left -= n as u64;
                let over = *left == 0;
                bytes = &bytes[n..];
                if over {
                    self.at = if matches!(self.at, At::Body(_)) { At::Head } else { At::ChunkSize };
                }
                continue;
            }
            let (piece, ended) = match bytes.iter().position(|b| *b == b'\n') {
                Some(end) => (&bytes[..end], true),
                None => (bytes, false),
            };
            let room = LINE.saturating_sub(self.line.len()).min(piece.len());
            self.line.extend_from_slice(&piece[..room]);
            bytes = &bytes[piece.len() + usize::from(ended)..];
            if ended {
                self.line_over();
                self.line.clear();
            }
        }
    }

    fn line_over(&mut self) {
        let line = self.line.trim_ascii();
        match self.at {
            At::Head if line.is_empty() && !self.begun => {}
            At::Head if line.is_empty() => {
                self.conflict = self.chunked && self.length.is_some();
                self.at = match self.length {
                    _ if self.chunked => At::ChunkSize,
                    Some(length) if length > 0 => At::Body(length),
                    _ => At::Head,
                };
                (self.begun, self.chunked, self.length) = (false, false, None);
            }
            At::Head => {
                self.begun = true;
                let Some(colon) = line.iter().position(|b| *b == b':') else { return };
                let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
                if name.eq_ignore_ascii_case(b"transfer-encoding") {
                    self.chunked = true;
                } else if name.eq_ignore_ascii_case(b"content-length") {
                    let value = std::str::from_utf8(value).ok().and_then(|v| v.parse().ok());
                    self.length = Some(value.unwrap_or(0));
                }
            }
            At::ChunkSize => {
                let digits = line.split(|b| *b == b';').next().unwrap_or_default().trim_ascii();
                let size = std::str::from_utf8(digits).ok().and_then(|d| u64::from_str_radix(d, 16).ok());
                self.at = match size {
                    Some(0) | None => At::Trailer,
                    // An empty line follows: read as one, it would be a size.
                    Some(size) => At::Chunk(size.saturating_add(2)),
                };
            }
            At::Trailer if line.is_empty() => self.at = At::Head,
            At::Trailer | At::Body(_) | At::Chunk(_) => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Fed whole, and byte by byte.
    fn conflict(bytes: &[u8]) -> bool {
        let (mut whole, mut pieces) = (Framing::new(), Framing::new());
        whole.feed(bytes);
        bytes.iter().for_each(|b| pieces.feed(&[*b]));
        assert_eq!(whole.conflict(), pieces.conflict());
        whole.conflict()
    }

    const CHUNKED: &[u8] =
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;x=\"y\"\r\nab\r\ncd\r\n0\r\nT: t\r\n\r\n";
    const PLAIN: &[u8] =
        b"POST / HTTP/1.1\r\ncontent-length: 35\r\n\r\nTransfer-Encoding: x\r\n\r\nContent-Len";

    #[test]
    fn one_framing_a_request_is_none() {
        let get = b"\r\nGET / HTTP/1.1\r\nHost: n\r\n\r\n";
        assert!(!conflict(&[CHUNKED, PLAIN, get, CHUNKED, get, PLAIN].concat()));
        assert!(!conflict(b"POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\nGET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"));
    }

    #[test]
    fn two_framings_of_one_request_are_a_conflict_wherever_it_stands() {
        for heads in [
            "Transfer-Encoding: chunked\r\nContent-Length: 5",
            "content-length:5\r\nA: b\r\ntransfer-encoding:gzip",
        ] {
            let twice = format!("POST / HTTP/1.1\r\n{heads}\r\n\r\n");
            assert!(conflict(twice.as_bytes()));
            assert!(conflict(&[CHUNKED, PLAIN, CHUNKED, twice.as_bytes()].concat()));
        }
    }

    #[test]
    fn nonsense_is_survived() {
        conflict(&[0xff; 5000]);
        conflict(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nx");
        conflict(b"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\nx");
    }
}
