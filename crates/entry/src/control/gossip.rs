//! Gossip with peers: one exchange at every tick, and immediate exchanges with
//! a few random peers after a local change.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use awc::Client;
use futures_util::future::join_all;
use hollowsail_fleet::{Exchange, Output};
use rand::Rng;

use crate::auth::{peer_token, PEER_HEADER};
use crate::control::Control;

/// Timeout of an exchange with a peer.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Maximum size of a reply, in bytes; a joining entry receives the whole member list.
const MAX_EXCHANGE_BYTES: usize = 1024 * 1024;
/// Peers notified immediately of an update.
const UPDATE_FANOUT: usize = 3;

impl Control {
    /// Starts the ticks at a random phase, so that entries started together
    /// don't send their exchanges together.
    pub(crate) fn start_gossip(&mut self, cx: &mut Context<Self>) {
        let phase = self.tick.mul_f64(self.rng.random());
        cx.run_later(phase, |control, cx| {
            control.gossip(cx);
            cx.run_interval(control.tick, |control, cx| control.gossip(cx));
        });
    }

    fn gossip(&mut self, cx: &mut Context<Self>) {
        let now = self.now();
        let outputs = self.fleet.tick(now, &mut self.rng);
        for Output::Exchange(address) in outputs {
            self.exchange(address, cx);
        }
        self.publish();
    }

    /// Sends an exchange to a few random peers immediately.
    pub(crate) fn broadcast_update(&mut self, cx: &mut Context<Self>) {
        for address in self.fleet.random_peers(UPDATE_FANOUT, &mut self.rng) {
            self.exchange(address, cx);
        }
    }

    /// Sends an exchange to every peer, before this entry exits. Resolves to the
    /// number of peers that replied within [`EXCHANGE_TIMEOUT`].
    pub(crate) fn broadcast_to_all(&mut self) -> impl Future<Output = usize> {
        let message = self.fleet.message();
        let token = peer_token(&self.entry.settings.fleet_key);
        let sent: Vec<_> = self
            .fleet
            .present_peers()
            .map(|address| {
                send_exchange(self.client.clone(), address, token.clone(), message.clone())
            })
            .collect();
        async move { join_all(sent).await.iter().flatten().count() }
    }

    fn exchange(&mut self, address: SocketAddr, cx: &mut Context<Self>) {
        let message = self.fleet.message();
        let token = peer_token(&self.entry.settings.fleet_key);
        let sent = send_exchange(self.client.clone(), address, token, message);
        let done = sent.into_actor(self).map(move |reply, control, cx| {
            let now = control.now();
            match reply {
                Some(reply) => control.fleet.receive(now, reply),
                None => control.fleet.fail(now, address),
            }
            control.publish();
            control.fetch_newer_from_peer(cx);
        });
        cx.spawn(done);
    }
}

async fn send_exchange(
    client: Client,
    address: SocketAddr,
    token: String,
    message: Exchange,
) -> Option<Exchange> {
    let body = rmp_serde::to_vec(&message).ok()?;
    let mut res = client
        .post(format!("http://{address}/peer/exchange"))
        .timeout(EXCHANGE_TIMEOUT)
        .insert_header((PEER_HEADER, token))
        .send_body(body)
        .await
        .ok()?;
    if !res.status().is_success() {
        return None;
    }
    let body = res.body().limit(MAX_EXCHANGE_BYTES).await.ok()?;
    rmp_serde::from_slice(&body).ok()
}
