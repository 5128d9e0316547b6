//! The settings of a node, in the platform's format.

use crate::plan::Plan;
use crate::scenario::Repeat;
use serde_json::{Value, json};

/// Returns the settings that a node is configured with, in the platform's format.
pub fn settings(plan: &Plan, node: usize) -> Value {
    let s = &plan.scenario;
    let classes: Vec<Value> = s
        .class
        .iter()
        .map(|c| {
            let semantics = match c.repeat {
                Repeat::Safe => "idempotent",
                Repeat::Once => "at_most_once",
                Repeat::Keyed => "deduplicated",
            };
            json!({"name": c.name, "semantics": semantics, "group": "zone", "keyTtlMs": c.key_ttl_ms,
                   "objectiveMs": c.aim_ms, "hardLimitMs": c.deadline_ms, "value": c.worth, "lateValue": c.late})
        })
        .collect();
    let tenants: Vec<Value> =
        s.tenant.iter().map(|t| json!({"name": t.name, "quotaRps": t.quota_rps})).collect();
    let zone = plan.node_zones.get(node).and_then(|z| s.fleet.zones.get(*z));
    json!({
        "areas": s.fleet.zones, "zone": zone, "instances": s.fleet.nodes, "slotNo": node, "tickMs": 5.0,
        "membershipMode": if s.discovery.asked { "on_request" } else { "pushed" },
        "classes": classes, "tenants": tenants, "worthBy": "work", "overShareWorth": 0.1, "weights": "none",
        "blend": {"whole": 0.45, "worstWindow": 0.15, "worstClass": 0.3, "worstTenant": 0.1},
        "prices": {"crossZone": s.rules.cross_price, "waste": 0.04, "probe": 0.0068, "peer": 0.015, "lateFail": 0.027},
        "reporting": {"via": "probe", "names": ["inflight"]},
        "familyInfo": {"warmKeys": s.fleet.key_saving > 0.0},
        "limits": {"attemptsCap": s.rules.attempts, "connIdleMs": 15000.0, "connectTimeoutMs": 150.0,
                   "mayCancel": true, "maxRetryAfterMs": 2000.0, "maxStreams": 1, "openCap": 20000,
                   "peerMessages": s.rules.peers, "probing": s.rules.probes, "secondCopies": s.rules.second_copies},
        "rules": {"coldMs": s.fleet.cold_s * 1000.0, "startCapacity": s.fleet.cold_from,
                  "fallMultiple": s.rules.fall_multiple, "fallMs": s.rules.fall_s * 1000.0,
                  "drainGraceMs": s.rules.drain_ms, "mustAskInMs": 6000.0},
    })
}
