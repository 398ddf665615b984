//! `troutknot scale`: bad input, rows that are read again, exit statuses, and the small run with real nodes.
#![allow(clippy::unwrap_used)]
#[path = "../../scale/tests/common/mod.rs"]
mod common;

use common::{figure, good_rows};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use troutknot_scale::row::{Measurement, NodeKind, Phase, Row, figures, read_rows, start_of};
use troutknot_scale::table::{Style, render_table};

const SMALL: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios/scale/small.toml");
const FULL: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios/scale/full.toml");

fn scale(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_troutknot")).arg("scale").args(args).output().unwrap()
}

fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("scale-{}-{name}", std::process::id()))
}

fn file(name: &str, text: &str) -> String {
    let path = path(name);
    std::fs::write(&path, text).unwrap();
    path.display().to_string()
}

fn rows_file(name: &str, rows: &[Row]) -> String {
    file(name, &rows.iter().map(|row| format!("{row}\n")).collect::<String>())
}

fn said(out: &Output) -> String {
    String::from_utf8_lossy(&out.stderr).to_string()
}

fn printed(out: &Output) -> String {
    String::from_utf8_lossy(&out.stdout).to_string()
}

#[test]
fn bad_input_is_told_before_anything_starts() {
    let bad = file("bad.toml", "seed = 1\ncolour = 2\n[fleet]\nsizes = [0]\n");
    let broken = file("broken.toml", "seed = = 2\n");
    let garbage = file("garbage.jsonl", "{\"row\":\"figure\"}\n");
    let empty = file("empty.jsonl", "");
    let cases: &[(&[&str], &[&str])] = &[
        (&["nowhere.toml"], &["cannot read `nowhere.toml`"]),
        (&[&bad], &["bad.toml:2: unknown field `colour`", "bad.toml:4: `sizes` is 0; 1 to 50000 is allowed"]),
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
        let said = said(&out);
        assert_eq!((out.status.code(), out.stdout.len()), (Some(2), 0), "{args:?}: {said}");
        parts.iter().for_each(|part| assert!(said.contains(part), "{args:?}: {said}"));
    }
}

#[test]
fn a_bad_file_leaves_the_rows_of_an_earlier_run_alone() {
    let bad = file("bad-again.toml", "colour = 2\n");
    let rows = rows_file("kept.jsonl", &good_rows());
    let before = std::fs::read(&rows).unwrap();
    assert_eq!(scale(&[&bad, "--json", &rows]).status.code(), Some(2));
    assert_eq!(std::fs::read(&rows).unwrap(), before);
}

#[test]
fn rows_that_are_read_again_give_their_table_and_their_exit_status() {
    let good = good_rows();
    let mut missed = good.clone();
    missed.insert(1, Row::Figure(figure(100, Measurement::CpuShare, 0.5)));
    let mut unended = good.clone();
    unended.pop();
    for (name, rows, status) in [("good", good, 0), ("missed", missed, 1), ("unended", unended, 3)] {
        let out = scale(&["--fit", &rows_file(&format!("{name}.jsonl"), &rows)]);
        assert_eq!(out.status.code(), Some(status), "{name}: {}", said(&out));
        assert_eq!(printed(&out), render_table(&rows, Style::Plain), "{name}");
    }
}

#[test]
fn help_ends_in_an_example() {
    let out = scale(&["--help"]);
    let help = printed(&out);
    assert!(out.status.success());
    assert!(help.trim_end().lines().last().unwrap().starts_with("Example: troutknot scale "), "{help}");
    assert!(help.contains("Exit status: 0 all held, 1 a rule broke"), "{help}");
    assert!(!help.contains("executor-worker"), "{help}");
}

#[test]
fn check_knows_scale_files() {
    let check =
        |path: &str| Command::new(env!("CARGO_BIN_EXE_troutknot")).args(["check", path]).output().unwrap();
    for path in [SMALL, FULL] {
        assert_eq!(printed(&check(path)), format!("{path}: good\n"));
    }
    let bad = check(&file("bad-check.toml", "[real_nodes]\ncount = 0\n"));
    assert_eq!(bad.status.code(), Some(2));
    assert!(said(&bad).contains("bad-check.toml:2: `count` is 0; 1 to 64 is allowed"), "{}", said(&bad));
}

/// The small run: two real nodes, hollow ones beside them, two fleets, a burst and a busy day.
#[test]
fn the_small_run_holds_and_its_rows_give_the_same_table_again() {
    let rows_path = path("small.jsonl").display().to_string();
    let out = scale(&[SMALL, "--seed", "11", "--json", &rows_path]);
    let (table_once, said) = (printed(&out), said(&out));
    assert_eq!(out.status.code(), Some(0), "{table_once}\n{said}");
    assert!(table_once.ends_with("\nall held\n") && !table_once.contains('\u{1b}'), "{table_once}");
    let rows = read_rows(std::fs::read(&rows_path).unwrap().as_slice()).unwrap();
    check_rows(&rows);
    let again = scale(&["--fit", &rows_path]);
    assert_eq!((again.status.code(), printed(&again)), (Some(0), table_once));
}

fn check_rows(rows: &[Row]) {
    assert_eq!(start_of(rows).map(|start| (start.name.as_str(), start.seed)), Some(("small", 11)));
    assert!(matches!(rows.last(), Some(Row::End(_))));
    assert!(!rows.iter().any(|row| matches!(row, Row::Violation(_))));
    for size in [10, 40] {
        for turnover in [0.0, 2.0] {
            let here = figures(rows).filter(|figure| {
                figure.phase == Phase::Steady
                    && figure.executors == size
                    && figure.turnover == turnover
                    && figure.node == NodeKind::Real
            });
            let here: Vec<_> = here.collect();
            let value = |of| here.iter().find(|figure| figure.measurement == of).map(|figure| figure.value);
            let (requests, completed) = (value(Measurement::Requests), value(Measurement::Completed));
            // 20 a second at each of two nodes for 1.2 s, in the mean.
            assert!(requests > Some(15.0), "{size} executors, turnover {turnover}: {here:#?}");
            assert!(completed >= requests.map(|requests| requests * 0.9), "{here:#?}");
        }
    }
    let of_node = |node| figures(rows).filter(|figure| figure.node == node).count();
    assert!(of_node(NodeKind::HollowByDispatcher) > 0 && of_node(NodeKind::HollowByRates) > 0);
    let busy = figures(rows).filter(|figure| figure.phase == Phase::BusyDay);
    assert!(busy.count() > 0);
}

/// The limit of the shell is the one of the run as well.
#[test]
fn a_machine_that_cannot_carry_it_is_told_before_anything_starts() {
    let program = env!("CARGO_BIN_EXE_troutknot");
    let command = format!("ulimit -n 128 && exec {program} scale {FULL}");
    let out = Command::new("sh").args(["-c", &command]).output().unwrap();
    let said = said(&out);
    assert_eq!((out.status.code(), out.stdout.len()), (Some(3), 0), "{said}");
    assert!(said.contains("file descriptors, 128 are there"), "{said}");
}

#[test]
fn a_program_that_runs_no_node_breaks_the_run() {
    let rows_path = path("no-node.jsonl").display().to_string();
    let out = scale(&[SMALL, "--node", "/bin/false", "--json", &rows_path]);
    assert_eq!(out.status.code(), Some(1), "{}", said(&out));
    assert!(said(&out).contains("real node 0"), "{}", said(&out));
    assert!(
        printed(&out).ends_with("NOT all held: the run was not played to its end\n"),
        "{}",
        printed(&out)
    );
    let rows = std::fs::read(Path::new(&rows_path)).unwrap();
    assert_eq!(read_rows(rows.as_slice()).unwrap().len(), 1);
    // With `-` rows alone go to standard output.
    let out = scale(&[SMALL, "--node", "/bin/false", "--json", "-"]);
    assert_eq!(out.status.code(), Some(1), "{}", said(&out));
    assert_eq!(read_rows(out.stdout.as_slice()).unwrap().len(), 1);
}
