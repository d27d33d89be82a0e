//! Runs one stand-in upstream for tests.

use bpaf::Bpaf;
use cicadastall_daemons::{print_line, wait_for_stop_signal};
use cicadastall_standins::{
    announce::StandinConfig,
    engine::{EngineBehavior, EngineStandin},
    service::ServiceStandin,
};
use serde_json::json;
use std::{net::SocketAddr, time::Duration};

/// Runs one stand-in upstream.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct StandinOptions {
    #[bpaf(external)]
    upstream_options: UpstreamOptions,
    /// Address to listen on
    #[bpaf(long, argument("ADDRESS"))]
    listen: SocketAddr,
    /// Time to keep serving after the announcement that the upstream leaves, in milliseconds
    #[bpaf(long, argument("MS"), fallback(3_000))]
    linger_ms: u64,
    #[bpaf(external)]
    standin_role: StandinRole,
}

#[derive(Debug, Clone, Bpaf)]
struct UpstreamOptions {
    /// Name of the upstream
    #[bpaf(long, argument("NAME"))]
    name: String,
    /// Region of the upstream
    #[bpaf(long, argument("REGION"))]
    region: String,
    /// Availability zone of the upstream
    #[bpaf(long, argument("ZONE"))]
    zone: String,
    /// Pool that the upstream serves
    #[bpaf(long, argument("POOL"))]
    pool: String,
    /// Address of an entry to which the upstream is announced; may be repeated
    #[bpaf(long("entry"), argument("ADDRESS"))]
    entries: Vec<SocketAddr>,
}

#[derive(Debug, Clone, Bpaf)]
enum StandinRole {
    /// A model engine
    #[bpaf(command)]
    Engine {
        /// Model that the engine has loaded
        #[bpaf(long, argument("MODEL"))]
        model: String,
        /// Time between tokens, in milliseconds
        #[bpaf(long, argument("MS"), fallback(5))]
        token_ms: u64,
        /// Number of tokens in an answer
        #[bpaf(long, argument("COUNT"), fallback(24))]
        tokens: u32,
        /// Time to load another model, in milliseconds
        #[bpaf(long, argument("MS"), fallback(500))]
        load_ms: u64,
        /// Refuse placement orders with an outdated fencing token
        checks_fencing: bool,
    },
    /// A plain service
    #[bpaf(command)]
    Service {
        /// Duration of a call, in milliseconds
        #[bpaf(long, argument("MS"), fallback(5))]
        call_ms: u64,
    },
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let options = standin_options().run();
    let config = StandinConfig {
        name: options.upstream_options.name.as_str().into(),
        region: options.upstream_options.region.as_str().into(),
        zone: options.upstream_options.zone.as_str().into(),
        pool: options.upstream_options.pool.as_str().into(),
        entries: options.upstream_options.entries,
    };
    let linger = Duration::from_millis(options.linger_ms);
    match options.standin_role {
        StandinRole::Engine { model, token_ms, tokens, load_ms, checks_fencing } => {
            let behavior = EngineBehavior {
                token_interval: Duration::from_millis(token_ms),
                answer_tokens: tokens,
                load_time: Duration::from_millis(load_ms),
                checks_fencing,
                ..EngineBehavior::default()
            };
            let model = model.as_str().into();
            let engine = EngineStandin::start(config, options.listen, model, behavior).await?;
            print_line(&json!({ "upstream": engine.address() }))?;
            tokio::select! {
                signal = wait_for_stop_signal() => signal?,
                () = engine.wait_for_drain() => {}
            }
            print_line(&serde_json::to_value(engine.leave(linger).await)?)
        }
        StandinRole::Service { call_ms } => {
            let call_duration = Duration::from_millis(call_ms);
            let service = ServiceStandin::start(config, options.listen, call_duration).await?;
            print_line(&json!({ "upstream": service.address() }))?;
            tokio::select! {
                signal = wait_for_stop_signal() => signal?,
                () = service.wait_for_drain() => {}
            }
            print_line(&serde_json::to_value(service.leave(linger).await)?)
        }
    }
}
