//! Answers of stand-ins: pure functions of the call, so that a checker can
//! compute the expected answer to any request.

use hollowsail_clients::target::Call;
use hollowsail_config::{Deployment, OrganisationKey, PipelineKey, ServiceKind};
use serde_json::{json, Value};
use sha2::{Digest, Sha256};

/// Vocabulary of generated text.
const WORDS: [&str; 16] = [
    "the", "record", "shows", "that", "reading", "was", "within", "range", "until", "noon", "and",
    "a", "notice", "follows", "for", "review",
];
/// Number of passages in a retriever's answer.
const PASSAGES: usize = 4;

fn digest_of(call: &Call) -> [u8; 32] {
    let mut hash = Sha256::new();
    hash.update(call.stage.as_bytes());
    hash.update(call.model.as_deref().unwrap_or("").as_bytes());
    hash.update(call.input.to_string().as_bytes());
    hash.finalize().into()
}

fn short_digest(call: &Call) -> String {
    digest_of(call)[..6]
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

/// Answer of a target to a call that isn't streamed.
pub fn answer_for(kind: ServiceKind, call: &Call) -> Value {
    let id = short_digest(call);
    match kind {
        ServiceKind::Encoder => {
            let vector: Vec<u8> = digest_of(call)[..8].to_vec();
            json!({ "vector": vector, "of": id })
        }
        ServiceKind::Retriever => {
            let passages: Vec<_> = (0..PASSAGES).map(|n| format!("{id}-{n}")).collect();
            json!({ "passages": passages })
        }
        ServiceKind::Reranker => json!({ "best": format!("{id}-0") }),
        ServiceKind::Plain | ServiceKind::Engine => json!({ "done": id }),
    }
}

/// Number of tokens generated for a call: between half of its maximum and all.
pub fn token_count(call: &Call) -> u32 {
    let half = call.max_tokens / 2;
    let draw = u32::from(digest_of(call)[31]);
    half + draw * (call.max_tokens - half) / 255
}

/// The generated token at an offset.
pub fn token(call: &Call, offset: u32) -> String {
    let digest = digest_of(call);
    let byte = digest[(offset % 31) as usize];
    let word = WORDS[usize::from(byte ^ (offset as u8)) % WORDS.len()];
    format!("{word} ")
}

/// The whole generated text.
pub fn text_for(call: &Call) -> String {
    (0..token_count(call))
        .map(|offset| token(call, offset))
        .collect()
}

/// Expected output of a pipeline for an organisation's input, computed without
/// calls: each stage's output is the next one's input.
pub fn pipeline_output(
    deployment: &Deployment,
    org: OrganisationKey,
    pipeline: PipelineKey,
    input: Value,
) -> Value {
    let pipeline = deployment.pipeline(pipeline);
    pipeline.stages.iter().fold(input, |input, stage| {
        let call = Call {
            dispatch: String::new(),
            stage: stage.name.clone(),
            model: stage.model.map(|key| {
                let model = deployment.model(key);
                format!("{}@{}", model.name, model.version)
            }),
            adapter: deployment.organisation(org).adapter.clone(),
            priority: pipeline.priority,
            session: None,
            max_tokens: stage.max_tokens,
            from_token: 0,
            input,
        };
        match deployment.service(stage.service).kind {
            ServiceKind::Engine => {
                json!({ "text": text_for(&call), "tokens": token_count(&call) })
            }
            kind => answer_for(kind, &call),
        }
    })
}
