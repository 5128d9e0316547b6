//! Runs balancer instances for the simulator, which sends events on standard input and reads actions from
//! standard output. Instances share nothing.

use daleturn::Balancer;
use daleturn::interface::{Action, Event, ListKind};
use daleturn::wire::{Line, Names, list_kind, settings};
use std::collections::BTreeMap;
use std::error::Error;
use std::io::{BufRead, Write};
use std::process::ExitCode;

/// Balancer instance with the names of its settings and backends.
struct Instance {
    names: Names,
    balancer: Balancer,
}

/// All instances, and the output of the current batch.
#[derive(Default)]
struct Simulation {
    instances: BTreeMap<u64, Instance>,
    actions: Vec<Action>,
    reply: String,
}

impl Simulation {
    /// Passes an event to an instance and appends its actions to the output.
    fn feed(&mut self, instance_id: u64, now: f64, event: Event) {
        let Some(instance) = self.instances.get_mut(&instance_id) else { return };
        instance.balancer.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            instance.names.action(instance_id, &action, &mut self.reply);
        }
    }

    /// Handles one line of a batch. `entry` reads the next line, for the entries of a list.
    fn handle_line(
        &mut self,
        now: f64,
        text: &str,
        entry: &mut dyn FnMut() -> Result<String, Box<dyn Error>>,
    ) -> Result<(), Box<dyn Error>> {
        let line = Line::parse(text)?;
        let instance_id = line.required_u64("who")?;
        match line.name {
            "provision" => {
                let (settings, names) = settings(line.required("config")?)?;
                let balancer = Balancer::new(settings, line.required_u64("prng")?)?;
                self.instances.insert(instance_id, Instance { names, balancer });
                self.feed(instance_id, now, Event::Start);
            }
            "shutdown" => {
                self.instances.remove(&instance_id);
            }
            "update" => {
                let kind = list_kind(line.required("form")?)?;
                let count = if kind == ListKind::Failed { 0 } else { line.required_u64("elements")? };
                let mut entries = Vec::new();
                for _ in 0..count {
                    let next = entry()?;
                    let parsed = Line::parse(next.trim_end())?;
                    if parsed.name != "backend" {
                        return Err(
                            format!("field elements: {count} announced, then {:?}", parsed.name).into()
                        );
                    }
                    if let Some(instance) = self.instances.get_mut(&instance_id) {
                        entries.push(instance.names.entry(&parsed)?);
                    }
                }
                self.feed(instance_id, now, Event::List { kind, entries });
            }
            _ => {
                if let Some(instance) = self.instances.get_mut(&instance_id) {
                    let event = instance.names.event(&line)?;
                    self.feed(instance_id, now, event);
                }
            }
        }
        Ok(())
    }
}

fn run() -> Result<(), Box<dyn Error>> {
    let mut input = std::io::stdin().lock();
    let mut output = std::io::stdout().lock();
    let mut simulation = Simulation::default();
    let mut now = 0.0;
    let mut line = String::new();
    let mut line_number = 0_u64;
    loop {
        line.clear();
        if input.read_line(&mut line)? == 0 {
            return Ok(());
        }
        line_number += 1;
        let text = line.trim_end_matches(['\n', '\r']);
        let mut entries_read = 0_u64;
        let result = if text.is_empty() {
            Ok(())
        } else if let Some(rest) = text.strip_prefix("round") {
            let value = rest.trim().strip_prefix("wallMs=").and_then(|v| v.parse::<f64>().ok());
            match value.filter(|v| v.is_finite()) {
                Some(v) => {
                    now = v;
                    Ok(())
                }
                None => Err("field wallMs: missing or not a number".into()),
            }
        } else if text == "eof_batch" {
            simulation.reply.push_str("end\n");
            output.write_all(simulation.reply.as_bytes())?;
            output.flush()?;
            simulation.reply.clear();
            Ok(())
        } else {
            simulation.handle_line(now, text, &mut || {
                let mut next = String::new();
                entries_read += 1;
                if input.read_line(&mut next)? == 0 {
                    return Err("field elements: the list is cut short".into());
                }
                Ok(next)
            })
        };
        line_number += entries_read;
        result.map_err(|e| format!("line {line_number}: {e}"))?;
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("daleturn-sim: {e}");
            ExitCode::from(2)
        }
    }
}
