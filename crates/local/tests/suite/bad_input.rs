//! Bad input gets a specific error; the connection and the process survive.

use hollowsail_entry::{AnswerBody, ErrorKind};
use hollowsail_routing::Outcome;

use crate::fixture::{self, BOTH_KEY};

struct BadRequestCase<'a> {
    path: &'a str,
    key: &'a str,
    headers: &'a [(&'a str, &'a str)],
    body: String,
    kind: ErrorKind,
    /// Part of the message.
    message_part: &'a str,
}

fn bad_requests() -> Vec<BadRequestCase<'static>> {
    let good_body = || "{\"input\": 1}".to_string();
    let bad =
        |headers: &'static [(&'static str, &'static str)], kind, message_part| BadRequestCase {
            path: "read",
            key: BOTH_KEY,
            headers,
            body: good_body(),
            kind,
            message_part,
        };
    vec![
        BadRequestCase {
            path: "nowhere",
            ..bad(&[], ErrorKind::UnknownPipeline, "no pipeline nowhere")
        },
        BadRequestCase {
            key: "wrong",
            ..bad(&[], ErrorKind::Unauthorized, "belongs to no organisation")
        },
        BadRequestCase {
            body: format!("{{\"input\": \"{}\"}}", "x".repeat(300_000)),
            ..bad(&[], ErrorKind::BodyTooLarge, "more than 262144 bytes")
        },
        BadRequestCase {
            body: "{\"input\": ".into(),
            ..bad(&[], ErrorKind::BadRequest, "line 1 column 10")
        },
        BadRequestCase {
            body: "{\"input\": 1, \"prompt\": 2}".into(),
            ..bad(&[], ErrorKind::BadRequest, "unknown field `prompt`")
        },
        bad(
            &[("hollowsail-deadline-ms", "0")],
            ErrorKind::DeadlineInvalid,
            "from 1 to 20000",
        ),
        bad(
            &[("hollowsail-deadline-ms", "99999999999")],
            ErrorKind::DeadlineInvalid,
            "from 1 to 20000",
        ),
        bad(
            &[("hollowsail-deadline-ms", "soon")],
            ErrorKind::DeadlineInvalid,
            "from 1 to 20000",
        ),
        bad(
            &[("hollowsail-request-id", "a/b")],
            ErrorKind::BadRequest,
            "letters, digits",
        ),
        BadRequestCase {
            path: "pay",
            ..bad(&[], ErrorKind::TicketRequired, "no ticket or id")
        },
        BadRequestCase {
            path: "pay",
            ..bad(
                &[("hollowsail-ticket", "AAAA")],
                ErrorKind::TicketInvalid,
                "too short",
            )
        },
        BadRequestCase {
            path: "pay",
            ..bad(
                &[("idempotency-key", "a")],
                ErrorKind::BadRequest,
                "hollowsail-idempotency-time",
            )
        },
    ]
}

#[actix_rt::test]
async fn bad_requests_are_refused_by_kind() {
    let fleet = fixture::start(1).await;
    let address = fleet.entry(0).callers;
    let client = awc::Client::default();
    for bad in bad_requests() {
        let mut req = client
            .post(format!("http://{address}/v1/pipelines/{}", bad.path))
            .bearer_auth(bad.key);
        for (name, value) in bad.headers {
            req = req.insert_header((*name, *value));
        }
        let mut res = req.send_body(bad.body).await.expect("an answer");
        let status = res.status().as_u16();
        let answer: AnswerBody =
            serde_json::from_slice(&res.body().await.expect("a body")).expect("JSON");
        assert_eq!(answer.kind, Some(bad.kind));
        assert_eq!(status, bad.kind.answer().status);
        assert_eq!(answer.outcome, Outcome::NotRun);
        let message = answer.message.expect("a message");
        assert!(message.contains(bad.message_part), "{message}");
    }
    assert!(fleet.targets.log.all().is_empty(), "nothing ran");
    let good = fixture::call(&fleet, 0, &fixture::request("read", BOTH_KEY, "good")).await;
    assert_eq!(good.body.outcome, Outcome::Whole);
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn operators_and_peers_need_their_keys() {
    let fleet = fixture::start(1).await;
    let entry = fleet.entry(0);
    let client = awc::Client::default();
    for url in [
        format!("http://{}/v1/status", entry.operators),
        format!("http://{}/v1/drain", entry.operators),
        format!("http://{}/peer/exchange", entry.peers),
        format!("http://{}/peer/ledger", entry.peers),
        format!("http://{}/peer/v1/pipelines/read", entry.peers),
    ] {
        let req = if url.ends_with("status") {
            client.get(&url).send()
        } else if url.ends_with("drain") {
            client
                .post(&url)
                .send_json(&serde_json::json!({"host": "llm-north"}))
        } else {
            client.post(&url).send_body("x")
        };
        let res = req.await.expect("an answer");
        assert_eq!(res.status().as_u16(), 401, "{url}");
    }
    fleet.shut_down().await;
}
