//! A small deployment: its zones, cards and settings.

use crate::fleet::{CARDS, LAYER_MB, LAYERS};

pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Cards of each zone, as on the sheet: a100s, l4, t4.
pub const CARDS_OF_ZONES: [[usize; 3]; 3] = [[2, 5, 8], [1, 7, 5], [2, 3, 5]];

/// Settings with some services that run a model each, and one that does not.
pub fn settings(models: &[&str]) -> String {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, timeout: u32, goal: u32| {
        let streaming = kind == "streaming";
        format!(
            "{{\"name\":\"{name}\",\"host\":\"h.example\",\"pathPrefix\":\"{prefix}\",\"kind\":\"{kind}\",\
             \"timeoutMs\":{timeout},\"goalMs\":{goal},\"priority\":1,\"service\":\"{service}\",\"maxAttempts\":2,\
             \"public\":false,\"sticky\":{streaming},\"resumable\":{streaming},\"gapGoalMs\":200}}"
        )
    };
    let kinds = CARDS.map(|(name, mb, pace, read)| {
        format!("{{\"name\":\"{name}\",\"sizeMb\":{mb:.1},\"pace\":{pace},\"readX\":{read}}}")
    });
    let model = |name: &&str| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":968,\"protocol\":\"h1\",\"tls\":false,\
             \"engine\":{{\"slots\":192,\"kvCapacity\":100000,\"kvTokenBytes\":426000,\"linkMbps\":480000.0,\
             \"stride\":2,\"models\":[{{\"name\":\"m\",\"pace\":1.0,\"loadS\":14.0,\"warmS\":1.0}}],\
             \"step_ms\":0.85,\"per_seq_ms\":0.00276,\"context_per_k\":0.0037,\"read_per_s\":272000.0,\
             \"pairs_per_m\":0.12,\"chunk\":512,\"report_lag_ms\":200.0,\"loads_at_once\":6,\
             \"delays\":[{{\"from\":\"zone-a\",\"to\":\"zone-b\",\"delay_ms\":0.62}}],\
             \"usual\":{{\"prompt\":772,\"answer\":145}},\"layers\":{LAYERS},\"layerMb\":{LAYER_MB:.1},\
             \"actBytes\":21300,\"pipeMbps\":9300.0,\"kinds\":[{}]}}}}",
            kinds.join(",")
        )
    };
    let paths =
        models.iter().map(|name| route(name, &format!("/{name}/"), "streaming", name, 20_000, 500));
    let plain = route("look", "/look/", "safe", "desk", 1500, 300);
    let routes: Vec<String> = paths.chain([plain]).collect();
    let services: Vec<String> = models.iter().map(model).collect();
    format!(
        "{{\"version\":3,\"routes\":[{}],\"services\":[{},{{\"name\":\"desk\",\"healthPath\":\"/health\",\
         \"maxConns\":96}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"w\",\"apiKeys\":[\"key-1\"],\"priority\":1}},\
         {{\"name\":\"x\",\"apiKeys\":[\"key-2\"],\"priority\":1}}]}}",
        routes.join(","),
        services.join(",")
    )
}
