//! Policy programs: rules whose conditions are Common Expression Language.
//!
//! A program is an ordered list of rules. For each attribute the first rule
//! whose condition holds and that sets the attribute decides. Conditions may
//! not loop (macros that expand to a comprehension are refused) and have at
//! most [`MAX_NODES`] nodes, so that a program ends within a known cost.

use crate::document::PolicyEntry;
use cel::common::ast::Expr;
use cel::{Context, Env, IdedExpr, Program, Value};
use std::sync::{Arc, LazyLock};
use std::time::Duration;

/// Most nodes in the syntax tree of one condition.
pub const MAX_NODES: usize = 64;
/// Most rules in one configuration.
pub const MAX_RULES: usize = 100;
/// The variables that a condition may use.
pub const VARIABLES: [&str; 4] = ["workspace", "model", "kind", "priority"];

/// What a condition sees of a request.
#[derive(Debug, Clone, Copy)]
pub struct RequestAttributes<'a> {
    /// The caller's workspace.
    pub workspace: &'a str,
    /// The model as `name@version`.
    pub model: &'a str,
    /// The kind that the caller names, or empty.
    pub kind: &'a str,
    /// The priority that the caller asks for.
    pub priority: u32,
}

/// What the program decides for a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PolicyDecision {
    /// Requests with a lower number go first.
    pub priority: Option<u32>,
    /// Longest time that the request may wait.
    pub may_wait: Option<Duration>,
    /// Most requests of the workspace that run at one time through one router.
    pub max_running: Option<u32>,
    /// Most accelerator memory held for the workspace.
    pub max_held_bytes: Option<u64>,
}

/// A compiled rule.
#[derive(Debug)]
struct Rule {
    entry: PolicyEntry,
    condition: Program,
}

/// A compiled policy program.
#[derive(Debug, Default)]
pub struct Policy {
    rules: Vec<Rule>,
}

/// Why a rule is refused: its number, and the reason with line and column.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RuleFault {
    /// The rule's place in the list, counted from 0.
    pub index: usize,
    /// The reason.
    pub reason: String,
}

impl Policy {
    /// Compiles every rule.
    ///
    /// # Errors
    /// Every rule that is not an expression, costs too much, uses an unknown
    /// variable or sets nothing.
    pub fn compile(entries: &[PolicyEntry]) -> Result<Self, Vec<RuleFault>> {
        let mut rules = Vec::with_capacity(entries.len());
        let mut faults = Vec::new();
        if entries.len() > MAX_RULES {
            let reason = format!("more than {MAX_RULES} rules");
            faults.push(RuleFault {
                index: MAX_RULES,
                reason,
            });
        }
        for (index, entry) in entries.iter().enumerate() {
            match compile_rule(entry) {
                Ok(rule) => rules.push(rule),
                Err(reason) => faults.push(RuleFault { index, reason }),
            }
        }
        if faults.is_empty() {
            Ok(Self { rules })
        } else {
            Err(faults)
        }
    }

    /// Runs the program for one request.
    ///
    /// A condition that fails at run time counts as not holding.
    pub fn evaluate(&self, attributes: &RequestAttributes<'_>) -> PolicyDecision {
        let mut ruling = PolicyDecision::default();
        if self.rules.is_empty() {
            return ruling;
        }
        let context = context_of(attributes);
        for rule in &self.rules {
            if matches!(rule.condition.execute(&context), Ok(Value::Bool(true))) {
                ruling.fill_unset_from(&rule.entry);
            }
        }
        ruling
    }
}

impl PolicyDecision {
    fn fill_unset_from(&mut self, entry: &PolicyEntry) {
        self.priority = self.priority.or(entry.priority);
        self.may_wait = self
            .may_wait
            .or(entry.may_wait_ms.map(Duration::from_millis));
        self.max_running = self.max_running.or(entry.max_running);
        self.max_held_bytes = self.max_held_bytes.or(entry.max_held_mb.map(|mb| mb << 20));
    }
}

/// The functions of the language, set up once.
static CEL_ENV: LazyLock<Arc<Env>> = LazyLock::new(|| Arc::new(Env::stdlib()));

fn context_of<'a>(attributes: &RequestAttributes<'_>) -> Context<'a, 'a> {
    let mut context = Context::with_env(CEL_ENV.clone());
    context.add_variable_from_value("workspace", attributes.workspace.to_owned());
    context.add_variable_from_value("model", attributes.model.to_owned());
    context.add_variable_from_value("kind", attributes.kind.to_owned());
    context.add_variable_from_value("priority", i64::from(attributes.priority));
    context
}

fn compile_rule(entry: &PolicyEntry) -> Result<Rule, String> {
    let sets_nothing = entry.priority.is_none()
        && entry.may_wait_ms.is_none()
        && entry.max_running.is_none()
        && entry.max_held_mb.is_none();
    if sets_nothing {
        return Err("sets nothing".into());
    }
    let condition = Program::compile(&entry.when).map_err(|errors| {
        let reasons: Vec<String> = errors
            .errors
            .iter()
            .map(|e| format!("line {}, column {}: {}", e.pos.0, e.pos.1, e.msg))
            .collect();
        reasons.join("; ")
    })?;
    let nodes = count_nodes(condition.expression())?;
    if nodes > MAX_NODES {
        return Err(format!("costs {nodes} nodes, the limit is {MAX_NODES}"));
    }
    if let Some(unknown) = condition
        .references()
        .variables()
        .into_iter()
        .find(|name| !VARIABLES.contains(name))
    {
        return Err(format!(
            "unknown variable `{unknown}`; known: {}",
            VARIABLES.join(", ")
        ));
    }
    Ok(Rule {
        entry: entry.clone(),
        condition,
    })
}

/// Counts the nodes of an expression.
fn count_nodes(node: &IdedExpr) -> Result<usize, String> {
    let children: Vec<&IdedExpr> = match &node.expr {
        Expr::Comprehension(_) => return Err("loops (all, exists, map, filter) are refused".into()),
        Expr::Call(call) => call
            .target
            .as_deref()
            .into_iter()
            .chain(&call.args)
            .collect(),
        Expr::Select(select) => vec![&select.operand],
        Expr::List(list) => list.elements.iter().collect(),
        Expr::Map(_) | Expr::Struct(_) => return Err("maps and structs are refused".into()),
        Expr::Ident(_) | Expr::Literal(_) | Expr::Unspecified => Vec::new(),
    };
    children
        .into_iter()
        .try_fold(1, |sum, child| Ok(sum + count_nodes(child)?))
}
