//! Formatting of command results for standard output and standard error.

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

/// Exit code if a query returns no row, no request kind matches an explained request, or an order
/// names a subject that is not in the configuration in force.
const EXIT_NO_RESULT: u8 = 1;
/// Exit code if at least one process did not answer or did not confirm an order.
const EXIT_NO_ANSWER: u8 = 3;

/// Output and exit code of one command.
#[derive(Debug, Default)]
pub(crate) struct CommandOutput {
    /// Result, written to standard output.
    pub(crate) stdout: String,
    /// Error messages, written to standard error.
    pub(crate) stderr: String,
    /// Exit code; 0 if the command succeeded.
    pub(crate) exit_code: u8,
}

impl CommandOutput {
    /// Returns one line on standard error per failed call.
    fn from_errors(errors: &[CallError]) -> Self {
        let mut output = Self::default();
        for CallError(reason) in errors {
            let _ = writeln!(output.stderr, "thymeshiftctl: no answer: {reason}");
            output.exit_code = EXIT_NO_ANSWER;
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

pub(crate) fn query_result(query: &Query, results: &Dumps, format: Format) -> CommandOutput {
    let mut output = CommandOutput::from_errors(&results.errors);
    let table = query.run(&build_table(query.table, &results.dumps));
    if table.rows.is_empty() && output.exit_code == 0 {
        output.exit_code = EXIT_NO_RESULT;
    }
    output.stdout = match format {
        Format::Text => to_text(&table),
        Format::Json => format!("{}\n", to_json(&table)),
    };
    output
}

pub(crate) fn explanation(
    result: &Result<Explanation, CallError>,
    format: Format,
) -> CommandOutput {
    let explanation = match result {
        Ok(explanation) => explanation,
        Err(error) => return CommandOutput::from_errors(std::slice::from_ref(error)),
    };
    let exit_code = if explanation.kind.is_some() { 0 } else { EXIT_NO_RESULT };
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
    result: &Result<OrderAnswer, CallError>,
    format: Format,
) -> CommandOutput {
    let answer = match result {
        Ok(answer) => answer,
        Err(error) => return CommandOutput::from_errors(std::slice::from_ref(error)),
    };
    let exit_code = match answer {
        OrderAnswer::UnknownSubject(_) => EXIT_NO_RESULT,
        OrderAnswer::Taken { unconfirmed, .. } if !unconfirmed.is_empty() => EXIT_NO_ANSWER,
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
            join_names(confirmed),
            unconfirmed.len(),
            join_names(unconfirmed)
        ),
    };
    CommandOutput { stdout, exit_code, ..CommandOutput::default() }
}

fn join_names(vms: &[VmName]) -> String {
    vms.iter().map(VmName::as_str).collect::<Vec<_>>().join(" ")
}
