//! An operator, as the pages describe: one second for each node, and orders are sent again unchanged.

use crate::{http, record::Record};
use std::{
    net::SocketAddr,
    thread::sleep,
    time::{Duration, Instant},
};

pub struct Operator {
    pub record: Record,
}

impl Operator {
    /// Sends an order to the nodes in turn, a second for each, until one acknowledges it.
    pub fn order(&self, nodes: &[SocketAddr], path: &str, body: &str, limit: Duration) -> Option<Instant> {
        let end = Instant::now() + limit;
        let mut pause = Duration::from_millis(50);
        while Instant::now() < end {
            for node in nodes {
                let headers = [("Content-Type", "application/json")];
                let second = Duration::from_secs(1);
                let reply = http::call(*node, "POST", path, &headers, body.as_bytes(), second);
                let status = reply.as_ref().map(|reply| reply.status);
                self.record.line(&match status {
                    Some(status) => format!("operator: POST {path} to {node}: {status}"),
                    None => format!("operator: POST {path} to {node}: no answer, closed"),
                });
                if status.is_some_and(|status| (200..300).contains(&status)) {
                    return Some(Instant::now());
                }
            }
            sleep(pause);
            pause = (pause * 2).min(Duration::from_secs(1));
        }
        None
    }

    /// Reads the desired state from one node.
    pub fn read(&self, node: SocketAddr) -> Option<String> {
        let reply = http::call(node, "GET", "/-/config/get", &[], b"", Duration::from_secs(2));
        self.record.line(&match &reply {
            Some(reply) => format!(
                "operator: GET /-/config/get at {node}: {} {}",
                reply.status,
                reply.text().chars().take(60).collect::<String>()
            ),
            None => format!("operator: GET /-/config/get at {node}: no answer"),
        });
        reply.filter(|reply| reply.status == 200).map(|reply| reply.text())
    }
}

/// A small desired state: unsafe requests under `/book/` go to the service `desk`, those under `/note/`
/// to the service `annex`.
pub fn desired_state(version: u64) -> String {
    let route = |name: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"desk.example\",\"path_prefix\":\"/{name}/\",\"kind\":\"unsafe\",\
             \"timeout_ms\":2000,\"target_latency_ms\":300,\"priority\":2,\"service\":\"{service}\",\
             \"max_attempts\":1,\"affinity\":false,\"resumable\":false,\"home_regions\":[]}}"
        )
    };
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_connections\":110,\
             \"protocol\":\"h1\",\"tls\":false,\"warmup_s\":0.0,\"warmup_per_s\":0.0}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{},{}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
        route("book", "desk"),
        route("note", "annex"),
        service("desk"),
        service("annex")
    )
}
