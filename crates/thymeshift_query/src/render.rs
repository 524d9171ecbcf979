//! Tables for people and for programs.

use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use crate::Cell;
use crate::Table;

/// Space between two columns.
const GAP: usize = 2;

/// The table with aligned columns; numbers to the right.
pub fn to_text(table: &Table) -> String {
    let width = |index: usize| {
        let cells = table.rows.iter().map(|row| row[index].to_string().chars().count());
        cells.max().unwrap_or(0).max(table.columns[index].len())
    };
    let widths: Vec<usize> = (0..table.columns.len()).map(width).collect();
    let mut text = String::new();
    let heads = table.columns.iter().zip(&widths);
    line(&mut text, heads.map(|(name, width)| format!("{name:<width$}")));
    for row in &table.rows {
        let cells = row.iter().zip(&widths);
        let align = |(cell, width): (&Cell, &usize)| match cell {
            Cell::Number(_) => format!("{cell:>width$}"),
            _ => format!("{cell:<width$}"),
        };
        line(&mut text, cells.map(align));
    }
    text
}

fn line(text: &mut String, cells: impl Iterator<Item = String>) {
    let joined = cells.collect::<Vec<_>>().join(&" ".repeat(GAP));
    text.push_str(joined.trim_end());
    text.push('\n');
}

/// The table as a list of objects.
pub fn to_json(table: &Table) -> Value {
    let object = |row: &Vec<Cell>| {
        let pairs = table.columns.iter().zip(row);
        let pairs = pairs.map(|(name, cell)| ((*name).to_owned(), value(cell)));
        Value::Object(pairs.collect::<Map<_, _>>())
    };
    Value::Array(table.rows.iter().map(object).collect())
}

fn value(cell: &Cell) -> Value {
    match cell {
        Cell::Text(text) => json!(text),
        Cell::Number(number) if number.fract() == 0.0 => json!(*number as i64),
        Cell::Number(number) => json!(number),
        Cell::Bool(flag) => json!(flag),
        Cell::Missing => Value::Null,
    }
}
