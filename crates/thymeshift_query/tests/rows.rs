//! Queries on a small table return the selected rows and columns in the requested order.

use thymeshift_query::Cell;
use thymeshift_query::Command;
use thymeshift_query::Table;
use thymeshift_query::TableName;
use thymeshift_query::parse;
use thymeshift_query::to_json;
use thymeshift_query::to_text;

/// Rows of the test table: kind, priority, accepted requests, retries.
///
/// A priority of `None` becomes a missing cell.
const ROWS: [(&str, Option<f64>, f64, f64); 4] = [
    ("lookup", Some(1.0), 100.0, 3.0),
    ("switch", Some(2.0), 10.0, 0.0),
    ("archive", Some(3.0), 50.0, 9.0),
    ("odd", None, 10.0, 1.0),
];

fn table() -> Table {
    let columns = vec!["kind", "priority", "accepted", "retries"];
    let row = |(kind, priority, accepted, retries): &(&str, Option<f64>, f64, f64)| {
        vec![
            Cell::Text((*kind).to_owned()),
            priority.map_or(Cell::Missing, Cell::Number),
            Cell::Number(*accepted),
            Cell::Number(*retries),
        ]
    };
    Table { columns, rows: ROWS.iter().map(row).collect() }
}

fn run(line: &str) -> Table {
    match parse(line) {
        Ok(Command::Show(query)) => query.run(&table()),
        other => panic!("{line}: {other:?}"),
    }
}

fn kinds(table: &Table) -> Vec<String> {
    table.rows.iter().map(|row| row[0].to_string()).collect()
}

struct Case {
    line: &'static str,
    kinds: &'static [&'static str],
}

#[test]
fn conditions_sorting_and_limits() {
    let cases = [
        Case { line: "show kinds", kinds: &["lookup", "switch", "archive", "odd"] },
        Case { line: "show kinds where kind = lookup", kinds: &["lookup"] },
        Case { line: "show kinds where kind != lookup and accepted > 10", kinds: &["archive"] },
        Case { line: "show kinds where accepted <= 10", kinds: &["switch", "odd"] },
        Case {
            line: "show kinds where priority < 2 or retries >= 9",
            kinds: &["lookup", "archive"],
        },
        Case { line: "show kinds where not (priority < 3)", kinds: &["archive", "odd"] },
        Case { line: "show kinds where kind like ch", kinds: &["switch", "archive"] },
        Case { line: "show kinds where kind = 'lookup'", kinds: &["lookup"] },
        Case { line: "show kinds where priority != 1", kinds: &["switch", "archive", "odd"] },
        Case { line: "show kinds sort by accepted desc limit 2", kinds: &["lookup", "archive"] },
        Case {
            line: "show kinds sort by priority",
            kinds: &["lookup", "switch", "archive", "odd"],
        },
        Case { line: "show kinds where kind = nobody", kinds: &[] },
    ];
    for case in cases {
        assert_eq!(kinds(&run(case.line)), case.kinds, "{}", case.line);
    }
}

#[test]
fn columns_are_picked_and_rendered() {
    let picked = run("show kinds kind, retries where priority = 3");
    assert_eq!(to_text(&picked), "kind     retries\narchive        9\n");
    assert_eq!(to_json(&picked).to_string(), r#"[{"kind":"archive","retries":9}]"#);
    let missing = run("show kinds priority where kind = odd");
    assert_eq!(to_json(&missing).to_string(), r#"[{"priority":null}]"#);
}

#[test]
fn every_table_has_the_vm_first_and_no_column_twice() {
    for table in TableName::ALL {
        let columns = table.columns();
        assert_eq!(columns[0], "vm", "{table}");
        let unique: std::collections::BTreeSet<_> = columns.iter().collect();
        assert_eq!(unique.len(), columns.len(), "{table}");
    }
}
