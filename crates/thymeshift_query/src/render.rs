//! Output of tables as aligned text and as JSON.

use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use crate::Cell;
use crate::Table;

/// Number of spaces between two columns of text output.
const COLUMN_GAP_SPACES: usize = 2;

/// Returns the table as text with a header line.
///
/// Numbers are right-aligned, all other cells are left-aligned.
pub fn to_text(table: &Table) -> String {
    let width = |index: usize| {
        let cells = table.rows.iter().map(|row| row[index].to_string().chars().count());
        cells.max().unwrap_or(0).max(table.columns[index].len())
    };
    let widths: Vec<usize> = (0..table.columns.len()).map(width).collect();
    let mut text = String::new();
    let headers = table.columns.iter().zip(&widths);
    push_line(&mut text, headers.map(|(name, width)| format!("{name:<width$}")));
    for row in &table.rows {
        let cells = row.iter().zip(&widths);
        let align = |(cell, width): (&Cell, &usize)| match cell {
            Cell::Number(_) => format!("{cell:>width$}"),
            _ => format!("{cell:<width$}"),
        };
        push_line(&mut text, cells.map(align));
    }
    text
}

fn push_line(text: &mut String, cells: impl Iterator<Item = String>) {
    let joined = cells.collect::<Vec<_>>().join(&" ".repeat(COLUMN_GAP_SPACES));
    text.push_str(joined.trim_end());
    text.push('\n');
}

/// Returns the table as a JSON array with one object per row, keyed by column name.
pub fn to_json(table: &Table) -> Value {
    let object = |row: &Vec<Cell>| {
        let pairs = table.columns.iter().zip(row);
        let pairs = pairs.map(|(name, cell)| ((*name).to_owned(), json_value(cell)));
        Value::Object(pairs.collect::<Map<_, _>>())
    };
    Value::Array(table.rows.iter().map(object).collect())
}

fn json_value(cell: &Cell) -> Value {
    match cell {
        Cell::Text(text) => json!(text),
        Cell::Number(number) if number.fract() == 0.0 => json!(*number as i64),
        Cell::Number(number) => json!(number),
        Cell::Bool(flag) => json!(flag),
        Cell::Missing => Value::Null,
    }
}
