//! Answering a query from a table.

use std::cmp::Ordering;

use crate::Cell;
use crate::Comparison;
use crate::ComparisonOperator;
use crate::Condition;
use crate::Direction;
use crate::Query;
use crate::Table;

impl Query {
    /// The rows that are asked for, in the order and with the columns asked for.
    pub fn run(&self, table: &Table) -> Table {
        let keeps = |row: &&Vec<Cell>| self.condition.as_ref().is_none_or(|c| c.holds(table, row));
        let mut rows: Vec<&Vec<Cell>> = table.rows.iter().filter(keeps).collect();
        if let Some(sort) = self.sort {
            rows.sort_by(|a, b| {
                let order = cell(table, a, sort.column).compare(&cell(table, b, sort.column));
                match sort.direction {
                    Direction::Ascending => order,
                    Direction::Descending => order.reverse(),
                }
            });
        }
        rows.truncate(self.limit.unwrap_or(usize::MAX));
        let columns =
            if self.columns.is_empty() { table.columns.clone() } else { self.columns.clone() };
        let pick = |row: &Vec<Cell>| columns.iter().map(|c| cell(table, row, c)).collect();
        let rows = rows.into_iter().map(pick).collect();
        Table { columns, rows }
    }
}

fn cell(table: &Table, row: &[Cell], column: &str) -> Cell {
    let index = table.columns.iter().position(|known| *known == column);
    index.and_then(|index| row.get(index)).cloned().unwrap_or(Cell::Missing)
}

impl Condition {
    fn holds(&self, table: &Table, row: &[Cell]) -> bool {
        match self {
            Self::Compare(comparison) => comparison.holds(&cell(table, row, comparison.column)),
            Self::Not(inner) => !inner.holds(table, row),
            Self::And(left, right) => left.holds(table, row) && right.holds(table, row),
            Self::Or(left, right) => left.holds(table, row) || right.holds(table, row),
        }
    }
}

impl Comparison {
    /// A missing value fulfils no comparison but `!=`.
    fn holds(&self, found: &Cell) -> bool {
        if let ComparisonOperator::Like = self.operator {
            return found.to_string().contains(&self.value.to_string());
        }
        if *found == Cell::Missing {
            return self.operator == ComparisonOperator::Unequal;
        }
        let order = self.compare(found);
        match self.operator {
            ComparisonOperator::Equal => order == Ordering::Equal,
            ComparisonOperator::Unequal => order != Ordering::Equal,
            ComparisonOperator::Less => order == Ordering::Less,
            ComparisonOperator::LessOrEqual => order != Ordering::Greater,
            ComparisonOperator::Greater => order == Ordering::Greater,
            ComparisonOperator::GreaterOrEqual => order != Ordering::Less,
            ComparisonOperator::Like => false,
        }
    }

    /// A text column is compared as text even with what looks like a number or a flag.
    fn compare(&self, found: &Cell) -> Ordering {
        match (found, &self.value) {
            (Cell::Text(text), value) => text.as_str().cmp(value.to_string().as_str()),
            (found, value) => found.compare(value),
        }
    }
}
