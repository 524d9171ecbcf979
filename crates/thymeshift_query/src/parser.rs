//! From words to a command.

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

/// First words of commands.
const VERBS: [&str; 9] =
    ["show", "explain", "drain", "undrain", "pause", "resume", "refuse", "release", "tables"];
/// What may be drained.
const DRAIN_SUBJECTS: [&str; 2] = ["target", "hall"];
/// Words that may follow the columns of a query.
const CLAUSES: [&str; 3] = ["where", "sort", "limit"];
/// Relations between a column and a value.
const COMPARISON_OPERATORS: [&str; 7] = ["=", "!=", "<", "<=", ">", ">=", "like"];
/// How long an order holds if it does not say.
const EXPIRY: Duration = Duration::from_mins(30);
/// Deepest nesting of a condition.
const DEPTH_MAX: usize = 32;

type Parsed<T> = Result<T, ParseError>;

/// Reads a line.
pub fn parse(line: &str) -> Parsed<Command> {
    let words = tokenize(line)?;
    let end = line.chars().count() + 1;
    let mut parser = Parser { words, at: 0, end, depth: 0 };
    let command = parser.command()?;
    parser.finish()?;
    Ok(command)
}

struct Parser {
    words: Vec<Token>,
    at: usize,
    /// Column behind the line.
    end: usize,
    depth: usize,
}

impl Parser {
    fn command(&mut self) -> Parsed<Command> {
        let verb = self.word("a command")?;
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
            text => Err(ParseError::unknown(verb.column, text, "a command", &VERBS)),
        }
    }

    fn show(&mut self) -> Parsed<Command> {
        let table = self.table()?;
        let mut query =
            Query { table, columns: Vec::new(), condition: None, sort: None, limit: None };
        while let Some(word) = self.peek()
            && !CLAUSES.contains(&word)
        {
            query.columns.push(self.column(table)?);
            self.take_if(",");
        }
        if self.take_if("where") {
            query.condition = Some(self.any_of(table)?);
        }
        if self.take_if("sort") {
            self.keyword("by")?;
            let column = self.column(table)?;
            let direction =
                if self.take_if("desc") { Direction::Descending } else { Direction::Ascending };
            query.sort = Some(Sort { column, direction });
        }
        if self.take_if("limit") {
            let word = self.word("a number of rows")?;
            let limit = word.text.parse();
            let mistake = |_| ParseError::new(word.column, &word.text, "a number of rows");
            query.limit = Some(limit.map_err(mistake)?);
        }
        Ok(Command::Show(query))
    }

    fn table(&mut self) -> Parsed<TableName> {
        let word = self.word("a table")?;
        let found = TableName::ALL.into_iter().find(|table| table.to_string() == word.text);
        found.ok_or_else(|| {
            let names: Vec<String> = TableName::ALL.iter().map(ToString::to_string).collect();
            let names: Vec<&str> = names.iter().map(String::as_str).collect();
            ParseError::unknown(word.column, &word.text, "a table", &names)
        })
    }

    fn column(&mut self, table: TableName) -> Parsed<&'static str> {
        let word = self.word("a column")?;
        let unknown = || {
            let what = format!("a column of {table}");
            ParseError::unknown(word.column, &word.text, &what, table.columns())
        };
        table.find_column(&word.text).ok_or_else(unknown)
    }

    fn any_of(&mut self, table: TableName) -> Parsed<Condition> {
        let mut left = self.all_of(table)?;
        while self.take_if("or") {
            let right = self.all_of(table)?;
            left = Condition::Or(Box::new(left), Box::new(right));
        }
        Ok(left)
    }

    fn all_of(&mut self, table: TableName) -> Parsed<Condition> {
        let mut left = self.single(table)?;
        while self.take_if("and") {
            let right = self.single(table)?;
            left = Condition::And(Box::new(left), Box::new(right));
        }
        Ok(left)
    }

    fn single(&mut self, table: TableName) -> Parsed<Condition> {
        self.depth += 1;
        if self.depth > DEPTH_MAX {
            let found = self.peek().unwrap_or_default().to_owned();
            let expected = format!("at most {DEPTH_MAX} conditions within each other");
            return Err(ParseError::new(self.column_here(), &found, expected));
        }
        let condition = if self.take_if("not") {
            Condition::Not(Box::new(self.single(table)?))
        } else if self.take_if("(") {
            let inner = self.any_of(table)?;
            self.keyword(")")?;
            inner
        } else {
            Condition::Compare(self.comparison(table)?)
        };
        self.depth -= 1;
        Ok(condition)
    }

    fn comparison(&mut self, table: TableName) -> Parsed<Comparison> {
        let column = self.column(table)?;
        let word = self.word("a relation")?;
        let operator = match word.text.as_str() {
            "=" => ComparisonOperator::Equal,
            "!=" => ComparisonOperator::Unequal,
            "<" => ComparisonOperator::Less,
            "<=" => ComparisonOperator::LessOrEqual,
            ">" => ComparisonOperator::Greater,
            ">=" => ComparisonOperator::GreaterOrEqual,
            "like" => ComparisonOperator::Like,
            text => {
                return Err(ParseError::unknown(
                    word.column,
                    text,
                    "a relation",
                    &COMPARISON_OPERATORS,
                ));
            }
        };
        let value = value(self.word("a value")?);
        Ok(Comparison { column, operator, value })
    }

    fn explain(&mut self) -> Parsed<Command> {
        let method = self.word("a method such as GET")?;
        let path = self.word("a path such as /tariffs")?;
        if !path.text.starts_with('/') {
            return Err(ParseError::new(path.column, &path.text, "a path that starts with /"));
        }
        let mut request =
            ExplainRequest { method: method.text, path: path.text, host: None, header: None };
        if self.take_if("host") {
            request.host = Some(self.word("a host")?.text.to_ascii_lowercase());
        }
        if self.take_if("header") {
            let name = self.word("a header's name")?.text;
            self.keyword("=")?;
            let value = self.word("a header's value")?.text;
            request.header = Some(ExplainHeader { name, value });
        }
        Ok(Command::Explain(request))
    }

    fn drain_order(&mut self, change: OrderChange) -> Parsed<Command> {
        if self.take_if("hall") {
            return self.hall_order(change);
        }
        if self.take_if("target") {
            return self.target_order(change);
        }
        let word = self.word("'target' or 'hall'")?;
        Err(ParseError::unknown(word.column, &word.text, "a subject", &DRAIN_SUBJECTS))
    }

    fn hall_order(&mut self, change: OrderChange) -> Parsed<Command> {
        let word = self.word("a data hall")?;
        let mistake = |_| ParseError::new(word.column, &word.text, "a data hall's name");
        let hall = DataHallName::new(&word.text).map_err(mistake)?;
        self.order(OrderSubject::DataHall(hall), change)
    }

    fn target_order(&mut self, change: OrderChange) -> Parsed<Command> {
        let word = self.word("SERVICE/TARGET")?;
        let subject = || {
            let (service, target) = word.text.split_once('/')?;
            let service = ServiceName::new(service).ok()?;
            Some(OrderSubject::Target(service, TargetName::new(target).ok()?))
        };
        let mistake = || ParseError::new(word.column, &word.text, "SERVICE/TARGET");
        self.order(subject().ok_or_else(mistake)?, change)
    }

    fn probing_order(&mut self, change: OrderChange) -> Parsed<Command> {
        self.keyword("probing")?;
        let word = self.word("a service")?;
        let mistake = |_| ParseError::new(word.column, &word.text, "a service's name");
        let service = ServiceName::new(&word.text).map_err(mistake)?;
        self.order(OrderSubject::Probing(service), change)
    }

    fn request_order(&mut self, change: OrderChange) -> Parsed<Command> {
        self.keyword("request")?;
        let word = self.word("a fingerprint")?;
        let mistake = |_| ParseError::new(word.column, &word.text, "a fingerprint");
        let fingerprint: Fingerprint = word.text.parse().map_err(mistake)?;
        self.order(OrderSubject::Request(fingerprint), change)
    }

    fn order(&mut self, subject: OrderSubject, change: OrderChange) -> Parsed<Command> {
        let expires_in = if self.take_if("for") { self.duration()? } else { EXPIRY };
        Ok(Command::Order { subject, change, expires_in })
    }

    fn duration(&mut self) -> Parsed<Duration> {
        let word = self.word("a time such as 10m")?;
        let digits = word.text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
        let unit = match &word.text[digits.len()..] {
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
        Err(ParseError::new(word.column, &word.text, expected))
    }

    fn word(&mut self, expected: &str) -> Parsed<Token> {
        let Some(word) = self.words.get(self.at) else {
            return Err(ParseError::new(self.end, "", expected));
        };
        self.at += 1;
        Ok(word.clone())
    }

    fn peek(&self) -> Option<&str> {
        let word = self.words.get(self.at)?;
        if word.is_quoted { Some("") } else { Some(&word.text) }
    }

    fn column_here(&self) -> usize {
        self.words.get(self.at).map_or(self.end, |word| word.column)
    }

    fn take_if(&mut self, keyword: &str) -> bool {
        let is_next = self.peek() == Some(keyword);
        self.at += usize::from(is_next);
        is_next
    }

    fn keyword(&mut self, keyword: &str) -> Parsed<()> {
        let column = self.column_here();
        if self.take_if(keyword) {
            return Ok(());
        }
        let found = self.words.get(self.at).map_or("", |word| &word.text);
        Err(ParseError::new(column, found, format!("'{keyword}'")))
    }

    fn finish(&self) -> Parsed<()> {
        match self.words.get(self.at) {
            None => Ok(()),
            Some(word) => Err(ParseError::new(word.column, &word.text, "the end of the line")),
        }
    }
}

fn value(word: Token) -> Cell {
    if word.is_quoted {
        return Cell::Text(word.text);
    }
    match word.text.as_str() {
        "yes" | "true" => Cell::Bool(true),
        "no" | "false" => Cell::Bool(false),
        text => match text.parse::<f64>() {
            Ok(number) if number.is_finite() => Cell::Number(number),
            _ => Cell::Text(word.text),
        },
    }
}
