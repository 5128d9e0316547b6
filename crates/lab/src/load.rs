//! A load generator for an address of this machine. It is an open loop: times count from the moment at
//! which a request was due. If the server stalls, the delay of the requests that could not be sent
//! meanwhile is included.

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

/// The requests to send, and their rate.
#[derive(Clone, Debug)]
pub struct Load {
    /// Address of the server.
    pub address: SocketAddr,
    /// Path of the requests.
    pub path: String,
    /// Header fields of the requests.
    pub headers: Vec<(String, String)>,
    /// Requests per second.
    pub rate: f64,
    /// Duration of the load.
    pub length: Duration,
    /// Timeout of a request, from the moment at which it was due.
    pub limit: Duration,
    /// Maximum number of open connections. A request that finds none free waits, and the wait is included
    /// in its time.
    pub connections: usize,
    /// Seed for the arrival times.
    pub seed: u64,
}

/// Reasons why no load was generated.
#[derive(Debug, Error)]
pub enum LoadError {
    /// The address is not on this machine.
    #[error("{0} is not on this machine: the lab's load goes to 127.0.0.0/8 alone")]
    NotLoopback(SocketAddr),
    /// A parameter is out of its range.
    #[error("{what} is {value}, which is not above 0 and at most {most}")]
    Range {
        /// Name of the parameter.
        what: &'static str,
        /// Its value.
        value: f64,
        /// Its maximum.
        most: f64,
    },
    /// A header field or the path is invalid.
    #[error("the request cannot be written: {0}")]
    Request(#[from] hyper::http::Error),
}

/// The results.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadResult {
    /// Requests that were due.
    pub due: u64,
    /// Number of answers by status.
    pub status: BTreeMap<u16, u64>,
    /// Number of requests without an answer, by reason.
    pub failed: BTreeMap<&'static str, u64>,
    /// Time from when a request was due to its complete answer, in milliseconds: p50, p90, p99, p99.9,
    /// maximum. Only answers with status 200.
    pub answer_ms: [f64; 5],
    /// The same from when the request was sent, as a closed loop would measure it.
    pub sent_ms: [f64; 5],
    /// Lateness of the load generator itself, p99, in milliseconds.
    pub late_ms: f64,
}

/// Times in microseconds, and the counts.
struct Measurements {
    answer: Histogram<u64>,
    sent: Histogram<u64>,
    late: Histogram<u64>,
    result: LoadResult,
}

fn histogram() -> Histogram<u64> {
    // Cannot fail: the bounds, one microsecond to ten minutes, are valid constants.
    Histogram::new_with_bounds(1, 600_000_000, 3).unwrap_or_else(|_| unreachable!("bounds"))
}

fn us(d: Duration) -> u64 {
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX).max(1)
}

type Connection = SendRequest<Empty<Bytes>>;

async fn open(at: SocketAddr) -> Option<Connection> {
    let stream = TcpStream::connect(at).await.ok()?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        // The sender sees the end of the connection.
        let _ = connection.await;
    });
    Some(sender)
}

/// Idle connections, and permits that limit the number of open ones.
struct Pool {
    idle: Mutex<Vec<Connection>>,
    permits: tokio::sync::Semaphore,
}

impl Load {
    /// Builds the request.
    fn request(&self) -> Result<Request<Empty<Bytes>>, hyper::http::Error> {
        let mut head = Request::builder().uri(&self.path).header("host", self.address.to_string());
        for (name, value) in &self.headers {
            head = head.header(name, value);
        }
        head.body(Empty::new())
    }

    /// Sends one request. Returns the status of its answer and the time at which the request was sent.
    async fn send_one(&self, pool: &Pool) -> Result<(StatusCode, Instant), &'static str> {
        let _permit = pool.permits.acquire().await.map_err(|_| "ended")?;
        loop {
            let idle = pool.idle.lock().unwrap_or_else(PoisonError::into_inner).pop();
            let fresh = idle.is_none();
            let mut conn = match idle.filter(|c| c.is_ready()) {
                Some(conn) => conn,
                None if !fresh => continue,
                None => open(self.address).await.ok_or("not connected")?,
            };
            let sent = Instant::now();
            let request = self.request().map_err(|_| "not written")?;
            match conn.send_request(request).await {
                // The idle connection was closed: try another one.
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

    /// Sends requests for the configured duration or until `stop` becomes true; `view` is called every
    /// second.
    ///
    /// # Errors
    /// Returns an error if the address is not on this machine, a parameter is out of range, or the request
    /// is invalid.
    pub async fn run(
        self,
        mut stop: watch::Receiver<bool>,
        mut view: impl FnMut(u64, &LoadResult),
    ) -> Result<LoadResult, LoadError> {
        if !self.address.ip().is_loopback() {
            return Err(LoadError::NotLoopback(self.address));
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
        let measurements = Arc::new(Mutex::new(Measurements {
            answer: histogram(),
            sent: histogram(),
            late: histogram(),
            result: LoadResult::default(),
        }));
        let pool = Arc::new(Pool {
            idle: Mutex::default(),
            permits: tokio::sync::Semaphore::new(self.connections),
        });
        let load = Arc::new(self);
        let mut rng = ChaCha8Rng::seed_from_u64(load.seed);
        let (begun, mut at, mut second) = (Instant::now(), 0.0, 0);
        let mut open = tokio::task::JoinSet::new();
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
            let (load, pool, shared) = (load.clone(), pool.clone(), measurements.clone());
            let late = due.elapsed();
            open.spawn(async move {
                let answer = tokio::time::timeout_at(due + load.limit, load.send_one(&pool)).await;
                let now = Instant::now();
                let mut measurements = shared.lock().unwrap_or_else(PoisonError::into_inner);
                measurements.late.saturating_record(us(late));
                measurements.result.due += 1;
                match answer {
                    Ok(Ok((status, sent))) => {
                        *measurements.result.status.entry(status.as_u16()).or_default() += 1;
                        if status == StatusCode::OK {
                            measurements.answer.saturating_record(us(now - due));
                            measurements.sent.saturating_record(us(now - sent));
                        }
                    }
                    Ok(Err(why)) => *measurements.result.failed.entry(why).or_default() += 1,
                    Err(_) => *measurements.result.failed.entry("no answer in time").or_default() += 1,
                }
            });
            while open.try_join_next().is_some() {}
            if at as u64 > second {
                second = at as u64;
                view(second, &Measurements::result(&measurements));
            }
        }
        while open.join_next().await.is_some() {}
        Ok(Measurements::result(&measurements))
    }
}

impl Measurements {
    /// Returns the results so far.
    fn result(measurements: &Mutex<Measurements>) -> LoadResult {
        let measurements = measurements.lock().unwrap_or_else(PoisonError::into_inner);
        let ms = |h: &Histogram<u64>| {
            [0.5, 0.9, 0.99, 0.999, 1.0].map(|q| h.value_at_quantile(q) as f64 / 1000.0)
        };
        let mut result = measurements.result.clone();
        (result.answer_ms, result.sent_ms) = (ms(&measurements.answer), ms(&measurements.sent));
        result.late_ms = measurements.late.value_at_quantile(0.99) as f64 / 1000.0;
        result
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

    fn run_against_server(
        load: impl FnOnce(SocketAddr) -> Load,
        stall: bool,
    ) -> Result<LoadResult, LoadError> {
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
    fn answer_times_include_the_wait_behind_a_stalled_server() {
        let result = run_against_server(load, true).unwrap();
        assert_eq!(result.status.get(&503), Some(&1));
        assert_eq!(result.status.values().sum::<u64>(), result.due);
        // Most of the requests were due during the stall. Times from when a request was sent, as a closed
        // loop measures them, do not show it.
        assert!(result.sent_ms[0] < result.answer_ms[0], "{result:?}");
    }

    #[test]
    fn an_invalid_load_is_rejected() {
        let error = |change: &dyn Fn(&mut Load)| {
            let changed = |at| {
                let mut load = load(at);
                change(&mut load);
                load
            };
            run_against_server(changed, false).unwrap_err().to_string()
        };
        assert!(error(&|l| l.address = "10.0.0.1:80".parse().unwrap()).contains("not on this machine"));
        assert!(error(&|l| l.rate = f64::NAN).starts_with("rate is NaN"));
        assert!(error(&|l| l.connections = 0).starts_with("connections is 0"));
        assert!(error(&|l| l.headers[0].0 = "a b".to_owned()).starts_with("the request cannot be written"));
    }
}
