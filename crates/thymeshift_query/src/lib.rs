//! Query language that operators use on the state dumps of entry processes.
//!
//! ```text
//! show TABLE [COLUMN, …] [where CONDITION] [sort by COLUMN [desc]] [limit N]
//! explain METHOD PATH [host HOST] [header NAME = VALUE]
//! drain target SERVICE/TARGET [for DURATION]      undrain target SERVICE/TARGET
//! pause probing SERVICE [for DURATION]            resume probing SERVICE
//! tables
//! ```
//!
//! A condition compares a column with a value (`=`, `!=`, `<`, `<=`, `>`, `>=`, `like`).
//! Comparisons are combined with `and`, `or`, `not` and parentheses.
//!
//! [`parse`] parses a command line, [`build_table`] converts state dumps to a table, and
//! [`Query::run`] evaluates a query on a table.

mod ast;
mod dump_tables;
mod error;
mod evaluate;
mod lexer;
mod parser;
mod render;
mod table;

pub use ast::Command;
pub use ast::Comparison;
pub use ast::ComparisonOperator;
pub use ast::Condition;
pub use ast::Direction;
pub use ast::Query;
pub use ast::Sort;
pub use dump_tables::build_table;
pub use error::ParseError;
pub use parser::parse;
pub use render::to_json;
pub use render::to_text;
pub use table::Cell;
pub use table::Table;
pub use table::TableName;
