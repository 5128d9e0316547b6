//! Codec between the simulator's text protocol and [`crate::interface`], and the parser of the settings'
//! JSON. Contains no balancing decisions.

use crate::interface::{
    Action, AttemptEnded, BackendId, Class, Discovery, Effect, Event, Goal, Group, Health, ListEntry,
    ListKind, Load, Outcome, Prices, Reporting, Request, RequestId, Settings, Tenant, Weights,
};
use serde_json::Value;
use std::collections::HashMap;
use std::fmt::Write;
use std::sync::Arc;
use thiserror::Error;

/// Error in a line or in the settings, with the field concerned.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WireError {
    /// A required field is missing.
    #[error("field {0}: missing")]
    Missing(&'static str),
    /// A field has an invalid value.
    #[error("field {field}: {reason}")]
    Bad {
        /// Path of the field.
        field: String,
        /// Reason.
        reason: String,
    },
    /// The message name is unknown.
    #[error("unknown message {0:?}")]
    Unknown(String),
}

/// Returns the error of an invalid field.
fn invalid(field: &str, reason: impl Into<String>) -> WireError {
    WireError::Bad { field: field.to_owned(), reason: reason.into() }
}

/// Hashes a name. The result is the same at every node and in every build (FNV-1a with a final mixing
/// step).
pub fn stable_hash(text: &str) -> u64 {
    let mut h = 0xcbf2_9ce4_8422_2325_u64;
    for b in text.bytes() {
        h = (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    }
    h ^= h >> 32;
    h = h.wrapping_mul(0xd6e8_feb8_6659_fd93);
    h ^ (h >> 32)
}

/// A line, split into its message name and fields.
#[derive(Debug, Default)]
pub struct Line<'a> {
    /// Name of the message.
    pub name: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    /// Splits a line. The fields `config` and `text` extend to the end of the line.
    pub fn parse(line: &'a str) -> Result<Line<'a>, WireError> {
        let (name, mut rest) = line.split_once(' ').unwrap_or((line, ""));
        let mut fields = Vec::with_capacity(8);
        while !rest.is_empty() {
            let (field, after) = rest.split_once('=').ok_or_else(|| invalid(rest, "no '='"))?;
            if field == "config" || field == "text" {
                fields.push((field, after));
                break;
            }
            let (value, tail) = after.split_once(' ').unwrap_or((after, ""));
            fields.push((field, value));
            rest = tail;
        }
        Ok(Line { name, fields })
    }

    fn get(&self, field: &str) -> Option<&'a str> {
        self.fields.iter().find(|(f, _)| *f == field).map(|(_, v)| *v)
    }

    /// Returns a required field.
    ///
    /// # Errors
    /// Returns [`WireError::Missing`] if the line does not have the field.
    pub fn required(&self, field: &'static str) -> Result<&'a str, WireError> {
        self.get(field).ok_or(WireError::Missing(field))
    }

    /// Returns a required field as a whole number.
    ///
    /// # Errors
    /// Returns an error if the field is missing or not a whole number.
    pub fn required_u64(&self, field: &'static str) -> Result<u64, WireError> {
        self.required(field)?.parse().map_err(|_| invalid(field, "not a whole number"))
    }

    fn time(&self, field: &'static str) -> Result<f64, WireError> {
        self.opt_time(field)?.ok_or(WireError::Missing(field))
    }

    fn opt_time(&self, field: &'static str) -> Result<Option<f64>, WireError> {
        let Some(text) = self.get(field) else { return Ok(None) };
        match text.parse::<f64>() {
            Ok(v) if v.is_finite() => Ok(Some(v)),
            _ => Err(invalid(field, "not a number")),
        }
    }

    fn flag(&self, field: &'static str) -> bool {
        self.get(field) == Some("1")
    }
}

/// Mapping between names and numbers in both directions, because settings may contain a hundred thousand
/// tenants and every request names one. A number without a name is not assigned to new requests.
#[derive(Debug, Default)]
struct NumberedNames {
    names: Vec<Option<Arc<str>>>,
    numbers: HashMap<Arc<str>, usize>,
}

impl NumberedNames {
    /// Creates the mapping; a duplicate name gets its first number.
    fn of(names: impl IntoIterator<Item = Option<Arc<str>>>) -> NumberedNames {
        let names: Vec<_> = names.into_iter().collect();
        let mut numbers = HashMap::with_capacity(names.len());
        for (number, name) in names.iter().enumerate() {
            if let Some(name) = name {
                numbers.entry(name.clone()).or_insert(number);
            }
        }
        NumberedNames { names, numbers }
    }

    fn number(&self, name: &str) -> Option<usize> {
        self.numbers.get(name).copied()
    }

    fn name(&self, number: usize) -> Option<&str> {
        self.names.get(number)?.as_deref()
    }
}

/// Mapping between external names and internal numbers of one instance.
#[derive(Debug, Default)]
pub struct Names {
    classes: NumberedNames,
    tenants: NumberedNames,
    zones: Vec<String>,
    backends: HashMap<BackendId, String>,
}

impl Names {
    /// Returns the number of a class. An unknown name gets a number without settings, to which the
    /// strictest rules apply.
    pub fn class(&self, name: &str) -> usize {
        self.classes.number(name).unwrap_or(usize::MAX)
    }

    /// Returns the name of a class; `None` for a number that is not assigned to new requests.
    pub fn class_name(&self, number: usize) -> Option<&str> {
        self.classes.name(number)
    }

    /// Returns a copy with the zone names only, for parsing lists on another thread.
    pub fn of_zones(&self) -> Names {
        Names { zones: self.zones.clone(), ..Names::default() }
    }

    /// Returns the number of named zones.
    pub fn zone_count(&self) -> usize {
        self.zones.len()
    }

    /// Returns the number of a zone, if it is known.
    pub fn zone_number(&self, name: &str) -> Option<u16> {
        self.zones.iter().position(|n| n == name).and_then(|n| u16::try_from(n).ok())
    }

    /// Returns the name of a tenant; `None` for a number that is not assigned to new requests.
    pub fn tenant_name(&self, number: usize) -> Option<&str> {
        self.tenants.name(number)
    }

    /// Returns the number of a tenant.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.number(name)
    }

    /// Returns the number of a zone; all unknown zones share one number.
    pub fn zone(&self, name: Option<&str>) -> u16 {
        name.and_then(|z| self.zones.iter().position(|n| n == z))
            .and_then(|z| u16::try_from(z).ok())
            .unwrap_or(u16::MAX)
    }

    /// Returns the name of a zone; `None` for the number of unknown zones.
    pub fn zone_name(&self, number: u16) -> Option<&str> {
        self.zones.get(usize::from(number)).map(String::as_str)
    }

    fn backend(&mut self, name: &str) -> BackendId {
        let id = BackendId(stable_hash(name));
        self.backends.entry(id).or_insert_with(|| name.to_owned());
        id
    }

    /// Parses one `backend` line of a list.
    ///
    /// # Errors
    /// Returns an error if a required field is missing or a value is invalid.
    pub fn entry(&mut self, line: &Line<'_>) -> Result<ListEntry, WireError> {
        let health = match line.required("health")? {
            "U" => Health::Up,
            "L" => Health::Draining,
            "D" => Health::Gone,
            other => return Err(invalid("health", format!("unknown value {other:?}"))),
        };
        Ok(ListEntry {
            backend: self.backend(line.required("backend")?),
            zone: self.zone(line.get("locality")),
            cell: match line.get("pod") {
                Some(p) => p.parse().map_err(|_| invalid("pod", "not a whole number"))?,
                None => 0,
            },
            health,
            units: line.opt_time("units")?.unwrap_or(1.0),
            ready_at_ms: line.opt_time("readyAtMs")?.unwrap_or(0.0),
        })
    }

    /// Parses an event other than `provision`, `shutdown` and `update`.
    ///
    /// # Errors
    /// Returns an error if the message is unknown, a required field is missing, or a value is invalid.
    pub fn event(&mut self, line: &Line<'_>) -> Result<Event, WireError> {
        let id = || line.required_u64("requestId").map(RequestId);
        let attempt = || {
            line.required_u64("attempt")
                .and_then(|a| u32::try_from(a).map_err(|_| invalid("attempt", "too large")))
        };
        Ok(match line.name {
            "demand" => Event::Request(Request {
                id: id()?,
                class: self.class(line.required("priority")?),
                tenant: line.get("userGroup").and_then(|t| self.tenant(t)),
                key: line.get("nameKey").map(stable_hash),
                deadline_ms: line.time("deadlineMs")?,
                effort_ms: line.opt_time("effortMs")?,
                retry: line.flag("isRetry"),
            }),
            "result" => Event::AttemptEnded(AttemptEnded {
                id: id()?,
                attempt: attempt()?,
                backend: self.backend(line.required("backend")?),
                outcome: parse_outcome(line.required("disposition")?)?,
                last: line.flag("last"),
                elapsed_ms: line.opt_time("elapsedMs")?.unwrap_or(0.0),
                load: parse_load(line)?,
            }),
            "begun" => Event::ResponseStarted {
                id: id()?,
                attempt: attempt()?,
                backend: self.backend(line.required("backend")?),
                elapsed_ms: line.opt_time("elapsedMs")?.unwrap_or(0.0),
            },
            "left" => Event::ClientLeft(id()?),
            "alarm" => Event::Timer(line.required_u64("keyBack")?),
            "probed" => Event::ProbeEnded {
                backend: self.backend(line.required("backend")?),
                outcome: parse_outcome(line.required("disposition")?)?,
                elapsed_ms: line.opt_time("elapsedMs")?.unwrap_or(0.0),
                load: parse_load(line)?,
            },
            "inbox" => Event::PeerMessage {
                from: u32::try_from(line.required_u64("sender")?)
                    .map_err(|_| invalid("sender", "too large"))?,
                bytes: parse_hex(line.required("msg")?)?,
            },
            other => return Err(WireError::Unknown(other.to_owned())),
        })
    }

    /// Writes an action as a line.
    pub fn action(&self, instance_id: u64, action: &Action, out: &mut String) {
        let backend_name = |b: &BackendId| self.backends.get(b).map_or("unknown", String::as_str);
        // Writing to a `String` cannot fail.
        let _ = match action {
            Action::Send { id, backend, timeout_ms } => writeln!(
                out,
                "hand_off who={instance_id} requestId={} giveUpAfterMs={timeout_ms:.3} backend={}",
                id.0,
                backend_name(backend)
            ),
            Action::Cancel { id, attempt } => {
                writeln!(out, "recall who={instance_id} requestId={} attempt={attempt}", id.0)
            }
            Action::Refuse { id, retry_after_ms } => {
                writeln!(out, "decline who={instance_id} requestId={} backoffMs={retry_after_ms:.3}", id.0)
            }
            Action::Fail(id) => writeln!(out, "drop_request who={instance_id} requestId={}", id.0),
            Action::Timer { token, at_ms } => {
                writeln!(out, "wake_me who={instance_id} keyBack={token} instantMs={at_ms:.3}")
            }
            Action::Probe(b) => writeln!(out, "probe who={instance_id} backend={}", backend_name(b)),
            Action::CloseIdleConnections(b) => {
                writeln!(out, "release who={instance_id} backend={}", backend_name(b))
            }
            Action::SendPeerMessage { to, bytes } => {
                let to = to.map_or_else(|| "all".to_owned(), |n| n.to_string());
                writeln!(out, "announce who={instance_id} neighbourId={to} msg={}", hex(bytes))
            }
            // Simulated nodes share peer messages only.
            Action::ShareObservation(_) => Ok(()),
            Action::Watch(on) => writeln!(out, "watch who={instance_id} want={}", u8::from(*on)),
            Action::Log(text) => writeln!(out, "say_log who={instance_id} text={text}"),
        };
    }
}

/// Assigns numbers to the classes and tenants of new settings without reusing numbers that are still held.
/// An unchanged entry keeps its number from `old`; a new or changed one gets a free number; a removed one
/// keeps its number, but loses its name and has no worth any more. Numbers that lost their name earlier are
/// free unless `held` is set.
pub fn renumber(old: (&Settings, &Names), new: (Settings, Names), held: bool) -> (Settings, Names) {
    let (mut settings, mut names) = new;
    let gone = |class: &Class| Class { worth: 0.0, late_worth: 0.0, ..class.clone() };
    (settings.classes, names.classes) = assign_numbers(
        (&old.0.classes, &old.1.classes),
        settings.classes.into_iter().zip(names.classes.names),
        |a, b| a == b,
        gone,
        held,
    );
    (settings.tenants, names.tenants) = assign_numbers(
        (&old.0.tenants, &old.1.tenants),
        settings.tenants.into_iter().zip(names.tenants.names),
        |_, _| true,
        Tenant::clone,
        held,
    );
    (settings, names)
}

/// Assigns numbers to the entries of one list; see [`renumber`].
fn assign_numbers<T>(
    (old, old_names): (&[T], &NumberedNames),
    new: impl Iterator<Item = (T, Option<Arc<str>>)>,
    same: impl Fn(&T, &T) -> bool,
    gone: impl Fn(&T) -> T,
    held: bool,
) -> (Vec<T>, NumberedNames) {
    let mut slots: Vec<Option<(T, Option<Arc<str>>)>> = old.iter().map(|_| None).collect();
    let mut rest = Vec::new();
    for (item, name) in new {
        let slot = name.as_deref().and_then(|name| old_names.number(name));
        match slot.filter(|i| old.get(*i).is_some_and(|o| same(o, &item))) {
            Some(i) => slots[i] = Some((item, name)),
            None => rest.push((item, name)),
        }
    }
    let mut free =
        (0..old.len()).filter(|i| !held && old_names.name(*i).is_none()).collect::<Vec<_>>().into_iter();
    for item in rest {
        match free.next() {
            Some(i) => slots[i] = Some(item),
            None => slots.push(Some(item)),
        }
    }
    let nameless = |i: usize| (gone(&old[i]), None);
    let slots = slots.into_iter().enumerate().map(|(i, slot)| slot.unwrap_or_else(|| nameless(i)));
    let (items, names): (Vec<T>, Vec<_>) = slots.unzip();
    (items, NumberedNames::of(names))
}

/// Parses the kind of an `update`.
///
/// # Errors
/// Returns an error for an unknown kind.
pub fn list_kind(word: &str) -> Result<ListKind, WireError> {
    Ok(match word {
        "diff" => ListKind::Changes,
        "snapshot" => ListKind::Full,
        "disk" => ListKind::Saved,
        "error" => ListKind::Failed,
        other => return Err(invalid("form", format!("unknown value {other:?}"))),
    })
}

fn parse_outcome(word: &str) -> Result<Outcome, WireError> {
    Ok(match word {
        "done" => Outcome::Done,
        "err" => Outcome::Error,
        "busy" => Outcome::Full,
        "etimedout" => Outcome::TimedOut,
        "econnrefused" => Outcome::NotConnected,
        "econnreset" => Outcome::Reset,
        "ecanceled" => Outcome::Cancelled,
        "skipped" => Outcome::Skipped,
        other => return Err(invalid("disposition", format!("unknown value {other:?}"))),
    })
}

/// Parses a load report of `name:value` pairs. Unknown names are skipped.
fn parse_load(line: &Line<'_>) -> Result<Load, WireError> {
    let mut load = Load::default();
    for pair in line.get("pressure").unwrap_or_default().split(',').filter(|p| !p.is_empty()) {
        let (name, value) =
            pair.split_once(':').ok_or_else(|| invalid("pressure", format!("no ':' in {pair:?}")))?;
        let Some(field) = load_field(&mut load, name) else { continue };
        let value = value.parse().ok().filter(|v: &f64| v.is_finite());
        *field = Some(value.ok_or_else(|| invalid("pressure", format!("{name} is not a number")))?);
    }
    Ok(load)
}

/// Returns the field of a load report by its name in the simulator's protocol or in HTTP headers.
fn load_field<'a>(load: &'a mut Load, name: &str) -> Option<&'a mut Option<f64>> {
    Some(match name {
        "rif" | "inflight" => &mut load.in_hand,
        "q" | "queue" => &mut load.queue,
        "busy" | "util" => &mut load.busy,
        "lat_ms" | "latency_ms" => &mut load.latency_ms,
        "rate" | "qps" => &mut load.rate,
        "fail_rate" | "eps" => &mut load.errors,
        _ => return None,
    })
}

/// Parses the load report of a response, such as `TEXT inflight=7, queue=2`. Unreadable values are left
/// out: the report is advisory, and the response that carries it remains valid.
pub fn load_report(text: &str) -> Load {
    let mut load = Load::default();
    let text = text.trim().trim_start_matches("TEXT");
    for (name, value) in text.split(',').filter_map(|pair| pair.trim().split_once('=')) {
        if let Some(field) = load_field(&mut load, name.trim()) {
            *field = value.trim().parse().ok().filter(|v: &f64| v.is_finite());
        }
    }
    load
}

/// Encodes bytes in hexadecimal; `-` if there are none.
fn hex(bytes: &[u8]) -> String {
    if bytes.is_empty() {
        return "-".to_owned();
    }
    bytes.iter().fold(String::with_capacity(2 * bytes.len()), |mut text, b| {
        // Writing to a `String` cannot fail.
        let _ = write!(text, "{b:02x}");
        text
    })
}

/// Decodes the format of [`hex`].
fn parse_hex(text: &str) -> Result<Vec<u8>, WireError> {
    if text == "-" {
        return Ok(Vec::new());
    }
    let digits: Option<Vec<u8>> =
        text.chars().map(|c| c.to_digit(16).and_then(|d| u8::try_from(d).ok())).collect();
    match digits {
        Some(d) if d.len() % 2 == 0 => Ok(d.chunks(2).map(|p| p[0] * 16 + p[1]).collect()),
        _ => Err(invalid("msg", "not hex")),
    }
}

/// Returns the value at a dotted path of the settings; null if it is absent.
fn setting<'a>(at: &'a Value, path: &str) -> &'a Value {
    path.split('.').fold(at, |v, part| v.get(part).unwrap_or(&Value::Null))
}

/// Returns the error of an invalid setting.
fn invalid_setting(path: &str, reason: &str) -> WireError {
    invalid(&format!("config.{path}"), reason)
}

/// Returns a number, or `default` if it is absent; `None` as the default makes it required.
fn number(at: &Value, path: &str, default: Option<f64>) -> Result<f64, WireError> {
    match (setting(at, path), default) {
        (Value::Null, Some(d)) => Ok(d),
        (Value::Null, None) => Err(invalid_setting(path, "missing")),
        (v, _) => v.as_f64().ok_or_else(|| invalid_setting(path, "not a number")),
    }
}

/// Returns a boolean; false if it is absent.
fn boolean(at: &Value, path: &str) -> Result<bool, WireError> {
    match setting(at, path) {
        Value::Null => Ok(false),
        v => v.as_bool().ok_or_else(|| invalid_setting(path, "not true or false")),
    }
}

/// Returns a string; empty if it is absent.
fn string<'a>(at: &'a Value, path: &str) -> Result<&'a str, WireError> {
    match setting(at, path) {
        Value::Null => Ok(""),
        v => v.as_str().ok_or_else(|| invalid_setting(path, "not a word")),
    }
}

/// Returns the meaning of one of the `known` words; of the first one if the value is absent. An unknown
/// word is an error: any default would change what the rules permit.
fn one_of<T: Copy, const N: usize>(at: &Value, path: &str, known: [(&str, T); N]) -> Result<T, WireError> {
    let given = string(at, path)?;
    match known.iter().find(|(word, _)| given.is_empty() || *word == given) {
        Some((_, meaning)) => Ok(*meaning),
        None => {
            let words = known.map(|(word, _)| word).join(", ");
            Err(invalid_setting(path, &format!("{given:?} is none of {words}")))
        }
    }
}

/// Returns a whole number, or `default` if it is absent.
fn whole_number(at: &Value, path: &str, default: u32) -> Result<u32, WireError> {
    let v = number(at, path, Some(f64::from(default)))?;
    let whole = v.is_finite() && v >= 0.0 && v <= f64::from(u32::MAX) && v.fract() == 0.0;
    if whole { Ok(v as u32) } else { Err(invalid_setting(path, "not a whole number")) }
}

/// Returns a list; empty if it is absent.
fn list<'a>(at: &'a Value, path: &str) -> Result<&'a [Value], WireError> {
    match setting(at, path) {
        Value::Null => Ok(&[]),
        v => v.as_array().map(Vec::as_slice).ok_or_else(|| invalid_setting(path, "not a list")),
    }
}

/// Returns the name of an entry, which is a string or has the key `name`.
fn name_of(v: &Value) -> String {
    v.as_str().or_else(|| v.get("name").and_then(Value::as_str)).unwrap_or_default().to_owned()
}

/// Parses a class of the settings.
fn parse_class(v: &Value) -> Result<Class, WireError> {
    let groups = [("cell", Group::Cell), ("zone", Group::Zone), ("all", Group::All)];
    let group = one_of(v, "group", groups)?;
    let deadline_ms = number(v, "hardLimitMs", None)?;
    Ok(Class {
        aim_ms: number(v, "objectiveMs", Some(deadline_ms))?,
        deadline_ms,
        worth: number(v, "value", Some(1.0))?,
        late_worth: number(v, "lateValue", Some(0.0))?,
        effect: one_of(
            v,
            "semantics",
            [
                ("at_most_once", Effect::Unsafe),
                ("idempotent", Effect::Safe),
                ("deduplicated", Effect::Keyed(group)),
            ],
        )?,
        key_ttl_ms: number(v, "keyTtlMs", Some(0.0))?,
        aim_stretch: number(v, "aimStretch", Some(0.0))?,
    })
}

/// Parses the settings object of a `provision`. Unknown keys are skipped, and absent optional keys get the
/// defaults below.
///
/// # Errors
/// Returns an error if the text is not a JSON object, a required key is missing, or a value is invalid.
pub fn settings(text: &str) -> Result<(Settings, Names), WireError> {
    let v: Value = serde_json::from_str(text).map_err(|e| invalid("config", e.to_string()))?;
    if !v.is_object() {
        return Err(invalid("config", "not an object"));
    }
    let number_or = |path: &str, default: f64| number(&v, path, Some(default));
    let zones: Vec<String> = list(&v, "areas")?.iter().map(name_of).collect();
    let zone = string(&v, "zone")?;
    let parsed = Settings {
        classes: list(&v, "classes")?.iter().map(parse_class).collect::<Result<_, _>>()?,
        tenants: list(&v, "tenants")?
            .iter()
            .map(|t| Ok(Tenant { quota_rps: number(t, "quotaRps", Some(0.0))? }))
            .collect::<Result<_, WireError>>()?,
        goal: Goal {
            whole: number_or("blend.whole", 1.0)?,
            worst_window: number_or("blend.worstWindow", 0.0)?,
            worst_class: number_or("blend.worstClass", 0.0)?,
            worst_tenant: number_or("blend.worstTenant", 0.0)?,
            nines: number_or("blend.ninesPart", 0.0)?,
            full_at_nines: number_or("blend.fullAtNines", 3.0)?,
        },
        prices: Prices {
            cross_zone: number_or("prices.crossZone", 0.0)?,
            handshake: number_or("prices.handshake", 0.0)?,
            connection: number_or("prices.connection", 0.0)?,
            late_fail: number_or("prices.lateFail", 0.0)?,
            waste: number_or("prices.waste", 0.0)?,
            probe: number_or("prices.probe", 0.0)?,
            peer: number_or("prices.peer", 0.0)?,
        },
        instances: whole_number(&v, "instances", 1)?,
        held_by: None,
        slot: whole_number(&v, "slotNo", 0)?,
        zone: zones.iter().position(|z| z == zone).and_then(|z| u16::try_from(z).ok()),
        weights: one_of(
            &v,
            "weights",
            [
                ("none", Weights::None),
                ("nominal", Weights::Nominal),
                ("rough", Weights::Rough),
                ("live", Weights::Live),
            ],
        )?,
        reporting: one_of(
            &v,
            "reporting.via",
            [("none", Reporting::None), ("answers", Reporting::Answers), ("probe", Reporting::Probes)],
        )?,
        discovery: one_of(
            &v,
            "membershipMode",
            [("pushed", Discovery::Pushed), ("on_request", Discovery::OnRequest)],
        )?,
        max_attempts: whole_number(&v, "limits.attemptsCap", 1)?,
        may_cancel: boolean(&v, "limits.mayCancel")?,
        second_copies: boolean(&v, "limits.secondCopies")?,
        max_retry_after_ms: number_or("limits.maxRetryAfterMs", 1000.0)?,
        probes: boolean(&v, "limits.probing")?,
        peer_messages: boolean(&v, "limits.peerMessages")?,
        open_cap: whole_number(&v, "limits.openCap", u32::MAX)?,
        max_streams: whole_number(&v, "limits.maxStreams", 1)?,
        conn_idle_ms: number_or("limits.connIdleMs", 15_000.0)?,
        connect_timeout_ms: number_or("limits.connectTimeoutMs", 250.0)?,
        cpu_us_per_s: number_or("limits.cpuUsPerS", 0.0)?,
        over_share_worth: number_or("overShareWorth", 1.0)?,
        worth_by_work: one_of(&v, "worthBy", [("request", false), ("work", true)])?,
        warm_keys: boolean(&v, "familyInfo.warmKeys")?,
        cold_ms: number(&v, "rules.coldMs", None)?,
        start_capacity: number(&v, "rules.startCapacity", None)?,
        fall_multiple: number(&v, "rules.fallMultiple", None)?,
        fall_ms: number(&v, "rules.fallMs", None)?,
        late_shedding: boolean(&v, "rules.lateShedding")?,
        drain_grace_ms: number_or("rules.drainGraceMs", 0.0)?,
        drain_close_ms: match number(&v, "rules.drainCloseMs", Some(0.0))? {
            ms if ms > 0.0 => Some(ms),
            _ => None,
        },
        must_ask_in_ms: number_or("rules.mustAskInMs", 10000.0)?,
        tick_ms: number_or("tickMs", 1.0)?,
    };
    let names = Names {
        classes: NumberedNames::of(list(&v, "classes")?.iter().map(|c| Some(name_of(c).into()))),
        tenants: NumberedNames::of(list(&v, "tenants")?.iter().map(|t| Some(name_of(t).into()))),
        zones,
        backends: HashMap::new(),
    };
    Ok((parsed, names))
}
