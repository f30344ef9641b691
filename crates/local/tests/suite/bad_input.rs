//! Bad input gets a clear answer; the connection and the process go on.

use hollowsail_entry::{AnswerBody, ErrorKind};
use hollowsail_routing::Outcome;

use crate::fixture::{self, BOTH};

struct Bad<'a> {
    path: &'a str,
    key: &'a str,
    headers: &'a [(&'a str, &'a str)],
    body: String,
    kind: ErrorKind,
    /// Part of the message.
    says: &'a str,
}

fn bad_requests() -> Vec<Bad<'static>> {
    let good_body = || "{\"input\": 1}".to_string();
    let bad = |headers: &'static [(&'static str, &'static str)], kind, says| Bad {
        path: "read",
        key: BOTH,
        headers,
        body: good_body(),
        kind,
        says,
    };
    vec![
        Bad {
            path: "nowhere",
            ..bad(&[], ErrorKind::UnknownPipeline, "no pipeline nowhere")
        },
        Bad {
            key: "wrong",
            ..bad(&[], ErrorKind::Unauthorized, "belongs to no organisation")
        },
        Bad {
            body: format!("{{\"input\": \"{}\"}}", "x".repeat(300_000)),
            ..bad(&[], ErrorKind::BodyTooLarge, "more than 262144 bytes")
        },
        Bad {
            body: "{\"input\": ".into(),
            ..bad(&[], ErrorKind::BadRequest, "line 1 column 10")
        },
        Bad {
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
        Bad {
            path: "pay",
            ..bad(&[], ErrorKind::TicketRequired, "no ticket or id")
        },
        Bad {
            path: "pay",
            ..bad(
                &[("hollowsail-ticket", "AAAA")],
                ErrorKind::TicketInvalid,
                "too short",
            )
        },
        Bad {
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
async fn each_bad_request_is_refused_by_name_and_a_good_one_follows_on_the_same_connection() {
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
        assert!(message.contains(bad.says), "{message}");
    }
    assert!(fleet.targets.log.all().is_empty(), "nothing ran");
    let good = fixture::call(&fleet, 0, &fixture::request("read", BOTH, "good")).await;
    assert_eq!(good.body.outcome, Outcome::Whole);
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn operators_and_peers_must_show_their_keys() {
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
