//! Status and metrics of a control instance.

use crate::{
    clock::{BootInstant, millis},
    gateway::control::FleetControl,
    http::{AnswerBody, json_answer, text_answer},
};
use hyper::{Request, Response, StatusCode, body::Incoming};
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// Answers a request to the status listener.
pub(in crate::gateway) async fn answer_status(
    control: Arc<FleetControl>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    match request.uri().path() {
        "/healthz" => text_answer(StatusCode::OK, "ok\n"),
        "/v1/status" => json_answer(StatusCode::OK, &control.describe()),
        "/metrics" => text_answer(StatusCode::OK, control.render_metrics()),
        _ => text_answer(StatusCode::NOT_FOUND, "no such path\n"),
    }
}

impl FleetControl {
    /// State for operators.
    fn describe(&self) -> serde_json::Value {
        let state = self.supervisor.state();
        serde_json::json!({
            "instance": self.node.instance,
            "document": state.number(),
            "evacuated": state.evacuated(),
            "group": self.supervisor.describe(),
            "entries": self.registry().live_entries().collect::<Vec<_>>(),
            "controls": self.registry().other_controls().collect::<Vec<_>>(),
            "origins": self.origins.table().len(),
            "workspaces": state.newest().map_or(0, |stored| stored.document.workspaces.len()),
            "confirmed_read_age_ms": self.confirmed_read_age().map(millis),
            "lent": self.list_lent(),
            "history_complete": self.registry().history().is_complete(Instant::now()),
        })
    }

    /// Time since the newest confirmed read of the document began.
    fn confirmed_read_age(&self) -> Option<Duration> {
        let read = self.confirmed_read()?;
        Some(BootInstant::now().saturating_duration_since(read.began))
    }

    /// Metrics of the instance in the Prometheus text format.
    fn render_metrics(&self) -> String {
        let state = self.supervisor.state();
        let registry = self.registry();
        let entries = registry.live_entries().count();
        let controls = registry.other_controls().count();
        let origins = self.origins.table().len();
        let group = self.supervisor.status().unwrap_or_default();
        let mut metrics = format!(
            "cicadastall_control_document {}\ncicadastall_control_evacuations {}\n\
             cicadastall_control_entries {entries}\ncicadastall_control_others {controls}\n\
             cicadastall_control_origins {origins}\n\
             cicadastall_control_group_voters {}\n",
            state.number(),
            state.evacuated().version,
            group.configuration.voters.len(),
        );
        if let Some(age) = self.confirmed_read_age().filter(|_| self.node.revocation_ms.is_some()) {
            let age_ms = millis(age);
            metrics.push_str(&format!("cicadastall_control_confirmed_read_age_ms {age_ms}\n"));
        }
        if let Some(losses) = group.losses_borne() {
            let silent = group.silent.len();
            metrics.push_str(&format!(
                "cicadastall_control_group_silent {silent}\n\
                 cicadastall_control_group_losses_borne {losses}\n"
            ));
        }
        metrics
    }
}
