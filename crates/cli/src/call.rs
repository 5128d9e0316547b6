//! `daleturn call`: sends one call to a node and prints its answer as text, tables or JSON.

use crate::page::{Failure, print, table};
use clap::Subcommand;
use daleturn::operator_call::{MAX_REASON_BYTES, OperatorCall, call_node};
use serde_json::{Value, json};
use std::fmt::Write;
use std::io::IsTerminal;
use std::net::SocketAddr;
use std::time::Duration;

/// Examples at the end of the help page.
pub const EXAMPLES: &str = "Examples:
  daleturn call 10.0.0.4:9100 health
  daleturn call 10.0.0.4:9100 cordon s-5be2a07c
  daleturn call 10.0.0.4:9100 stats --watch
  daleturn call 10.0.0.4:9100 --json stats | jq .refused";

#[derive(Debug, clap::Args)]
pub struct Args {
    /// Operator address of the node: `operator` in its configuration
    #[arg(value_name = "ADDR")]
    address: SocketAddr,
    /// Print the answer as one line of JSON
    #[arg(long, global = true)]
    json: bool,
    /// Time limit of the call in seconds
    #[arg(long, global = true, value_name = "S", default_value_t = 3,
          value_parser = clap::value_parser!(u64).range(1..=60))]
    timeout: u64,
    #[command(subcommand)]
    command: CallCommand,
}

#[derive(Clone, Debug, Subcommand)]
enum CallCommand {
    /// Check whether the node accepts clients
    Health,
    /// Send no new requests to a backend until uncordon, whatever discovery lists
    Cordon {
        /// Unique id of the backend in discovery's list
        id: String,
        /// Apply to every node that shares state with this one
        #[arg(long, conflicts_with = "why")]
        fleet: bool,
        /// Reason, shown with the cordon
        #[arg(long, value_name = "WORDS", value_parser = parse_reason)]
        why: Option<String>,
    },
    /// Send requests to a backend again
    Uncordon {
        /// Unique id of the backend in discovery's list
        id: String,
        /// Apply to every node that shares state with this one
        #[arg(long)]
        fleet: bool,
    },
    /// Supervisor only: upgrade its node to a version
    Upgrade {
        /// Name of the version in the supervisor's file
        version: String,
    },
    /// Supervisor only: list the versions and show which one serves
    Versions,
    /// Move traffic out of a zone, keep it out, or let it return
    #[command(subcommand)]
    Zone(ZoneCommand),
    /// Show each zone's state, with its reason and duration
    Zones,
    /// Send clients away: /up reports not ready, responses close connections
    Quiesce,
    /// End quiesce
    Resume,
    /// Show statistics: requests, refusals, attempts, times, backends, zones, limits
    Stats {
        /// Repeat every S seconds until Ctrl-C
        #[arg(long, value_name = "S", num_args = 0..=1, default_missing_value = "2",
              value_parser = clap::value_parser!(u64).range(1..=3600))]
        watch: Option<u64>,
    },
}

#[derive(Clone, Debug, Subcommand)]
enum ZoneCommand {
    /// Move traffic out of a zone whatever its health; ERR if the other zones may lack the capacity
    Leave {
        /// Name of the zone
        zone: String,
        /// Duration, for example 30m; default: until return
        #[arg(long = "for", value_name = "TIME", value_parser = |t: &str| OperatorCall::parse_time_s(t).map_err(|e| e.to_string()))]
        for_s: Option<u32>,
        /// Leave even if the other zones may lack the capacity
        #[arg(long)]
        force: bool,
    },
    /// Keep a zone out of use, even if it is healthy, until return
    Hold {
        /// Name of the zone
        zone: String,
    },
    /// Let traffic return to a zone gradually
    Return {
        /// Name of the zone
        zone: String,
    },
}

/// Parses a reason for a cordon: words on one line, limited in length.
fn parse_reason(text: &str) -> Result<String, String> {
    let words = text.split_ascii_whitespace().collect::<Vec<_>>().join(" ");
    let is_valid_length = (1..=MAX_REASON_BYTES).contains(&words.len());
    if is_valid_length { Ok(words) } else { Err(format!("a reason has 1 to {MAX_REASON_BYTES} bytes")) }
}

/// Makes the call and prints the answer.
pub fn run(args: &Args) -> Result<(), Failure> {
    let call = match &args.command {
        CallCommand::Health => OperatorCall::Health,
        CallCommand::Cordon { id, fleet: false, why } => {
            OperatorCall::Cordon { id: id.clone(), reason: why.clone().unwrap_or_default() }
        }
        CallCommand::Uncordon { id, fleet: false } => OperatorCall::Uncordon(id.clone()),
        CallCommand::Cordon { id, fleet: true, .. } => OperatorCall::FleetCordon(id.clone()),
        CallCommand::Uncordon { id, fleet: true } => OperatorCall::FleetUncordon(id.clone()),
        CallCommand::Zone(ZoneCommand::Leave { zone, for_s, force }) => {
            OperatorCall::ZoneLeave { zone: zone.clone(), for_s: *for_s, force: *force }
        }
        CallCommand::Zone(ZoneCommand::Hold { zone }) => OperatorCall::ZoneHold(zone.clone()),
        CallCommand::Zone(ZoneCommand::Return { zone }) => OperatorCall::ZoneReturn(zone.clone()),
        CallCommand::Zones => OperatorCall::Zones,
        CallCommand::Upgrade { version } => OperatorCall::Upgrade(version.clone()),
        CallCommand::Versions => OperatorCall::Versions,
        CallCommand::Quiesce => OperatorCall::Quiesce,
        CallCommand::Resume => OperatorCall::Resume,
        CallCommand::Stats { .. } => OperatorCall::Stats,
    };
    let ask = || {
        let answer = call_node(args.address, &call, Duration::from_secs(args.timeout));
        answer.map_err(|e| format!("{}: {e}", args.address))
    };
    if let (CallCommand::Zones, false) = (&args.command, args.json) {
        let answer = ask()?.map_err(|why| format!("{}: ERR {why}", args.address))?;
        let zones: Value = serde_json::from_str(&answer)
            .map_err(|e| format!("the node's answer is not valid JSON: {e}"))?;
        let keys = ["zone", "stand", "weight", "since_s", "turns", "failing", "why"];
        let rows = zones.as_array().into_iter().flatten().map(|z| cells(z, &keys)).collect();
        return print(&table(&["zone", "stand", "weight", "for s", "turns", "failing", "why"], rows));
    }
    let CallCommand::Stats { watch } = args.command else {
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
        let text = if args.json { format!("{answer}\n") } else { format_stats(&answer)? };
        print(&if clear { format!("\x1b[2J\x1b[H{text}") } else { text })?;
        let Some(seconds) = watch else { return Ok(()) };
        std::thread::sleep(Duration::from_secs(seconds));
        if !clear && !args.json {
            print("\n")?;
        }
    }
}

/// Formats a table cell. A missing value is a dash.
fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(s) => s.clone(),
        Value::Number(n) if n.is_f64() => format!("{:.2}", n.as_f64().unwrap_or_default()),
        other => other.to_string(),
    }
}

/// Formats the values of a row under these keys.
fn cells(row: &Value, keys: &[&str]) -> Vec<String> {
    keys.iter().map(|key| cell(&row[*key])).collect()
}

/// Formats a row of quantiles in milliseconds.
fn quantile_row(name: &str, t: &Value) -> Vec<String> {
    let mut row = vec![name.to_owned()];
    row.extend(cells(t, &["n", "p50", "p90", "p99", "p999", "max"]));
    row
}

/// Formats a node's statistics as tables.
fn format_stats(answer: &str) -> Result<String, String> {
    let stats: Value = serde_json::from_str(answer)
        .map_err(|e| format!("the node's statistics are not valid JSON: {e}"))?;
    let mut out = String::new();
    let all = |v: &Value| v.as_object().cloned().unwrap_or_default();
    let list = |v: &Value| v.as_array().cloned().unwrap_or_default();
    // Writing to a `String` cannot fail.
    let _ = writeln!(
        out,
        "{} {} pid {} version {} up {} s",
        cell(&stats["name"]),
        cell(&stats["mode"]),
        cell(&stats["pid"]),
        cell(&stats["version"]),
        cell(&stats["uptime_s"])
    );
    let _ = writeln!(
        out,
        "list {} of {} backends, settings {} taken {}, {} requests open, admission {}, strain {}",
        cell(&stats["list"]["version"]),
        cell(&stats["list"]["backends"]),
        cell(&stats["settings"]["digest"]),
        cell(&stats["settings"]["taken"]),
        cell(&stats["open"]),
        cell(&stats["admission"]["level"]),
        cell(&stats["admission"]["strain"]),
    );
    let _ = writeln!(
        out,
        "descriptors {} of {} ({} clients, {} idle to backends), memory {} of {} kB, datagrams {} out {} in, log \
         lines dropped {}\n",
        cell(&stats["descriptors"]["used"]),
        cell(&stats["descriptors"]["limit"]),
        cell(&stats["descriptors"]["clients"]),
        cell(&stats["descriptors"]["idle_upstream"]),
        cell(&stats["memory"]["used_kb"]),
        cell(&stats["memory"]["limit_kb"]),
        cell(&stats["peers"]["sent"]),
        cell(&stats["peers"]["received"]),
        stats["log"]["unwritten"].as_u64().unwrap_or(0) + stats["log"]["over"].as_u64().unwrap_or(0),
    );
    let columns = ["asked", "served", "late", "refused", "failed", "rejected", "left"];
    let mut headings = vec!["class"];
    headings.extend(columns);
    headings.extend(["p50 ms", "p99 ms"]);
    let rows = all(&stats["classes"]).into_iter().map(|(name, class)| {
        let mut row = vec![name];
        row.extend(cells(&class, &columns));
        row.extend(cells(&class["answer_ms"], &["p50", "p99"]));
        row
    });
    out.push_str(&table(&headings, rows.collect()));
    let counts = |v: &Value| {
        let nonzero = all(v).into_iter().filter(|(_, n)| n.as_u64() != Some(0));
        let words: Vec<String> = nonzero.map(|(name, n)| format!("{name} {n}")).collect();
        if words.is_empty() { "none".to_owned() } else { words.join(", ") }
    };
    let _ = writeln!(out, "\nrefused: {}", counts(&stats["refused"]));
    let _ = writeln!(out, "attempts: {}\n", counts(&stats["attempts"]));
    let window = format!("ms, {} s", cell(&stats["window_s"]));
    let rows = vec![
        quantile_row("to the answer", &stats["answer_ms"]),
        quantile_row("in this node", &stats["through_ms"]),
    ];
    out.push_str(&table(&[&window, "n", "p50", "p90", "p99", "p99.9", "max"], rows));
    out.push('\n');
    let zone_keys = ["zone", "backends", "up", "congested", "cold", "in_flight", "sent", "failed"];
    let zones = list(&stats["zones"]).into_iter().map(|z| {
        let mut row = cells(&z, &zone_keys);
        if z["own"] == true {
            row[0].push_str(" (own)");
        }
        row
    });
    out.push_str(&table(&zone_keys, zones.collect()));
    out.push('\n');
    let backend_keys =
        ["id", "zone", "state", "verdict", "trial_in_ms", "cap", "in_flight", "cold", "sent", "failed"];
    out.push_str(&table(
        &backend_keys,
        list(&stats["backends"]).iter().map(|b| cells(b, &backend_keys)).collect(),
    ));
    Ok(out)
}
