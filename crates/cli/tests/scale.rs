//! `troutknot scale`: invalid input, tables from stored rows, exit statuses, and the small run with real nodes.
#![allow(clippy::unwrap_used)]
#[path = "../../scale/tests/common/mod.rs"]
mod common;

use common::{figure, rows_within_bounds};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use troutknot_scale::row::{Measurement, NodeKind, Phase, Row, figures, read_rows, start_of};
use troutknot_scale::table::{Style, render_table};

const SMALL: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios/scale/small.toml");
const FULL: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios/scale/full.toml");

fn scale(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_troutknot")).arg("scale").args(args).output().unwrap()
}

fn temp_path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("scale-{}-{name}", std::process::id()))
}

fn write_file(name: &str, text: &str) -> String {
    let path = temp_path(name);
    std::fs::write(&path, text).unwrap();
    path.display().to_string()
}

fn write_rows(name: &str, rows: &[Row]) -> String {
    write_file(name, &rows.iter().map(|row| format!("{row}\n")).collect::<String>())
}

fn stderr(out: &Output) -> String {
    String::from_utf8_lossy(&out.stderr).to_string()
}

fn stdout(out: &Output) -> String {
    String::from_utf8_lossy(&out.stdout).to_string()
}

/// Guards against invalid input that starts a run or prints a table, and against errors that do not state the fault.
#[test]
fn invalid_input_is_reported_before_anything_starts() {
    let invalid = write_file("invalid.toml", "seed = 1\ncolour = 2\n[fleet]\nsizes = [0]\n");
    let broken = write_file("broken.toml", "seed = = 2\n");
    let garbage = write_file("garbage.jsonl", "{\"row\":\"figure\"}\n");
    let empty = write_file("empty.jsonl", "");
    let cases: &[(&[&str], &[&str])] = &[
        (&["nowhere.toml"], &["cannot read `nowhere.toml`"]),
        (
            &[&invalid],
            &[
                "invalid.toml:2: unknown field `colour`",
                "invalid.toml:4: `sizes` is 0; 1 to 50000 is allowed",
            ],
        ),
        (&[&broken], &["broken.toml:1: extra `=`"]),
        (&[], &["required arguments were not provided"]),
        (&[SMALL, "--fit", &garbage], &["cannot be used with"]),
        (&["--fit", &garbage, "--seed", "3"], &["cannot be used with"]),
        (&["--fit", &garbage, "--json", "-"], &["cannot be used with"]),
        (&[SMALL, "--seed", "many"], &["invalid value 'many'"]),
        (&[SMALL, "--json", "/nowhere/rows.jsonl"], &["cannot write `/nowhere/rows.jsonl`"]),
        (&["--fit", "nowhere.jsonl"], &["`nowhere.jsonl`: No such file"]),
        (&["--fit", &garbage], &["garbage.jsonl`: line 1: missing field"]),
        (&["--fit", &empty], &["empty.jsonl`: line 1: there are no rows"]),
    ];
    for (args, parts) in cases {
        let out = scale(args);
        let stderr = stderr(&out);
        assert_eq!((out.status.code(), out.stdout.len()), (Some(2), 0), "{args:?}: {stderr}");
        parts.iter().for_each(|part| assert!(stderr.contains(part), "{args:?}: {stderr}"));
    }
}

/// Guards against an invalid scale file for which the rows of an earlier run are truncated.
#[test]
fn an_invalid_file_does_not_overwrite_the_rows_of_an_earlier_run() {
    let invalid = write_file("invalid-rows.toml", "colour = 2\n");
    let rows = write_rows("earlier.jsonl", &rows_within_bounds());
    let before = std::fs::read(&rows).unwrap();
    assert_eq!(scale(&[&invalid, "--json", &rows]).status.code(), Some(2));
    assert_eq!(std::fs::read(&rows).unwrap(), before);
}

/// Guards against `--fit` that prints another table than the run did, or returns another exit status.
#[test]
fn stored_rows_give_their_table_and_exit_status() {
    let good = rows_within_bounds();
    let mut missed = good.clone();
    missed.insert(1, Row::Figure(figure(100, Measurement::CpuShare, 0.5)));
    let mut incomplete = good.clone();
    incomplete.pop();
    for (name, rows, status) in [("good", good, 0), ("missed", missed, 1), ("incomplete", incomplete, 3)] {
        let out = scale(&["--fit", &write_rows(&format!("{name}.jsonl"), &rows)]);
        assert_eq!(out.status.code(), Some(status), "{name}: {}", stderr(&out));
        assert_eq!(stdout(&out), render_table(&rows, Style::Plain), "{name}");
    }
}

/// Guards against help without an example or without the exit statuses, and against a visible internal option.
#[test]
fn help_shows_exit_statuses_and_ends_with_an_example() {
    let out = scale(&["--help"]);
    let help = stdout(&out);
    assert!(out.status.success());
    assert!(help.trim_end().lines().last().unwrap().starts_with("Example: troutknot scale "), "{help}");
    assert!(help.contains("Exit status: 0 all held, 1 a rule was violated"), "{help}");
    assert!(!help.contains("executor-worker"), "{help}");
}

/// Guards against `check` that rejects a shipped scale file or accepts an invalid one.
#[test]
fn check_accepts_valid_scale_files_only() {
    let check =
        |path: &str| Command::new(env!("CARGO_BIN_EXE_troutknot")).args(["check", path]).output().unwrap();
    for path in [SMALL, FULL] {
        assert_eq!(stdout(&check(path)), format!("{path}: good\n"));
    }
    let invalid = check(&write_file("invalid-check.toml", "[real_nodes]\ncount = 0\n"));
    assert_eq!(invalid.status.code(), Some(2));
    assert!(
        stderr(&invalid).contains("invalid-check.toml:2: `count` is 0; 1 to 64 is allowed"),
        "{}",
        stderr(&invalid)
    );
}

/// Guards against a scale run that misses a bound or a measurement, and against stored rows that give another table.
/// The small run has two real nodes, hollow nodes, two fleet sizes, a burst and a busy day.
#[test]
fn the_small_run_passes_and_its_stored_rows_give_the_same_table() {
    let rows_path = temp_path("small.jsonl").display().to_string();
    let out = scale(&[SMALL, "--seed", "11", "--json", &rows_path]);
    let (table, stderr) = (stdout(&out), stderr(&out));
    assert_eq!(out.status.code(), Some(0), "{table}\n{stderr}");
    assert!(table.ends_with("\nall held\n") && !table.contains('\u{1b}'), "{table}");
    let rows = read_rows(std::fs::read(&rows_path).unwrap().as_slice()).unwrap();
    check_rows(&rows);
    let reprinted = scale(&["--fit", &rows_path]);
    assert_eq!((reprinted.status.code(), stdout(&reprinted)), (Some(0), table));
}

fn check_rows(rows: &[Row]) {
    assert_eq!(start_of(rows).map(|start| (start.name.as_str(), start.seed)), Some(("small", 11)));
    assert!(matches!(rows.last(), Some(Row::End(_))));
    assert!(!rows.iter().any(|row| matches!(row, Row::Violation(_))));
    for size in [10, 40] {
        for turnover in [0.0, 2.0] {
            let steady = figures(rows).filter(|figure| {
                figure.phase == Phase::Steady
                    && figure.executors == size
                    && figure.turnover == turnover
                    && figure.node == NodeKind::Real
            });
            let steady: Vec<_> = steady.collect();
            let value = |measurement| {
                steady.iter().find(|figure| figure.measurement == measurement).map(|figure| figure.value)
            };
            let (requests, completed) = (value(Measurement::Requests), value(Measurement::Completed));
            // Each of the two nodes receives 20 requests per second in the mean for 1.2 s.
            assert!(requests > Some(15.0), "{size} executors, turnover {turnover}: {steady:#?}");
            assert!(completed >= requests.map(|requests| requests * 0.9), "{steady:#?}");
        }
    }
    let count = |node| figures(rows).filter(|figure| figure.node == node).count();
    assert!(count(NodeKind::HollowByDispatcher) > 0 && count(NodeKind::HollowByRates) > 0);
    let busy_day = figures(rows).filter(|figure| figure.phase == Phase::BusyDay);
    assert!(busy_day.count() > 0);
}

/// Guards against a run that starts although the limit of file descriptors, here inherited from a shell, is too low.
#[test]
fn too_few_file_descriptors_are_reported_before_anything_starts() {
    let program = env!("CARGO_BIN_EXE_troutknot");
    let command = format!("ulimit -n 128 && exec {program} scale {FULL}");
    let out = Command::new("sh").args(["-c", &command]).output().unwrap();
    let stderr = stderr(&out);
    assert_eq!((out.status.code(), out.stdout.len()), (Some(3), 0), "{stderr}");
    assert!(stderr.contains("file descriptors, 128 are there"), "{stderr}");
}

/// Guards against a run that passes although its nodes have ended, and against `--json -` that prints more than rows.
#[test]
fn a_program_that_is_no_node_fails_the_run() {
    let rows_path = temp_path("no-node.jsonl").display().to_string();
    let out = scale(&[SMALL, "--node", "/bin/false", "--json", &rows_path]);
    assert_eq!(out.status.code(), Some(1), "{}", stderr(&out));
    assert!(stderr(&out).contains("real node 0"), "{}", stderr(&out));
    assert!(stdout(&out).ends_with("NOT all held: the run was not played to its end\n"), "{}", stdout(&out));
    let rows = std::fs::read(Path::new(&rows_path)).unwrap();
    assert_eq!(read_rows(rows.as_slice()).unwrap().len(), 1);
    // With `-` only rows are printed on standard output.
    let out = scale(&[SMALL, "--node", "/bin/false", "--json", "-"]);
    assert_eq!(out.status.code(), Some(1), "{}", stderr(&out));
    assert_eq!(read_rows(out.stdout.as_slice()).unwrap().len(), 1);
}
