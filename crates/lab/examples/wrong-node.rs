//! A minimal node that misbehaves in one way, given as its argument, for the tests of the checker.
//! Otherwise it forwards requests in turn to the servers in its configuration, and ignores later changes of
//! the list.

use bytes::Bytes;
use daleturn::platform::Config;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::handshake;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};

/// Sends a request to a server on a new connection.
async fn send(
    at: SocketAddr,
    head: &hyper::http::request::Parts,
    body: &Bytes,
) -> Option<Response<Full<Bytes>>> {
    let stream = TcpStream::connect(at).await.ok()?;
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    spawn_local(async move {
        let _ = connection.await;
    });
    let request = Request::from_parts(head.clone(), Full::new(body.clone()));
    let (head, body) = sender.send_request(request).await.ok()?.into_parts();
    Some(Response::from_parts(head, Full::new(body.collect().await.ok()?.to_bytes())))
}

/// Returns an empty response.
fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// Answers a request, or misbehaves.
async fn respond(
    misbehaviour: &str,
    servers: &[SocketAddr],
    turn: &Cell<usize>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, std::io::Error> {
    if request.uri().path() == "/up" {
        let ready = misbehaviour != "never-ready";
        return Ok(plain(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }));
    }
    let (mut head, body) = request.into_parts();
    let body = body.collect().await.map_err(std::io::Error::other)?.to_bytes();
    let next = || {
        turn.set(turn.get() + 1);
        servers[turn.get() % servers.len()]
    };
    match misbehaviour {
        "lost" if turn.get() % 5 == 4 => {
            next();
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        "silent" => std::future::pending::<()>().await,
        "no-retry-after" => return Ok(plain(StatusCode::SERVICE_UNAVAILABLE)),
        "held" => {
            tokio::time::sleep(Duration::from_millis(450)).await;
            let mut refused = plain(StatusCode::SERVICE_UNAVAILABLE);
            refused.headers_mut().insert("retry-after", HeaderValue::from_static("1"));
            return Ok(refused);
        }
        "forged-answer" => return Ok(Response::new(Full::new(Bytes::from_static(b"made up")))),
        "forged-request" => {
            head.headers.insert("x-trace-id", HeaderValue::from_static("0123456789abcdef"));
        }
        "crash" if turn.get() > 20 => std::process::exit(3),
        "twice" => {
            let (first, second) = (next(), next());
            let _ = send(first, &head, &body).await;
            return Ok(send(second, &head, &body).await.unwrap_or_else(|| plain(StatusCode::BAD_GATEWAY)));
        }
        "copy" => {
            let (first, second) = (next(), next());
            let (one, other) = tokio::join!(send(first, &head, &body), send(second, &head, &body));
            return Ok(one.or(other).unwrap_or_else(|| plain(StatusCode::BAD_GATEWAY)));
        }
        "attempts" => {
            for _ in 0..4 {
                let at = next();
                let _ = send(at, &head, &body).await;
            }
        }
        _ => {}
    }
    let at = next();
    Ok(send(at, &head, &body).await.unwrap_or_else(|| plain(StatusCode::BAD_GATEWAY)))
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let misbehaviour: &'static str = std::env::args().nth(1).unwrap_or_default().leak();
    let config = Config::load()?;
    let servers: Vec<SocketAddr> = (config.known["targets"].as_array().into_iter().flatten())
        .filter_map(|t| t["endpoint"].as_str()?.parse().ok())
        .collect();
    let servers: &'static [SocketAddr] = servers.leak();
    if misbehaviour == "chatters" {
        // The node serves only after it has written all this, which needs a reader at the other end of the
        // pipe.
        let line = [b'x'; 1000];
        let mut out = std::io::stderr().lock();
        for _ in 0..100_000 {
            std::io::Write::write_all(&mut out, &line)?;
        }
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async move {
        let listener = TcpListener::bind(config.listen).await?;
        let turn = Rc::new(Cell::new(0));
        let mut end = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
        loop {
            let (stream, _) = tokio::select! {
                accepted = listener.accept() => accepted?,
                _ = end.recv() => return Ok(()),
            };
            let turn = turn.clone();
            spawn_local(async move {
                let service = service_fn(|request| {
                    let turn = turn.clone();
                    async move { respond(misbehaviour, servers, &turn, request).await }
                });
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    })
}
