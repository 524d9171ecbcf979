//! Syntax errors of command lines: each error states its column and the expected input.
#![allow(clippy::needless_pass_by_value, reason = "quickcheck passes values")]

use thymeshift_query::parse;

struct Case {
    line: &'static str,
    column: usize,
    message: &'static str,
}

const CASES: [Case; 26] = [
    Case { line: "", column: 1, message: "found the end, expected a command" },
    Case { line: "shwo targets", column: 1, message: "a command (did you mean 'show'?)" },
    Case { line: "show", column: 5, message: "found the end, expected a table" },
    Case { line: "show target", column: 6, message: "a table (did you mean 'targets'?)" },
    Case { line: "show zzz", column: 6, message: "a table: process, configuration" },
    Case { line: "show targets lod", column: 14, message: "did you mean 'load'?" },
    Case { line: "show targets where", column: 19, message: "found the end, expected a column" },
    Case { line: "show targets where load", column: 24, message: "expected a comparison operator" },
    Case {
        line: "show targets where load ~ 2",
        column: 25,
        message: "a comparison operator: =, !=",
    },
    Case { line: "show targets where load >", column: 26, message: "expected a value" },
    Case { line: "show targets where (load > 2", column: 29, message: "expected ')'" },
    Case { line: "show targets where load > 2 and", column: 32, message: "expected a column" },
    Case { line: "show targets sort load", column: 19, message: "expected 'by'" },
    Case { line: "show targets limit many", column: 20, message: "a number of rows" },
    Case { line: "show targets limit 3 4", column: 22, message: "expected the end of the line" },
    Case { line: "show targets where target = 'x", column: 29, message: "a closing '" },
    Case { line: "explain GET tariffs", column: 13, message: "a path that starts with /" },
    Case { line: "drain", column: 6, message: "expected 'target' or 'hall'" },
    Case { line: "drain hal a", column: 7, message: "a subject (did you mean 'hall'?)" },
    Case { line: "drain hall", column: 11, message: "expected a data hall" },
    Case { line: "undrain hall A!", column: 14, message: "a data hall's name" },
    Case { line: "drain target calc", column: 14, message: "expected SERVICE/TARGET" },
    Case { line: "release request beef", column: 17, message: "expected a fingerprint" },
    Case { line: "refuse target calc/c1", column: 8, message: "'request'" },
    Case { line: "drain target calc/c1 for 3d", column: 26, message: "a time from 1s to 24h" },
    Case { line: "pause probing Calc!", column: 15, message: "a service's name" },
];

#[test]
fn each_syntax_error_is_reported_with_its_column() {
    for case in CASES {
        let error = parse(case.line).expect_err(case.line);
        assert_eq!(error.column, case.column, "{}: {error}", case.line);
        let text = error.to_string();
        assert!(text.contains(case.message), "{}: {text}", case.line);
    }
}

#[test]
fn deeply_nested_and_long_lines_are_rejected() {
    let deep = format!("show targets where {} load > 1", "not ".repeat(200));
    assert!(parse(&deep).expect_err("deep").to_string().contains("at most 32"));
    let long = format!("show targets where target = {}", "x".repeat(5_000));
    assert!(parse(&long).expect_err("long").to_string().contains("at most 4096 bytes"));
}

/// For any input the parser returns a command, or an error whose column lies within the line or one
/// past its end. A panic would end `thymeshiftctl` on a typing error.
#[test]
fn any_line_gives_a_command_or_an_error() {
    fn parse_reports_valid_column(line: String) -> bool {
        match parse(&line) {
            Ok(_) => true,
            Err(error) => error.column <= line.chars().count() + 1,
        }
    }
    quickcheck::QuickCheck::new()
        .tests(2_000)
        .rng(quickcheck::Gen::from_size_and_seed(60, 7))
        .quickcheck(parse_reports_valid_column as fn(String) -> bool);
}
