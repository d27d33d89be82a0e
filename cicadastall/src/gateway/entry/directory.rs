//! The directory of an entry, which tells callers which entries to use.

use crate::{
    gateway::{
        decision::listing::{
            CallerLocation, ListingInput, ListingReach, ListingShare, NearbyEntries,
            list_near_by_weight,
        },
        edge::control_call::{
            CallFault, ControlCall, ControlDialect, ControlReply, NO_ENTRY_LISTED,
        },
        knowledge::warmup::hash_pair,
        request::context::EntryContext,
    },
    http::AnswerBody,
    logs::LineLimiter,
    table::EntryState,
};
use bytes::Bytes;
use hyper::{Method, Response, Uri};
use std::{net::SocketAddr, time::Duration};

/// Lines about listings that name entries outside the caller's region.
static LISTING_LINES: LineLimiter = LineLimiter::new(4);

/// Answers a request to the directory, which is encoded by `dialect`.
pub(crate) fn answer_directory(
    context: &EntryContext,
    dialect: &dyn ControlDialect,
    peer: SocketAddr,
    method: &Method,
    target: &Uri,
) -> Response<AnswerBody> {
    let reply = match dialect.read_control(method, target, &Bytes::new()) {
        Ok(ControlCall::List(place)) => list_for_caller(context, peer, &place),
        Ok(_) => ControlReply::Fault(CallFault::NotFound),
        Err(fault) => ControlReply::Fault(fault),
    };
    dialect.write_control(reply)
}

/// The entries that a caller at `place` should use.
fn list_for_caller(
    context: &EntryContext,
    peer: SocketAddr,
    place: &CallerLocation,
) -> ControlReply {
    let routes = context.routes.load();
    let homes = place.host.as_deref().map(|host| routes.document().host_homes(host));
    let input = ListingInput {
        location: place,
        homes: &homes.unwrap_or_default(),
        zones: &context.node.zones,
        complete: !context.is_discovering(),
    };
    let view = context.view.load();
    let live = &view.live;
    // The same smaller entries for all calls of one caller to this directory.
    let caller = hash_pair(peer.ip(), context.node.instance.as_str());
    let offset = caller as f64 / u64::MAX as f64;
    let share = ListingShare { weights: &view.weights, offset };
    let listed = match context.is_usable() {
        true => list_near_by_weight(live, &input, &share),
        // Without a document, the homes of the caller's requests are unknown.
        false => NearbyEntries::default(),
    };
    let reach = listed.reach.map_or("none", ListingReach::name);
    context.metrics.count_listing(reach);
    if listed.reach.is_none_or(|reach| reach > ListingReach::Region) && LISTING_LINES.take() {
        let count = |state| live.iter().filter(|entry| entry.state == state).count();
        log::info!(
            zone = place.zone.as_ref().map_or("", |zone| zone.as_str()),
            region = place.region.as_ref().map_or("", |region| region.as_str()),
            host = place.host.as_deref().unwrap_or(""),
            listed = listed.addresses.len(), reach,
            starting = count(EntryState::Starting), serving = count(EntryState::Serving),
            draining = count(EntryState::Draining);
            "listing without enough entries of the caller's region"
        );
    }
    if listed.addresses.is_empty() {
        return ControlReply::Unavailable(NO_ENTRY_LISTED);
    }
    ControlReply::Entries(listed.addresses, Duration::from_millis(context.node.listing_ms))
}
