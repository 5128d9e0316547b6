//! Load alone, against any address of this machine: open loop, each time counted from the moment at which the request
//! was due, so that a server that stands still cannot hide the requests that it kept from being sent.

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1};
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;

/// What is asked, and how often.
#[derive(Clone, Debug)]
pub struct Load {
    /// Whom.
    pub address: SocketAddr,
    /// Path of the request.
    pub path: String,
    /// Header fields of it.
    pub headers: Vec<(String, String)>,
    /// Requests a second.
    pub rate: f64,
    /// How long.
    pub length: Duration,
    /// A request's time from when it was due; what takes longer has failed.
    pub limit: Duration,
    /// Connections that are open at most; a request that finds none free waits, and that counts.
    pub connections: usize,
    /// Draws the moments.
    pub seed: u64,
}

/// Why nothing was asked.
#[derive(Debug, Error)]
pub enum LoadError {
    /// This lab stays on its machine.
    #[error("{0} is not on this machine: the lab's load goes to 127.0.0.0/8 alone")]
    NotHere(SocketAddr),
    /// A figure is out of its range.
    #[error("{what} is {value}, which is not above 0 and at most {most}")]
    Range {
        /// Which.
        what: &'static str,
        /// What it is.
        value: f64,
        /// And may be.
        most: f64,
    },
    /// A header field or the path cannot be sent.
    #[error("the request cannot be written: {0}")]
    Request(#[from] hyper::http::Error),
}

/// What came of it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadResult {
    /// Requests that were due.
    pub due: u64,
    /// Answers by status.
    pub status: BTreeMap<u16, u64>,
    /// Requests with no answer, by why.
    pub failed: BTreeMap<&'static str, u64>,
    /// From when a request was due to its whole answer, in milliseconds: p50, p90, p99, p99.9, worst. Answers of
    /// status 200 alone.
    pub answer_ms: [f64; 5],
    /// The same from when it was sent: what a closed loop would have told.
    pub sent_ms: [f64; 5],
    /// How late this load itself was, p99, in milliseconds.
    pub late_ms: f64,
}

struct Times {
    answer: Histogram<u64>,
    sent: Histogram<u64>,
    late: Histogram<u64>,
    told: LoadResult,
}

fn histogram() -> Histogram<u64> {
    // The bounds are constants that it takes: one microsecond to ten minutes.
    Histogram::new_with_bounds(1, 600_000_000, 3).unwrap_or_else(|_| unreachable!("bounds"))
}

fn us(d: Duration) -> u64 {
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX).max(1)
}

type Conn = SendRequest<Empty<Bytes>>;

async fn open(at: SocketAddr) -> Option<Conn> {
    let stream = TcpStream::connect(at).await.ok()?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        // Its end is seen by whoever sends.
        let _ = connection.await;
    });
    Some(sender)
}

struct Pool {
    idle: Mutex<Vec<Conn>>,
    places: tokio::sync::Semaphore,
}

impl Load {
    fn request(&self) -> Result<Request<Empty<Bytes>>, hyper::http::Error> {
        let mut head = Request::builder().uri(&self.path).header("host", self.address.to_string());
        for (name, value) in &self.headers {
            head = head.header(name, value);
        }
        head.body(Empty::new())
    }

    async fn ask(&self, pool: &Pool) -> Result<(StatusCode, Instant), &'static str> {
        let _place = pool.places.acquire().await.map_err(|_| "ended")?;
        loop {
            let kept = pool.idle.lock().unwrap_or_else(PoisonError::into_inner).pop();
            let fresh = kept.is_none();
            let mut conn = match kept.filter(|c| c.is_ready()) {
                Some(conn) => conn,
                None if !fresh => continue,
                None => open(self.address).await.ok_or("not connected")?,
            };
            let sent = Instant::now();
            let request = self.request().map_err(|_| "not written")?;
            match conn.send_request(request).await {
                // It was closed as it lay idle.
                Err(e) if !fresh && (e.is_canceled() || e.is_closed() || e.is_incomplete_message()) => {}
                Err(_) => return Err("connection ended"),
                Ok(answer) => {
                    let status = answer.status();
                    answer.into_body().collect().await.map_err(|_| "answer cut")?;
                    pool.idle.lock().unwrap_or_else(PoisonError::into_inner).push(conn);
                    return Ok((status, sent));
                }
            }
        }
    }

    /// Asks for as long as was said, or until it is stopped; `view` is told of each second.
    ///
    /// # Errors
    /// The address is not of this machine, a figure is out of range, the request cannot be written.
    pub async fn run(
        self,
        mut stop: watch::Receiver<bool>,
        mut view: impl FnMut(u64, &LoadResult),
    ) -> Result<LoadResult, LoadError> {
        if !self.address.ip().is_loopback() {
            return Err(LoadError::NotHere(self.address));
        }
        let ranges = [
            ("rate", self.rate, 1e6),
            ("length in seconds", self.length.as_secs_f64(), 3600.0),
            ("limit in seconds", self.limit.as_secs_f64(), 600.0),
            ("connections", self.connections as f64, 20_000.0),
        ];
        for (what, value, most) in ranges {
            if !(value > 0.0 && value <= most) {
                return Err(LoadError::Range { what, value, most });
            }
        }
        self.request()?;
        let times = Arc::new(Mutex::new(Times {
            answer: histogram(),
            sent: histogram(),
            late: histogram(),
            told: LoadResult::default(),
        }));
        let pool = Arc::new(Pool {
            idle: Mutex::default(),
            places: tokio::sync::Semaphore::new(self.connections),
        });
        let load = Arc::new(self);
        let mut rng = ChaCha8Rng::seed_from_u64(load.seed);
        let (begun, mut at, mut second) = (Instant::now(), 0.0, 0);
        let mut out = tokio::task::JoinSet::new();
        loop {
            let gap: f64 = Exp1.sample(&mut rng);
            at += gap / load.rate;
            if at >= load.length.as_secs_f64() {
                break;
            }
            let due = begun + Duration::from_secs_f64(at);
            tokio::select! {
                () = tokio::time::sleep_until(due) => {}
                _ = stop.wait_for(|stop| *stop) => break,
            }
            let (load, pool, kept) = (load.clone(), pool.clone(), times.clone());
            let late = due.elapsed();
            out.spawn(async move {
                let answer = tokio::time::timeout_at(due + load.limit, load.ask(&pool)).await;
                let now = Instant::now();
                let mut times = kept.lock().unwrap_or_else(PoisonError::into_inner);
                times.late.saturating_record(us(late));
                times.told.due += 1;
                match answer {
                    Ok(Ok((status, sent))) => {
                        *times.told.status.entry(status.as_u16()).or_default() += 1;
                        if status == StatusCode::OK {
                            times.answer.saturating_record(us(now - due));
                            times.sent.saturating_record(us(now - sent));
                        }
                    }
                    Ok(Err(why)) => *times.told.failed.entry(why).or_default() += 1,
                    Err(_) => *times.told.failed.entry("no answer in time").or_default() += 1,
                }
            });
            while out.try_join_next().is_some() {}
            if at as u64 > second {
                second = at as u64;
                view(second, &Times::told(&times));
            }
        }
        while out.join_next().await.is_some() {}
        Ok(Times::told(&times))
    }
}

impl Times {
    fn told(times: &Mutex<Times>) -> LoadResult {
        let times = times.lock().unwrap_or_else(PoisonError::into_inner);
        let ms = |h: &Histogram<u64>| {
            [0.5, 0.9, 0.99, 0.999, 1.0].map(|q| h.value_at_quantile(q) as f64 / 1000.0)
        };
        let mut told = times.told.clone();
        (told.answer_ms, told.sent_ms) = (ms(&times.answer), ms(&times.sent));
        told.late_ms = times.late.value_at_quantile(0.99) as f64 / 1000.0;
        told
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};

    fn load(address: SocketAddr) -> Load {
        Load {
            address,
            path: "/x".to_owned(),
            headers: vec![("x-a".to_owned(), "b".to_owned())],
            rate: 200.0,
            length: Duration::from_millis(600),
            limit: Duration::from_secs(20),
            connections: 1,
            seed: 1,
        }
    }

    fn played(load: impl FnOnce(SocketAddr) -> Load, stall: bool) -> Result<LoadResult, LoadError> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            tokio::spawn(async move {
                let (mut stream, _) = listener.accept().await.unwrap();
                let (mut seen, mut buffer) = (0, [0; 4096]);
                while let Ok(n @ 1..) = stream.read(&mut buffer).await {
                    assert!(buffer[..n].starts_with(b"GET /x HTTP/1.1\r\n"));
                    seen += 1;
                    if stall && seen == 1 {
                        tokio::time::sleep(Duration::from_millis(500)).await;
                    }
                    let status = if seen == 2 { "503 busy" } else { "200 OK" };
                    let answer = format!("HTTP/1.1 {status}\r\ncontent-length: 2\r\n\r\nok");
                    stream.write_all(answer.as_bytes()).await.unwrap();
                }
            });
            let (_stop, stopped) = watch::channel(false);
            load(address).run(stopped, |_, _| {}).await
        })
    }

    #[test]
    fn a_server_that_stands_still_hides_none_of_the_requests_behind_it() {
        let told = played(load, true).unwrap();
        assert_eq!(told.status.get(&503), Some(&1));
        assert_eq!(told.status.values().sum::<u64>(), told.due);
        // Most of the requests were due while it stood still: counted from when they were sent, as a closed loop would
        // count them, that does not show.
        assert!(told.sent_ms[0] < told.answer_ms[0], "{told:?}");
    }

    #[test]
    fn what_cannot_be_asked_is_told() {
        let wrong = |change: &dyn Fn(&mut Load)| {
            let changed = |at| {
                let mut load = load(at);
                change(&mut load);
                load
            };
            played(changed, false).unwrap_err().to_string()
        };
        assert!(wrong(&|l| l.address = "10.0.0.1:80".parse().unwrap()).contains("not on this machine"));
        assert!(wrong(&|l| l.rate = f64::NAN).starts_with("rate is NaN"));
        assert!(wrong(&|l| l.connections = 0).starts_with("connections is 0"));
        assert!(wrong(&|l| l.headers[0].0 = "a b".to_owned()).starts_with("the request cannot be written"));
    }
}
