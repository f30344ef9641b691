//! Takes messages from peers.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use super::messages::{Envelope, Message, PATH};
use super::record::PeerRecord;
use crate::callers::listen::ACCEPT_PAUSE;
use crate::traffic::Traffic;

/// Longest envelope, in bytes.
const MOST_ENVELOPE_BYTES: usize = 4 << 20;

/// Takes messages until the thread ends.
pub fn start(cx: &Rc<Traffic>, listener: TcpListener) {
    actix_rt::spawn(accept(cx.clone(), listener));
}

async fn accept(cx: Rc<Traffic>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                actix_rt::spawn(serve(cx.clone(), stream));
            }
            Err(err) => {
                log::warn!("cannot accept a peer: {err}; trying again");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(cx: Rc<Traffic>, stream: TcpStream) {
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!("a peer left at once: {err}");
        return;
    }
    let service = service_fn(|req| {
        let cx = cx.clone();
        async move { Ok::<_, Infallible>(answer(&cx, req).await) }
    });
    let serving = http1::Builder::new()
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(err) = serving.await {
        log::debug!("a peer's connection broke: {err}");
    }
}

async fn answer(cx: &Rc<Traffic>, req: Request<Incoming>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = take(cx, req).await;
    response
}

async fn take(cx: &Rc<Traffic>, req: Request<Incoming>) -> StatusCode {
    if req.method() != Method::POST || req.uri().path() != PATH {
        return StatusCode::NOT_FOUND;
    }
    let body = match Limited::new(req.into_body(), MOST_ENVELOPE_BYTES)
        .collect()
        .await
    {
        Ok(body) => body.to_bytes(),
        Err(err) => {
            log::warn!("an envelope broke off: {err}");
            return StatusCode::BAD_REQUEST;
        }
    };
    let envelope: Envelope = match rmp_serde::from_slice(&body) {
        Ok(envelope) => envelope,
        Err(err) => {
            log::warn!("an envelope can't be read: {err}; do all entries run one build?");
            return StatusCode::BAD_REQUEST;
        }
    };
    if envelope.to != cx.me.id {
        return StatusCode::MISDIRECTED_REQUEST;
    }
    let link = cx.peers.link_to(cx, &envelope.from);
    link.heard();
    for message in envelope.messages {
        take_message(cx, &envelope.from, message);
    }
    StatusCode::NO_CONTENT
}

fn take_message(cx: &Rc<Traffic>, from: &PeerRecord, message: Message) {
    match message {
        Message::Make(piece) => cx.pools.take_piece(cx, from, *piece),
        Message::GiveUp(id) => cx.pools.give_up_piece(from.id, id),
        Message::Free { queue, handles } => cx.pools.free(&queue, &handles),
        Message::Ended(id, end) => {
            let link = cx.peers.link_to(cx, from);
            if !link.ended(id, end) {
                // Nobody waits any more: the owner gives the result up.
                link.send(Message::GiveUp(id));
            }
        }
    }
}
