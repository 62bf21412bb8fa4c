//! Sends a model one question and prints the answer as it streams in.
//!
//! `cargo run -p client --example ask -- ENTRY KEY DEPLOYMENT QUESTION`

use std::io::Write;

use client::Client;
use client::configs;
use serde_json::json;
use smol_str::SmolStr;

#[tokio::main(flavor = "current_thread")]
async fn main() -> anyhow::Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [entry, key, deployment, question] = arguments.as_slice() else {
        anyhow::bail!("usage: ask ENTRY KEY DEPLOYMENT QUESTION");
    };
    let client = Client::new(configs::Client {
        entries: vec![SmolStr::from(entry.as_str())],
        key: SmolStr::from(key.as_str()),
        ..configs::Client::default()
    });
    let body = json!({
        "model": deployment,
        "messages": [{ "role": "user", "content": question }],
    });
    let mut stream = client.stream(body, "").await?;
    while let Some(chunk) = stream.next().await {
        print!("{}", chunk?.text);
        std::io::stdout().flush()?;
    }
    println!();
    Ok(())
}
