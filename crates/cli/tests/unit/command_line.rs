//! Tests of the definitions of the commands and their options.
use super::*;

/// Guards against definitions that clap rejects only when they are used, such as two options of the same name.
#[test]
fn command_definitions_are_consistent() {
    Command::command().debug_assert();
}
