//! Command lines of the shipped programs: exit codes and printed messages.

use std::process::Command;
use std::process::Output;

use thymeshift_lab::experiment::TempFolder;
use thymeshift_lab::experiment::sibling_program;

struct Case {
    program: &'static str,
    arguments: &'static [&'static str],
    code: i32,
    expected_text: &'static str,
}

const CASES: [Case; 16] = [
    Case { program: "thymeshiftd", arguments: &["--help"], code: 0, expected_text: "Usage:" },
    Case {
        program: "thymeshiftd",
        arguments: &["-V"],
        code: 0,
        expected_text: "thymeshiftd 0.1.0",
    },
    Case { program: "thymeshiftd", arguments: &[], code: 2, expected_text: "a command is missing" },
    Case {
        program: "thymeshiftd",
        arguments: &["rum"],
        code: 2,
        expected_text: "unknown command 'rum'",
    },
    Case {
        program: "thymeshiftd",
        arguments: &["run"],
        code: 2,
        expected_text: "needs --settings FILE",
    },
    Case { program: "thymeshiftd", arguments: &["check"], code: 2, expected_text: "'check' needs" },
    Case {
        program: "thymeshiftd",
        arguments: &["run", "--settings", "no-such-file"],
        code: 2,
        expected_text: "no-such-file: No such file",
    },
    Case {
        program: "thymeshiftd",
        arguments: &["run", "--settings", "x", "--configuration", "y"],
        code: 2,
        expected_text: "the platform publishes it",
    },
    Case {
        program: "thymeshiftd",
        arguments: &["run", "--speed"],
        code: 2,
        expected_text: "invalid option '--speed'",
    },
    Case { program: "thymeshiftctl", arguments: &["--help"], code: 0, expected_text: "Exit codes" },
    Case {
        program: "thymeshiftctl",
        arguments: &["show"],
        code: 2,
        expected_text: "--at IP:PORT is missing",
    },
    Case {
        program: "thymeshiftctl",
        arguments: &["--at", "localhost", "show"],
        code: 2,
        expected_text: "cannot parse argument \"localhost\"",
    },
    Case {
        program: "thymeshiftctl",
        arguments: &["--at", "127.0.0.1:1", "show", "target"],
        code: 2,
        expected_text: "did you mean 'targets'?",
    },
    Case {
        program: "thymeshiftctl",
        arguments: &["--at", "127.0.0.1:1", "show", "targets"],
        code: 3,
        expected_text: "no answer: 127.0.0.1:1: Connection refused",
    },
    Case {
        program: "thymeshiftctl",
        arguments: &["--at", "127.0.0.1:1", "drain", "target", "a/b"],
        code: 3,
        expected_text: "no answer",
    },
    Case {
        program: "thymeshiftctl",
        arguments: &["--at", "127.0.0.1:1", "tables"],
        code: 0,
        expected_text: "watchers",
    },
];

fn run(program: &str, arguments: &[&str]) -> Output {
    let program = sibling_program(program).expect("a folder");
    Command::new(program).args(arguments).output().expect("a program")
}

fn printed_text(output: &Output) -> String {
    let (out, err) = (&output.stdout, &output.stderr);
    format!("{}{}", String::from_utf8_lossy(out), String::from_utf8_lossy(err))
}

#[test]
fn exit_codes_and_messages() {
    for case in CASES {
        let output = run(case.program, case.arguments);
        let printed = printed_text(&output);
        assert_eq!(output.status.code(), Some(case.code), "{:?}: {printed}", case.arguments);
        assert!(printed.contains(case.expected_text), "{:?}: {printed}", case.arguments);
    }
}

#[test]
fn check_reports_the_mistakes_of_both_files() {
    let folder = TempFolder::new().expect("a folder");
    let settings = folder.path().join("settings.yaml");
    let configuration = folder.path().join("configuration.yaml");
    std::fs::write(&settings, "vm: X\n").expect("a file");
    std::fs::write(&configuration, "kinds: 3\n").expect("a file");
    let (settings, configuration) = (settings.display(), configuration.display());
    let arguments = [
        "check",
        "--settings",
        &settings.to_string(),
        "--configuration",
        &configuration.to_string(),
    ];
    let output = run("thymeshiftd", &arguments);
    let printed = printed_text(&output);
    assert_eq!(output.status.code(), Some(2), "{printed}");
    for part in
        ["settings.yaml: line 1, column 5: vm", "configuration.yaml: line 1, column 8: kinds"]
    {
        assert!(printed.contains(part), "no {part} in: {printed}");
    }
}
