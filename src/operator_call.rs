//! Operators' calls to a node: how they are written and parsed, and a client. A connection carries one call, which is
//! a line, and one answer, which begins with `OK` or `ERR`.

use std::fmt;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use thiserror::Error;

/// Most bytes in a call, without the end of its line.
pub const MAX_CALL_BYTES: usize = 512;
/// Most bytes in an answer. No node writes a longer one.
const MAX_ANSWER_BYTES: u64 = 8 * 1024 * 1024;

/// Most bytes in the reason of a cordon.
pub const MAX_REASON_BYTES: usize = 200;

/// Holder of a lease that was given up.
pub const NO_HOLDER: &str = "-";

/// A call of an operator, a controller or a supervisor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCall {
    /// Whether the node takes clients.
    Health,
    /// Take a backend out of use at this node.
    Cordon {
        /// The backend's id.
        id: String,
        /// The operator's reason; may be empty.
        reason: String,
    },
    /// Put a backend back into use at this node.
    Uncordon(String),
    /// Take a backend out of use at every node of the fleet.
    FleetCordon(String),
    /// Put a backend back into use at every node of the fleet.
    FleetUncordon(String),
    /// Cordon or uncordon a backend for the controller that holds a lease.
    Leased {
        /// True for a cordon, false for an uncordon.
        cordon: bool,
        /// The backend's id.
        id: String,
        /// Number of the lease.
        lease: u64,
    },
    /// Take, renew or give up the lease of a controller.
    Lease {
        /// The controller's name; [`NO_HOLDER`] gives the lease up.
        holder: String,
        /// Number of the lease. The greatest number holds.
        number: u64,
    },
    /// To a supervisor: run the node at this version.
    Upgrade(String),
    /// To a supervisor: list the versions.
    Versions,
    /// Send no traffic to a zone, whatever its health, for a time or until it may return.
    ZoneLeave {
        /// The zone's name.
        zone: String,
        /// Time in seconds; none until the zone may return.
        for_s: Option<u32>,
        /// True to leave the zone even where the others are not known to carry its traffic.
        force: bool,
    },
    /// Keep a zone out of use, even if it is healthy, until it may return.
    ZoneHold(String),
    /// Let a zone return gradually.
    ZoneReturn(String),
    /// State of each zone.
    Zones,
    /// Send clients away: the health check fails, and connections are closed after their answers.
    Quiesce,
    /// Take clients again.
    Resume,
    /// Statistics of the node.
    Stats,
}

/// Why a line is not a valid call.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OperatorCallError {
    /// The line is too long.
    #[error("a call is a line of at most {MAX_CALL_BYTES} bytes")]
    TooLong,
    /// The connection ended before the line did.
    #[error("the line was not ended")]
    Unterminated,
    /// No whole line came within this time, in seconds.
    #[error("no whole call within {0} s")]
    TimedOut(u64),
    /// The line is not UTF-8.
    #[error("the line is not UTF-8")]
    NotUtf8,
    /// The line has no words.
    #[error("the line is empty")]
    Empty,
    /// The first word is no known call.
    #[error(
        "unknown call; there are health, cordon [--fleet] ID, uncordon [--fleet] ID, zone, zones, quiesce, resume, stats"
    )]
    UnknownCall,
    /// The words after `zone` are invalid.
    #[error("zone takes leave NAME [--for TIME] [--force], hold NAME, or return NAME")]
    InvalidZoneCall,
    /// The number of a lease is missing or invalid.
    #[error("{0} takes a number above 0")]
    InvalidNumber(&'static str),
    /// The time is invalid.
    #[error("{0:?} is no time such as 90s, 30m or 2h, of a day at most")]
    InvalidTime(String),
    /// The reason after `--why` is empty or too long.
    #[error("--why takes a reason of 1 to {MAX_REASON_BYTES} bytes, and comes last")]
    InvalidReason,
    /// The call takes exactly one backend's id.
    #[error("{0} takes one backend's ID")]
    NeedsId(&'static str),
    /// The call takes no further words.
    #[error("{0} takes nothing more")]
    TakesNothing(&'static str),
}

impl OperatorCall {
    /// Parses a call from a line without its line end.
    ///
    /// # Errors
    /// Returns [`OperatorCallError`] if the line is not a valid call.
    pub fn parse(line: &[u8]) -> Result<OperatorCall, OperatorCallError> {
        let line = std::str::from_utf8(line).map_err(|_| OperatorCallError::NotUtf8)?;
        let mut words = line.split_ascii_whitespace();
        let call = words.next().ok_or(OperatorCallError::Empty)?;
        if call == "zone" {
            return OperatorCall::parse_zone(&words.collect::<Vec<_>>());
        }
        let mut id = words.next();
        if call == "lease" {
            let number = words.next().and_then(|n| n.parse().ok()).filter(|n| *n > 0);
            let (Some(holder), Some(number), None) = (id, number, words.next()) else {
                return Err(OperatorCallError::InvalidNumber("lease NAME"));
            };
            return Ok(OperatorCall::Lease { holder: holder.to_owned(), number });
        }
        let rest: Vec<&str> = words.clone().collect();
        if let (Some(id), ["--lease", number], "cordon" | "uncordon") = (id, &rest[..], call) {
            let lease = number.parse().map_err(|_| OperatorCallError::InvalidNumber("--lease"))?;
            return Ok(OperatorCall::Leased { cordon: call == "cordon", id: id.to_owned(), lease });
        }
        if let (Some(id), ["--why", words @ ..], "cordon") =
            (id.filter(|id| *id != "--fleet"), &rest[..], call)
        {
            let (id, reason) = (id.to_owned(), words.join(" "));
            return if (1..=MAX_REASON_BYTES).contains(&reason.len()) {
                Ok(OperatorCall::Cordon { id, reason })
            } else {
                Err(OperatorCallError::InvalidReason)
            };
        }
        let fleet = id == Some("--fleet") && matches!(call, "cordon" | "uncordon");
        if fleet {
            id = words.next();
        }
        let has_more = words.next().is_some();
        let with_id =
            |name| id.filter(|_| !has_more).map(str::to_owned).ok_or(OperatorCallError::NeedsId(name));
        let alone =
            |name, call| if id.is_none() { Ok(call) } else { Err(OperatorCallError::TakesNothing(name)) };
        match call {
            "health" => alone("health", OperatorCall::Health),
            "cordon" if fleet => with_id("cordon").map(OperatorCall::FleetCordon),
            "cordon" => with_id("cordon").map(|id| OperatorCall::Cordon { id, reason: String::new() }),
            "uncordon" => with_id("uncordon").map(if fleet {
                OperatorCall::FleetUncordon
            } else {
                OperatorCall::Uncordon
            }),
            "quiesce" => alone("quiesce", OperatorCall::Quiesce),
            "resume" => alone("resume", OperatorCall::Resume),
            "zones" => alone("zones", OperatorCall::Zones),
            "upgrade" => with_id("upgrade").map(OperatorCall::Upgrade),
            "versions" => alone("versions", OperatorCall::Versions),
            "stats" => alone("stats", OperatorCall::Stats),
            _ => Err(OperatorCallError::UnknownCall),
        }
    }

    /// Parses the words after `zone`.
    fn parse_zone(words: &[&str]) -> Result<OperatorCall, OperatorCallError> {
        match words {
            ["hold", zone] => Ok(OperatorCall::ZoneHold((*zone).to_owned())),
            ["return", zone] => Ok(OperatorCall::ZoneReturn((*zone).to_owned())),
            ["leave", zone, more @ ..] => {
                let (mut for_s, mut force) = (None, false);
                let mut more = more.iter();
                while let Some(word) = more.next() {
                    match (*word, for_s, force) {
                        ("--force", _, false) => force = true,
                        ("--for", None, _) => {
                            for_s = Some(OperatorCall::parse_time_s(
                                more.next().ok_or(OperatorCallError::InvalidZoneCall)?,
                            )?)
                        }
                        _ => return Err(OperatorCallError::InvalidZoneCall),
                    }
                }
                Ok(OperatorCall::ZoneLeave { zone: (*zone).to_owned(), for_s, force })
            }
            _ => Err(OperatorCallError::InvalidZoneCall),
        }
    }

    /// Parses a time such as `90s` or `2h` and returns it in seconds.
    ///
    /// # Errors
    /// Returns [`OperatorCallError::InvalidTime`] if the text is no time, or the time is below a second or above a day.
    pub fn parse_time_s(text: &str) -> Result<u32, OperatorCallError> {
        let seconds = humantime::parse_duration(text).ok().map(|d| d.as_secs());
        let seconds = seconds.and_then(|s| u32::try_from(s).ok()).filter(|s| (1..=86_400).contains(s));
        seconds.ok_or_else(|| OperatorCallError::InvalidTime(text.to_owned()))
    }
}

impl fmt::Display for OperatorCall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OperatorCall::Health => f.write_str("health"),
            OperatorCall::Cordon { id, reason } if reason.is_empty() => write!(f, "cordon {id}"),
            OperatorCall::Cordon { id, reason } => write!(f, "cordon {id} --why {reason}"),
            OperatorCall::Uncordon(id) => write!(f, "uncordon {id}"),
            OperatorCall::FleetCordon(id) => write!(f, "cordon --fleet {id}"),
            OperatorCall::FleetUncordon(id) => write!(f, "uncordon --fleet {id}"),
            OperatorCall::Leased { cordon, id, lease } => {
                write!(f, "{} {id} --lease {lease}", if *cordon { "cordon" } else { "uncordon" })
            }
            OperatorCall::Upgrade(version) => write!(f, "upgrade {version}"),
            OperatorCall::Versions => f.write_str("versions"),
            OperatorCall::Lease { holder, number } => write!(f, "lease {holder} {number}"),
            OperatorCall::ZoneLeave { zone, for_s, force } => {
                write!(f, "zone leave {zone}")?;
                if let Some(for_s) = for_s {
                    write!(f, " --for {for_s}s")?;
                }
                f.write_str(if *force { " --force" } else { "" })
            }
            OperatorCall::ZoneHold(zone) => write!(f, "zone hold {zone}"),
            OperatorCall::ZoneReturn(zone) => write!(f, "zone return {zone}"),
            OperatorCall::Zones => f.write_str("zones"),
            OperatorCall::Quiesce => f.write_str("quiesce"),
            OperatorCall::Resume => f.write_str("resume"),
            OperatorCall::Stats => f.write_str("stats"),
        }
    }
}

/// Why a call got no answer.
#[derive(Debug, Error)]
pub enum CallFailure {
    /// The connection failed, or the time was over.
    #[error("{0}")]
    System(#[from] std::io::Error),
    /// The answer is too long, which the text then says, or begins with neither `OK` nor `ERR`: the text is its
    /// beginning.
    #[error("the answer is neither OK nor ERR: {0:?}")]
    Unreadable(String),
}

/// Calls the node at `address` and returns its answer: the text after `OK`, or as an inner error the text after `ERR`.
/// The whole exchange takes `limit` at most.
///
/// # Errors
/// Returns [`CallFailure`] if no answer came in time, or the answer cannot be read.
pub fn call_node(
    address: SocketAddr,
    call: &OperatorCall,
    limit: Duration,
) -> Result<Result<String, String>, CallFailure> {
    let end = Instant::now() + limit;
    // The standard library rejects a socket timeout of zero.
    let left = || end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let mut stream = TcpStream::connect_timeout(&address, left())?;
    stream.set_write_timeout(Some(left()))?;
    stream.write_all(format!("{call}\n").as_bytes())?;
    stream.shutdown(Shutdown::Write)?;
    let mut answer = Vec::new();
    let mut buffer = [0; 16 * 1024];
    loop {
        if Instant::now() >= end {
            return Err(std::io::Error::from(std::io::ErrorKind::TimedOut).into());
        }
        stream.set_read_timeout(Some(left()))?;
        match stream.read(&mut buffer)? {
            0 => break,
            n => answer.extend_from_slice(buffer.get(..n).unwrap_or_default()),
        }
        if answer.len() as u64 > MAX_ANSWER_BYTES {
            return Err(CallFailure::Unreadable("longer than 8 MiB".to_owned()));
        }
    }
    let text = String::from_utf8_lossy(&answer);
    let text = text.trim_end();
    let rest = |word: &str| text.strip_prefix(word).filter(|r| r.is_empty() || r.starts_with(' '));
    match (rest("OK"), rest("ERR")) {
        (Some(reply), _) => Ok(Ok(reply.trim_start().to_owned())),
        (_, Some(reason)) => Ok(Err(reason.trim_start().to_owned())),
        _ => Err(CallFailure::Unreadable(text.chars().take(80).collect())),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::TcpListener;

    #[test]
    fn each_call_is_parsed_from_the_text_that_it_is_written_as() {
        let id = || "s-1".to_owned();
        let all = [
            OperatorCall::Health,
            OperatorCall::Cordon { id: id(), reason: String::new() },
            OperatorCall::Cordon { id: id(), reason: "disk is being replaced".to_owned() },
            OperatorCall::Uncordon(id()),
            OperatorCall::FleetCordon(id()),
            OperatorCall::FleetUncordon(id()),
            OperatorCall::ZoneLeave { zone: id(), for_s: Some(1800), force: true },
            OperatorCall::ZoneLeave { zone: id(), for_s: None, force: false },
            OperatorCall::ZoneHold(id()),
            OperatorCall::ZoneReturn(id()),
            OperatorCall::Zones,
            OperatorCall::Leased { cordon: true, id: id(), lease: 7 },
            OperatorCall::Leased { cordon: false, id: id(), lease: 7 },
            OperatorCall::Lease { holder: id(), number: 7 },
            OperatorCall::Upgrade(id()),
            OperatorCall::Versions,
            OperatorCall::Quiesce,
            OperatorCall::Resume,
            OperatorCall::Stats,
        ];
        for call in all {
            assert_eq!(OperatorCall::parse(call.to_string().as_bytes()), Ok(call));
        }
        assert_eq!(OperatorCall::parse(b"  uncordon \t s-1 "), Ok(OperatorCall::Uncordon(id())));
    }

    #[test]
    fn each_invalid_line_gives_the_error_of_its_cause() {
        let error = |line: &[u8]| OperatorCall::parse(line).unwrap_err();
        assert_eq!(error(b""), OperatorCallError::Empty);
        assert_eq!(error(b" \t"), OperatorCallError::Empty);
        assert_eq!(error(b"HEALTH"), OperatorCallError::UnknownCall);
        assert_eq!(error(b"health now"), OperatorCallError::TakesNothing("health"));
        assert_eq!(error(b"cordon"), OperatorCallError::NeedsId("cordon"));
        assert_eq!(error(b"cordon --fleet"), OperatorCallError::NeedsId("cordon"));
        assert_eq!(error(b"uncordon --fleet a b"), OperatorCallError::NeedsId("uncordon"));
        for line in [
            &b"zone"[..],
            b"zone a",
            b"zone leave",
            b"zone leave a --for",
            b"zone hold a b",
            b"zone leave a b",
        ] {
            assert_eq!(error(line), OperatorCallError::InvalidZoneCall, "{line:?}");
        }
        assert_eq!(error(b"lease a"), OperatorCallError::InvalidNumber("lease NAME"));
        assert_eq!(error(b"lease a 0"), OperatorCallError::InvalidNumber("lease NAME"));
        assert_eq!(error(b"cordon a --lease x"), OperatorCallError::InvalidNumber("--lease"));
        assert_eq!(error(b"zone leave a --for 9"), OperatorCallError::InvalidTime("9".to_owned()));
        assert_eq!(error(b"zone leave a --for 25h"), OperatorCallError::InvalidTime("25h".to_owned()));
        assert_eq!(
            OperatorCall::parse(b"zone leave a --for 30m"),
            OperatorCall::parse(b"zone leave a --for 1800s")
        );
        assert_eq!(error(b"health --fleet"), OperatorCallError::TakesNothing("health"));
        assert_eq!(error(b"uncordon a b"), OperatorCallError::NeedsId("uncordon"));
        assert_eq!(error(b"quiesce 5"), OperatorCallError::TakesNothing("quiesce"));
        assert_eq!(error(b"cordon \xff"), OperatorCallError::NotUtf8);
    }

    #[test]
    fn an_answer_must_begin_with_the_whole_word_ok_or_err() {
        let answered = |bytes: &'static [u8]| {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let address = listener.local_addr().unwrap();
            let peer = std::thread::spawn(move || {
                let (mut stream, _) = listener.accept().unwrap();
                let mut received = String::new();
                stream.read_to_string(&mut received).unwrap();
                stream.write_all(bytes).unwrap();
                received
            });
            let answer = call_node(address, &OperatorCall::Health, Duration::from_secs(5));
            assert_eq!(peer.join().unwrap(), "health\n");
            answer
        };
        assert_eq!(answered(b"OK serving\n").unwrap(), Ok("serving".to_owned()));
        assert_eq!(answered(b"OK\n").unwrap(), Ok(String::new()));
        assert_eq!(answered(b"ERR no list\n").unwrap(), Err("no list".to_owned()));
        assert!(matches!(answered(b"OKAY\n"), Err(CallFailure::Unreadable(_))));
        assert!(matches!(answered(b"HTTP/1.1 400 Bad Request\r\n\r\n"), Err(CallFailure::Unreadable(_))));
        assert!(matches!(answered(b""), Err(CallFailure::Unreadable(_))));
    }
}
