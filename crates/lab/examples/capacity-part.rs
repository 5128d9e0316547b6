//! Measures one role at size and writes its series as JSON to standard output: `members` or `discovery`,
//! then `quick` or `full`, then how often each size is measured; of `members` just those from a least to a
//! most size where they are given.

use daleturn_lab::capacity::{Measure, discovery, members};
use std::error::Error;
use std::path::PathBuf;

fn main() -> Result<(), Box<dyn Error>> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [role, length, repetitions, sizes @ ..] = args.as_slice() else {
        return Err("usage: capacity-part members|discovery quick|full REPETITIONS [LEAST MOST]".into());
    };
    let quick = match length.as_str() {
        "quick" => true,
        "full" => false,
        other => return Err(format!("quick or full, not {other}").into()),
    };
    let measure = Measure { quick, seed: 25, repetitions: repetitions.parse()?, node: PathBuf::new() };
    let series = match role.as_str() {
        "members" => match sizes {
            [] => members::measure(&measure)?,
            [least, most] => members::measure_sizes(&measure, least.parse()?..=most.parse()?)?,
            _ => return Err("least and most size, or neither".into()),
        },
        "discovery" => discovery::measure(&measure)?,
        other => return Err(format!("members or discovery, not {other}").into()),
    };
    println!("{}", serde_json::to_string_pretty(&series)?);
    Ok(())
}
