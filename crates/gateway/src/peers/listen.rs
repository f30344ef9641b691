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
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};

use super::messages::{Envelope, Message, PATH};
use super::record::PeerRecord;
use super::state::{RecordsAsk, RecordsAt, StateAnswer, StateAsk, RECORDS_PATH, STATE_PATH};
use crate::callers::listen::accept_each;
use crate::feed::{FeedAsk, FEED_PATH};
use crate::target_words;
use crate::traffic::Traffic;
use crate::view::KnownRecords;

/// Longest message, in bytes.
const MOST_MESSAGE_BYTES: usize = 4 << 20;

/// Takes messages until the thread ends.
pub fn start(cx: &Rc<Traffic>, listener: TcpListener) {
    actix_rt::spawn(accept(cx.clone(), listener));
}

async fn accept(cx: Rc<Traffic>, listener: TcpListener) {
    accept_each(listener, "a peer", |stream| {
        actix_rt::spawn(serve(cx.clone(), stream));
    })
    .await;
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
    let path = req.uri().path().to_string();
    let is_post = req.method() == Method::POST;
    let result = match path.as_str() {
        PATH if is_post => take_envelope(cx, req).await,
        STATE_PATH if is_post => tell_state(cx, req).await,
        RECORDS_PATH if is_post => tell_records(cx, req).await,
        FEED_PATH if is_post => tell_changes(cx, req).await,
        _ => Err(StatusCode::NOT_FOUND.into()),
    };
    let (status, body) = match result {
        Ok(body) if body.is_empty() => (StatusCode::NO_CONTENT, body),
        Ok(body) => (StatusCode::OK, body),
        Err(Refused { status, body }) => (status, body),
    };
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}

/// Why a message isn't taken.
struct Refused {
    status: StatusCode,
    body: Bytes,
}

impl From<StatusCode> for Refused {
    fn from(status: StatusCode) -> Self {
        Refused {
            status,
            body: Bytes::new(),
        }
    }
}

/// A message for the run before at this address: its sender is told of this one.
fn another_run(cx: &Traffic) -> Refused {
    let record = rmp_serde::to_vec(&cx.me).expect("this type always encodes");
    Refused {
        status: StatusCode::MISDIRECTED_REQUEST,
        body: record.into(),
    }
}

/// Reads a message of a peer.
async fn read<T: DeserializeOwned>(req: Request<Incoming>) -> Result<T, StatusCode> {
    let body = Limited::new(req.into_body(), MOST_MESSAGE_BYTES)
        .collect()
        .await;
    let body = body.map_err(|err| {
        log::warn!("a peer's message broke off: {err}");
        StatusCode::BAD_REQUEST
    })?;
    rmp_serde::from_slice(&body.to_bytes()).map_err(|err| {
        log::warn!("a peer's message can't be read: {err}; do all entries run one build?");
        StatusCode::BAD_REQUEST
    })
}

async fn take_envelope(cx: &Rc<Traffic>, req: Request<Incoming>) -> Result<Bytes, Refused> {
    let envelope: Envelope = read(req).await?;
    cx.peers.heard(cx, &envelope.from);
    cx.peers.told_pace(cx, envelope.from.id, envelope.is_slow);
    if envelope.to != cx.me.id {
        return Err(another_run(cx));
    }
    let link = cx.peers.link_to(cx, &envelope.from);
    link.heard();
    for message in envelope.messages {
        take_message(cx, &envelope.from, message);
    }
    Ok(Bytes::new())
}

/// Tells a peer what it doesn't know yet.
async fn tell_state(cx: &Rc<Traffic>, req: Request<Incoming>) -> Result<Bytes, Refused> {
    let ask: StateAsk = read(req).await?;
    let view = cx.view();
    let deployment = view.deployment.as_ref();
    let version = deployment.map(|deployment| deployment.version);
    let source = view
        .source
        .as_deref()
        .filter(|_| version > ask.configuration);
    let newer = |known: &&KnownRecords| known.at > ask.records;
    let records = view.records.as_ref().filter(newer);
    let emptied = Some(&view.emptied).filter(|known| known.as_of() > ask.emptied);
    let answer = StateAnswer {
        configuration: source.map(<[u8]>::to_vec),
        emptied: emptied.cloned(),
        records: records.map(RecordsAt::from),
        peers: view.peers.to_vec(),
        refused: cx.crashes.refused(cx),
        orders: view.orders.clone(),
    };
    Ok(rmp_serde::to_vec(&answer)
        .expect("these types always encode")
        .into())
}

/// Tells a peer all targets' records.
async fn tell_records(cx: &Rc<Traffic>, req: Request<Incoming>) -> Result<Bytes, Refused> {
    let ask: RecordsAsk = read(req).await?;
    let view = cx.view();
    let records = view.records.as_ref();
    let newer = records.filter(|known| known.at > ask.after);
    let answer = newer.map(RecordsAt::from);
    Ok(rmp_serde::to_vec(&answer)
        .expect("these types always encode")
        .into())
}

/// Tells a peer what changed at the store, as soon as something does.
async fn tell_changes(cx: &Rc<Traffic>, req: Request<Incoming>) -> Result<Bytes, Refused> {
    let ask: FeedAsk = read(req).await?;
    let answer = cx.feeds.answer(&ask).await;
    Ok(rmp_serde::to_vec(&answer)
        .expect("these types always encode")
        .into())
}

fn take_message(cx: &Rc<Traffic>, from: &PeerRecord, message: Message) {
    match message {
        Message::Make(piece) => cx.pools.take_piece(cx, from, *piece),
        Message::GiveUp(id) => cx.pools.give_up_piece(from.id, id),
        Message::Place { id, desk, demand } => {
            let link = cx.peers.link_to(cx, from);
            cx.placements.take_ask(cx, &link, id, &desk, *demand);
        }
        Message::Placed(id, answer) => cx.peers.link_to(cx, from).placed(id, answer),
        Message::PlacementStep(id, step) => cx.placements.take_step(cx, from.id, id, step),
        Message::Load { queue, load } => cx.pools.take_load(cx, queue, load),
        Message::TakeOver { queue, workers } => cx.pools.take_over(cx, &queue, &workers),
        Message::Free(spent) => cx.pools.free(cx, &spent),
        Message::TargetLeaves {
            target,
            tell_others,
        } => target_words::told_leaving(cx, &target, tell_others),
        Message::TargetLimit {
            target,
            limit,
            tell_others,
        } => target_words::told_limit(cx, &target, limit, tell_others),
        Message::TargetEnded { request, run } => cx.crashes.count(cx, request, run),
        Message::Standing { request, standing } => cx.crashes.told(cx, request, standing),
        Message::RolloutReport(report) => cx.rollouts.reported(cx, from, *report),
        Message::RolloutPhase(told) => cx.rollouts.told(cx, from.id, &told),
        Message::Ended(id, end) => {
            let link = cx.peers.link_to(cx, from);
            if !link.ended(id, end) {
                // Nobody waits any more: the owner gives the result up.
                link.send(Message::GiveUp(id));
            }
        }
    }
}
