//! Reading JSON with comments so that every fault is reported at once.

use jsonc_parser::{CollectOptions, ParseOptions, ast};
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use serde_path_to_error::Segment;
use std::fmt;

/// One thing wrong in a file: where, and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The path of the value, such as `models[2].size_mb`.
    pub path: String,
    /// The line in the file, counted from 1; 0 if the value is absent.
    pub line: usize,
    /// The reason, for a person.
    pub reason: String,
}

/// Every fault of one file; never empty when returned as an error.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            if fault.line > 0 {
                write!(f, "line {}: ", fault.line)?;
            }
            write!(f, "{}: {}", fault.path, fault.reason)?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

/// A parsed file together with what is needed to name the line of a path.
#[derive(Debug)]
pub struct Source<'a> {
    text: &'a str,
    value: Value,
}

impl<'a> Source<'a> {
    /// Parses `text` as JSON with comments.
    ///
    /// # Errors
    /// One fault, at the line where the text is not JSON.
    pub fn parse(text: &'a str) -> Result<Self, Faults> {
        jsonc_parser::parse_to_serde_value::<Option<Value>>(text, &ParseOptions::default())
            .map(|value| Self {
                text,
                value: value.unwrap_or_else(|| Value::Object(Map::new())),
            })
            .map_err(|e| {
                Faults(vec![Fault {
                    path: "file".into(),
                    line: e.line_display(),
                    reason: e.kind().to_string(),
                }])
            })
    }

    /// Deserializes the whole value; a value at fault is recorded, taken out and
    /// its default used, so that the next fault is found too.
    ///
    /// `T` must have a default for every field, or an absent required field
    /// ends the search.
    pub fn read<T: DeserializeOwned + Default>(&self, faults: &mut Vec<Fault>) -> T {
        let mut rest = self.value.clone();
        loop {
            let error = match serde_path_to_error::deserialize::<_, T>(&rest) {
                Ok(read) => return read,
                Err(error) => error,
            };
            let steps = error_path(&error, &rest);
            faults.push(self.fault(&steps, error.inner().to_string()));
            if !remove(&mut rest, &steps) {
                return T::default();
            }
        }
    }

    /// A fault at `path`, given as it is displayed, with its line looked up.
    pub fn fault_at(&self, path: &str, reason: impl Into<String>) -> Fault {
        let steps = parse_path(path);
        self.fault(&steps, reason.into())
    }

    fn fault(&self, steps: &[Step], reason: String) -> Fault {
        Fault {
            path: display(steps),
            line: self.line_of(steps),
            reason,
        }
    }

    fn line_of(&self, steps: &[Step]) -> usize {
        let options = (CollectOptions::default(), ParseOptions::default());
        let Ok(parsed) = jsonc_parser::parse_to_ast(self.text, &options.0, &options.1) else {
            return 0;
        };
        let Some(root) = parsed.value else { return 0 };
        let Some(offset) = offset_of(&root, steps) else {
            return 0;
        };
        self.text[..offset].matches('\n').count() + 1
    }
}

/// One step of a path into a JSON value.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Step {
    Key(String),
    Index(usize),
}

/// The path of an error; for an unknown field it names the field itself, not the object.
fn error_path(error: &serde_path_to_error::Error<serde_json::Error>, value: &Value) -> Vec<Step> {
    let mut steps: Vec<Step> = error
        .path()
        .iter()
        .filter_map(|segment| match segment {
            Segment::Seq { index } => Some(Step::Index(*index)),
            Segment::Map { key } => Some(Step::Key(key.clone())),
            Segment::Enum { .. } | Segment::Unknown => None,
        })
        .collect();
    if let Some(field) = unknown_field_name(&error.inner().to_string()) {
        let last = Step::Key(field);
        if steps.last() != Some(&last) {
            steps.push(last);
        }
    }
    while !steps.is_empty() && lookup(value, &steps).is_none() {
        steps.pop();
    }
    steps
}

fn unknown_field_name(message: &str) -> Option<String> {
    let rest = message.strip_prefix("unknown field `")?;
    rest.split('`').next().map(str::to_owned)
}

fn lookup<'v>(value: &'v Value, steps: &[Step]) -> Option<&'v Value> {
    steps.iter().try_fold(value, |at, step| match step {
        Step::Key(key) => at.get(key),
        Step::Index(index) => at.get(index),
    })
}

/// Takes the value at `steps` out; false if there is nothing to take out.
fn remove(value: &mut Value, steps: &[Step]) -> bool {
    let Some((last, parents)) = steps.split_last() else {
        return false;
    };
    let mut at = value;
    for step in parents {
        let next = match step {
            Step::Key(key) => at.get_mut(key),
            Step::Index(index) => at.get_mut(*index),
        };
        let Some(next) = next else { return false };
        at = next;
    }
    match (last, at) {
        (Step::Key(key), Value::Object(map)) => map.remove(key).is_some(),
        // An array keeps its length, so that later paths still name the right item.
        (Step::Index(index), Value::Array(items)) if !items[*index].is_object() => {
            items[*index] = Value::Object(Map::new());
            true
        }
        _ => false,
    }
}

fn display(steps: &[Step]) -> String {
    let mut out = String::new();
    for step in steps {
        match step {
            Step::Key(key) if out.is_empty() => out.push_str(key),
            Step::Key(key) => {
                out.push('.');
                out.push_str(key);
            }
            Step::Index(index) => {
                out.push('[');
                out.push_str(&index.to_string());
                out.push(']');
            }
        }
    }
    if out.is_empty() { "file".into() } else { out }
}

fn parse_path(path: &str) -> Vec<Step> {
    path.split(['.', '['])
        .map(
            |part| match part.strip_suffix(']').and_then(|n| n.parse().ok()) {
                Some(index) => Step::Index(index),
                None => Step::Key(part.to_owned()),
            },
        )
        .collect()
}

fn offset_of(value: &ast::Value<'_>, steps: &[Step]) -> Option<usize> {
    use jsonc_parser::common::Ranged;
    let Some((step, rest)) = steps.split_first() else {
        return Some(value.start());
    };
    match (step, value) {
        (Step::Key(key), ast::Value::Object(object)) => {
            let property = object.get(key)?;
            if rest.is_empty() {
                Some(property.start())
            } else {
                offset_of(&property.value, rest)
            }
        }
        (Step::Index(index), ast::Value::Array(array)) => {
            offset_of(array.elements.get(*index)?, rest)
        }
        _ => None,
    }
}
