//! Recursive-descent parser of command lines.

use std::time::Duration;

use thymeshift_fleet::OrderChange;
use thymeshift_fleet::OrderSubject;
use thymeshift_types::DataHallName;
use thymeshift_types::Fingerprint;
use thymeshift_types::ServiceName;
use thymeshift_types::TargetName;
use thymeshift_wire::ExplainHeader;
use thymeshift_wire::ExplainRequest;

use crate::Cell;
use crate::Command;
use crate::Comparison;
use crate::ComparisonOperator;
use crate::Condition;
use crate::Direction;
use crate::ParseError;
use crate::Query;
use crate::Sort;
use crate::TableName;
use crate::lexer::Token;
use crate::lexer::tokenize;

/// Keywords that start a command.
const COMMAND_NAMES: [&str; 9] =
    ["show", "explain", "drain", "undrain", "pause", "resume", "refuse", "release", "tables"];
/// Keywords that may follow `drain` and `undrain`.
const DRAIN_SUBJECTS: [&str; 2] = ["target", "hall"];
/// Keywords that end the column list of `show` and start a clause.
const CLAUSE_KEYWORDS: [&str; 3] = ["where", "sort", "limit"];
/// Comparison operators, listed in the error message for an unknown operator.
const COMPARISON_OPERATORS: [&str; 7] = ["=", "!=", "<", "<=", ">", ">=", "like"];
/// Expiry of an order that is given without a `for` clause.
const DEFAULT_ORDER_EXPIRY: Duration = Duration::from_mins(30);
/// Maximum nesting depth of a condition, which bounds the recursion of the parser.
const CONDITION_DEPTH_MAX: usize = 32;

type ParseResult<T> = Result<T, ParseError>;

/// Parses one command line.
///
/// # Errors
///
/// Returns the first syntax error. Its column lies within the line or one past its end.
pub fn parse(line: &str) -> ParseResult<Command> {
    let tokens = tokenize(line)?;
    let end_column = line.chars().count() + 1;
    let mut parser = Parser { tokens, position: 0, end_column, depth: 0 };
    let command = parser.command()?;
    parser.expect_end()?;
    Ok(command)
}

struct Parser {
    tokens: Vec<Token>,
    /// Index of the next token to consume.
    position: usize,
    /// Column reported for errors at the end of the line: one past the last character.
    end_column: usize,
    /// Nesting depth of the condition that is being parsed.
    depth: usize,
}

impl Parser {
    fn command(&mut self) -> ParseResult<Command> {
        let verb = self.next_token("a command")?;
        match verb.text.as_str() {
            "show" => self.show(),
            "explain" => self.explain(),
            "drain" => self.drain_order(OrderChange::Stop),
            "undrain" => self.drain_order(OrderChange::Resume),
            "pause" => self.probing_order(OrderChange::Stop),
            "resume" => self.probing_order(OrderChange::Resume),
            "refuse" => self.request_order(OrderChange::Stop),
            "release" => self.request_order(OrderChange::Resume),
            "tables" => Ok(Command::Tables),
            text => Err(ParseError::unknown_word(verb.column, text, "a command", &COMMAND_NAMES)),
        }
    }

    fn show(&mut self) -> ParseResult<Command> {
        let table = self.table()?;
        let mut query =
            Query { table, columns: Vec::new(), condition: None, sort: None, limit: None };
        while let Some(token) = self.peek()
            && !CLAUSE_KEYWORDS.contains(&token)
        {
            query.columns.push(self.column(table)?);
            self.consume_if(",");
        }
        if self.consume_if("where") {
            query.condition = Some(self.or_condition(table)?);
        }
        if self.consume_if("sort") {
            self.expect_keyword("by")?;
            let column = self.column(table)?;
            let direction =
                if self.consume_if("desc") { Direction::Descending } else { Direction::Ascending };
            query.sort = Some(Sort { column, direction });
        }
        if self.consume_if("limit") {
            let token = self.next_token("a number of rows")?;
            let limit = token.text.parse();
            let error = |_| ParseError::new(token.column, &token.text, "a number of rows");
            query.limit = Some(limit.map_err(error)?);
        }
        Ok(Command::Show(query))
    }

    fn table(&mut self) -> ParseResult<TableName> {
        let token = self.next_token("a table")?;
        let found = TableName::ALL.into_iter().find(|table| table.to_string() == token.text);
        found.ok_or_else(|| {
            let names: Vec<String> = TableName::ALL.iter().map(ToString::to_string).collect();
            let names: Vec<&str> = names.iter().map(String::as_str).collect();
            ParseError::unknown_word(token.column, &token.text, "a table", &names)
        })
    }

    fn column(&mut self, table: TableName) -> ParseResult<&'static str> {
        let token = self.next_token("a column")?;
        let unknown_column = || {
            let expected = format!("a column of {table}");
            ParseError::unknown_word(token.column, &token.text, &expected, table.columns())
        };
        table.find_column(&token.text).ok_or_else(unknown_column)
    }

    /// Parses conditions joined with `or`, which binds weaker than `and`.
    fn or_condition(&mut self, table: TableName) -> ParseResult<Condition> {
        let mut left = self.and_condition(table)?;
        while self.consume_if("or") {
            let right = self.and_condition(table)?;
            left = Condition::Or(Box::new(left), Box::new(right));
        }
        Ok(left)
    }

    /// Parses conditions joined with `and`.
    fn and_condition(&mut self, table: TableName) -> ParseResult<Condition> {
        let mut left = self.unary_condition(table)?;
        while self.consume_if("and") {
            let right = self.unary_condition(table)?;
            left = Condition::And(Box::new(left), Box::new(right));
        }
        Ok(left)
    }

    /// Parses a negated condition, a condition in parentheses, or a comparison.
    fn unary_condition(&mut self, table: TableName) -> ParseResult<Condition> {
        self.depth += 1;
        if self.depth > CONDITION_DEPTH_MAX {
            let found = self.peek().unwrap_or_default().to_owned();
            let expected = format!("at most {CONDITION_DEPTH_MAX} nested conditions");
            return Err(ParseError::new(self.current_column(), &found, expected));
        }
        let condition = if self.consume_if("not") {
            Condition::Not(Box::new(self.unary_condition(table)?))
        } else if self.consume_if("(") {
            let inner = self.or_condition(table)?;
            self.expect_keyword(")")?;
            inner
        } else {
            Condition::Compare(self.comparison(table)?)
        };
        self.depth -= 1;
        Ok(condition)
    }

    fn comparison(&mut self, table: TableName) -> ParseResult<Comparison> {
        let column = self.column(table)?;
        let token = self.next_token("a comparison operator")?;
        let operator = match token.text.as_str() {
            "=" => ComparisonOperator::Equal,
            "!=" => ComparisonOperator::Unequal,
            "<" => ComparisonOperator::Less,
            "<=" => ComparisonOperator::LessOrEqual,
            ">" => ComparisonOperator::Greater,
            ">=" => ComparisonOperator::GreaterOrEqual,
            "like" => ComparisonOperator::Like,
            text => {
                return Err(ParseError::unknown_word(
                    token.column,
                    text,
                    "a comparison operator",
                    &COMPARISON_OPERATORS,
                ));
            }
        };
        let value = literal(self.next_token("a value")?);
        Ok(Comparison { column, operator, value })
    }

    fn explain(&mut self) -> ParseResult<Command> {
        let method = self.next_token("a method such as GET")?;
        let path = self.next_token("a path such as /tariffs")?;
        if !path.text.starts_with('/') {
            return Err(ParseError::new(path.column, &path.text, "a path that starts with /"));
        }
        let mut request =
            ExplainRequest { method: method.text, path: path.text, host: None, header: None };
        if self.consume_if("host") {
            request.host = Some(self.next_token("a host")?.text.to_ascii_lowercase());
        }
        if self.consume_if("header") {
            let name = self.next_token("a header's name")?.text;
            self.expect_keyword("=")?;
            let value = self.next_token("a header's value")?.text;
            request.header = Some(ExplainHeader { name, value });
        }
        Ok(Command::Explain(request))
    }

    fn drain_order(&mut self, change: OrderChange) -> ParseResult<Command> {
        if self.consume_if("hall") {
            return self.hall_order(change);
        }
        if self.consume_if("target") {
            return self.target_order(change);
        }
        let token = self.next_token("'target' or 'hall'")?;
        Err(ParseError::unknown_word(token.column, &token.text, "a subject", &DRAIN_SUBJECTS))
    }

    fn hall_order(&mut self, change: OrderChange) -> ParseResult<Command> {
        let token = self.next_token("a data hall")?;
        let error = |_| ParseError::new(token.column, &token.text, "a data hall's name");
        let hall = DataHallName::new(&token.text).map_err(error)?;
        self.order(OrderSubject::DataHall(hall), change)
    }

    fn target_order(&mut self, change: OrderChange) -> ParseResult<Command> {
        let token = self.next_token("SERVICE/TARGET")?;
        let subject = || {
            let (service, target) = token.text.split_once('/')?;
            let service = ServiceName::new(service).ok()?;
            Some(OrderSubject::Target(service, TargetName::new(target).ok()?))
        };
        let error = || ParseError::new(token.column, &token.text, "SERVICE/TARGET");
        self.order(subject().ok_or_else(error)?, change)
    }

    fn probing_order(&mut self, change: OrderChange) -> ParseResult<Command> {
        self.expect_keyword("probing")?;
        let token = self.next_token("a service")?;
        let error = |_| ParseError::new(token.column, &token.text, "a service's name");
        let service = ServiceName::new(&token.text).map_err(error)?;
        self.order(OrderSubject::Probing(service), change)
    }

    fn request_order(&mut self, change: OrderChange) -> ParseResult<Command> {
        self.expect_keyword("request")?;
        let token = self.next_token("a fingerprint")?;
        let error = |_| ParseError::new(token.column, &token.text, "a fingerprint");
        let fingerprint: Fingerprint = token.text.parse().map_err(error)?;
        self.order(OrderSubject::Request(fingerprint), change)
    }

    /// Parses the optional `for` clause that ends an order.
    fn order(&mut self, subject: OrderSubject, change: OrderChange) -> ParseResult<Command> {
        let expires_in =
            if self.consume_if("for") { self.duration()? } else { DEFAULT_ORDER_EXPIRY };
        Ok(Command::Order { subject, change, expires_in })
    }

    /// Parses a duration of 1 second to 24 hours, such as `90s`, `10m` or `2h`.
    fn duration(&mut self) -> ParseResult<Duration> {
        let token = self.next_token("a time such as 10m")?;
        let digits = token.text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
        let unit = match &token.text[digits.len()..] {
            "s" => Some(1),
            "m" => Some(60),
            "h" => Some(3_600),
            _ => None,
        };
        let seconds = digits.parse::<u64>().ok().zip(unit);
        let seconds = seconds.and_then(|(count, unit)| count.checked_mul(unit));
        if let Some(seconds @ 1..=86_400) = seconds {
            return Ok(Duration::from_secs(seconds));
        }
        let expected = "a time from 1s to 24h, such as 90s, 10m or 2h";
        Err(ParseError::new(token.column, &token.text, expected))
    }

    /// Consumes the next token. At the end of the line, returns an error that names `expected`.
    fn next_token(&mut self, expected: &str) -> ParseResult<Token> {
        let Some(token) = self.tokens.get(self.position) else {
            return Err(ParseError::new(self.end_column, "", expected));
        };
        self.position += 1;
        Ok(token.clone())
    }

    /// Returns the text of the next token without consuming the token, and an empty text for a
    /// quoted token, so that a quoted token matches no keyword.
    fn peek(&self) -> Option<&str> {
        let token = self.tokens.get(self.position)?;
        if token.is_quoted { Some("") } else { Some(&token.text) }
    }

    /// Returns the column of the next token.
    fn current_column(&self) -> usize {
        self.tokens.get(self.position).map_or(self.end_column, |token| token.column)
    }

    /// Consumes the next token if it is the unquoted `keyword`, and returns whether it was.
    fn consume_if(&mut self, keyword: &str) -> bool {
        let is_next = self.peek() == Some(keyword);
        self.position += usize::from(is_next);
        is_next
    }

    /// Consumes the next token, which must be `keyword`.
    fn expect_keyword(&mut self, keyword: &str) -> ParseResult<()> {
        let column = self.current_column();
        if self.consume_if(keyword) {
            return Ok(());
        }
        let found = self.tokens.get(self.position).map_or("", |token| &token.text);
        Err(ParseError::new(column, found, format!("'{keyword}'")))
    }

    /// Returns an error if a token follows the end of the command.
    fn expect_end(&self) -> ParseResult<()> {
        match self.tokens.get(self.position) {
            None => Ok(()),
            Some(token) => Err(ParseError::new(token.column, &token.text, "the end of the line")),
        }
    }
}

/// Converts a token to the constant of a comparison.
///
/// A quoted token is always text; an unquoted token may be a boolean or a finite number.
fn literal(token: Token) -> Cell {
    if token.is_quoted {
        return Cell::Text(token.text);
    }
    match token.text.as_str() {
        "yes" | "true" => Cell::Bool(true),
        "no" | "false" => Cell::Bool(false),
        text => match text.parse::<f64>() {
            Ok(number) if number.is_finite() => Cell::Number(number),
            _ => Cell::Text(token.text),
        },
    }
}
