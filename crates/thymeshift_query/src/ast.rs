//! What a line means.

use std::time::Duration;

use thymeshift_wire::ExplainRequest;

use crate::Cell;
use crate::TableName;

/// A whole line.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Show rows of a table.
    Show(Query),
    /// Say why a request would go where it goes.
    Explain(ExplainRequest),
    /// Give an order.
    Order {
        /// What it is about.
        subject: thymeshift_fleet::OrderSubject,
        /// What it says.
        change: thymeshift_fleet::OrderChange,
        /// How long it shall hold.
        expires_in: Duration,
    },
    /// List the tables and their columns.
    Tables,
}

/// Rows of a table.
#[derive(Debug, Clone, PartialEq)]
pub struct Query {
    /// The table.
    pub table: TableName,
    /// The columns; empty shows all.
    pub columns: Vec<&'static str>,
    /// Which rows.
    pub condition: Option<Condition>,
    /// In which order.
    pub sort: Option<Sort>,
    /// How many at most.
    pub limit: Option<usize>,
}

/// An order of rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sort {
    /// By which column.
    pub column: &'static str,
    /// Which way.
    pub direction: Direction,
}

/// A direction of sorting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// Smallest first.
    Ascending,
    /// Largest first.
    Descending,
}

/// Which rows.
#[derive(Debug, Clone, PartialEq)]
pub enum Condition {
    /// A comparison holds.
    Compare(Comparison),
    /// It does not hold.
    Not(Box<Condition>),
    /// Both hold.
    And(Box<Condition>, Box<Condition>),
    /// At least one holds.
    Or(Box<Condition>, Box<Condition>),
}

/// A column compared with a value.
#[derive(Debug, Clone, PartialEq)]
pub struct Comparison {
    /// The column.
    pub column: &'static str,
    /// How.
    pub operator: ComparisonOperator,
    /// With what.
    pub value: Cell,
}

/// How two values are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ComparisonOperator {
    /// `=`
    Equal,
    /// `!=`
    Unequal,
    /// `<`
    Less,
    /// `<=`
    LessOrEqual,
    /// `>`
    Greater,
    /// `>=`
    GreaterOrEqual,
    /// `like`: the column contains the text.
    Like,
}
