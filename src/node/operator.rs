//! The operators' address: one call to a connection, one line back, then it closes.

use crate::driver::Driver;
use crate::log;
use crate::server::Server;
use crate::socket::Descriptors;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, spawn_local};

/// Callers at once: of more, the one that has been there longest is closed.
const CALLERS: usize = 8;
/// Descriptors set aside: the callers, the listener, and one just accepted.
pub const DESCRIPTORS: usize = CALLERS + 2;
/// Time for a whole call.
const CALL_TIME: Duration = Duration::from_secs(3);
/// Time for the answer to be taken, and for the caller to close.
const FAREWELL: Duration = Duration::from_millis(500);
/// A longer line is no call.
const LONGEST: usize = 512;

/// What an operator wants.
#[derive(Debug, PartialEq, Eq)]
enum Call<'a> {
    Health,
    Cordon(&'a str),
    Uncordon(&'a str),
    Quiesce,
    Resume,
}

/// Why a line is no call.
#[derive(Debug, PartialEq, Eq, Error)]
enum CallError {
    #[error("a call is a line of at most {LONGEST} bytes")]
    Long,
    #[error("the line was not ended")]
    Cut,
    #[error("no whole call within {} s", CALL_TIME.as_secs())]
    Late,
    #[error("the line is not UTF-8")]
    Text,
    #[error("the line is empty")]
    Empty,
    #[error("unknown call; there are health, cordon ID, uncordon ID, quiesce, resume")]
    Unknown,
    #[error("{0} takes one backend's ID")]
    NeedsId(&'static str),
    #[error("{0} takes nothing more")]
    TakesNothing(&'static str),
}

impl<'a> Call<'a> {
    fn parse(line: &'a [u8]) -> Result<Call<'a>, CallError> {
        let line = std::str::from_utf8(line).map_err(|_| CallError::Text)?;
        let mut words = line.split_ascii_whitespace();
        let call = words.next().ok_or(CallError::Empty)?;
        let id = words.next();
        let more = words.next().is_some();
        let with_id = |name| id.filter(|_| !more).ok_or(CallError::NeedsId(name));
        let alone = |name, call| if id.is_none() { Ok(call) } else { Err(CallError::TakesNothing(name)) };
        match call {
            "health" => alone("health", Call::Health),
            "cordon" => with_id("cordon").map(Call::Cordon),
            "uncordon" => with_id("uncordon").map(Call::Uncordon),
            "quiesce" => alone("quiesce", Call::Quiesce),
            "resume" => alone("resume", Call::Resume),
            _ => Err(CallError::Unknown),
        }
    }
}

/// Reads one line, LF or CRLF at its end.
async fn line(stream: &mut TcpStream) -> Result<Vec<u8>, CallError> {
    let mut line = Vec::new();
    let mut piece = [0; 256];
    loop {
        let n = stream.read(&mut piece).await.unwrap_or(0);
        let Some(read) = piece.get(..n).filter(|p| !p.is_empty()) else { return Err(CallError::Cut) };
        line.extend_from_slice(read);
        if let Some(end) = line.iter().position(|b| *b == b'\n') {
            line.truncate(end);
            if line.last() == Some(&b'\r') {
                line.pop();
            }
        } else if line.len() <= LONGEST {
            continue;
        }
        return if line.len() <= LONGEST { Ok(line) } else { Err(CallError::Long) };
    }
}

/// Answers operators.
pub struct Operator {
    /// Where backends are taken out.
    pub driver: Rc<Driver>,
    /// Where clients are sent away.
    pub server: Rc<Server>,
    /// Who to ask for room where the system has no descriptor left.
    pub descriptors: Rc<Descriptors>,
}

impl Operator {
    /// Takes calls for as long as the node lives.
    pub async fn listen(self: Rc<Self>, listener: TcpListener) {
        let mut callers: VecDeque<AbortHandle> = VecDeque::new();
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(e) => {
                    log::line(&format!("operator: accept: {e}"));
                    self.descriptors.relieve();
                    tokio::time::sleep(Duration::from_millis(5)).await;
                    continue;
                }
            };
            callers.retain(|c| !c.is_finished());
            while callers.len() >= CALLERS {
                if let Some(longest) = callers.pop_front() {
                    longest.abort();
                }
            }
            let own = self.clone();
            callers.push_back(spawn_local(async move { own.converse(stream).await }).abort_handle());
        }
    }

    async fn converse(&self, mut stream: TcpStream) {
        let line = tokio::time::timeout(CALL_TIME, line(&mut stream)).await;
        let line = line.unwrap_or(Err(CallError::Late));
        let call = line.as_deref().map_err(ToString::to_string);
        let answer = call.and_then(|l| Call::parse(l).map_err(|e| e.to_string()));
        let answer = match answer.and_then(|call| self.carry_out(&call)) {
            Ok(text) => format!("OK {text}\n"),
            Err(reason) => format!("ERR {reason}\n"),
        };
        // Closed with something unread, the connection would be reset and the answer lost with it.
        let _ = tokio::time::timeout(FAREWELL, async {
            stream.write_all(answer.as_bytes()).await?;
            stream.shutdown().await?;
            let mut rest = [0; 256];
            while stream.read(&mut rest).await? > 0 {}
            Ok::<_, std::io::Error>(())
        })
        .await;
    }

    fn carry_out(&self, call: &Call<'_>) -> Result<String, String> {
        let said = match *call {
            Call::Health => return self.health(),
            Call::Cordon(id) => self.driver.cordon(id).map_err(|e| e.to_string())?,
            Call::Uncordon(id) => self.driver.uncordon(id).map_err(|e| e.to_string())?,
            Call::Quiesce => self.server.quiesce()?,
            Call::Resume => self.server.resume()?,
        };
        log::line(&format!("operator: {said}"));
        Ok(said)
    }

    fn health(&self) -> Result<String, String> {
        let serving = self.server.health()?;
        if !self.driver.listed() {
            return Err("no list of backends yet".to_owned());
        }
        Ok(serving.to_owned())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_are_read() {
        assert_eq!(Call::parse(b"health"), Ok(Call::Health));
        assert_eq!(Call::parse(b"cordon s-1"), Ok(Call::Cordon("s-1")));
        assert_eq!(Call::parse(b"  uncordon \t s-1 "), Ok(Call::Uncordon("s-1")));
        assert_eq!(Call::parse(b"quiesce"), Ok(Call::Quiesce));
        assert_eq!(Call::parse(b"resume"), Ok(Call::Resume));
    }

    #[test]
    fn what_is_no_call_is_told_why() {
        let why = |line: &[u8]| Call::parse(line).unwrap_err();
        assert_eq!(why(b""), CallError::Empty);
        assert_eq!(why(b" \t"), CallError::Empty);
        assert_eq!(why(b"HEALTH"), CallError::Unknown);
        assert_eq!(why(b"health now"), CallError::TakesNothing("health"));
        assert_eq!(why(b"cordon"), CallError::NeedsId("cordon"));
        assert_eq!(why(b"uncordon a b"), CallError::NeedsId("uncordon"));
        assert_eq!(why(b"quiesce 5"), CallError::TakesNothing("quiesce"));
        assert_eq!(why(b"cordon \xff"), CallError::Text);
    }
}
