//! What operators call a node, and how it is asked: one line to a connection, one line back that begins with
//! `OK` or `ERR`.

use std::fmt;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use thiserror::Error;

/// A longer line is no call.
pub const LONGEST: usize = 512;
/// A longer answer is none of a node's.
const LONGEST_ANSWER: u64 = 8 * 1024 * 1024;

/// A longer reason is none.
pub const LONGEST_WHY: usize = 200;

/// Holder of a lease that is given up.
pub const NOBODY: &str = "-";

/// What an operator wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether it takes clients.
    Health,
    /// Take a backend out.
    Cordon {
        /// The backend.
        id: String,
        /// Why, in the operator's words; may be empty.
        why: String,
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
        out: bool,
        /// The backend.
        id: String,
        /// The number.
        lease: u64,
    },
    /// A controller takes the lease, renews it, or gives it up.
    Lease {
        /// Its name; [`NOBODY`] gives it up.
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
pub enum CallError {
    /// It does not end in time.
    #[error("a call is a line of at most {LONGEST} bytes")]
    Long,
    /// The connection ended before the line did.
    #[error("the line was not ended")]
    Cut,
    /// No whole line came in time.
    #[error("no whole call within {0} s")]
    Late(u64),
    /// It cannot be read.
    #[error("the line is not UTF-8")]
    Text,
    /// There is nothing in it.
    #[error("the line is empty")]
    Empty,
    /// Nobody knows it.
    #[error(
        "unknown call; there are health, cordon [--fleet] ID, uncordon [--fleet] ID, zone, zones, quiesce, resume, stats"
    )]
    Unknown,
    /// What follows `zone` is none of its forms.
    #[error("zone takes leave NAME [--for TIME] [--force], hold NAME, or return NAME")]
    Zone,
    /// What follows `lease` is no name and number.
    #[error("{0} takes a number above 0")]
    Number(&'static str),
    /// Not a time.
    #[error("{0:?} is no time such as 90s, 30m or 2h, of a day at most")]
    Time(String),
    /// What follows `--why` is no reason.
    #[error("--why takes a reason of 1 to {LONGEST_WHY} bytes, and comes last")]
    Why,
    /// It takes one word more.
    #[error("{0} takes one backend's ID")]
    NeedsId(&'static str),
    /// It takes no word more.
    #[error("{0} takes nothing more")]
    TakesNothing(&'static str),
}

impl Call {
    /// Reads a line, without its end.
    ///
    /// # Errors
    /// It is no call.
    pub fn parse(line: &[u8]) -> Result<Call, CallError> {
        let line = std::str::from_utf8(line).map_err(|_| CallError::Text)?;
        let mut words = line.split_ascii_whitespace();
        let call = words.next().ok_or(CallError::Empty)?;
        if call == "zone" {
            return Call::zone(&words.collect::<Vec<_>>());
        }
        let mut id = words.next();
        if call == "lease" {
            let number = words.next().and_then(|n| n.parse().ok()).filter(|n| *n > 0);
            let (Some(holder), Some(number), None) = (id, number, words.next()) else {
                return Err(CallError::Number("lease NAME"));
            };
            return Ok(Call::Lease { holder: holder.to_owned(), number });
        }
        let rest: Vec<&str> = words.clone().collect();
        if let (Some(id), ["--lease", number], "cordon" | "uncordon") = (id, &rest[..], call) {
            let lease = number.parse().map_err(|_| CallError::Number("--lease"))?;
            return Ok(Call::Leased { out: call == "cordon", id: id.to_owned(), lease });
        }
        if let (Some(id), ["--why", words @ ..], "cordon") =
            (id.filter(|id| *id != "--fleet"), &rest[..], call)
        {
            let (id, why) = (id.to_owned(), words.join(" "));
            return if (1..=LONGEST_WHY).contains(&why.len()) {
                Ok(Call::Cordon { id, why })
            } else {
                Err(CallError::Why)
            };
        }
        let fleet = id == Some("--fleet") && matches!(call, "cordon" | "uncordon");
        if fleet {
            id = words.next();
        }
        let more = words.next().is_some();
        let with_id = |name| id.filter(|_| !more).map(str::to_owned).ok_or(CallError::NeedsId(name));
        let alone = |name, call| if id.is_none() { Ok(call) } else { Err(CallError::TakesNothing(name)) };
        match call {
            "health" => alone("health", Call::Health),
            "cordon" if fleet => with_id("cordon").map(Call::FleetCordon),
            "cordon" => with_id("cordon").map(|id| Call::Cordon { id, why: String::new() }),
            "uncordon" => with_id("uncordon").map(if fleet { Call::FleetUncordon } else { Call::Uncordon }),
            "quiesce" => alone("quiesce", Call::Quiesce),
            "resume" => alone("resume", Call::Resume),
            "zones" => alone("zones", Call::Zones),
            "upgrade" => with_id("upgrade").map(Call::Upgrade),
            "versions" => alone("versions", Call::Versions),
            "stats" => alone("stats", Call::Stats),
            _ => Err(CallError::Unknown),
        }
    }

    fn zone(words: &[&str]) -> Result<Call, CallError> {
        match words {
            ["hold", zone] => Ok(Call::ZoneHold((*zone).to_owned())),
            ["return", zone] => Ok(Call::ZoneReturn((*zone).to_owned())),
            ["leave", zone, more @ ..] => {
                let (mut for_s, mut force) = (None, false);
                let mut more = more.iter();
                while let Some(word) = more.next() {
                    match (*word, for_s, force) {
                        ("--force", _, false) => force = true,
                        ("--for", None, _) => {
                            for_s = Some(Call::time(more.next().ok_or(CallError::Zone)?)?)
                        }
                        _ => return Err(CallError::Zone),
                    }
                }
                Ok(Call::ZoneLeave { zone: (*zone).to_owned(), for_s, force })
            }
            _ => Err(CallError::Zone),
        }
    }

    /// Reads a time as people write it, in seconds.
    ///
    /// # Errors
    /// It is none, or longer than a day.
    pub fn time(text: &str) -> Result<u32, CallError> {
        let read = humantime::parse_duration(text).ok().map(|d| d.as_secs());
        let read = read.and_then(|s| u32::try_from(s).ok()).filter(|s| (1..=86_400).contains(s));
        read.ok_or_else(|| CallError::Time(text.to_owned()))
    }
}

impl fmt::Display for Call {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Call::Health => f.write_str("health"),
            Call::Cordon { id, why } if why.is_empty() => write!(f, "cordon {id}"),
            Call::Cordon { id, why } => write!(f, "cordon {id} --why {why}"),
            Call::Uncordon(id) => write!(f, "uncordon {id}"),
            Call::FleetCordon(id) => write!(f, "cordon --fleet {id}"),
            Call::FleetUncordon(id) => write!(f, "uncordon --fleet {id}"),
            Call::Leased { out, id, lease } => {
                write!(f, "{} {id} --lease {lease}", if *out { "cordon" } else { "uncordon" })
            }
            Call::Upgrade(version) => write!(f, "upgrade {version}"),
            Call::Versions => f.write_str("versions"),
            Call::Lease { holder, number } => write!(f, "lease {holder} {number}"),
            Call::ZoneLeave { zone, for_s, force } => {
                write!(f, "zone leave {zone}")?;
                if let Some(for_s) = for_s {
                    write!(f, " --for {for_s}s")?;
                }
                f.write_str(if *force { " --force" } else { "" })
            }
            Call::ZoneHold(zone) => write!(f, "zone hold {zone}"),
            Call::ZoneReturn(zone) => write!(f, "zone return {zone}"),
            Call::Zones => f.write_str("zones"),
            Call::Quiesce => f.write_str("quiesce"),
            Call::Resume => f.write_str("resume"),
            Call::Stats => f.write_str("stats"),
        }
    }
}

/// Why no answer came.
#[derive(Debug, Error)]
pub enum AskError {
    /// Nobody there, or gone meanwhile.
    #[error("{0}")]
    System(#[from] std::io::Error),
    /// What came is no answer.
    #[error("the answer is neither OK nor ERR: {0:?}")]
    Strange(String),
}

/// Calls the node at `address` and hands back its answer: what follows `OK`, or what follows `ERR`. All of it
/// takes `limit` at most.
///
/// # Errors
/// There was no answer, or none that can be read.
pub fn ask(address: SocketAddr, call: &Call, limit: Duration) -> Result<Result<String, String>, AskError> {
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
        if answer.len() as u64 > LONGEST_ANSWER {
            return Err(AskError::Strange("longer than any".to_owned()));
        }
    }
    let text = String::from_utf8_lossy(&answer);
    let text = text.trim_end();
    let rest = |word: &str| text.strip_prefix(word).filter(|r| r.is_empty() || r.starts_with(' '));
    match (rest("OK"), rest("ERR")) {
        (Some(said), _) => Ok(Ok(said.trim_start().to_owned())),
        (_, Some(why)) => Ok(Err(why.trim_start().to_owned())),
        _ => Err(AskError::Strange(text.chars().take(80).collect())),
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
            Call::Health,
            Call::Cordon { id: id(), why: String::new() },
            Call::Cordon { id: id(), why: "disk is being replaced".to_owned() },
            Call::Uncordon(id()),
            Call::FleetCordon(id()),
            Call::FleetUncordon(id()),
            Call::ZoneLeave { zone: id(), for_s: Some(1800), force: true },
            Call::ZoneLeave { zone: id(), for_s: None, force: false },
            Call::ZoneHold(id()),
            Call::ZoneReturn(id()),
            Call::Zones,
            Call::Leased { out: true, id: id(), lease: 7 },
            Call::Leased { out: false, id: id(), lease: 7 },
            Call::Lease { holder: id(), number: 7 },
            Call::Upgrade(id()),
            Call::Versions,
            Call::Quiesce,
            Call::Resume,
            Call::Stats,
        ];
        for call in all {
            assert_eq!(Call::parse(call.to_string().as_bytes()), Ok(call));
        }
        assert_eq!(Call::parse(b"  uncordon \t s-1 "), Ok(Call::Uncordon(id())));
    }

    #[test]
    fn what_is_no_call_is_told_why() {
        let why = |line: &[u8]| Call::parse(line).unwrap_err();
        assert_eq!(why(b""), CallError::Empty);
        assert_eq!(why(b" \t"), CallError::Empty);
        assert_eq!(why(b"HEALTH"), CallError::Unknown);
        assert_eq!(why(b"health now"), CallError::TakesNothing("health"));
        assert_eq!(why(b"cordon"), CallError::NeedsId("cordon"));
        assert_eq!(why(b"cordon --fleet"), CallError::NeedsId("cordon"));
        assert_eq!(why(b"uncordon --fleet a b"), CallError::NeedsId("uncordon"));
        for line in [
            &b"zone"[..],
            b"zone a",
            b"zone leave",
            b"zone leave a --for",
            b"zone hold a b",
            b"zone leave a b",
        ] {
            assert_eq!(why(line), CallError::Zone, "{line:?}");
        }
        assert_eq!(why(b"lease a"), CallError::Number("lease NAME"));
        assert_eq!(why(b"lease a 0"), CallError::Number("lease NAME"));
        assert_eq!(why(b"cordon a --lease x"), CallError::Number("--lease"));
        assert_eq!(why(b"zone leave a --for 9"), CallError::Time("9".to_owned()));
        assert_eq!(why(b"zone leave a --for 25h"), CallError::Time("25h".to_owned()));
        assert_eq!(Call::parse(b"zone leave a --for 30m"), Call::parse(b"zone leave a --for 1800s"));
        assert_eq!(why(b"health --fleet"), CallError::TakesNothing("health"));
        assert_eq!(why(b"uncordon a b"), CallError::NeedsId("uncordon"));
        assert_eq!(why(b"quiesce 5"), CallError::TakesNothing("quiesce"));
        assert_eq!(why(b"cordon \xff"), CallError::Text);
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
            let answer = ask(address, &Call::Health, Duration::from_secs(5));
            assert_eq!(peer.join().unwrap(), "health\n");
            answer
        };
        assert_eq!(answered(b"OK serving\n").unwrap(), Ok("serving".to_owned()));
        assert_eq!(answered(b"OK\n").unwrap(), Ok(String::new()));
        assert_eq!(answered(b"ERR no list\n").unwrap(), Err("no list".to_owned()));
        assert!(matches!(answered(b"OKAY\n"), Err(AskError::Strange(_))));
        assert!(matches!(answered(b"HTTP/1.1 400 Bad Request\r\n\r\n"), Err(AskError::Strange(_))));
        assert!(matches!(answered(b""), Err(AskError::Strange(_))));
    }
}
