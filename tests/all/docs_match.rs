//! Documentation pages that describe the code must match it; `UPDATE_EXPECT=1` rewrites them.

use expect_test::expect_file;
use passway_config::settings::{ControllerSettings, RouterSettings, Settings};
use passway_types::outcome::ResultCode;
use std::fmt::Write;

/// Section about the answers that `passway-instance` itself produces: its refusals have a status
/// but no result code.
const PLATFORM_CODES: &str = "
## On the users' platform

`passway-instance` answers by status alone; whatever an upstream answered is passed on as it is.

| status | ran | meaning | `Retry-After` |
| --- | --- | --- | --- |
| 400 | not run | The bytes are no request, or name no host or more than one. | |
| 401 | not run | The route needs a key, and no workspace holds the one that was sent. The configuration is proved to be current. | |
| 404 | not run | No route matches. The configuration is proved to be current. | |
| 413, 431 | not run | The body or the head is too large. The configuration is proved to be current. | |
| 421 | not run | The request has `Expect-Version`, and no upstream that has its model has those weights. | |
| 429 | not run | The workspace has used its allotment. | the request's turn, 5 s at most |
| 502 | unknown | An upstream may have run it, and its answer is lost. | |
| 503 | not run | No upstream could take it; nobody could say what its workspace has used; its key may have been taken away meanwhile; the instance's configuration denies it and may be old; its upstreams take no more now; or the instance is stopping. | when it may be otherwise; 0.05 s where another instance most likely can |
| 503 with `Resume-Refused` | not run | The stream that the request takes up cannot go on: `version-unknown` (nobody knows which software version began it) and `version-gone` (no upstream with that version takes requests) mean that the caller has to begin anew, without `Last-Event-Id` and `Resumes`; `proof-unavailable`: the store did not answer. | 0.5 s with `proof-unavailable`, else none |
| 504 | unknown | The time is over while an upstream works. | |
";

/// Returns the names of the fields of a program's settings, as listed in its error for an unknown
/// field.
fn field_names<S: Settings + std::fmt::Debug>() -> Vec<String> {
    let error = S::parse(r#"{ "nonsense": 1 }"#)
        .expect_err("a fault")
        .to_string();
    let field_list = error.split("expected one of ").nth(1).expect("a list");
    let line = field_list.lines().next().expect("a line");
    line.split(", ").map(str::to_owned).collect()
}

#[test]
fn settings_are_documented() {
    let page = std::fs::read_to_string("docs/operators/run.md").expect("page");
    for field in field_names::<RouterSettings>()
        .into_iter()
        .chain(field_names::<ControllerSettings>())
    {
        assert!(page.contains(&field), "{field} is not in the page");
    }
}

#[test]
fn result_codes_page_matches() {
    let mut page = String::from(
        "# Result codes\n\nEvery refusal carries its code in the header `x-passway-code`, whether the \
         request ran in\n`x-passway-ran`, and both in its body, with `retry_after_ms` where a repeat may \
         succeed\n(in whole seconds also as `retry-after`). A stream that cannot go on ends with an\n\
         event `error` that carries the same body.\n\n\
         This table is written from `crates/types/src/outcome.rs` by `tests/all/docs_match.rs`.\n\n\
         | code | name | HTTP | ran | meaning |\n| --- | --- | --- | --- | --- |\n",
    );
    for code in ResultCode::ALL {
        let (number, name) = (*code as u16, code.name());
        let (status, ran) = (code.http_status(), code.ran().as_str());
        writeln!(
            page,
            "| {number} | {name} | {status} | {ran} |{} |",
            code.description()
        )
        .expect("string");
    }
    page.push_str(PLATFORM_CODES);
    expect_file!["../../docs/result-codes.md"].assert_eq(&page);
}

#[test]
fn result_codes_are_unique() {
    let mut numbers: Vec<u16> = ResultCode::ALL.iter().map(|code| *code as u16).collect();
    numbers.dedup();
    assert_eq!(numbers.len(), ResultCode::ALL.len());
    assert!(numbers.is_sorted());
}
