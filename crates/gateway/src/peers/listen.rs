//! Receives requests and messages from peers.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use hollowsail_connect::{set_options, Counted};
use hollowsail_platform::targets::Incarnation;
use hollowsail_targets::LimitKind;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};

use super::dropped_pieces::{self, DroppedPiecesCall, DROPPED_PIECES_PATH};
use super::messages::{
    Envelope, Message, TargetReportCall, TargetReportMessage, PATH, TARGET_REPORTS_PATH,
};
use super::record::PeerRecord;
use super::started_pieces::{self, StartedPiecesCall, STARTED_PIECES_PATH};
use super::state::{
    DrainingRequest, RecordsRequest, RecordsSnapshot, RetiredRequest, RetiredTargets, StateRequest,
    StateResponse, TargetList, TargetListRequest, DRAINING_PATH, MAX_DRAINING, RECORDS_PATH,
    RETIRED_PATH, STATE_PATH, TARGETS_PATH,
};
use crate::callers::admission::{self, RoomRequest, ROOM_PATH};
use crate::callers::listen::accept_each;
use crate::crashes::{PartCall, PARTS_PATH};
use crate::feed::{self, FeedRequest, FEED_PATH};
use crate::mechanisms::Mechanism;
use crate::reach::{self, RELAY_PATH};
use crate::reservations::{self, ReservationCall, RESERVATIONS_PATH};
use crate::stream_origins::{OriginCall, STREAMS_PATH};
use crate::target_reports;
use crate::traffic::Traffic;
use crate::view::KnownRecords;

/// Largest accepted request body, in bytes.
const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Accepts peers' connections until the thread ends.
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
    if let Err(err) = set_options(&stream) {
        log::debug!("cannot set the options of a peer's connection: {err}");
        return;
    }
    let stream = Counted::new(stream, cx.load.peers.clone());
    let service = service_fn(|req| {
        let cx = cx.clone();
        async move { Ok::<_, Infallible>(answer(&cx, req).await) }
    });
    let serving = http1::Builder::new()
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service)
        .with_upgrades();
    if let Err(err) = serving.await {
        log::debug!("a peer's connection failed: {err}");
    }
}

async fn answer(cx: &Rc<Traffic>, req: Request<Incoming>) -> Response<Full<Bytes>> {
    let path = req.uri().path().to_string();
    let is_post = req.method() == Method::POST;
    if is_post && path == RELAY_PATH {
        return reach::accept(cx, req).await.unwrap_or_else(empty_response);
    }
    let result = match path.as_str() {
        PATH if is_post => handle_envelope(cx, req).await,
        STATE_PATH if is_post => state(cx, req).await,
        DRAINING_PATH if is_post => draining(cx, req).await,
        RETIRED_PATH if is_post => retired(cx, req).await,
        RECORDS_PATH if is_post => records_if_newer(cx, req).await,
        TARGETS_PATH if is_post => targets_if_newer(cx, req).await,
        FEED_PATH if is_post => changes(cx, req).await,
        // Without the mechanism this entry answers like a build without reservations.
        RESERVATIONS_PATH if is_post && cx.has(Mechanism::Reservations) => reserve(cx, req).await,
        PARTS_PATH if is_post => part_messages(cx, req).await,
        STARTED_PIECES_PATH if is_post => started_pieces(cx, req).await,
        DROPPED_PIECES_PATH if is_post => dropped_pieces(cx, req).await,
        TARGET_REPORTS_PATH if is_post => target_report_messages(cx, req).await,
        ROOM_PATH if is_post && cx.has(Mechanism::CallerAdmission) => room(cx, req).await,
        STREAMS_PATH if is_post => stream_origins(cx, req).await,
        _ => Err(StatusCode::NOT_FOUND.into()),
    };
    let (status, body) = match result {
        Ok(body) if body.is_empty() => (StatusCode::NO_CONTENT, body),
        Ok(body) => (StatusCode::OK, body),
        Err(Rejection { status, body }) => (status, body),
    };
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    if path == FEED_PATH {
        let unsettled_for = cx.feeds.unsettled_for();
        feed::set_unsettled_for(response.headers_mut(), unsettled_for);
    }
    response
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// Response to a request that is rejected.
struct Rejection {
    status: StatusCode,
    body: Bytes,
}

impl From<StatusCode> for Rejection {
    fn from(status: StatusCode) -> Self {
        Rejection {
            status,
            body: Bytes::new(),
        }
    }
}

/// Rejects a message that is addressed to another run, with the record of this run.
fn wrong_run(cx: &Traffic) -> Rejection {
    #[expect(clippy::expect_used, reason = "plain structs always encode")]
    let record = rmp_serde::to_vec(&cx.me).expect("this type always encodes");
    Rejection {
        status: StatusCode::MISDIRECTED_REQUEST,
        body: record.into(),
    }
}

/// Reads and decodes the body of a peer's request.
pub async fn read<T: DeserializeOwned>(
    cx: &Traffic,
    req: Request<Incoming>,
) -> Result<T, StatusCode> {
    let account = cx.kept.request();
    let mut body = Limited::new(req.into_body(), MAX_MESSAGE_BYTES);
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|err| {
            log::warn!("cannot receive a peer's message: {err}");
            StatusCode::BAD_REQUEST
        })?;
        if let Ok(data) = frame.into_data() {
            if !account.try_extend(&mut bytes, &data) {
                log::warn!("no room for a peer's message: this host keeps too many bytes");
                return Err(StatusCode::SERVICE_UNAVAILABLE);
            }
        }
    }
    rmp_serde::from_slice(&bytes).map_err(|err| {
        log::warn!(
            "cannot decode a peer's message: {err}; check that all entries run the same version"
        );
        StatusCode::BAD_REQUEST
    })
}

fn encode(reply: &impl Serialize) -> Bytes {
    #[expect(clippy::expect_used, reason = "plain structs always encode")]
    let encoded = rmp_serde::to_vec(reply).expect("these types always encode");
    encoded.into()
}

async fn handle_envelope(cx: &Rc<Traffic>, req: Request<Incoming>) -> Result<Bytes, Rejection> {
    let envelope: Envelope = read(cx, req).await?;
    if !cx.peers.is_listed() {
        cx.heard_peers.record(envelope.from.addr);
    }
    // A sender that doesn't know this run may be no peer of it.
    if envelope.to != cx.me.id {
        return Err(wrong_run(cx));
    }
    cx.peers.observed(cx, &envelope.from);
    cx.peers
        .set_lagging(cx, envelope.from.id, envelope.is_lagging);
    let link = cx.peers.link_to(cx, &envelope.from);
    link.record_activity();
    for message in envelope.messages {
        handle_message(cx, &envelope.from, message);
    }
    Ok(Bytes::new())
}

/// Returns the state that is newer than the requester's.
async fn state(cx: &Rc<Traffic>, req: Request<Incoming>) -> Result<Bytes, Rejection> {
    let request: StateRequest = read(cx, req).await?;
    let view = cx.view();
    let deployment = view.deployment.as_ref();
    let version = deployment.map(|deployment| deployment.version);
    let source = view
        .source
        .as_deref()
        .filter(|_| version > request.configuration);
    let newer = |known: &&KnownRecords| known.at > request.records;
    let records = Some(&view.records).filter(newer);
    let evacuated = Some(&view.evacuated).filter(|known| known.as_of() > request.evacuated);
    let answer = StateResponse {
        configuration: source.map(<[u8]>::to_vec),
        evacuated: evacuated.cloned(),
        records: records.map(RecordsSnapshot::from),
        peers: view.peers.to_vec(),
        refused: cx.crashes.refused(cx),
        orders: view.orders.clone(),
    };
    Ok(encode(&answer))
}

/// Returns whether this host can serve callers of others.
async fn room(cx: &Rc<Traffic>, req: Request<Incoming>) -> Result<Bytes, Rejection> {
    let RoomRequest {} = read(cx, req).await?;
    let reply = admission::reply(cx);
    Ok(encode(&reply))
}

/// Returns the targets that are draining by their records or by their own reports.
async fn draining(cx: &Rc<Traffic>, req: Request<Incoming>) -> Result<Bytes, Rejection> {
    let DrainingRequest {} = read(cx, req).await?;
    Ok(encode(&draining_targets(cx)))
}

/// Returns the targets that get no new work whatever their record says.
async fn retired(cx: &Rc<Traffic>, req: Request<Incoming>) -> Result<Bytes, Rejection> {
    let RetiredRequest {} = read(cx, req).await?;
    let retired = RetiredTargets {
        draining: draining_targets(cx),
        restored: cx.view().targets.restored.clone(),
    };
    Ok(encode(&retired))
}

fn draining_targets(cx: &Rc<Traffic>) -> Vec<Incarnation> {
    let view = cx.view();
    let mut draining = cx.targets().draining();
    draining.truncate(MAX_DRAINING);
    let recorded = view.targets.draining.iter().cloned();
    let recorded = recorded.filter(|target| !draining.contains(target));
    let recorded: Vec<Incarnation> = recorded.take(MAX_DRAINING - draining.len()).collect();
    draining.extend(recorded);
    draining
}

/// Returns all target records if they are newer than the requester's and this entry follows them.
async fn records_if_newer(cx: &Rc<Traffic>, req: Request<Incoming>) -> Result<Bytes, Rejection> {
    let request: RecordsRequest = read(cx, req).await?;
    let view = cx.view();
    let records = Some(&view.records).filter(|_| view.is_store_reachable);
    let newer = records.filter(|known| known.at > request.after);
    let answer = newer.map(RecordsSnapshot::from);
    Ok(encode(&answer))
}

/// Returns all target records unless the requester has them, with those that are missing.
async fn targets_if_newer(cx: &Rc<Traffic>, req: Request<Incoming>) -> Result<Bytes, Rejection> {
    let request: TargetListRequest = read(cx, req).await?;
    let view = cx.view();
    let may_answer = view.is_store_reachable || !request.must_follow;
    let records = Some(&view.records).filter(|_| may_answer);
    let is_wanted = |known: &&KnownRecords| match request.must_follow {
        true => known.at >= request.after,
        false => known.at > request.after,
    };
    let wanted = records.filter(is_wanted);
    let answer = wanted.map(|known| TargetList::of(known, cx.clock.now()));
    Ok(encode(&answer))
}

/// Returns changes of the store as soon as there are any.
async fn changes(cx: &Rc<Traffic>, req: Request<Incoming>) -> Result<Bytes, Rejection> {
    let request: FeedRequest = read(cx, req).await?;
    let answer = cx.feeds.answer(&request).await;
    Ok(encode(&answer))
}

/// Decides on requests for capacity in the queues that this entry owns.
async fn reserve(cx: &Rc<Traffic>, req: Request<Incoming>) -> Result<Bytes, Rejection> {
    let call: ReservationCall = read(cx, req).await?;
    let replies = reservations::handle_call(cx, &call);
    Ok(encode(&replies))
}

/// Handles messages on parts of prompts that crash targets.
async fn part_messages(cx: &Rc<Traffic>, req: Request<Incoming>) -> Result<Bytes, Rejection> {
    let call: PartCall = read(cx, req).await?;
    let replies = cx.crashes.handle_part_call(cx, call);
    Ok(encode(&replies))
}

/// Handles notices that pieces are about to be sent to workers.
async fn started_pieces(cx: &Rc<Traffic>, req: Request<Incoming>) -> Result<Bytes, Rejection> {
    let call: StartedPiecesCall = read(cx, req).await?;
    let replies = started_pieces::handle_call(cx, &call);
    Ok(encode(&replies))
}

/// Answers what has become of pieces that this entry doesn't send any more for a peer.
async fn dropped_pieces(cx: &Rc<Traffic>, req: Request<Incoming>) -> Result<Bytes, Rejection> {
    let call: DroppedPiecesCall = read(cx, req).await?;
    let replies = dropped_pieces::handle_call(cx, &call);
    Ok(encode(&replies))
}

/// The response to a call none of whose messages expects a reply.
fn no_replies() -> Bytes {
    let no_replies: [(); 0] = [];
    encode(&no_replies)
}

/// Handles reports of targets; none has a reply.
async fn target_report_messages(
    cx: &Rc<Traffic>,
    req: Request<Incoming>,
) -> Result<Bytes, Rejection> {
    let call: TargetReportCall = read(cx, req).await?;
    for message in call.requests {
        match message {
            TargetReportMessage::RefusalLimit {
                target,
                limit,
                broadcast,
            } => {
                let kind = LimitKind::Refusals;
                target_reports::on_limit_notice(cx, &target, kind, limit, broadcast);
            }
            TargetReportMessage::Refused { target } => cx.placements.record_refusal(cx, &target),
        }
    }
    Ok(no_replies())
}

/// Holds copies of records of streams, and returns them.
async fn stream_origins(cx: &Rc<Traffic>, req: Request<Incoming>) -> Result<Bytes, Rejection> {
    let call: OriginCall = read(cx, req).await?;
    let needs_proof = cx.stream_origins.call_needs_proof(cx.clock.now(), &call);
    let is_current = needs_proof && cx.prove_target_list().await;
    let now = cx.clock.now();
    let replies = cx.stream_origins.handle_call(now, call, is_current);
    Ok(encode(&replies))
}

fn handle_message(cx: &Rc<Traffic>, from: &PeerRecord, message: Message) {
    match message {
        Message::ProducePiece(piece) => cx.pools.accept_piece(cx, from, *piece),
        Message::CancelPiece(id) => cx.pools.cancel_piece(from.id, id),
        Message::Place {
            id,
            scheduler,
            demand,
        } => {
            let link = cx.peers.link_to(cx, from);
            cx.placements
                .handle_place_request(cx, &link, id, &scheduler, *demand);
        }
        Message::PlacementReply(id, answer) => {
            cx.peers.link_to(cx, from).on_placement_reply(id, answer)
        }
        Message::PlacementStep(id, step) => cx.placements.handle_step(cx, from.id, id, step),
        Message::Load { queue, load } => cx.pools.update_load(cx, queue, load),
        Message::TakeOver { queue, workers } => cx.pools.take_over(cx, &queue, &workers),
        Message::ReleaseResult(result) => cx.pools.release(cx, &result),
        Message::TargetDraining { target, broadcast } => {
            target_reports::on_draining_notice(cx, &target, broadcast)
        }
        Message::TargetLimit {
            target,
            limit,
            broadcast,
        } => target_reports::on_limit_notice(cx, &target, LimitKind::Requests, limit, broadcast),
        Message::TargetCrashed { request, run } => cx.crashes.count(cx, request, run),
        Message::CrashVerdict { request, verdict } => cx.crashes.on_verdict(cx, request, verdict),
        Message::RolloutReport(report) => cx.rollouts.on_report(cx, from, *report),
        Message::RolloutPhase(notice) => cx.rollouts.on_phase_notice(cx, from.id, &notice),
        Message::PieceEnded(id, end) => {
            let link = cx.peers.link_to(cx, from);
            if !link.complete_piece(id, end) {
                // No requester waits for the piece: the owner releases the result.
                link.send(Message::CancelPiece(id));
            }
        }
    }
}
