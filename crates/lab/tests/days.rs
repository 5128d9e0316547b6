//! Days with real processes: short ones that the node keeps, and ones on which a node that does something wrong is
//! caught at it. No verdict here depends on the machine's speed.

use daleturn_lab::checker::{Rule, Verdict};
use daleturn_lab::real::{Options, Outcome, PlayError, READY_TIMEOUT, block_on, find_program, play};
use daleturn_lab::scenario::Scenario;
use std::path::{Path, PathBuf};
use tokio::sync::watch;

/// A program of this build; integration tests lie in the folder beside it.
fn built(name: &str) -> PathBuf {
    let own = std::env::current_exe().expect("known");
    find_program(&own, name)
        .unwrap_or_else(|| panic!("{name} is not built: cargo test builds it for the workspace"))
}

fn options(node: PathBuf, args: &[&str]) -> (watch::Sender<bool>, Options) {
    let (stop, stopped) = watch::channel(false);
    let node_args = args.iter().map(|a| (*a).to_owned()).collect();
    (stop, Options { node, node_args, next: None, logs: None, ready: READY_TIMEOUT, stop: stopped })
}

fn played(scenario: &Scenario, node: PathBuf, args: &[&str]) -> Outcome {
    let (_stop, options) = options(node, args);
    block_on(async { play(scenario, scenario.seed, &options, |_| {}).await })
        .expect("threads")
        .expect("played")
}

fn kept(name: &str) {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios").join(name);
    let scenario = Scenario::read(&file).expect("a scenario");
    let outcome = played(&scenario, built("daleturn-node"), &[]);
    assert_eq!(outcome.verdict, Verdict::Kept, "{}", outcome.line());
}

#[test]
fn a_calm_day_is_kept() {
    kept("ci-calm.toml");
}

#[test]
fn a_day_on_which_a_server_goes_and_an_operator_takes_another_out_is_kept() {
    kept("ci-server.toml");
}

#[test]
fn a_day_on_which_nodes_are_upgraded_and_killed_is_kept() {
    kept("ci-nodes.toml");
}

#[test]
fn every_scenario_of_the_project_can_be_read() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let mut count = 0;
    for entry in std::fs::read_dir(dir).expect("there") {
        let path = entry.expect("there").path();
        let scenario = Scenario::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
        assert_eq!(Some(scenario.name.as_str()), path.file_stem().and_then(|s| s.to_str()));
        count += 1;
    }
    assert!(count >= 12, "{count}");
}

const SHORT: &str = "name = \"wrong\"\nseconds = 2\n[fleet]\nnodes = 1\nservers = 3\n[load]\nrate = 40\nwork = 0.3\n\
                     retries = 0\nbackoff = \"none\"\n[expect]\nlate_ms = 1000\n";

fn caught(wrong: &str, more: &str, rule: Rule) {
    let scenario = Scenario::parse(&format!("{SHORT}{more}")).expect("a scenario");
    let outcome = played(&scenario, built("examples/wrong-node"), &[wrong]);
    let broken: Vec<Rule> = outcome.figures.broken.keys().copied().collect();
    assert!(broken.contains(&rule), "{wrong}: {}", outcome.line());
    assert!(matches!(outcome.verdict, Verdict::Broken(_)));
}

#[test]
fn a_node_that_ends_connections_without_an_answer_is_caught() {
    caught("lost", "", Rule::Lost);
}

#[test]
fn a_node_that_never_answers_is_caught() {
    caught("silent", "", Rule::Lost);
}

#[test]
fn a_node_that_sends_orders_twice_is_caught() {
    caught("twice", "", Rule::Twice);
}

#[test]
fn a_node_that_sends_copies_is_caught() {
    // Work that outlasts the moment in which an end may be on its way.
    caught(
        "copy",
        "[[class]]\nname = \"c\"\nshare = 1\nwork_ms = [400, 500]\naim_ms = 900\ndeadline_ms = 1500\n",
        Rule::Copy,
    );
}

#[test]
fn a_node_that_tries_too_often_is_caught() {
    caught("attempts", "", Rule::Attempts);
}

#[test]
fn a_node_that_refuses_without_a_word_is_caught() {
    caught("no-retry-after", "", Rule::NoRetryAfter);
}

#[test]
fn a_node_that_holds_its_refusals_is_caught() {
    caught("held", "", Rule::Held);
}

#[test]
fn a_node_that_makes_answers_up_is_caught() {
    caught("forged-answer", "", Rule::Forged);
}

#[test]
fn a_node_that_makes_requests_up_is_caught() {
    caught("forged-request", "", Rule::Forged);
}

#[test]
fn a_node_that_ends_is_caught() {
    caught("crash", "", Rule::Crash);
}

/// Its operator's address answers nothing, so the word of a drain is one that the node never asks for: the lab counts
/// what discovery would have told as told only where it did. Here the operator's word cannot be given.
#[test]
fn a_node_that_hears_no_operator_is_caught() {
    let word = "[[trouble]]\nkind = \"node-call\"\nat_s = 0.5\non = [\"n0\"]\nsay = \"cordon s-1\"\n";
    caught("deaf", word, Rule::Crash);
}

#[test]
fn a_server_that_is_pushed_over_while_cold_is_seen() {
    let cold = "[[trouble]]\nkind = \"server-replace\"\nat_s = 0.2\non = [\"s1\"]\n";
    // It is sent a third of all, as if it were warm; its start bears next to nothing.
    let scenario = SHORT.replace("servers = 3", "servers = 3\ncold_from = 0.01\ncold_s = 60\ncores = 1");
    let scenario = Scenario::parse(&format!("{scenario}{cold}")).expect("a scenario");
    let outcome = played(&scenario, built("examples/wrong-node"), &["pushes"]);
    assert!(outcome.figures.broken.contains_key(&Rule::PushedOver), "{}", outcome.line());
}

#[test]
fn a_node_that_never_gets_ready_is_told() {
    let scenario = Scenario::parse(SHORT).expect("a scenario");
    let (_stop, options) = options(PathBuf::from("/bin/false"), &[]);
    let played = block_on(async { play(&scenario, 1, &options, |_| {}).await }).expect("threads");
    assert!(matches!(played, Err(PlayError::NotReady { node: 0, why: Some(_), .. })), "{played:?}");
    // One that lives and never says yes.
    let (_stop, mut options) = self::options(built("examples/wrong-node"), &["never-ready"]);
    options.ready = std::time::Duration::from_millis(300);
    let played = block_on(async { play(&scenario, 1, &options, |_| {}).await }).expect("threads");
    assert!(matches!(played, Err(PlayError::NotReady { node: 0, why: None, .. })), "{played:?}");
    let why = played.unwrap_err().to_string();
    assert_eq!(why, "node 0 did not get ready within 0.3 s");
}

#[test]
fn a_node_that_says_a_hundred_megabytes_is_read_and_little_of_it_is_kept() {
    let scenario = Scenario::parse(SHORT).expect("a scenario");
    let logs = std::env::temp_dir().join(format!("daleturn-lab-chatter-{}", std::process::id()));
    let (_stop, mut options) = options(built("examples/wrong-node"), &["chatters"]);
    options.logs = Some(logs.clone());
    let played = block_on(async { play(&scenario, 1, &options, |_| {}).await }).expect("threads");
    let served = played.expect("it got ready: somebody read what it said").figures.worth;
    let kept = std::fs::metadata(logs.join("n0-1.log")).expect("there").len();
    std::fs::remove_dir_all(&logs).expect("there");
    assert!(served > 0.0);
    assert!((1_000_000..=17_000_000).contains(&kept), "{kept}");
}

#[test]
fn a_day_on_which_troubles_overlap_and_links_are_cut_under_open_requests_is_kept() {
    kept("ci-hard.toml");
}

#[test]
fn two_days_at_once_do_not_meet_each_other() {
    let day = || std::thread::spawn(|| kept("ci-calm.toml"));
    for day in [day(), day()] {
        day.join().expect("kept");
    }
}

#[test]
fn clients_that_ask_for_what_no_server_takes_cost_nobody_else_anything() {
    let wrong = "[[trouble]]\nkind = \"wrong-requests\"\nat_s = 0.1\nfor_s = 1.8\nsize = 0.4\n";
    let scenario = Scenario::parse(&format!("{SHORT}{wrong}")).expect("a scenario");
    let outcome = played(&scenario, built("daleturn-node"), &[]);
    assert_eq!(outcome.verdict, Verdict::Kept, "{}", outcome.line());
    let f = &outcome.figures;
    assert!(f.failed >= 10 && f.refused == 0, "each was told so, and no other: {} {}", f.failed, f.refused);
}

#[test]
fn a_day_that_is_ended_leaves_no_process() {
    let scenario = Scenario::parse(&SHORT.replace("seconds = 2", "seconds = 600")).expect("a scenario");
    let (stop, options) = options(built("examples/wrong-node"), &["stays"]);
    let pids = || -> usize {
        let all = std::fs::read_dir("/proc").expect("there").flatten();
        let ours = |p: std::fs::DirEntry| {
            let line = std::fs::read_to_string(p.path().join("cmdline")).unwrap_or_default();
            line.contains("wrong-node\0stays")
        };
        all.map(ours).filter(|ours| *ours).count()
    };
    let seen = std::cell::Cell::new(0);
    let played = block_on(async {
        let view = |_: &_| {
            seen.set(seen.get().max(pids()));
            let _ = stop.send(true);
        };
        play(&scenario, 1, &options, view).await
    });
    assert!(matches!(played.expect("threads"), Err(PlayError::Stopped)));
    assert!(seen.get() > 0, "it was there");
    assert_eq!(pids(), 0);
}
