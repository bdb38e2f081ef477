//! A load generator: each caller sends one request and checks that the answer is complete and
//! belongs to the request.

use crate::engine::{prompt_hash, token_text};
use passway_platform::http::agent;
use passway_types::prelude::*;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;

/// Time that a caller waits for an answer after the deadline.
const ANSWER_TIMEOUT_MARGIN: Duration = Duration::from_secs(5);

/// A request to send.
#[derive(Debug, Clone)]
pub struct Call {
    /// Address of the router.
    pub router: SocketAddr,
    /// Name of the model, adapter or alias.
    pub model: String,
    /// Name of the workspace.
    pub workspace: String,
    /// Text that distinguishes the answer to this request from all others.
    pub prompt: String,
    /// Number of requested tokens.
    pub tokens: u32,
    /// Whether the caller requests a streamed answer.
    pub stream: bool,
    /// Time from the start of the request to its deadline.
    pub deadline: Duration,
}

/// The result of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// The expected answer, complete.
    Whole,
    /// A refusal.
    Refused {
        /// The numeric error code.
        code: u64,
        /// The suggested delay before a retry, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// No answer, an incomplete one or a wrong one, with the reason.
    Broken(String),
}

/// The outcome of a request with its latencies, measured from the start of the request.
#[derive(Debug, Clone)]
pub struct Sample {
    /// The result.
    pub outcome: Outcome,
    /// Time to the first token, or [`Self::total`] if the answer has no token events.
    pub first_token: Duration,
    /// Time to the end of the answer.
    pub total: Duration,
}

/// Many concurrent requests for one model, spread over the routers.
#[derive(Debug, Clone)]
pub struct Burst {
    /// Name of the model, adapter or alias.
    pub model: String,
    /// Number of concurrent requests.
    pub count: usize,
    /// Number of tokens that each request asks for.
    pub tokens: u32,
    /// Time from the start of each request to its deadline.
    pub deadline: Duration,
}

impl Burst {
    /// Sends all requests concurrently, every second one streamed, and waits for their answers.
    ///
    /// # Panics
    /// If a caller's thread panicked.
    pub fn run(&self, routers: &[SocketAddr]) -> Vec<Sample> {
        let callers: Vec<_> = (0..self.count)
            .map(|number| {
                let request = Call {
                    router: routers[number % routers.len()],
                    model: self.model.clone(),
                    workspace: "default".into(),
                    prompt: format!("question {number}"),
                    tokens: self.tokens,
                    stream: number.is_multiple_of(2),
                    deadline: self.deadline,
                };
                std::thread::spawn(move || call(&request))
            })
            .collect();
        callers
            .into_iter()
            .map(|caller| caller.join().expect("a caller panicked"))
            .collect()
    }
}

/// Sends one request and checks its answer.
pub fn call(call: &Call) -> Sample {
    let started_at = Instant::now();
    let mut first = None;
    let outcome = send_and_check(call, &mut || {
        first.get_or_insert_with(|| started_at.elapsed());
    });
    let total = started_at.elapsed();
    Sample {
        outcome,
        first_token: first.unwrap_or(total),
        total,
    }
}

fn send_and_check(call: &Call, on_token: &mut impl FnMut()) -> Outcome {
    let body = json!({
        "model": call.model,
        "messages": [{ "role": "user", "content": call.prompt }],
        "max_tokens": call.tokens,
        "stream": call.stream,
    });
    let expected: String = (0..call.tokens)
        .map(|position| token_text(prompt_hash(&body), position))
        .collect();
    let response = agent(Some(call.deadline + ANSWER_TIMEOUT_MARGIN))
        .post(format!("http://{}/v1/chat/completions", call.router))
        .header("content-type", "application/json")
        .header("x-passway-workspace", &call.workspace)
        .header(
            "x-passway-deadline-ms",
            call.deadline.as_millis().to_string(),
        )
        .send(body.to_string());
    let mut response = match response {
        Ok(response) => response,
        Err(error) => return Outcome::Broken(error.to_string()),
    };
    if response.status() != 200 {
        let body = response.body_mut().read_to_vec().unwrap_or_default();
        return parse_refusal(&body);
    }
    let received = if call.stream {
        read_stream(response.into_body().into_reader(), on_token)
    } else {
        let body = response.body_mut().read_to_vec().unwrap_or_default();
        let answer: Value = serde_json::from_slice(&body).unwrap_or_default();
        let content = answer["choices"][0]["message"]["content"].as_str();
        content
            .map(str::to_owned)
            .ok_or_else(|| Outcome::Broken("the answer has no content".into()))
    };
    match received {
        Ok(content) if content == expected => Outcome::Whole,
        Ok(content) => Outcome::Broken(format!("unexpected answer of {} bytes", content.len())),
        Err(outcome) => outcome,
    }
}

fn parse_refusal(body: &[u8]) -> Outcome {
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
    let mut content = String::new();
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
            return Err(parse_refusal(data.as_bytes()));
        }
        if data == "[DONE]" {
            return Ok(content);
        }
        on_token();
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        content.push_str(
            event["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or_default(),
        );
    }
    Err(Outcome::Broken("the stream ended without [DONE]".into()))
}
