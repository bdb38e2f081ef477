//! Policy programs: rules with conditions in the Common Expression Language (CEL).
//!
//! A program is an ordered list of rules. The value of each attribute comes from the first rule
//! that sets the attribute and whose condition is true. To limit the cost of a program, conditions
//! must not contain loops (macros that expand to a comprehension are refused) and have at most
//! [`MAX_NODES`] nodes.

use crate::document::PolicyEntry;
use cel::common::ast::Expr;
use cel::{Context, Env, IdedExpr, Program, Value};
use std::sync::{Arc, LazyLock};
use std::time::Duration;

/// Maximum number of nodes in the syntax tree of a condition.
pub const MAX_NODES: usize = 64;
/// Maximum number of rules in a configuration.
pub const MAX_RULES: usize = 100;
/// The variables that a condition may use.
pub const VARIABLES: [&str; 4] = ["workspace", "model", "kind", "priority"];

/// The attributes of a request that conditions can use.
#[derive(Debug, Clone, Copy)]
pub struct RequestAttributes<'a> {
    /// The caller's workspace.
    pub workspace: &'a str,
    /// The model as `name@version`.
    pub model: &'a str,
    /// The kind of request as given by the caller, or empty.
    pub kind: &'a str,
    /// The priority that the caller requests.
    pub priority: u32,
}

/// The decision of a policy program for a request. A field is `None` if no rule sets it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PolicyDecision {
    /// Priority of the request; lower numbers are served first.
    pub priority: Option<u32>,
    /// Maximum time that the request may wait.
    pub may_wait: Option<Duration>,
    /// Maximum number of concurrent requests of the workspace through one router.
    pub max_running: Option<u32>,
    /// Maximum accelerator memory of all models that were loaded for the workspace, in bytes.
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

/// A rule that is refused, and the reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RuleFault {
    /// Index of the rule in the list, starting at 0.
    pub index: usize,
    /// The reason, with line and column for a syntax error.
    pub reason: String,
}

impl Policy {
    /// Compiles all rules.
    ///
    /// # Errors
    /// All rules whose condition is not a valid expression, is too expensive or uses an unknown
    /// variable, and all rules that set no attribute.
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

    /// Evaluates the program for one request.
    ///
    /// A condition that fails at run time counts as false.
    pub fn evaluate(&self, attributes: &RequestAttributes<'_>) -> PolicyDecision {
        let mut decision = PolicyDecision::default();
        if self.rules.is_empty() {
            return decision;
        }
        let context = context_of(attributes);
        for rule in &self.rules {
            if matches!(rule.condition.execute(&context), Ok(Value::Bool(true))) {
                decision.fill_unset_from(&rule.entry);
            }
        }
        decision
    }
}

impl PolicyDecision {
    /// Sets each field that no earlier rule has set.
    fn fill_unset_from(&mut self, entry: &PolicyEntry) {
        self.priority = self.priority.or(entry.priority);
        self.may_wait = self
            .may_wait
            .or(entry.may_wait_ms.map(Duration::from_millis));
        self.max_running = self.max_running.or(entry.max_running);
        self.max_held_bytes = self.max_held_bytes.or(entry.max_held_mb.map(|mb| mb << 20));
    }
}

/// The standard library of CEL, created once.
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
///
/// # Errors
/// If the expression contains a loop, a map or a struct, which are refused.
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
