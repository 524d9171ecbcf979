//! Writing answers.

use std::fmt::Write;

use serde_json::json;
use thymeshift_query::Query;
use thymeshift_query::TableName;
use thymeshift_query::build_table;
use thymeshift_query::to_json;
use thymeshift_query::to_text;
use thymeshift_types::VmName;
use thymeshift_wire::Explanation;
use thymeshift_wire::OrderAnswer;

use crate::arguments::Format;
use crate::client::CallError;
use crate::client::Dumps;

/// Exit code if there is no row or no effect.
const CODE_NOTHING: u8 = 1;
/// Exit code if a process did not answer.
const CODE_UNANSWERED: u8 = 3;

/// An answer for the operator.
#[derive(Debug, Default)]
pub(crate) struct CommandOutput {
    /// For standard output.
    pub(crate) stdout: String,
    /// For standard error.
    pub(crate) stderr: String,
    /// Exit code.
    pub(crate) exit_code: u8,
}

impl CommandOutput {
    fn from_errors(errors: &[CallError]) -> Self {
        let mut output = Self::default();
        for CallError(reason) in errors {
            let _ = writeln!(output.stderr, "thymeshiftctl: no answer: {reason}");
            output.exit_code = CODE_UNANSWERED;
        }
        output
    }
}

pub(crate) fn list_tables() -> CommandOutput {
    let mut stdout = String::new();
    for table in TableName::ALL {
        let _ = writeln!(stdout, "{:<14} {}", table.to_string(), table.columns().join(", "));
    }
    CommandOutput { stdout, ..CommandOutput::default() }
}

pub(crate) fn query_result(query: &Query, asked: &Dumps, format: Format) -> CommandOutput {
    let mut output = CommandOutput::from_errors(&asked.errors);
    let table = query.run(&build_table(query.table, &asked.dumps));
    if table.rows.is_empty() && output.exit_code == 0 {
        output.exit_code = CODE_NOTHING;
    }
    output.stdout = match format {
        Format::Text => to_text(&table),
        Format::Json => format!("{}\n", to_json(&table)),
    };
    output
}

pub(crate) fn explanation(
    explained: &Result<Explanation, CallError>,
    format: Format,
) -> CommandOutput {
    let explanation = match explained {
        Ok(explanation) => explanation,
        Err(error) => return CommandOutput::from_errors(std::slice::from_ref(error)),
    };
    let exit_code = if explanation.kind.is_some() { 0 } else { CODE_NOTHING };
    let stdout = match format {
        Format::Json => format!("{}\n", json!(explanation)),
        Format::Text => explanation_text(explanation),
    };
    CommandOutput { stdout, exit_code, ..CommandOutput::default() }
}

fn explanation_text(explanation: &Explanation) -> String {
    let mut text = String::new();
    for kind in &explanation.passed_over {
        let _ = writeln!(text, "kind {kind}: its rules do not match");
    }
    if let (Some(kind), Some(service)) = (&explanation.kind, &explanation.service) {
        let _ = writeln!(text, "kind {kind}: its rules match; served by {service}");
    }
    let _ = writeln!(text, "{}", explanation.verdict);
    for target in &explanation.targets {
        let _ = writeln!(
            text,
            "  {:<20} {:<9} expected {:>7} us, {} in flight of {:.0}, failures {:.0}%",
            target.name,
            target.usability.to_string(),
            target.expected_us,
            target.in_flight,
            target.limit.floor(),
            target.failure_rate * 100.0
        );
    }
    text
}

pub(crate) fn order_result(
    answered: &Result<OrderAnswer, CallError>,
    format: Format,
) -> CommandOutput {
    let answer = match answered {
        Ok(answer) => answer,
        Err(error) => return CommandOutput::from_errors(std::slice::from_ref(error)),
    };
    let exit_code = match answer {
        OrderAnswer::UnknownSubject(_) => CODE_NOTHING,
        OrderAnswer::Taken { unconfirmed, .. } if !unconfirmed.is_empty() => CODE_UNANSWERED,
        OrderAnswer::Taken { .. } => 0,
    };
    let stdout = match (format, answer) {
        (Format::Json, answer) => format!("{}\n", json!(answer)),
        (Format::Text, OrderAnswer::UnknownSubject(reason)) => format!("refused: {reason}\n"),
        (Format::Text, OrderAnswer::Taken { order, confirmed, unconfirmed }) => format!(
            "{} {}: taken for {} s, lost if all VMs that hold it are replaced at once\n\
             held by {}: {}\nnot confirmed by {}: {}\n",
            order.subject,
            order.change,
            order.expires_in_ms / 1_000,
            confirmed.len(),
            names(confirmed),
            unconfirmed.len(),
            names(unconfirmed)
        ),
    };
    CommandOutput { stdout, exit_code, ..CommandOutput::default() }
}

fn names(vms: &[VmName]) -> String {
    vms.iter().map(VmName::as_str).collect::<Vec<_>>().join(" ")
}
