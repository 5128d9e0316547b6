//! The plan of a release: a TOML file with the versions, members, stages, limits, gate and commands. A plan
//! is checked before the release starts.

use daleturn::files::read_text;
use daleturn::tomlfile::{self, TomlError};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::Path;

/// Maximum size of a plan file, in bytes.
const MAX_PLAN_BYTES: u64 = 1024 * 1024;

/// A release plan.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Plan {
    /// Name of the release; also the name of the directory that holds its journal.
    pub name: String,
    /// Version before the release.
    pub from: String,
    /// Version to install.
    pub to: String,
    /// Kind of members: servers or nodes.
    pub what: MemberKind,
    /// Operator addresses of all nodes. In a release of nodes: addresses of their supervisors, one for each
    /// member, in the members' order.
    pub nodes: Vec<SocketAddr>,
    /// Members, in the order in which they are updated.
    pub member: Vec<Member>,
    /// Stages, in order.
    pub stage: Vec<Stage>,
    /// Limits on members out of service.
    pub limits: Limits,
    /// Durations and time limits.
    pub times: Times,
    /// Conditions under which a stage passes.
    pub gate: Gate,
    /// Command that installs the new version on a server. Unused in a release of nodes.
    pub restart: Command,
    /// Command that restores the old version on a server. Unused in a release of nodes.
    pub back: Command,
    /// Command that exits with 0 if a server runs version `{version}`; empty for no verification.
    pub verify: Command,
}

/// Kind of a release's members.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberKind {
    /// Servers. Nodes are told to cordon each server before its restart.
    #[default]
    Servers,
    /// Load balancer nodes, which are upgraded by the supervisor on each machine.
    Nodes,
}

/// `[[member]]`: a server, or a node in a release of nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Member {
    /// Unique id in discovery's list.
    pub id: String,
    /// Zone of the member.
    pub zone: String,
}

/// `[[stage]]`: a step of the release.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Stage {
    /// Name of the stage.
    pub name: String,
    /// Number of members on the new version at the end of the stage. A number above the member count means
    /// all members.
    pub members: usize,
}

/// `[limits]`: bounds on members out of service.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum number of members out of service at once.
    pub out: usize,
    /// Maximum number of members out of service at once in one zone.
    pub out_per_zone: usize,
    /// Minimum share of members in service, in percent.
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
    /// Time for all nodes to confirm a cordon. The release halts when it has passed.
    pub cordon_s: u64,
    /// Time for requests in flight to finish. The member is restarted when it has passed, even if requests
    /// remain.
    pub drain_s: u64,
    /// Time for a member to return after its restart.
    pub back_s: u64,
    /// Warm-up time after a member's return, during which it counts as out of service.
    pub warm_s: u64,
    /// Duration of the watch after each stage.
    pub watch_s: u64,
    /// Time to wait for enough traffic to compare. The release halts when it has passed.
    pub wait_s: u64,
}

impl Default for Times {
    fn default() -> Times {
        Times { cordon_s: 10, drain_s: 10, back_s: 120, warm_s: 20, watch_s: 60, wait_s: 900 }
    }
}

/// Reaction to a breach of the gate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum BreachAction {
    /// Halt and wait for an operator.
    #[default]
    Halt,
    /// Roll back to the old version.
    Back,
}

/// `[gate]`: conditions under which a stage passes.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Gate {
    /// Minimum number of requests in each group for a stage to pass.
    pub least: u64,
    /// Difference between the groups' failure rates, in percent of requests, above which a statistically
    /// significant difference is a breach.
    pub errors_percent: f64,
    /// Difference between the groups' mean response times, in percent of the rest's mean, above which a
    /// statistically significant difference is a breach.
    pub slower_percent: f64,
    /// Reaction to a breach.
    pub breach: BreachAction,
}

impl Default for Gate {
    fn default() -> Gate {
        Gate { least: 2000, errors_percent: 1.0, slower_percent: 10.0, breach: BreachAction::Halt }
    }
}

/// A program and its arguments, run without a shell. `{id}`, `{zone}` and `{version}` are replaced in each
/// argument.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Command {
    /// The program and its arguments; empty for no command.
    pub run: Vec<String>,
    /// Time limit in seconds, after which the command is killed; 0 means 60.
    pub limit_s: u64,
}

impl Command {
    /// Returns the time limit in seconds.
    pub fn limit_seconds(&self) -> u64 {
        if self.limit_s == 0 { 60 } else { self.limit_s }
    }

    /// Returns the program and its arguments with the placeholders replaced.
    pub fn arguments(&self, member: &Member, version: &str) -> Vec<String> {
        let replace = |argument: &String| {
            argument
                .replace("{id}", &member.id)
                .replace("{zone}", &member.zone)
                .replace("{version}", version)
        };
        self.run.iter().map(replace).collect()
    }
}

impl Plan {
    /// Reads and checks a plan file.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read or is not a valid plan. The error names the line and the
    /// key.
    pub fn read(path: &Path) -> Result<Plan, TomlError> {
        Plan::parse(&read_text(path, MAX_PLAN_BYTES)?)
    }

    /// Parses and checks a plan.
    ///
    /// # Errors
    /// Returns an error if the text is not a valid plan.
    pub fn parse(text: &str) -> Result<Plan, TomlError> {
        let plan: Plan = tomlfile::parse(text)?;
        plan.check().map(|()| plan).map_err(|(key, reason)| {
            let name = key.rsplit('.').next().unwrap_or(key);
            let line = text.lines().position(|l| l.trim_start().trim_start_matches('[').starts_with(name));
            TomlError::Content {
                line: line.map_or(1, |n| n + 1),
                key: key.to_owned(),
                reason: reason.to_owned(),
            }
        })
    }

    fn check(&self) -> Result<(), (&'static str, &'static str)> {
        let is_word =
            |w: &str| !w.is_empty() && w.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
        let invalid = |key, reason| Err((key, reason));
        if !is_word(&self.name) {
            return invalid("name", "must consist of letters, digits, dashes, underscores and dots");
        }
        if self.to.is_empty() || self.from == self.to {
            return invalid("to", "must be set and differ from `from`");
        }
        if self.nodes.is_empty() {
            return invalid("nodes", "must list at least one node");
        }
        let is_unique = |n: usize, m: &Member| !self.member.iter().skip(n + 1).any(|o| o.id == m.id);
        if self.member.is_empty()
            || !self.member.iter().enumerate().all(|(n, m)| !m.id.is_empty() && is_unique(n, m))
        {
            return invalid("member", "must list at least one member, each with a unique id");
        }
        let is_rising = self.stage.windows(2).all(|w| w[0].members < w[1].members);
        let last = self.stage.last().map_or(0, |s| s.members);
        if self.stage.first().is_none_or(|s| s.members == 0) || !is_rising || last < self.member.len() {
            return invalid("stage", "member counts must increase from at least 1 to all members");
        }
        if self.limits.out == 0 || self.limits.out_per_zone == 0 || self.limits.in_percent > 100 {
            return invalid("limits", "out and out_per_zone must be at least 1, in_percent at most 100");
        }
        if self.what == MemberKind::Nodes && self.nodes.len() != self.member.len() {
            return invalid(
                "nodes",
                "a release of nodes needs one supervisor address for each member, in the members' order",
            );
        }
        let is_servers = self.what == MemberKind::Servers;
        if is_servers && (self.restart.run.is_empty() || self.back.run.is_empty()) {
            return invalid(
                if self.restart.run.is_empty() { "restart" } else { "back" },
                "must name a program in `run`",
            );
        }
        let gate = &self.gate;
        if !(gate.errors_percent > 0.0 && gate.slower_percent > 0.0) || gate.least < 100 {
            return invalid("gate", "percents must be above 0, least at least 100");
        }
        Ok(())
    }

    /// Returns the number of nodes that must confirm a cordon. In a release of nodes it is 0: supervisors
    /// drain their own nodes.
    pub fn confirming_nodes(&self) -> usize {
        if self.what == MemberKind::Nodes { 0 } else { self.nodes.len() }
    }

    /// Returns a hash of the plan. A controller that resumes a release compares it with the stored hash.
    pub fn digest(&self) -> u64 {
        // Serializing a plan cannot fail: it consists of plain data.
        daleturn::wire::stable_hash(&serde_json::to_string(self).unwrap_or_default())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const PLAN: &str = "name = \"r\"\nfrom = \"1\"\nto = \"2\"\nnodes = [\"127.0.0.1:1\"]\n[restart]\nrun = [\"a\", \"{id}\"]\n\
                        [back]\nrun = [\"b\"]\n[[member]]\nid = \"s-0\"\nzone = \"a\"\n[[stage]]\nname = \"all\"\nmembers = 1\n";

    #[test]
    fn plan_is_parsed_and_placeholders_in_its_commands_are_replaced() {
        let plan = Plan::parse(PLAN).unwrap();
        assert_eq!(plan.restart.arguments(&plan.member[0], &plan.to), ["a", "s-0"]);
        assert_eq!(plan.limits, Limits::default());
    }

    #[test]
    fn errors_name_the_line_and_the_key() {
        let error = |from: &str, to: &str| Plan::parse(&PLAN.replace(from, to)).unwrap_err().to_string();
        assert_eq!(error("to = \"2\"", "to = \"1\""), "line 3: to: must be set and differ from `from`");
        assert!(error("run = [\"b\"]", "").contains("back: must name a program"));
        assert!(error("members = 1", "members = 0").contains("stage: member counts must increase"));
        assert!(
            error("id = \"s-0\"", "id = \"s-0\"\n[[member]]\nid = \"s-0\"")
                .contains("member: must list at least one member, each with a unique id")
        );
        assert!(error("name = \"r\"", "nmae = \"r\"").starts_with("line 1: nmae: unknown field"));
        assert!(error("nodes = [\"127.0.0.1:1\"]", "nodes = [\"x\"]").starts_with("line 4: nodes"));
    }
}
