//! Operator command that asks an entry where a request would go now, and why.

use crate::{
    exit::CommandOutcome,
    operator::{OperatorClient, OperatorRequest},
    print::{cell_text, print_json, print_table},
};
use bpaf::Bpaf;
use cicadastall::gateway::request::forecast::{FORECAST_PATH, ForecastQuery, SecretKey};
use eyre::WrapErr;
use hyper::Method;
use serde_json::Value;
use std::{fs, net::SocketAddr, path::PathBuf, str::FromStr};

/// Asks an entry where a request would go.
#[derive(Debug, Clone, Bpaf)]
pub struct WhereOptions {
    /// Print JSON
    #[bpaf(long, switch)]
    json: bool,
    /// Address of the entry's status listener
    #[bpaf(long, argument("ADDRESS"))]
    entry: SocketAddr,
    /// Host of the request
    #[bpaf(long, argument("HOST"))]
    host: String,
    /// Path of the request
    #[bpaf(long, argument("PATH"))]
    path: String,
    /// File with the key of a workspace; the key itself is no argument, as processes are listed with theirs
    #[bpaf(long, argument("FILE"))]
    key_file: Option<PathBuf>,
    /// Requested model
    #[bpaf(long, argument("MODEL"))]
    model: Option<String>,
    /// Length of the prompt in tokens
    #[bpaf(long, argument("TOKENS"), fallback(0))]
    prompt_tokens: u32,
    /// Maximum length of the answer in tokens
    #[bpaf(long, argument("TOKENS"), fallback(0))]
    answer_tokens: u32,
    /// Part of the prompt, in order: identifier in hexadecimal and length in tokens
    #[bpaf(long, argument("ID:TOKENS"), many)]
    part: Vec<PartArgument>,
    /// How long the caller would wait, in milliseconds
    #[bpaf(long, argument("MS"))]
    remaining_ms: Option<u64>,
}

/// A part of a prompt on the command line.
#[derive(Debug, Clone, Copy)]
struct PartArgument {
    id: u64,
    tokens: u32,
}

impl FromStr for PartArgument {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let fault =
            |field: &str| format!("part: {field} is not valid in {text}, ID:TOKENS is needed");
        let (id, tokens) = text.split_once(':').ok_or_else(|| fault("TOKENS"))?;
        Ok(Self {
            id: u64::from_str_radix(id, 16).map_err(|_| fault("ID"))?,
            tokens: tokens.parse().map_err(|_| fault("TOKENS"))?,
        })
    }
}

impl WhereOptions {
    fn query(&self) -> eyre::Result<ForecastQuery> {
        let read = |path: &PathBuf| {
            let text = fs::read_to_string(path);
            text.wrap_err_with(|| format!("key-file: cannot read {}", path.display()))
        };
        let key = self.key_file.as_ref().map(read).transpose()?;
        Ok(ForecastQuery {
            host: self.host.clone(),
            path: self.path.clone(),
            key: key.map(|text| SecretKey::new(text.trim().to_owned())),
            model: self.model.as_deref().map(Into::into),
            prompt_tokens: self.prompt_tokens,
            answer_tokens: self.answer_tokens,
            parts: self.part.iter().map(|part| (part.id, part.tokens)).collect(),
            remaining_ms: self.remaining_ms,
        })
    }
}

/// Runs `where`; fails if the query is not valid, the entry can't be asked or its answer not be printed.
///
/// Outcome: done if the request would be sent, forwarded, or wait for an owner; refused if it would be
/// refused.
pub async fn run(options: &WhereOptions) -> eyre::Result<CommandOutcome> {
    let request = OperatorRequest {
        method: Method::POST,
        path: FORECAST_PATH.to_owned(),
        headers: Vec::new(),
        body: serde_json::to_vec(&options.query()?)?.into(),
    };
    let (status, body) = match OperatorClient::default().send(options.entry, &request).await {
        Ok(answer) => answer,
        Err(error) => {
            eprintln!("entry: {}: {error}", options.entry);
            return Ok(CommandOutcome::Refused);
        }
    };
    let answer: Value = serde_json::from_str(&body)
        .wrap_err_with(|| format!("entry: {} answered {status}", options.entry))?;
    if !status.is_success() {
        eyre::bail!("{}: {}", cell_text(&answer, "/field"), cell_text(&answer, "/message"));
    }
    if options.json {
        print_json(&answer)?;
    } else {
        print_forecast(&answer)?;
    }
    Ok(match answer.pointer("/decision/target").and_then(Value::as_str) {
        Some("refusal") => CommandOutcome::Refused,
        _ => CommandOutcome::Done,
    })
}

fn print_forecast(answer: &Value) -> eyre::Result<()> {
    let cell = |pointer| cell_text(answer, pointer);
    let rows = [
        ("entry", "/entry"),
        ("document", "/document"),
        ("route", "/route"),
        ("workspace", "/workspace"),
        ("quota left", "/quota_left"),
        ("rank", "/rank"),
        ("pool", "/pool"),
        ("homes", "/homes"),
        ("target", "/decision"),
    ];
    print_table(["", ""], &rows.map(|(name, pointer)| [name.to_owned(), cell(pointer)]))?;
    let candidates = answer["candidates"].as_array().map_or(&[][..], Vec::as_slice);
    let rows: Vec<_> = candidates
        .iter()
        .map(|candidate| {
            let cell = |pointer| cell_text(candidate, pointer);
            [
                cell("/upstream"),
                cell("/basis/predicted_ms"),
                cell("/basis/answer_ms"),
                cell("/basis/loss"),
                cell("/basis/requests"),
                cell("/basis/unread"),
                cell("/against"),
            ]
        })
        .collect();
    let titles =
        ["UPSTREAM", "FIRST MS", "ANSWER MS", "COST/1000", "REQUESTS", "UNREAD", "AGAINST"];
    print_table(titles, &rows)?;
    Ok(())
}
