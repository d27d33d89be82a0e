//! Publication of a zone's entry listing in the platform's directory for clients.

use crate::{
    http::{HttpClient, call_json},
    members::MemberTable,
    table::EntryState,
    wire::{EntriesReply, EntryListing},
};
use hyper::Method;
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Path prefix of the directory, to which the zone's name is appended.
pub const DIRECTORY_PATH: &str = "/v1/directory/";

/// Minimum time between two publications of one zone, required by the directory's rate limit.
pub const PUBLISH_PERIOD: Duration = Duration::from_secs(2);

/// Delay before a new publisher publishes, because the previous publisher may just have done so.
const PUBLISHER_TAKEOVER_DELAY: Duration = Duration::from_millis(2_500);

/// Time after which an unchanged listing is published again.
const REPUBLISH_AFTER: Duration = Duration::from_secs(30);

/// Timeout of a request to the directory.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(1);

/// Decides when an instance publishes. In each zone the serving entry with the lowest name does.
#[derive(Debug, Default)]
pub struct PublishPlan {
    publisher_since: Option<Instant>,
    published: Option<(Vec<SocketAddr>, Instant)>,
}

impl PublishPlan {
    /// Returns the listing to publish at `now`, if it is due.
    ///
    /// Only changes of the listed addresses make it due, since weights change with every request.
    pub fn due_listing(
        &mut self,
        members: &MemberTable,
        listing: &EntriesReply,
        now: Instant,
    ) -> Option<EntriesReply> {
        let zone = &members.own().zone;
        let rows: Vec<EntryListing> =
            listing.entries.iter().filter(|row| row.zone == *zone).cloned().collect();
        if !is_publisher(members) || rows.is_empty() {
            *self = Self::default();
            return None;
        }
        let since = *self.publisher_since.get_or_insert(now);
        if now.duration_since(since) < PUBLISHER_TAKEOVER_DELAY {
            return None;
        }
        let mut addresses: Vec<_> = rows.iter().map(|row| row.address).collect();
        addresses.sort();
        if let Some((known, at)) = &self.published {
            let elapsed = now.duration_since(*at);
            let changed = *known != addresses;
            if elapsed < PUBLISH_PERIOD || !changed && elapsed < REPUBLISH_AFTER {
                return None;
            }
        }
        self.published = Some((addresses, now));
        Some(EntriesReply { entries: rows, lifetime_ms: listing.lifetime_ms })
    }

    /// Records that the publication failed, so that the listing is sent again.
    pub fn mark_failed(&mut self) {
        if let Some((addresses, _)) = &mut self.published {
            addresses.clear();
        }
    }
}

/// Whether no other serving entry of the zone has a lower name.
fn is_publisher(members: &MemberTable) -> bool {
    let own = members.own();
    let lower = members.entries().any(|record| {
        record.state == EntryState::Serving
            && record.caller_address.is_some()
            && record.instance < own.instance
    });
    own.state == EntryState::Serving && own.caller_address.is_some() && !lower
}

/// Sends the listing of `zone` to the directory; returns whether the directory accepted it.
pub async fn put_listing(
    client: &HttpClient,
    directory: SocketAddr,
    zone: &str,
    listing: &EntriesReply,
) -> bool {
    let path = format!("{DIRECTORY_PATH}{zone}");
    let call =
        call_json(client, Method::PUT, directory, &path, Some(listing), PUBLISH_TIMEOUT).await;
    let reply: Result<serde_json::Value, _> = call;
    if let Err(error) = &reply {
        log::warn!("failed to publish the zone listing: {error}");
    }
    reply.is_ok()
}
