//! Evaluation of a query on a table.

use std::cmp::Ordering;

use crate::Cell;
use crate::Comparison;
use crate::ComparisonOperator;
use crate::Condition;
use crate::Direction;
use crate::Query;
use crate::Table;

impl Query {
    /// Returns the selected columns of the rows of `table` that match the condition.
    ///
    /// Rows are sorted before the limit is applied.
    pub fn run(&self, table: &Table) -> Table {
        let matches =
            |row: &&Vec<Cell>| self.condition.as_ref().is_none_or(|c| c.matches(table, row));
        let mut rows: Vec<&Vec<Cell>> = table.rows.iter().filter(matches).collect();
        if let Some(sort) = self.sort {
            rows.sort_by(|a, b| {
                let ordering = cell(table, a, sort.column).compare(&cell(table, b, sort.column));
                match sort.direction {
                    Direction::Ascending => ordering,
                    Direction::Descending => ordering.reverse(),
                }
            });
        }
        rows.truncate(self.limit.unwrap_or(usize::MAX));
        let columns =
            if self.columns.is_empty() { table.columns.clone() } else { self.columns.clone() };
        let select = |row: &Vec<Cell>| columns.iter().map(|c| cell(table, row, c)).collect();
        let rows = rows.into_iter().map(select).collect();
        Table { columns, rows }
    }
}

fn cell(table: &Table, row: &[Cell], column: &str) -> Cell {
    let index = table.columns.iter().position(|known| *known == column);
    index.and_then(|index| row.get(index)).cloned().unwrap_or(Cell::Missing)
}

impl Condition {
    fn matches(&self, table: &Table, row: &[Cell]) -> bool {
        match self {
            Self::Compare(comparison) => comparison.matches(&cell(table, row, comparison.column)),
            Self::Not(inner) => !inner.matches(table, row),
            Self::And(left, right) => left.matches(table, row) && right.matches(table, row),
            Self::Or(left, right) => left.matches(table, row) || right.matches(table, row),
        }
    }
}

impl Comparison {
    /// Returns whether the comparison is true for `found`. A missing cell matches `!=` and no other
    /// operator except `like`, which matches the text `-` that a missing cell is printed as.
    fn matches(&self, found: &Cell) -> bool {
        if let ComparisonOperator::Like = self.operator {
            return found.to_string().contains(&self.value.to_string());
        }
        if *found == Cell::Missing {
            return self.operator == ComparisonOperator::Unequal;
        }
        let ordering = self.compare(found);
        match self.operator {
            ComparisonOperator::Equal => ordering == Ordering::Equal,
            ComparisonOperator::Unequal => ordering != Ordering::Equal,
            ComparisonOperator::Less => ordering == Ordering::Less,
            ComparisonOperator::LessOrEqual => ordering != Ordering::Greater,
            ComparisonOperator::Greater => ordering == Ordering::Greater,
            ComparisonOperator::GreaterOrEqual => ordering != Ordering::Less,
            ComparisonOperator::Like => false,
        }
    }

    /// Compares a cell with the constant. A text cell is compared as text even if the constant
    /// parses as a number or a boolean, so that a name made of digits can be matched.
    fn compare(&self, found: &Cell) -> Ordering {
        match (found, &self.value) {
            (Cell::Text(text), value) => text.as_str().cmp(value.to_string().as_str()),
            (found, value) => found.compare(value),
        }
    }
}
