//! Plays the cases of the review: `standins CASE FOLDER`. `TROUBLE=0` leaves the disruption out.
//!
//! Exits with 0 if the rule held, 1 if it was broken, and 2 if the case couldn't run.

mod client;
mod cloud;
mod drill;
mod entry;
mod http;
mod json;
mod moving;
mod record;
mod replica;
mod stopping;
mod store;
mod versions;

use std::process::ExitCode;

use crate::record::Record;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, scratch] = arguments.as_slice() else {
        eprintln!("usage: standins CASE FOLDER SCRATCH");
        return ExitCode::from(2);
    };
    let record = Record::create(&format!("{folder}/record.txt"));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let verdict = match case.as_str() {
        "stopping" => stopping::play(&record, scratch, has_trouble),
        "moving" => moving::play(&record, scratch, has_trouble),
        "versions" => versions::play(&record, scratch, has_trouble),
        "drill" => drill::play(&record, scratch, has_trouble),
        _ => Verdict::NotRun,
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::NotRun => ("the case couldn't run", 2),
    };
    record.line(text);
    println!("{text}");
    ExitCode::from(code)
}

/// Returns the operator's document: plain calls of both kinds, and streams that may not be resumed.
pub fn document(version: u64) -> String {
    let route = |prefix: &str, kind: &str, service: &str, timeout: u64, attempts: u32| {
        let resumes = prefix == "query";
        format!(
            "{{\"name\":\"r-{prefix}\",\"hostname\":\"site.example\",\"prefix\":\"/{prefix}/\",\"type\":\"{kind}\",\
             \"timeoutMs\":{timeout},\"targetLatencyMs\":1200,\"priority\":1,\"service\":\"{service}\",\
             \"maxAttempts\":{attempts},\"public\":false,\"sessionAffinity\":false,\"streamResume\":{resumes},\
             \"itlTargetMs\":400}}"
        )
    };
    let routes = [
        route("draft", "streaming", "lm", 4_000, 1),
        route("query", "streaming", "lm", 15_000, 2),
        route("file", "non_idempotent", "app", 3_000, 1),
        route("look", "idempotent", "app", 3_000, 2),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"lm\",\"healthPath\":\"/healthz\",\"maxConnections\":370,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":64,\"kvCacheTokens\":373641,\"kvTokenBytes\":327680,\"linkMbps\":550000.0,\
         \"migrations\":true,\"backups\":true,\"stride\":3,\"most\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\
         \"handleTtlS\":5.0,\"modelList\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"app\",\"healthPath\":\"/healthz\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"ann\",\"apiKeys\":[\"key-ann\"],\"priority\":1,\"unit\":\"tokens\",\
         \"uncachedTokens\":200,\"ratePerS\":155773,\"burst\":155773}}]}}",
        routes.join(",")
    )
}
