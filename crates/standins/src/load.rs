//! Callers: one request each, with the answer checked to be whole and its own.

use crate::engine::{prompt_hash, token_text};
use passway_platform::http::agent;
use passway_types::prelude::*;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;

/// Time after the deadline after which a caller gives up on an answer.
const PATIENCE: Duration = Duration::from_secs(5);

/// A request to make.
#[derive(Debug, Clone)]
pub struct Call {
    /// The router.
    pub router: SocketAddr,
    /// The model, adapter or alias.
    pub model: String,
    /// The workspace.
    pub workspace: String,
    /// Tells this request's answer from any other's.
    pub prompt: String,
    /// Tokens wanted.
    pub tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Time until the deadline.
    pub deadline: Duration,
}

/// What the caller got.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// A whole answer, and the right one.
    Whole,
    /// A refusal with its code, and the retry hint in milliseconds.
    Refused {
        /// The numbered code.
        code: u64,
        /// When to come back.
        retry_after_ms: Option<u64>,
    },
    /// An answer that broke off, or somebody else's, or none.
    Broken(String),
}

/// An outcome and its times, counted from the request.
#[derive(Debug, Clone)]
pub struct Sample {
    /// What came.
    pub outcome: Outcome,
    /// Time to the first token, or to the end where there is none.
    pub first_token: Duration,
    /// Time to the end.
    pub total: Duration,
}

/// Many requests for one model, spread over routers.
#[derive(Debug, Clone)]
pub struct Burst {
    /// The model, adapter or alias.
    pub model: String,
    /// Requests at one time.
    pub count: usize,
    /// Tokens wanted by each.
    pub tokens: u32,
    /// Time until the deadline of each.
    pub deadline: Duration,
}

impl Burst {
    /// Makes all requests at one time, every second one streamed, and waits for
    /// their answers.
    ///
    /// # Panics
    /// If a caller's thread panicked.
    pub fn run(&self, routers: &[SocketAddr]) -> Vec<Sample> {
        let callers: Vec<_> = (0..self.count)
            .map(|number| {
                let one = Call {
                    router: routers[number % routers.len()],
                    model: self.model.clone(),
                    workspace: "default".into(),
                    prompt: format!("question {number}"),
                    tokens: self.tokens,
                    stream: number.is_multiple_of(2),
                    deadline: self.deadline,
                };
                std::thread::spawn(move || call(&one))
            })
            .collect();
        callers
            .into_iter()
            .map(|caller| caller.join().expect("a caller panicked"))
            .collect()
    }
}

/// Makes one request and checks its answer.
pub fn call(call: &Call) -> Sample {
    let began_at = Instant::now();
    let mut first = None;
    let outcome = attempt(call, &mut || {
        first.get_or_insert_with(|| began_at.elapsed());
    });
    let total = began_at.elapsed();
    Sample {
        outcome,
        first_token: first.unwrap_or(total),
        total,
    }
}

fn attempt(call: &Call, on_token: &mut impl FnMut()) -> Outcome {
    let body = json!({
        "model": call.model,
        "messages": [{ "role": "user", "content": call.prompt }],
        "max_tokens": call.tokens,
        "stream": call.stream,
    });
    let expected: String = (0..call.tokens)
        .map(|place| token_text(prompt_hash(&body), place))
        .collect();
    let sent = agent(Some(call.deadline + PATIENCE), 0)
        .post(format!("http://{}/v1/chat/completions", call.router))
        .header("content-type", "application/json")
        .header("x-passway-workspace", &call.workspace)
        .header(
            "x-passway-deadline-ms",
            call.deadline.as_millis().to_string(),
        )
        .send(body.to_string());
    let mut response = match sent {
        Ok(response) => response,
        Err(error) => return Outcome::Broken(error.to_string()),
    };
    if response.status() != 200 {
        let body = response.body_mut().read_to_vec().unwrap_or_default();
        return refused(&body);
    }
    let got = if call.stream {
        read_stream(response.into_body().into_reader(), on_token)
    } else {
        let body = response.body_mut().read_to_vec().unwrap_or_default();
        let answer: Value = serde_json::from_slice(&body).unwrap_or_default();
        let text = answer["choices"][0]["message"]["content"].as_str();
        text.map(str::to_owned)
            .ok_or_else(|| Outcome::Broken("no content".into()))
    };
    match got {
        Ok(text) if text == expected => Outcome::Whole,
        Ok(text) => Outcome::Broken(format!("got {} bytes, not the answer", text.len())),
        Err(outcome) => outcome,
    }
}

fn refused(body: &[u8]) -> Outcome {
    let answer: Value = serde_json::from_slice(body).unwrap_or_default();
    match answer["error"]["code"].as_u64() {
        Some(code) => Outcome::Refused {
            code,
            retry_after_ms: answer["error"]["retry_after_ms"].as_u64(),
        },
        None => Outcome::Broken("a refusal without a code".into()),
    }
}

fn read_stream(reader: impl std::io::Read, on_token: &mut impl FnMut()) -> Result<String, Outcome> {
    let mut text = String::new();
    let mut is_error = false;
    for line in BufReader::new(reader).lines() {
        let line = line.map_err(|error| Outcome::Broken(error.to_string()))?;
        if line.starts_with("event: error") {
            is_error = true;
        }
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if is_error {
            return Err(refused(data.as_bytes()));
        }
        if data == "[DONE]" {
            return Ok(text);
        }
        on_token();
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        text.push_str(
            event["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or_default(),
        );
    }
    Err(Outcome::Broken("the stream ended without [DONE]".into()))
}
