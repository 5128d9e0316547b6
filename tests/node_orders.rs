//! Operators' orders on backends: nothing undoes one but a later one.
mod node;

use daleturn::control::operator_orders::{AGE_ERROR_MS, FleetOrder, KnownOrder, OrderVersion};
use node::*;
use serde_json::json;
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;

/// A directory with an options file and a `$TMPDIR` for each of two nodes, removed when the value is dropped.
struct Directory(PathBuf);

impl Directory {
    fn new(name: &str, options: &str) -> Directory {
        let directory = Directory(scratch_dir(name));
        for node in 0..2 {
            std::fs::create_dir(directory.0.join(format!("tmp-{node}"))).unwrap();
        }
        std::fs::write(directory.0.join("daleturn.toml"), options).unwrap();
        directory
    }

    /// Returns the shell command that starts a process of a node.
    fn command(&self, node: usize) -> String {
        let path = self.0.display();
        format!("TMPDIR='{path}/tmp-{node}' DALETURN_CONFIG='{path}/daleturn.toml' exec \"$0\"")
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn free_udp_address() -> SocketAddr {
    UdpSocket::bind(free_address()).unwrap().local_addr().unwrap()
}

/// Two nodes that share state, with four backends.
struct Fleet {
    directory: Directory,
    traffic: Vec<Traffic>,
    nodes: Vec<Node>,
    _discovery: Discovery,
}

impl Fleet {
    fn start(name: &str) -> Fleet {
        let directory = Directory::new(name, "[share]\non = true\n");
        let traffic: Vec<Traffic> = (0..4).map(|_| Traffic::default()).collect();
        let addresses: Vec<_> = traffic.iter().map(|t| start_backend(t, |_, _| ok(b"x"))).collect();
        let discovery = Discovery::start(all_up(&addresses));
        let peers = [free_udp_address(), free_udp_address()].map(|address| address.to_string());
        let nodes: Vec<Node> = (0..2)
            .map(|n| {
                let configure = |c: &mut serde_json::Value| {
                    c["peer_listen"] = peers[n].clone().into();
                    c["peers"] = json!(peers);
                    c["settings"]["instances"] = 2.into();
                    c["settings"]["slotNo"] = n.into();
                };
                Node::launch(discovery.address, configure, &directory.command(n))
            })
            .collect();
        for node in &nodes {
            wait_for("/up is 200", || node.up_status() == 200);
            wait_for("both nodes are members", || share(node, "members")["alive"] == 2);
        }
        Fleet { directory, traffic, nodes, _discovery: discovery }
    }

    /// Replaces the first node's process, as an upgrade does, and waits until the new one has heard the order that the
    /// other node holds.
    fn upgrade_first(&mut self) {
        let new = self.nodes[0].start_successor(&self.directory.command(0));
        wait_for("the new process is healthy", || {
            try_call_operator(new.operator, b"health\n").is_some_and(|answer| answer.starts_with("OK"))
        });
        let mut old = std::mem::replace(&mut self.nodes[0], new);
        old.terminate();
        assert!(old.wait_for_exit().success());
        wait_for("the order of the fleet is known", || share(&self.nodes[0], "held")["words"] == 1);
    }

    /// True if the first node sends requests to the first backend.
    fn is_used(&self) -> bool {
        let before = self.traffic[0].request_count();
        for _ in 0..40 {
            assert_eq!(fetch(self.nodes[0].address, &request("page", 900)).status(), 200);
        }
        self.traffic[0].request_count() > before
    }
}

/// Returns a part of a node's figures on the shared state.
fn share(node: &Node, part: &str) -> serde_json::Value {
    let answer = node.call("stats");
    let stats: serde_json::Value = serde_json::from_str(answer.strip_prefix("OK ").unwrap()).unwrap();
    stats["share"][part].clone()
}

/// Guards against an old order of the fleet that undoes a later cordon after an upgrade (review case 9), and the other
/// way round against one that takes out what was put back later.
#[test]
fn an_upgraded_node_lets_no_older_order_of_the_fleet_undo_a_later_one() {
    for (fleet_order, later_order, is_used) in
        [("uncordon --fleet s-0", "cordon s-0", false), ("cordon --fleet s-0", "uncordon s-0", true)]
    {
        let mut fleet = Fleet::start(&format!("older-order-{is_used}"));
        assert!(fleet.nodes[1].call(fleet_order).starts_with("OK"));
        wait_for("the first node has heard it", || share(&fleet.nodes[0], "held")["words"] == 1);
        assert!(fleet.nodes[0].call(later_order).starts_with("OK"));
        fleet.upgrade_first();
        assert_eq!(fleet.is_used(), is_used, "after {fleet_order}, {later_order} and an upgrade");
    }
}

/// Guards against a check for older orders that keeps later ones out as well.
#[test]
fn a_later_order_of_the_fleet_undoes_an_earlier_one_after_an_upgrade() {
    let mut fleet = Fleet::start("later-order");
    assert!(fleet.nodes[1].call("cordon --fleet s-0").starts_with("OK"));
    wait_for("the first node has heard it", || share(&fleet.nodes[0], "held")["words"] == 1);
    assert!(!fleet.is_used());
    fleet.upgrade_first();
    assert!(!fleet.is_used());
    // Ages are exact to two seconds.
    std::thread::sleep(std::time::Duration::from_millis(AGE_ERROR_MS as u64 + 200));
    assert!(fleet.nodes[1].call("uncordon --fleet s-0").starts_with("OK"));
    wait_for("the backend is used again", || fleet.is_used());
}

/// Guards against a release that takes an operator's cordon for its own after an upgrade.
#[test]
fn a_release_undoes_no_cordon_of_an_operator_after_an_upgrade() {
    for (cordon, is_back) in [("cordon s-0", false), ("cordon s-0 --lease 1", true)] {
        let directory = Directory::new(&format!("release-{is_back}"), "");
        let traffic = Traffic::default();
        let discovery = Discovery::start(all_up(&start_backends(2, &traffic, |_, _| ok(b"x"))));
        let mut old = Node::launch(discovery.address, |_| {}, &directory.command(0));
        wait_for("/up is 200", || old.up_status() == 200);
        assert!(old.call("lease controller 1").starts_with("OK"));
        assert!(old.call(cordon).starts_with("OK"));
        let new = old.start_successor(&directory.command(0));
        wait_for("the new process is healthy", || {
            new.try_call("health").is_some_and(|answer| answer.starts_with("OK"))
        });
        old.terminate();
        assert!(old.wait_for_exit().success());
        assert!(new.call("lease controller 2").starts_with("OK"));
        let answer = new.call("uncordon s-0 --lease 2");
        let expected = if is_back { "OK s-0 is back" } else { "OK s-0 stays out" };
        assert!(answer.starts_with(expected), "{cordon}: {answer}");
    }
}

#[test]
fn an_order_undoes_another_only_if_it_is_known_to_be_later() {
    let version = |number| OrderVersion { number, node: 2 };
    let known = KnownOrder { cordoned: true, given_ms: 1e6, version: Some(version(4)), is_release: false };
    let supersedes = |number, cordoned, later_by_ms| {
        let order = FleetOrder { cordoned, version: version(number), given_ms: 1e6 + later_by_ms };
        order.supersedes(&known)
    };
    // What was heard of before the known order cannot be later, whatever the clocks say.
    assert!(!supersedes(4, false, 1e9) && !supersedes(3, false, 1e9));
    assert!(supersedes(5, false, 2.0 * AGE_ERROR_MS) && supersedes(5, true, 2.0 * AGE_ERROR_MS));
    assert!(!supersedes(5, false, -1e5) && !supersedes(5, true, -1e5));
    // Where the ages do not tell, the backend is out.
    for later_by_ms in [-0.5 * AGE_ERROR_MS, 0.5 * AGE_ERROR_MS] {
        assert!(supersedes(5, true, later_by_ms) && !supersedes(5, false, later_by_ms));
    }
}
