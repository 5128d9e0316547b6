//! The command as a person and a script meet it: pages, exit codes, and output that nobody reads.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

fn daleturn(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_daleturn")).args(args).env("COLUMNS", "80").output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

fn file(name: &str, content: &[u8]) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("daleturn-cli-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let path = dir.join(name);
    std::fs::write(&path, content).unwrap();
    path
}

/// A node that answers one call with this.
fn node(answer: &'static str) -> (String, std::thread::JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let peer = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut said = String::new();
        stream.read_to_string(&mut said).unwrap();
        stream.write_all(answer.as_bytes()).unwrap();
        said
    });
    (address, peer)
}

#[test]
fn every_help_page_fits_80_columns_and_has_no_colour_in_a_pipe() {
    let pages: [&[&str]; 9] = [
        &["--help"],
        &["call", "--help"],
        &["call", "127.0.0.1:1", "cordon", "--help"],
        &["call", "127.0.0.1:1", "stats", "--help"],
        &["config", "--help"],
        &["config", "check", "--help"],
        &["config", "show", "--help"],
        &["completions", "--help"],
        &["-h"],
    ];
    for page in pages {
        let shown = daleturn(page);
        assert_eq!(shown.status.code(), Some(0), "{page:?}");
        let shown = text(&shown.stdout);
        assert!(shown.lines().all(|l| l.chars().count() <= 80), "{page:?}\n{shown}");
        assert!(!shown.contains('\x1b'), "{page:?}");
    }
    insta::assert_snapshot!("help", text(&daleturn(&["--help"]).stdout));
    insta::assert_snapshot!("call-help", text(&daleturn(&["call", "--help"]).stdout));
}

#[test]
fn a_wrong_command_line_is_2_a_no_is_1_and_a_yes_is_0() {
    assert_eq!(daleturn(&[]).status.code(), Some(2));
    assert_eq!(daleturn(&["call", "nowhere", "health"]).status.code(), Some(2));
    assert_eq!(daleturn(&["call", "127.0.0.1:1", "cordon"]).status.code(), Some(2));
    assert_eq!(daleturn(&["call", "127.0.0.1:1", "--timeout", "0", "health"]).status.code(), Some(2));
    let (address, peer) = node("OK serving\n");
    let yes = daleturn(&["call", &address, "health"]);
    assert_eq!((yes.status.code(), text(&yes.stdout)), (Some(0), "OK serving\n".to_owned()));
    assert_eq!(peer.join().unwrap(), "health\n");
    let (address, _peer) = node("ERR no backend \"s-9\" is known\n");
    let no = daleturn(&["call", &address, "cordon", "s-9"]);
    assert_eq!((no.status.code(), text(&no.stdout)), (Some(1), String::new()));
    assert!(text(&no.stderr).contains("ERR no backend"));
    let (address, _peer) = node("ERR this process is starting\n");
    let no = daleturn(&["call", &address, "health", "--json"]);
    assert_eq!(no.status.code(), Some(1));
    assert_eq!(text(&no.stdout), "{\"ok\":false,\"said\":\"this process is starting\"}\n");
    // Nobody listens there once the test's own listener is gone.
    let gone = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string();
    let gone = daleturn(&["call", &gone, "health"]);
    assert!(gone.status.code() == Some(1) && text(&gone.stderr).contains("refused"));
}

#[test]
fn figures_are_a_table_for_eyes() {
    let answer = r#"OK {"name":"n0","mode":"serving","pid":7,"version":"0.2.0","uptime_s":61,"open":2,
"list":{"version":41,"backends":2},"settings":{"taken":1,"digest":"00ff"},
"admission":{"level":1.0,"strain":0.05,"pressure":0.0},
"descriptors":{"used":30,"limit":1000,"clients":9,"idle_upstream":4},"memory":{"used_kb":5200,"limit_kb":196608},
"peers":{"sent":1,"received":2},"log":{"unwritten":0,"over":3},
"classes":{"order":{"asked":12,"served":10,"late":1,"refused":2,"failed":0,"rejected":0,"left":0,
"answer_ms":{"n":10,"p50":40.1,"p90":60.0,"p99":80.25,"p999":80.25,"max":81.0}}},
"refused":{"level":2,"room":0,"no_backend":0,"given_up":0,"node_full":0},"attempts":{"done":10,"error":0},
"answer_ms":{"n":10,"p50":40.1,"p90":60.0,"p99":80.25,"p999":80.25,"max":81.0},"through_ms":{"n":0},"window_s":30,
"zones":[{"zone":"a","own":true,"backends":2,"up":1,"congested":0,"cold":0,"in_flight":2,"sent":10,"failed":0}],
"backends":[{"id":"s-1","zone":"a","state":"up","verdict":"live","trial_in_ms":null,"cap":3.5,"in_flight":2,
"cold":false,"sent":10,"failed":0},{"id":"s-2","zone":"a","state":"cordoned","verdict":"live","trial_in_ms":null,
"cap":null,"in_flight":0,"cold":false,"sent":0,"failed":0}]}"#;
    let (address, peer) = node(answer);
    let shown = daleturn(&["call", &address, "stats"]);
    assert_eq!(peer.join().unwrap(), "stats\n");
    assert_eq!(shown.status.code(), Some(0), "{}", text(&shown.stderr));
    insta::assert_snapshot!("stats", text(&shown.stdout));
}

#[test]
fn files_are_checked_by_what_they_are() {
    let good = file("good.toml", b"[log]\nformat = \"json\"\n");
    let bad = file("bad.toml", b"[log]\nfrmat = \"json\"\n");
    let platform = file("config.json", b"{\"listen\": \"127.0.0.1:1\", \"seed\": \"1\"}");
    let (good, bad, platform) = (good.display(), bad.display(), platform.display());
    let checked = daleturn(&["config", "check", &good.to_string()]);
    assert_eq!(checked.status.code(), Some(0));
    let checked =
        daleturn(&["config", "check", &good.to_string(), &bad.to_string(), &platform.to_string()]);
    assert_eq!(checked.status.code(), Some(1));
    let lines = text(&checked.stdout);
    assert!(lines.contains(&format!("{good}: product configuration, fine")), "{lines}");
    assert!(lines.contains(&format!("{bad}: line 2: log.frmat: unknown field")), "{lines}");
    assert!(lines.contains(&format!("{platform}: discovery: missing")), "{lines}");
    assert!(text(&checked.stderr).contains("2 of 3"));
    let shown = daleturn(&["config", "show", &good.to_string(), "--json"]);
    let json: serde_json::Value = serde_json::from_slice(&shown.stdout).unwrap();
    let format = json["keys"].as_array().unwrap().iter().find(|k| k["key"] == "log.format").unwrap();
    assert_eq!(format["value"], "json");
}

#[test]
fn output_into_a_closed_pipe_ends_quietly() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_daleturn"))
        .args(["completions", "bash"])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    drop(child.stdout.take());
    let ended = child.wait_with_output().unwrap();
    assert_eq!((ended.status.code(), text(&ended.stderr)), (Some(0), String::new()));
}
