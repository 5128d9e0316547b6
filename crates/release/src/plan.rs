//! A release as a file: what, from which version to which, in which stages, within which limits, and what to do on a
//! breach. Checked before anything is touched.

use daleturn::files::read_text;
use daleturn::tomlfile::{self, TomlError};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::Path;

/// A longer file is no plan.
const LONGEST: u64 = 1024 * 1024;

/// A release.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Plan {
    /// Its name, in one word: its journal is kept under it.
    pub name: String,
    /// The version that is there.
    pub from: String,
    /// The version that is to come.
    pub to: String,
    /// What gets the new version.
    pub what: What,
    /// Operators' addresses of all nodes; of a release of nodes, their supervisors' addresses, one for each member.
    pub nodes: Vec<SocketAddr>,
    /// Who gets it, in the order of the stages.
    pub member: Vec<Member>,
    /// How far each stage goes.
    pub stage: Vec<Stage>,
    /// What must hold meanwhile.
    pub limits: Limits,
    /// How long things may take.
    pub times: Times,
    /// When a stage is good.
    pub gate: Gate,
    /// What brings a member to the new version.
    pub restart: Command,
    /// What brings it back to the old one.
    pub back: Command,
    /// Says by its exit code whether a member has the version of `{version}`; none where nothing can tell.
    pub verify: Command,
}

/// What is released.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// Servers, which the nodes are told of.
    #[default]
    Servers,
    /// The program itself, by the supervisor on each machine.
    Nodes,
}

/// `[[member]]`: a server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Member {
    /// Its uid in discovery's list.
    pub id: String,
    /// Its zone.
    pub zone: String,
}

/// `[[stage]]`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Stage {
    /// Its name.
    pub name: String,
    /// How many members have the new version when it is over; of more than there are, all.
    pub members: usize,
}

/// `[limits]`.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Members out at once.
    pub out: usize,
    /// And in one zone.
    pub out_per_zone: usize,
    /// Members that must be in, in percent of all.
    pub in_percent: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { out: 1, out_per_zone: 1, in_percent: 75 }
    }
}

/// `[times]`, in seconds.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Times {
    /// For all nodes to say yes to a cordon; beyond it the release halts.
    pub cordon_s: u64,
    /// For requests under way to end; beyond it the member is restarted all the same.
    pub drain_s: u64,
    /// For a member to be back after its restart.
    pub back_s: u64,
    /// To warm before the next one.
    pub warm_s: u64,
    /// To watch after each stage.
    pub watch_s: u64,
    /// To wait for enough traffic to tell; beyond it the release halts.
    pub wait_s: u64,
}

impl Default for Times {
    fn default() -> Times {
        Times { cordon_s: 10, drain_s: 10, back_s: 120, warm_s: 20, watch_s: 60, wait_s: 900 }
    }
}

/// What is done on a breach.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Breach {
    /// Stop, and wait for a person.
    #[default]
    Halt,
    /// Bring the old version back.
    Back,
}

/// `[gate]`.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Gate {
    /// Requests that each group must have had.
    pub least: u64,
    /// Failures beyond the rest's, in percent of the requests, that are a breach once they are no chance.
    pub errors_percent: f64,
    /// Mean time beyond the rest's, in percent of it, likewise.
    pub slower_percent: f64,
    /// What a breach leads to.
    pub breach: Breach,
}

impl Default for Gate {
    fn default() -> Gate {
        Gate { least: 2000, errors_percent: 1.0, slower_percent: 10.0, breach: Breach::Halt }
    }
}

/// A program and its arguments; `{id}`, `{zone}` and `{version}` are put in. No shell reads them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Command {
    /// The program and its arguments; none where there is nothing to run.
    pub run: Vec<String>,
    /// Seconds until it is ended; 0 for 60.
    pub limit_s: u64,
}

impl Command {
    /// Seconds until it is ended.
    pub fn limit(&self) -> u64 {
        if self.limit_s == 0 { 60 } else { self.limit_s }
    }

    /// The words with a member's names put in.
    pub fn words(&self, member: &Member, version: &str) -> Vec<String> {
        let put = |w: &String| {
            w.replace("{id}", &member.id).replace("{zone}", &member.zone).replace("{version}", version)
        };
        self.run.iter().map(put).collect()
    }
}

impl Plan {
    /// Reads a file.
    ///
    /// # Errors
    /// It cannot be read, or is no plan; the line and the key are named.
    pub fn read(path: &Path) -> Result<Plan, TomlError> {
        Plan::parse(&read_text(path, LONGEST)?)
    }

    /// Reads a text.
    ///
    /// # Errors
    /// It is no plan.
    pub fn parse(text: &str) -> Result<Plan, TomlError> {
        let plan: Plan = tomlfile::parse(text)?;
        plan.check().map(|()| plan).map_err(|(key, reason)| {
            let word = key.rsplit('.').next().unwrap_or(key);
            let at = text.lines().position(|l| l.trim_start().trim_start_matches('[').starts_with(word));
            TomlError::Content {
                line: at.map_or(1, |n| n + 1),
                key: key.to_owned(),
                reason: reason.to_owned(),
            }
        })
    }

    fn check(&self) -> Result<(), (&'static str, &'static str)> {
        let word =
            |w: &str| !w.is_empty() && w.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
        let wrong = |key, reason| Err((key, reason));
        if !word(&self.name) {
            return wrong("name", "must be a word of letters, digits, dashes and points");
        }
        if self.to.is_empty() || self.from == self.to {
            return wrong("to", "there must be a version to come, another than from");
        }
        if self.nodes.is_empty() {
            return wrong("nodes", "there must be a node to say it to");
        }
        let unique = |n: usize, m: &Member| !self.member.iter().skip(n + 1).any(|o| o.id == m.id);
        if self.member.is_empty()
            || !self.member.iter().enumerate().all(|(n, m)| !m.id.is_empty() && unique(n, m))
        {
            return wrong("member", "there must be one, and each once, with an id");
        }
        let rises = self.stage.windows(2).all(|w| w[0].members < w[1].members);
        let last = self.stage.last().map_or(0, |s| s.members);
        if self.stage.first().is_none_or(|s| s.members == 0) || !rises || last < self.member.len() {
            return wrong("stage", "stages must rise from at least one member to all of them");
        }
        if self.limits.out == 0 || self.limits.out_per_zone == 0 || self.limits.in_percent > 100 {
            return wrong("limits", "out and out_per_zone must be at least 1, in_percent at most 100");
        }
        if self.what == What::Nodes && self.nodes.len() != self.member.len() {
            return wrong("nodes", "a release of nodes has a supervisor for each member, in their order");
        }
        let servers = self.what == What::Servers;
        if servers && (self.restart.run.is_empty() || self.back.run.is_empty()) {
            return wrong(
                if self.restart.run.is_empty() { "restart" } else { "back" },
                "there must be a program to run: the way there, and the way back",
            );
        }
        let g = &self.gate;
        if !(g.errors_percent > 0.0 && g.slower_percent > 0.0) || g.least < 100 {
            return wrong("gate", "percents must be above 0, least at least 100");
        }
        Ok(())
    }

    /// Nodes that must be told of a member's leave.
    pub fn told(&self) -> usize {
        if self.what == What::Nodes { 0 } else { self.nodes.len() }
    }

    /// What must be known of it to be the same plan after a restart of the controller.
    pub fn digest(&self) -> u64 {
        // A plan is plain data.
        daleturn::wire::stable_hash(&serde_json::to_string(self).unwrap_or_default())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const PLAN: &str = "name = \"r\"\nfrom = \"1\"\nto = \"2\"\nnodes = [\"127.0.0.1:1\"]\n[restart]\nrun = [\"a\", \"{id}\"]\n\
                        [back]\nrun = [\"b\"]\n[[member]]\nid = \"s-0\"\nzone = \"a\"\n[[stage]]\nname = \"all\"\nmembers = 1\n";

    #[test]
    fn a_plan_is_read_and_names_are_put_into_its_commands() {
        let plan = Plan::parse(PLAN).unwrap();
        assert_eq!(plan.restart.words(&plan.member[0], &plan.to), ["a", "s-0"]);
        assert_eq!(plan.limits, Limits::default());
    }

    #[test]
    fn what_is_wrong_is_told_with_line_and_key() {
        let why = |from: &str, to: &str| Plan::parse(&PLAN.replace(from, to)).unwrap_err().to_string();
        assert_eq!(
            why("to = \"2\"", "to = \"1\""),
            "line 3: to: there must be a version to come, another than from"
        );
        assert!(why("run = [\"b\"]", "").contains("back: there must be a program"));
        assert!(why("members = 1", "members = 0").contains("stage: stages must rise"));
        assert!(
            why("id = \"s-0\"", "id = \"s-0\"\n[[member]]\nid = \"s-0\"")
                .contains("member: there must be one")
        );
        assert!(why("name = \"r\"", "nmae = \"r\"").starts_with("line 1: nmae: unknown field"));
        assert!(why("nodes = [\"127.0.0.1:1\"]", "nodes = [\"x\"]").starts_with("line 4: nodes"));
    }
}
