//! What operators call a node, and how it is asked: one line to a connection, one line back that begins with
//! `OK` or `ERR`.

use std::fmt;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use thiserror::Error;

/// A longer line is no call.
pub const MAX_CALL_BYTES: usize = 512;
/// A longer answer is none of a node's.
const MAX_ANSWER_BYTES: u64 = 8 * 1024 * 1024;

/// A longer reason is none.
pub const MAX_REASON_BYTES: usize = 200;

/// Holder of a lease that is given up.
pub const NO_HOLDER: &str = "-";

/// What an operator wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCall {
    /// Whether it takes clients.
    Health,
    /// Take a backend out.
    Cordon {
        /// The backend.
        id: String,
        /// Why, in the operator's words; may be empty.
        reason: String,
    },
    /// Put it back.
    Uncordon(String),
    /// The same at every node of the fleet.
    FleetCordon(String),
    /// See above.
    FleetUncordon(String),
    /// The same of a controller that holds the lease of that number.
    Leased {
        /// Out; else back.
        cordon: bool,
        /// The backend.
        id: String,
        /// The number.
        lease: u64,
    },
    /// A controller takes the lease, renews it, or gives it up.
    Lease {
        /// Its name; [`NO_HOLDER`] gives it up.
        holder: String,
        /// Its number: the greater one holds.
        number: u64,
    },
    /// Of a supervisor: bring the node to that version.
    Upgrade(String),
    /// Of a supervisor: which versions there are.
    Versions,
    /// Leave a zone, whatever its health, for so many seconds or until it may return; `force`: also where the rest is
    /// not known to carry what is asked.
    ZoneLeave {
        /// Its name.
        zone: String,
        /// Seconds.
        for_s: Option<u32>,
        /// See above.
        force: bool,
    },
    /// Keep a zone out, even if it is healthy, until it may return.
    ZoneHold(String),
    /// Let it return, along the ramp.
    ZoneReturn(String),
    /// Where each zone stands.
    Zones,
    /// Send clients away.
    Quiesce,
    /// End that.
    Resume,
    /// Its figures.
    Stats,
}

/// Why a line is no call.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OperatorCallError {
    /// It does not end in time.
    #[error("a call is a line of at most {MAX_CALL_BYTES} bytes")]
    TooLong,
    /// The connection ended before the line did.
    #[error("the line was not ended")]
    Unterminated,
    /// No whole line came in time.
    #[error("no whole call within {0} s")]
    TimedOut(u64),
    /// It cannot be read.
    #[error("the line is not UTF-8")]
    NotUtf8,
    /// There is nothing in it.
    #[error("the line is empty")]
    Empty,
    /// Nobody knows it.
    #[error(
        "unknown call; there are health, cordon [--fleet] ID, uncordon [--fleet] ID, zone, zones, quiesce, resume, stats"
    )]
    UnknownCall,
    /// What follows `zone` is none of its forms.
    #[error("zone takes leave NAME [--for TIME] [--force], hold NAME, or return NAME")]
    InvalidZoneCall,
    /// What follows `lease` is no name and number.
    #[error("{0} takes a number above 0")]
    InvalidNumber(&'static str),
    /// Not a time.
    #[error("{0:?} is no time such as 90s, 30m or 2h, of a day at most")]
    InvalidTime(String),
    /// What follows `--why` is no reason.
    #[error("--why takes a reason of 1 to {MAX_REASON_BYTES} bytes, and comes last")]
    InvalidReason,
    /// It takes one word more.
    #[error("{0} takes one backend's ID")]
    NeedsId(&'static str),
    /// It takes no word more.
    #[error("{0} takes nothing more")]
    TakesNothing(&'static str),
}

impl OperatorCall {
    /// Reads a line, without its end.
    ///
    /// # Errors
    /// It is no call.
    pub fn parse(line: &[u8]) -> Result<OperatorCall, OperatorCallError> {
        let line = std::str::from_utf8(line).map_err(|_| OperatorCallError::NotUtf8)?;
        let mut words = line.split_ascii_whitespace();
        let call = words.next().ok_or(OperatorCallError::Empty)?;
        if call == "zone" {
            return OperatorCall::zone(&words.collect::<Vec<_>>());
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
        let more = words.next().is_some();
        let with_id =
            |name| id.filter(|_| !more).map(str::to_owned).ok_or(OperatorCallError::NeedsId(name));
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

    fn zone(words: &[&str]) -> Result<OperatorCall, OperatorCallError> {
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

    /// Reads a time as people write it, in seconds.
    ///
    /// # Errors
    /// It is none, or longer than a day.
    pub fn parse_time_s(text: &str) -> Result<u32, OperatorCallError> {
        let read = humantime::parse_duration(text).ok().map(|d| d.as_secs());
        let read = read.and_then(|s| u32::try_from(s).ok()).filter(|s| (1..=86_400).contains(s));
        read.ok_or_else(|| OperatorCallError::InvalidTime(text.to_owned()))
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

/// Why no answer came.
#[derive(Debug, Error)]
pub enum CallFailure {
    /// Nobody there, or gone meanwhile.
    #[error("{0}")]
    System(#[from] std::io::Error),
    /// What came is no answer.
    #[error("the answer is neither OK nor ERR: {0:?}")]
    Unreadable(String),
}

/// Calls the node at `address` and hands back its answer: what follows `OK`, or what follows `ERR`. All of it
/// takes `limit` at most.
///
/// # Errors
/// There was no answer, or none that can be read.
pub fn call_node(
    address: SocketAddr,
    call: &OperatorCall,
    limit: Duration,
) -> Result<Result<String, String>, CallFailure> {
    let end = Instant::now() + limit;
    // A time of zero would wait for ever.
    let left = || end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let mut stream = TcpStream::connect_timeout(&address, left())?;
    stream.set_write_timeout(Some(left()))?;
    stream.write_all(format!("{call}\n").as_bytes())?;
    stream.shutdown(Shutdown::Write)?;
    let mut answer = Vec::new();
    let mut piece = [0; 16 * 1024];
    loop {
        if Instant::now() >= end {
            return Err(std::io::Error::from(std::io::ErrorKind::TimedOut).into());
        }
        stream.set_read_timeout(Some(left()))?;
        match stream.read(&mut piece)? {
            0 => break,
            n => answer.extend_from_slice(piece.get(..n).unwrap_or_default()),
        }
        if answer.len() as u64 > MAX_ANSWER_BYTES {
            return Err(CallFailure::Unreadable("longer than any".to_owned()));
        }
    }
    let text = String::from_utf8_lossy(&answer);
    let text = text.trim_end();
    let rest = |word: &str| text.strip_prefix(word).filter(|r| r.is_empty() || r.starts_with(' '));
    match (rest("OK"), rest("ERR")) {
        (Some(said), _) => Ok(Ok(said.trim_start().to_owned())),
        (_, Some(why)) => Ok(Err(why.trim_start().to_owned())),
        _ => Err(CallFailure::Unreadable(text.chars().take(80).collect())),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::TcpListener;

    #[test]
    fn calls_are_read_as_they_are_written() {
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
    fn what_is_no_call_is_told_why() {
        let why = |line: &[u8]| OperatorCall::parse(line).unwrap_err();
        assert_eq!(why(b""), OperatorCallError::Empty);
        assert_eq!(why(b" \t"), OperatorCallError::Empty);
        assert_eq!(why(b"HEALTH"), OperatorCallError::UnknownCall);
        assert_eq!(why(b"health now"), OperatorCallError::TakesNothing("health"));
        assert_eq!(why(b"cordon"), OperatorCallError::NeedsId("cordon"));
        assert_eq!(why(b"cordon --fleet"), OperatorCallError::NeedsId("cordon"));
        assert_eq!(why(b"uncordon --fleet a b"), OperatorCallError::NeedsId("uncordon"));
        for line in [
            &b"zone"[..],
            b"zone a",
            b"zone leave",
            b"zone leave a --for",
            b"zone hold a b",
            b"zone leave a b",
        ] {
            assert_eq!(why(line), OperatorCallError::InvalidZoneCall, "{line:?}");
        }
        assert_eq!(why(b"lease a"), OperatorCallError::InvalidNumber("lease NAME"));
        assert_eq!(why(b"lease a 0"), OperatorCallError::InvalidNumber("lease NAME"));
        assert_eq!(why(b"cordon a --lease x"), OperatorCallError::InvalidNumber("--lease"));
        assert_eq!(why(b"zone leave a --for 9"), OperatorCallError::InvalidTime("9".to_owned()));
        assert_eq!(why(b"zone leave a --for 25h"), OperatorCallError::InvalidTime("25h".to_owned()));
        assert_eq!(
            OperatorCall::parse(b"zone leave a --for 30m"),
            OperatorCall::parse(b"zone leave a --for 1800s")
        );
        assert_eq!(why(b"health --fleet"), OperatorCallError::TakesNothing("health"));
        assert_eq!(why(b"uncordon a b"), OperatorCallError::NeedsId("uncordon"));
        assert_eq!(why(b"quiesce 5"), OperatorCallError::TakesNothing("quiesce"));
        assert_eq!(why(b"cordon \xff"), OperatorCallError::NotUtf8);
    }

    #[test]
    fn an_answer_is_told_from_what_is_none() {
        let answered = |bytes: &'static [u8]| {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let address = listener.local_addr().unwrap();
            let peer = std::thread::spawn(move || {
                let (mut stream, _) = listener.accept().unwrap();
                let mut said = String::new();
                stream.read_to_string(&mut said).unwrap();
                stream.write_all(bytes).unwrap();
                said
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
