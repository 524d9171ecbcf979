//! Command lines of the shipped programs: exit codes and what they say.

use std::process::Command;
use std::process::Output;

use thymeshift_lab::experiment::TempFolder;
use thymeshift_lab::experiment::sibling_program;

struct Case {
    program: &'static str,
    arguments: &'static [&'static str],
    code: i32,
    says: &'static str,
}

const CASES: [Case; 16] = [
    Case { program: "thymeshiftd", arguments: &["--help"], code: 0, says: "Usage:" },
    Case { program: "thymeshiftd", arguments: &["-V"], code: 0, says: "thymeshiftd 0.1.0" },
    Case { program: "thymeshiftd", arguments: &[], code: 2, says: "a command is missing" },
    Case { program: "thymeshiftd", arguments: &["rum"], code: 2, says: "unknown command 'rum'" },
    Case { program: "thymeshiftd", arguments: &["run"], code: 2, says: "needs --settings FILE" },
    Case { program: "thymeshiftd", arguments: &["check"], code: 2, says: "'check' needs" },
    Case {
        program: "thymeshiftd",
        arguments: &["run", "--settings", "no-such-file"],
        code: 2,
        says: "no-such-file: No such file",
    },
    Case {
        program: "thymeshiftd",
        arguments: &["run", "--settings", "x", "--configuration", "y"],
        code: 2,
        says: "the platform publishes it",
    },
    Case {
        program: "thymeshiftd",
        arguments: &["run", "--speed"],
        code: 2,
        says: "invalid option '--speed'",
    },
    Case { program: "thymeshiftctl", arguments: &["--help"], code: 0, says: "Exit codes" },
    Case {
        program: "thymeshiftctl",
        arguments: &["show"],
        code: 2,
        says: "--at IP:PORT is missing",
    },
    Case {
        program: "thymeshiftctl",
        arguments: &["--at", "localhost", "show"],
        code: 2,
        says: "cannot parse argument \"localhost\"",
    },
    Case {
        program: "thymeshiftctl",
        arguments: &["--at", "127.0.0.1:1", "show", "target"],
        code: 2,
        says: "did you mean 'targets'?",
    },
    Case {
        program: "thymeshiftctl",
        arguments: &["--at", "127.0.0.1:1", "show", "targets"],
        code: 3,
        says: "no answer: 127.0.0.1:1: Connection refused",
    },
    Case {
        program: "thymeshiftctl",
        arguments: &["--at", "127.0.0.1:1", "drain", "target", "a/b"],
        code: 3,
        says: "no answer",
    },
    Case {
        program: "thymeshiftctl",
        arguments: &["--at", "127.0.0.1:1", "tables"],
        code: 0,
        says: "watchers",
    },
];

fn run(program: &str, arguments: &[&str]) -> Output {
    let program = sibling_program(program).expect("a folder");
    Command::new(program).args(arguments).output().expect("a program")
}

fn says(output: &Output) -> String {
    let (out, err) = (&output.stdout, &output.stderr);
    format!("{}{}", String::from_utf8_lossy(out), String::from_utf8_lossy(err))
}

#[test]
fn exit_codes_and_messages() {
    for case in CASES {
        let output = run(case.program, case.arguments);
        let said = says(&output);
        assert_eq!(output.status.code(), Some(case.code), "{:?}: {said}", case.arguments);
        assert!(said.contains(case.says), "{:?}: {said}", case.arguments);
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
    let said = says(&output);
    assert_eq!(output.status.code(), Some(2), "{said}");
    for part in
        ["settings.yaml: line 1, column 5: vm", "configuration.yaml: line 1, column 8: kinds"]
    {
        assert!(said.contains(part), "no {part} in: {said}");
    }
}
