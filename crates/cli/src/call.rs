//! `daleturn call`: one line to a node, its answer for eyes or scripts.

use crate::page::{Failure, print, table};
use clap::Subcommand;
use daleturn::operator_call::{MAX_REASON_BYTES, OperatorCall, call_node};
use serde_json::{Value, json};
use std::fmt::Write;
use std::io::IsTerminal;
use std::net::SocketAddr;
use std::time::Duration;

/// Shown under the help.
pub const EXAMPLES: &str = "Examples:
  daleturn call 10.0.0.4:9100 health
  daleturn call 10.0.0.4:9100 cordon s-5be2a07c
  daleturn call 10.0.0.4:9100 stats --watch
  daleturn call 10.0.0.4:9100 --json stats | jq .refused";

#[derive(Debug, clap::Args)]
pub struct Args {
    /// The node's operators' address, as `operator` in its configuration
    #[arg(value_name = "ADDR")]
    address: SocketAddr,
    /// Print the answer as one line of JSON
    #[arg(long, global = true)]
    json: bool,
    /// Seconds until the call is given up
    #[arg(long, global = true, value_name = "S", default_value_t = 3,
          value_parser = clap::value_parser!(u64).range(1..=60))]
    timeout: u64,
    #[command(subcommand)]
    what: What,
}

#[derive(Clone, Debug, Subcommand)]
enum What {
    /// Whether the node takes clients
    Health,
    /// Take a backend out: nothing new goes there until uncordon, whatever discovery lists
    Cordon {
        /// The backend's uid in discovery's list
        id: String,
        /// At every node that shares state with this one
        #[arg(long, conflicts_with = "why")]
        fleet: bool,
        /// The reason, for whoever looks later
        #[arg(long, value_name = "WORDS", value_parser = reason)]
        why: Option<String>,
    },
    /// Put a backend back
    Uncordon {
        /// The backend's uid in discovery's list
        id: String,
        /// At every node that shares state with this one
        #[arg(long)]
        fleet: bool,
    },
    /// Of a supervisor: bring its node to that version, beside the one that serves
    Upgrade {
        /// Its name in the supervisor's file
        version: String,
    },
    /// Of a supervisor: which versions there are, and which one serves
    Versions,
    /// Leave a zone, keep it out, or let it return
    #[command(subcommand)]
    Zone(Zone),
    /// Where each zone stands, why, and since when
    Zones,
    /// Send clients away: /up says no, answers close their connections
    Quiesce,
    /// End of quiesce
    Resume,
    /// Figures: requests, refusals, attempts, times, backends, zones, limits
    Stats {
        /// Renew them every so many seconds, until Ctrl-C
        #[arg(long, value_name = "S", num_args = 0..=1, default_missing_value = "2",
              value_parser = clap::value_parser!(u64).range(1..=3600))]
        watch: Option<u64>,
    },
}

#[derive(Clone, Debug, Subcommand)]
enum Zone {
    /// Leave a zone, whatever its health; it is ERR if the rest is not known to carry what is asked
    Leave {
        /// Its name
        zone: String,
        /// How long, such as 30m; else until return
        #[arg(long = "for", value_name = "TIME", value_parser = |t: &str| OperatorCall::parse_time_s(t).map_err(|e| e.to_string()))]
        for_s: Option<u32>,
        /// Even if the rest is not known to carry what is asked
        #[arg(long)]
        force: bool,
    },
    /// Keep a zone out, even if it is healthy, until return
    Hold {
        /// Its name
        zone: String,
    },
    /// Let a zone return, along the ramp
    Return {
        /// Its name
        zone: String,
    },
}

/// A reason as the node takes it: one line.
fn reason(text: &str) -> Result<String, String> {
    let words = text.split_ascii_whitespace().collect::<Vec<_>>().join(" ");
    let fits = (1..=MAX_REASON_BYTES).contains(&words.len());
    if fits { Ok(words) } else { Err(format!("a reason has 1 to {MAX_REASON_BYTES} bytes")) }
}

pub fn run(args: &Args) -> Result<(), Failure> {
    let call = match &args.what {
        What::Health => OperatorCall::Health,
        What::Cordon { id, fleet: false, why } => {
            OperatorCall::Cordon { id: id.clone(), reason: why.clone().unwrap_or_default() }
        }
        What::Uncordon { id, fleet: false } => OperatorCall::Uncordon(id.clone()),
        What::Cordon { id, fleet: true, .. } => OperatorCall::FleetCordon(id.clone()),
        What::Uncordon { id, fleet: true } => OperatorCall::FleetUncordon(id.clone()),
        What::Zone(Zone::Leave { zone, for_s, force }) => {
            OperatorCall::ZoneLeave { zone: zone.clone(), for_s: *for_s, force: *force }
        }
        What::Zone(Zone::Hold { zone }) => OperatorCall::ZoneHold(zone.clone()),
        What::Zone(Zone::Return { zone }) => OperatorCall::ZoneReturn(zone.clone()),
        What::Zones => OperatorCall::Zones,
        What::Upgrade { version } => OperatorCall::Upgrade(version.clone()),
        What::Versions => OperatorCall::Versions,
        What::Quiesce => OperatorCall::Quiesce,
        What::Resume => OperatorCall::Resume,
        What::Stats { .. } => OperatorCall::Stats,
    };
    let ask = || {
        let answer = call_node(args.address, &call, Duration::from_secs(args.timeout));
        answer.map_err(|e| format!("{}: {e}", args.address))
    };
    if let (What::Zones, false) = (&args.what, args.json) {
        let answer = ask()?.map_err(|why| format!("{}: ERR {why}", args.address))?;
        let zones: Value =
            serde_json::from_str(&answer).map_err(|e| format!("the answer cannot be read: {e}"))?;
        let names = ["zone", "stand", "weight", "since_s", "turns", "failing", "why"];
        let rows = zones.as_array().into_iter().flatten().map(|z| cells(z, &names)).collect();
        return print(&table(&["zone", "stand", "weight", "for s", "turns", "failing", "why"], rows));
    }
    let What::Stats { watch } = args.what else {
        return match (ask()?, args.json) {
            (Ok(said), false) => print(&format!("OK {said}\n")),
            (Err(why), false) => Err(format!("{}: ERR {why}", args.address).into()),
            (Ok(said), true) => print(&format!("{}\n", json!({"ok": true, "said": said}))),
            (Err(why), true) => {
                print(&format!("{}\n", json!({"ok": false, "said": why})))?;
                Err(format!("{}: ERR {why}", args.address).into())
            }
        };
    };
    let clear = watch.is_some() && !args.json && std::io::stdout().is_terminal();
    loop {
        let answer = ask()?.map_err(|why| format!("{}: ERR {why}", args.address))?;
        let shown = if args.json { format!("{answer}\n") } else { stats(&answer)? };
        print(&if clear { format!("\x1b[2J\x1b[H{shown}") } else { shown })?;
        let Some(seconds) = watch else { return Ok(()) };
        std::thread::sleep(Duration::from_secs(seconds));
        if !clear && !args.json {
            print("\n")?;
        }
    }
}

/// A cell: a dash where there is nothing.
fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(s) => s.clone(),
        Value::Number(n) if n.is_f64() => format!("{:.2}", n.as_f64().unwrap_or_default()),
        other => other.to_string(),
    }
}

fn cells(row: &Value, names: &[&str]) -> Vec<String> {
    names.iter().map(|name| cell(&row[*name])).collect()
}

fn times(name: &str, t: &Value) -> Vec<String> {
    let mut row = vec![name.to_owned()];
    row.extend(cells(t, &["n", "p50", "p90", "p99", "p999", "max"]));
    row
}

/// A node's figures as tables.
fn stats(answer: &str) -> Result<String, String> {
    let s: Value = serde_json::from_str(answer).map_err(|e| format!("the figures cannot be read: {e}"))?;
    let mut out = String::new();
    let all = |v: &Value| v.as_object().cloned().unwrap_or_default();
    let list = |v: &Value| v.as_array().cloned().unwrap_or_default();
    // Writing to a String cannot fail.
    let _ = writeln!(
        out,
        "{} {} pid {} version {} up {} s",
        cell(&s["name"]),
        cell(&s["mode"]),
        cell(&s["pid"]),
        cell(&s["version"]),
        cell(&s["uptime_s"])
    );
    let _ = writeln!(
        out,
        "list {} of {} backends, settings {} taken {}, {} requests open, admission {}, strain {}",
        cell(&s["list"]["version"]),
        cell(&s["list"]["backends"]),
        cell(&s["settings"]["digest"]),
        cell(&s["settings"]["taken"]),
        cell(&s["open"]),
        cell(&s["admission"]["level"]),
        cell(&s["admission"]["strain"]),
    );
    let _ = writeln!(
        out,
        "descriptors {} of {} ({} clients, {} idle to backends), memory {} of {} kB, datagrams {} out {} in, log \
         lines dropped {}\n",
        cell(&s["descriptors"]["used"]),
        cell(&s["descriptors"]["limit"]),
        cell(&s["descriptors"]["clients"]),
        cell(&s["descriptors"]["idle_upstream"]),
        cell(&s["memory"]["used_kb"]),
        cell(&s["memory"]["limit_kb"]),
        cell(&s["peers"]["sent"]),
        cell(&s["peers"]["received"]),
        s["log"]["unwritten"].as_u64().unwrap_or(0) + s["log"]["over"].as_u64().unwrap_or(0),
    );
    let columns = ["asked", "served", "late", "refused", "failed", "rejected", "left"];
    let mut heads = vec!["class"];
    heads.extend(columns);
    heads.extend(["p50 ms", "p99 ms"]);
    let rows = all(&s["classes"]).into_iter().map(|(name, class)| {
        let mut row = vec![name];
        row.extend(cells(&class, &columns));
        row.extend(cells(&class["answer_ms"], &["p50", "p99"]));
        row
    });
    out.push_str(&table(&heads, rows.collect()));
    let counts = |v: &Value| {
        let some = all(v).into_iter().filter(|(_, n)| n.as_u64() != Some(0));
        let words: Vec<String> = some.map(|(name, n)| format!("{name} {n}")).collect();
        if words.is_empty() { "none".to_owned() } else { words.join(", ") }
    };
    let _ = writeln!(out, "\nrefused: {}", counts(&s["refused"]));
    let _ = writeln!(out, "attempts: {}\n", counts(&s["attempts"]));
    let window = format!("ms, {} s", cell(&s["window_s"]));
    let rows = vec![times("to the answer", &s["answer_ms"]), times("in this node", &s["through_ms"])];
    out.push_str(&table(&[&window, "n", "p50", "p90", "p99", "p99.9", "max"], rows));
    out.push('\n');
    let names = ["zone", "backends", "up", "congested", "cold", "in_flight", "sent", "failed"];
    let zones = list(&s["zones"]).into_iter().map(|z| {
        let mut row = cells(&z, &names);
        if z["own"] == true {
            row[0].push_str(" (own)");
        }
        row
    });
    out.push_str(&table(&names, zones.collect()));
    out.push('\n');
    let names =
        ["id", "zone", "state", "verdict", "trial_in_ms", "cap", "in_flight", "cold", "sent", "failed"];
    out.push_str(&table(&names, list(&s["backends"]).iter().map(|b| cells(b, &names)).collect()));
    Ok(out)
}
