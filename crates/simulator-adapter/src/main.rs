//! `troutknot-wirehost`: lets the simulator drive dispatchers. Reads batches of events on standard input, drives one
//! [`troutknot::Dispatcher`] per instance, and answers each batch with the actions on standard output.
//!
//! The names of the simulator's protocol stand in `decode` and `encode` alone. Nothing is decided here.
mod adapter;
mod decode;
mod encode;
mod error;
mod instance;

use adapter::{Adapter, BatchState};
use error::AdapterError;
use std::io::{BufRead, BufReader, Write};
use std::process::ExitCode;

const INPUT_BUFFER_BYTES: usize = 64 * 1024;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(INPUT_BUFFER_BYTES, std::io::stdin().lock());
    match run(input, std::io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("troutknot-wirehost: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Answers batches until the input ends.
///
/// # Errors
/// If input or output fails, or a line cannot be applied.
fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut adapter = Adapter::default();
    let (mut line, mut reply) = (Vec::new(), Vec::new());
    let mut number = 0;
    loop {
        line.clear();
        if input.read_until(b'\n', &mut line).map_err(AdapterError::Read)? == 0 {
            return Ok(());
        }
        number += 1;
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        let state = adapter.apply_line(&line, &mut reply);
        if state.map_err(|error| AdapterError::Line { number, error })? == BatchState::Answered {
            output.write_all(&reply).and_then(|()| output.flush()).map_err(AdapterError::Write)?;
            reply.clear();
        }
    }
}
