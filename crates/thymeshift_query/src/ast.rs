//! Syntax tree of a parsed command line.

use std::time::Duration;

use thymeshift_wire::ExplainRequest;

use crate::Cell;
use crate::TableName;

/// A parsed command line.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// `show`: queries the rows of one table.
    Show(Query),
    /// `explain`: reports how an entry process would route a request, and why.
    Explain(ExplainRequest),
    /// An operator's order, such as `drain`, `pause probing` or `refuse request`.
    Order {
        /// Target, data hall, service or request that the order applies to.
        subject: thymeshift_fleet::OrderSubject,
        /// Whether the order stops the subject (drain, pause, refuse) or resumes normal operation.
        change: thymeshift_fleet::OrderChange,
        /// Time until the order expires.
        expires_in: Duration,
    },
    /// `tables`: lists the tables and their columns.
    Tables,
}

/// A `show` command.
#[derive(Debug, Clone, PartialEq)]
pub struct Query {
    /// Table to query.
    pub table: TableName,
    /// Columns to return; an empty list returns every column.
    pub columns: Vec<&'static str>,
    /// `where` clause; without one every row is returned.
    pub condition: Option<Condition>,
    /// `sort by` clause; without one the rows keep the order of the dump.
    pub sort: Option<Sort>,
    /// Maximum number of rows to return.
    pub limit: Option<usize>,
}

/// A `sort by` clause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sort {
    /// Column to sort by.
    pub column: &'static str,
    /// Direction of the sort; ascending unless the clause ends in `desc`.
    pub direction: Direction,
}

/// Sort direction of a `sort by` clause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// Smallest value first.
    Ascending,
    /// Largest value first.
    Descending,
}

/// A `where` clause, evaluated for each row.
#[derive(Debug, Clone, PartialEq)]
pub enum Condition {
    /// A single comparison of a column with a constant.
    Compare(Comparison),
    /// `not`: true if the inner condition is false.
    Not(Box<Condition>),
    /// `and`: true if both conditions are true.
    And(Box<Condition>, Box<Condition>),
    /// `or`: true if at least one of the two conditions is true.
    Or(Box<Condition>, Box<Condition>),
}

/// A comparison of a column with a constant value.
#[derive(Debug, Clone, PartialEq)]
pub struct Comparison {
    /// Column on the left side of the comparison.
    pub column: &'static str,
    /// Operator between the column and the constant.
    pub operator: ComparisonOperator,
    /// Constant on the right side of the comparison.
    pub value: Cell,
}

/// Comparison operator of a condition.
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
    /// `like`: true if the text of the column contains the value.
    Like,
}
