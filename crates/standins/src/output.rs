//! What a stand-in answers: a pure function of the call, so that anybody can
//! tell whether an answer belongs to its request.

use hollowsail_clients::target::Call;
use hollowsail_config::{Deployment, OrganisationKey, PipelineKey, ServiceKind};
use serde_json::{json, Value};
use sha2::{Digest, Sha256};

/// Words that generated text is made of.
const WORDS: [&str; 16] = [
    "the", "record", "shows", "that", "reading", "was", "within", "range", "until", "noon", "and",
    "a", "notice", "follows", "for", "review",
];
/// Passages a retriever returns.
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

/// Answer of a service that does not stream.
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

/// Number of tokens an engine generates for a call: half to all of what is
/// allowed.
pub fn token_count(call: &Call) -> u32 {
    let half = call.max_tokens / 2;
    let draw = u32::from(digest_of(call)[31]);
    half + draw * (call.max_tokens - half) / 255
}

/// One generated token.
pub fn token(call: &Call, offset: u32) -> String {
    let digest = digest_of(call);
    let byte = digest[(offset % 31) as usize];
    let word = WORDS[usize::from(byte ^ (offset as u8)) % WORDS.len()];
    format!("{word} ")
}

/// The whole generated text.
pub fn text_for(call: &Call) -> String {
    (0..token_count(call)).map(|at| token(call, at)).collect()
}

/// What a whole pipeline answers to an organisation's input: each stage's
/// output is the next one's input. Nothing is called; tests and history checks
/// compare real answers with it.
pub fn of_pipeline(
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
