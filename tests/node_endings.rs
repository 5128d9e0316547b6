//! The instant in which something ends while something else is still owed: drains and repeat windows that end in a
//! handshake, clients that leave while they wait, closes that cross a request or an answer.
mod node;

use node::*;
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::time::{Duration, Instant};

/// A backend whose queue is full: no connection comes up until the one in it is taken out.
struct Stuck {
    socket: Socket,
    address: SocketAddr,
    filler: Client,
}

impl Stuck {
    fn new() -> Stuck {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&loopback(0).into()).unwrap();
        socket.listen(0).unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        Stuck { filler: Client::connect(address), socket, address }
    }

    fn wait_for_handshake(&self) {
        wait_for("a handshake is under way", || tcp_state(self.address, SYN_SENT));
    }

    /// Lets the handshake end; gives all that is then written on that connection.
    fn let_in(self) -> String {
        let (first, _) = self.socket.accept().unwrap();
        drop((first, self.filler));
        let (mut second, _) = self.socket.accept().unwrap();
        second.set_read_timeout(Some(PATIENCE)).unwrap();
        let mut bytes = Vec::new();
        second.read_to_end(&mut bytes).expect("the node ends it");
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

/// Settings in which nothing ends by itself while a test lasts.
fn patient(config: &mut serde_json::Value) {
    config["settings"]["limits"]["connectTimeoutMs"] = 60_000.into();
    for class in config["settings"]["classes"].as_array_mut().unwrap() {
        class["objectiveMs"] = 60_000.into();
        class["hardLimitMs"] = 60_000.into();
    }
}

#[test]
fn a_repeat_window_that_ends_in_the_handshake_stops_the_send() {
    let record = Record::default();
    let stuck = Stuck::new();
    let go = Arc::new(AtomicBool::new(false));
    let may_end = go.clone();
    // It takes the request, which may have run, and breaks off once the other one is known.
    let first = backend(&record, move |_, _| {
        wait_for("the other backend is known", || may_end.load(SeqCst));
        Act::SayAndClose(Vec::new())
    });
    let discovery = Discovery::start(vec![target("s-0", first, "up")]);
    const WINDOW: Duration = Duration::from_millis(1500);
    let node = Node::start(discovery.address, |c| {
        patient(c);
        c["settings"]["classes"][2]["keyTtlMs"] = (WINDOW.as_millis() as u64).into();
    });
    let mut client = Client::connect(node.address);
    let begun = Instant::now();
    assert!(client.send(&request("pay", 60_000)));
    wait_for("the first attempt", || record.count() == 1);
    discovery.set(vec![target("s-0", first, "up"), target("s-1", stuck.address, "up")]);
    wait_for("both are listed", || node.call("stats").contains("s-1"));
    go.store(true, SeqCst);
    stuck.wait_for_handshake();
    wait_for("the window is over", || begun.elapsed() > WINDOW);
    let sent = stuck.let_in();
    assert!(sent.is_empty(), "sent again outside its window: {sent}");
    assert_eq!(client.answer().unwrap().status(), 503);
    assert_eq!(record.count(), 1);
}

/// How a client goes whose request waits for a connection.
#[derive(Clone, Copy, Debug)]
enum Leaves {
    Closes,
    Resets,
    EndsItsSending,
    ClosesBehindAnotherRequest,
    ResetsBehindAnotherRequest,
    ClosesWithinItsBody,
    ResetsWithinItsBody,
    ClosesBehindAFlood,
}

impl Leaves {
    const ALL: [Leaves; 8] = [
        Leaves::Closes,
        Leaves::Resets,
        Leaves::EndsItsSending,
        Leaves::ClosesBehindAnotherRequest,
        Leaves::ResetsBehindAnotherRequest,
        Leaves::ClosesWithinItsBody,
        Leaves::ResetsWithinItsBody,
        Leaves::ClosesBehindAFlood,
    ];

    fn sent_before(self) -> Vec<u8> {
        let mut bytes = request("page", 60_000);
        match self {
            Leaves::ClosesBehindAnotherRequest | Leaves::ResetsBehindAnotherRequest => {
                bytes.extend(request("page", 60_000));
            }
            Leaves::ClosesWithinItsBody | Leaves::ResetsWithinItsBody => {
                let head = "POST /api HTTP/1.1\r\nHost: n\r\nX-Trace-Id: 9b\r\nX-Qos: bid\r\nX-Expires-In-Ms: 60000\r\n\
                    Content-Length: 900000\r\n\r\n";
                bytes = head.into();
                bytes.resize(head.len() + 150_000, b'x');
            }
            Leaves::ClosesBehindAFlood => bytes.resize(200_000, b'x'),
            _ => {}
        }
        bytes
    }

    fn leave(self, stream: TcpStream) {
        match self {
            Leaves::EndsItsSending => stream.shutdown(Shutdown::Write).unwrap(),
            Leaves::Resets | Leaves::ResetsBehindAnotherRequest | Leaves::ResetsWithinItsBody => {
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            }
            _ => {}
        }
        if matches!(self, Leaves::EndsItsSending) {
            // It stays open the other way, for as long as the node does not end it.
            let mut rest = Vec::new();
            stream.set_read_timeout(Some(PATIENCE)).unwrap();
            let _ = (&stream).read_to_end(&mut rest);
            assert!(rest.is_empty(), "{}", String::from_utf8_lossy(&rest));
        }
    }
}

#[test]
fn a_client_that_leaves_while_its_request_waits_takes_it_along() {
    for way in Leaves::ALL {
        let stuck = Stuck::new();
        let discovery = Discovery::start(vec![target("s-0", stuck.address, "up")]);
        let node = Node::start(discovery.address, patient);
        let before = node.descriptors();
        let mut client = TcpStream::connect(node.address).unwrap();
        // What the node does not read the system takes, as far as it does.
        client.set_write_timeout(Some(Duration::from_millis(300))).unwrap();
        let bytes = way.sent_before();
        let mut sent = 0;
        while sent < bytes.len() {
            match client.write(&bytes[sent..]) {
                Ok(n) => sent += n,
                Err(_) => break,
            }
        }
        stuck.wait_for_handshake();
        way.leave(client);
        wait_for(&format!("{way:?}: its handshake is given up"), || !tcp_state(stuck.address, SYN_SENT));
        wait_for(&format!("{way:?}: its descriptors are free"), || node.descriptors() <= before);
        assert!(node.call("stats").contains("\"open\":0"), "{way:?}: {}", node.call("stats"));
    }
}

#[test]
fn an_answer_is_not_destroyed_by_a_close_over_unread_bytes() {
    let record = Record::default();
    let body: Vec<u8> = (0..=255_u8).cycle().take(60_000).collect();
    let sent = body.clone();
    let addresses = backends(1, &record, move |_, _| ok(&sent));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    assert_eq!(ask(node.address, &request("page", 4000)).status(), 200);
    let before = node.descriptors();
    // A client that takes little at a time, and has more to say than anybody reads.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.connect(&node.address.into()).unwrap();
    let mut client = TcpStream::from(socket);
    client.set_write_timeout(Some(Duration::from_millis(300))).unwrap();
    client.set_read_timeout(Some(PATIENCE)).unwrap();
    let text = String::from_utf8(request("page", 4000)).unwrap();
    let mut bytes = text.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n").into_bytes();
    bytes.resize(400_000, b'x');
    let _ = client.write_all(&bytes);
    wait_for("the node has closed", || node.descriptors() <= before);
    let answer = Message::read(&mut BufReader::new(client)).expect("a whole answer");
    assert_eq!(answer.status(), 200);
    assert!(answer.body == body, "{} bytes of it", answer.body.len());
}
