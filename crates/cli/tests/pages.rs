//! The command line: help pages, exit codes, output formats, and output into a closed pipe.

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

fn write_file(name: &str, content: &[u8]) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("daleturn-cli-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let path = dir.join(name);
    std::fs::write(&path, content).unwrap();
    path
}

/// Starts a node that answers one call with `answer`. The thread returns the call that it received.
fn start_node(answer: &'static str) -> (String, std::thread::JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let peer = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut call = String::new();
        stream.read_to_string(&mut call).unwrap();
        stream.write_all(answer.as_bytes()).unwrap();
        call
    });
    (address, peer)
}

#[test]
fn help_pages_fit_80_columns_and_have_no_colour_in_a_pipe() {
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
        let output = daleturn(page);
        assert_eq!(output.status.code(), Some(0), "{page:?}");
        let shown = text(&output.stdout);
        assert!(shown.lines().all(|l| l.chars().count() <= 80), "{page:?}\n{shown}");
        assert!(!shown.contains('\x1b'), "{page:?}");
    }
    insta::assert_snapshot!("help", text(&daleturn(&["--help"]).stdout));
    insta::assert_snapshot!("call-help", text(&daleturn(&["call", "--help"]).stdout));
}

#[test]
fn exit_code_is_2_for_a_usage_error_1_for_err_and_0_for_ok() {
    assert_eq!(daleturn(&[]).status.code(), Some(2));
    assert_eq!(daleturn(&["call", "nowhere", "health"]).status.code(), Some(2));
    assert_eq!(daleturn(&["call", "127.0.0.1:1", "cordon"]).status.code(), Some(2));
    assert_eq!(daleturn(&["call", "127.0.0.1:1", "--timeout", "0", "health"]).status.code(), Some(2));
    let (address, peer) = start_node("OK serving\n");
    let ok = daleturn(&["call", &address, "health"]);
    assert_eq!((ok.status.code(), text(&ok.stdout)), (Some(0), "OK serving\n".to_owned()));
    assert_eq!(peer.join().unwrap(), "health\n");
    let (address, _peer) = start_node("ERR no backend \"s-9\" is known\n");
    let err = daleturn(&["call", &address, "cordon", "s-9"]);
    assert_eq!((err.status.code(), text(&err.stdout)), (Some(1), String::new()));
    assert!(text(&err.stderr).contains("ERR no backend"));
    let (address, _peer) = start_node("ERR this process is starting\n");
    let err = daleturn(&["call", &address, "health", "--json"]);
    assert_eq!(err.status.code(), Some(1));
    assert_eq!(text(&err.stdout), "{\"ok\":false,\"said\":\"this process is starting\"}\n");
    // The listener is dropped at once, so nothing listens on its port.
    let unused_address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string();
    let refused = daleturn(&["call", &unused_address, "health"]);
    assert!(refused.status.code() == Some(1) && text(&refused.stderr).contains("refused"));
}

#[test]
fn stats_are_printed_as_tables() {
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
    let (address, peer) = start_node(answer);
    let shown = daleturn(&["call", &address, "stats"]);
    assert_eq!(peer.join().unwrap(), "stats\n");
    assert_eq!(shown.status.code(), Some(0), "{}", text(&shown.stderr));
    insta::assert_snapshot!("stats", text(&shown.stdout));
}

#[test]
fn config_check_recognizes_the_kind_of_each_file() {
    let good = write_file("good.toml", b"[log]\nformat = \"json\"\n");
    let bad = write_file("bad.toml", b"[log]\nfrmat = \"json\"\n");
    let platform = write_file("config.json", b"{\"listen\": \"127.0.0.1:1\", \"seed\": \"1\"}");
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
fn closed_output_pipe_is_not_an_error() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_daleturn"))
        .args(["completions", "bash"])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    drop(child.stdout.take());
    let output = child.wait_with_output().unwrap();
    assert_eq!((output.status.code(), text(&output.stderr)), (Some(0), String::new()));
}
