//! Short runs with real processes. The node must keep all rules, and a program that breaks one must be
//! detected. No verdict here depends on the machine's speed.

use daleturn_lab::checker::{Rule, Verdict};
use daleturn_lab::real::{Options, Outcome, PlayError, READY_TIMEOUT, block_on, find_program, play};
use daleturn_lab::scenario::Scenario;
use std::path::{Path, PathBuf};
use tokio::sync::watch;

/// Returns the path of a program of this build; integration tests are in a directory below it.
fn program(name: &str) -> PathBuf {
    let own = std::env::current_exe().expect("the path of this program");
    find_program(&own, name)
        .unwrap_or_else(|| panic!("{name} is not built: cargo test builds it for the workspace"))
}

/// Returns options for a run, and the sender that stops it.
fn options(node: PathBuf, args: &[&str]) -> (watch::Sender<bool>, Options) {
    let (stop, stopped) = watch::channel(false);
    let node_args = args.iter().map(|a| (*a).to_owned()).collect();
    (stop, Options { node, node_args, next: None, logs: None, ready: READY_TIMEOUT, stop: stopped })
}

/// Runs a scenario with a program as the node.
fn run(scenario: &Scenario, node: PathBuf, args: &[&str]) -> Outcome {
    let (_stop, options) = options(node, args);
    block_on(async { play(scenario, scenario.seed, &options, |_| {}).await })
        .expect("a runtime")
        .expect("a complete run")
}

/// Runs a scenario file with the real node, which must keep all rules.
fn expect_kept(name: &str) {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios").join(name);
    let scenario = Scenario::read(&file).expect("a scenario");
    let outcome = run(&scenario, program("daleturn-node"), &[]);
    assert_eq!(outcome.verdict, Verdict::Kept, "{}", outcome.line());
}

#[test]
fn a_run_without_faults_keeps_the_rules() {
    expect_kept("ci-calm.toml");
}

#[test]
fn a_run_with_a_server_failure_and_a_cordon_keeps_the_rules() {
    expect_kept("ci-server.toml");
}

#[test]
fn a_run_with_node_upgrades_and_kills_keeps_the_rules() {
    expect_kept("ci-nodes.toml");
}

#[test]
fn every_scenario_file_can_be_read() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let mut count = 0;
    for entry in std::fs::read_dir(dir).expect("the directory of scenarios") {
        let path = entry.expect("a directory entry").path();
        let scenario = Scenario::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
        assert_eq!(Some(scenario.name.as_str()), path.file_stem().and_then(|s| s.to_str()));
        count += 1;
    }
    assert!(count >= 12, "{count}");
}

/// A run of 2 s with one node.
const SHORT: &str = "name = \"wrong\"\nseconds = 2\n[fleet]\nnodes = 1\nservers = 3\n[load]\nrate = 40\nwork = 0.3\n\
                     retries = 0\nbackoff = \"none\"\n[expect]\nlate_ms = 1000\n";

/// Runs the program `wrong-node` with a misbehaviour, which must break a rule.
fn expect_violation(misbehaviour: &str, more: &str, rule: Rule) {
    let scenario = Scenario::parse(&format!("{SHORT}{more}")).expect("a scenario");
    let outcome = run(&scenario, program("examples/wrong-node"), &[misbehaviour]);
    let broken: Vec<Rule> = outcome.figures.broken.keys().copied().collect();
    assert!(broken.contains(&rule), "{misbehaviour}: {}", outcome.line());
    assert!(matches!(outcome.verdict, Verdict::Broken(_)));
}

#[test]
fn a_node_that_closes_connections_without_an_answer_is_detected() {
    expect_violation("lost", "", Rule::Lost);
}

#[test]
fn a_node_that_never_answers_is_detected() {
    expect_violation("silent", "", Rule::Lost);
}

#[test]
fn a_node_that_sends_at_most_once_requests_twice_is_detected() {
    expect_violation("twice", "", Rule::Twice);
}

#[test]
fn a_node_that_sends_second_copies_is_detected() {
    // The work lasts longer than the tolerance for the end of the first attempt to arrive.
    expect_violation(
        "copy",
        "[[class]]\nname = \"c\"\nshare = 1\nwork_ms = [400, 500]\naim_ms = 900\ndeadline_ms = 1500\n",
        Rule::Copy,
    );
}

#[test]
fn a_node_that_makes_too_many_attempts_is_detected() {
    expect_violation("attempts", "", Rule::Attempts);
}

#[test]
fn a_node_that_refuses_without_retry_after_is_detected() {
    expect_violation("no-retry-after", "", Rule::NoRetryAfter);
}

#[test]
fn a_node_that_delays_refusals_is_detected() {
    expect_violation("held", "", Rule::Held);
}

#[test]
fn a_node_that_forges_answers_is_detected() {
    expect_violation("forged-answer", "", Rule::Forged);
}

#[test]
fn a_node_that_forges_requests_is_detected() {
    expect_violation("forged-request", "", Rule::Forged);
}

#[test]
fn a_node_that_exits_is_detected() {
    expect_violation("crash", "", Rule::Crash);
}

/// The program does not answer on its operator address, and an operator's call that cannot be delivered
/// counts as a failure of the node. The program cannot break `Rule::Drain`: it never calls discovery, and a
/// node counts as knowing of a drain only once discovery has told it.
#[test]
fn a_node_that_does_not_answer_operators_is_detected() {
    let cordon = "[[trouble]]\nkind = \"node-call\"\nat_s = 0.5\non = [\"n0\"]\nsay = \"cordon s-1\"\n";
    expect_violation("deaf", cordon, Rule::Crash);
}

#[test]
fn a_cold_server_that_falls_over_is_detected() {
    let replacement = "[[trouble]]\nkind = \"server-replace\"\nat_s = 0.2\non = [\"s1\"]\n";
    // The server is sent a third of the load, as if it were warm, and bears very little when it starts.
    let scenario = SHORT.replace("servers = 3", "servers = 3\ncold_from = 0.01\ncold_s = 60\ncores = 1");
    let scenario = Scenario::parse(&format!("{scenario}{replacement}")).expect("a scenario");
    let outcome = run(&scenario, program("examples/wrong-node"), &["pushes"]);
    assert!(outcome.figures.broken.contains_key(&Rule::PushedOver), "{}", outcome.line());
}

#[test]
fn a_node_that_never_becomes_ready_is_reported() {
    let scenario = Scenario::parse(SHORT).expect("a scenario");
    let (_stop, options) = options(PathBuf::from("/bin/false"), &[]);
    let result = block_on(async { play(&scenario, 1, &options, |_| {}).await }).expect("a runtime");
    assert!(matches!(result, Err(PlayError::NotReady { node: 0, why: Some(_), .. })), "{result:?}");
    // A program that runs but never becomes ready.
    let (_stop, mut options) = self::options(program("examples/wrong-node"), &["never-ready"]);
    options.ready = std::time::Duration::from_millis(300);
    let result = block_on(async { play(&scenario, 1, &options, |_| {}).await }).expect("a runtime");
    assert!(matches!(result, Err(PlayError::NotReady { node: 0, why: None, .. })), "{result:?}");
    let why = result.unwrap_err().to_string();
    assert_eq!(why, "node 0 did not get ready within 0.3 s");
}

#[test]
fn a_log_of_100_mb_is_read_completely_and_truncated() {
    let scenario = Scenario::parse(SHORT).expect("a scenario");
    let logs = std::env::temp_dir().join(format!("daleturn-lab-chatter-{}", std::process::id()));
    let (_stop, mut options) = options(program("examples/wrong-node"), &["chatters"]);
    options.logs = Some(logs.clone());
    let result = block_on(async { play(&scenario, 1, &options, |_| {}).await }).expect("a runtime");
    let worth = result.expect("the node became ready: its log was read").figures.worth;
    let log_bytes = std::fs::metadata(logs.join("n0-1.log")).expect("the log file").len();
    std::fs::remove_dir_all(&logs).expect("the log directory is removed");
    assert!(worth > 0.0);
    assert!((1_000_000..=17_000_000).contains(&log_bytes), "{log_bytes}");
}

#[test]
fn a_run_with_overlapping_faults_and_cut_links_keeps_the_rules() {
    expect_kept("ci-hard.toml");
}

#[test]
fn two_runs_at_the_same_time_do_not_interfere() {
    let start_run = || std::thread::spawn(|| expect_kept("ci-calm.toml"));
    for handle in [start_run(), start_run()] {
        handle.join().expect("a run that keeps all rules");
    }
}

#[test]
fn invalid_requests_do_not_affect_other_clients() {
    let fault = "[[trouble]]\nkind = \"wrong-requests\"\nat_s = 0.1\nfor_s = 1.8\nsize = 0.4\n";
    let scenario = Scenario::parse(&format!("{SHORT}{fault}")).expect("a scenario");
    let outcome = run(&scenario, program("daleturn-node"), &[]);
    assert_eq!(outcome.verdict, Verdict::Kept, "{}", outcome.line());
    let f = &outcome.figures;
    assert!(
        f.failed >= 10 && f.refused == 0,
        "each invalid request failed, and none was refused: {} {}",
        f.failed,
        f.refused
    );
}

#[test]
fn a_stopped_run_leaves_no_process() {
    let scenario = Scenario::parse(&SHORT.replace("seconds = 2", "seconds = 600")).expect("a scenario");
    let (stop, options) = options(program("examples/wrong-node"), &["stays"]);
    let pids = || -> usize {
        let all = std::fs::read_dir("/proc").expect("a list of processes").flatten();
        let is_ours = |p: std::fs::DirEntry| {
            let line = std::fs::read_to_string(p.path().join("cmdline")).unwrap_or_default();
            line.contains("wrong-node\0stays")
        };
        all.map(is_ours).filter(|is_ours| *is_ours).count()
    };
    let max_processes = std::cell::Cell::new(0);
    let result = block_on(async {
        let view = |_: &_| {
            max_processes.set(max_processes.get().max(pids()));
            let _ = stop.send(true);
        };
        play(&scenario, 1, &options, view).await
    });
    assert!(matches!(result.expect("a runtime"), Err(PlayError::Stopped)));
    assert!(max_processes.get() > 0, "the process was running");
    assert_eq!(pids(), 0);
}
