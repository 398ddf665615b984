//! `troutknot-wirehost`: the adapter between the simulator and the dispatcher. It reads batches of events from standard
//! input, drives one [`troutknot::Dispatcher`] per instance, and answers each batch with the actions on standard output.
//!
//! Field names of the simulator's protocol occur in `decode` and `encode` only. The adapter takes no decisions itself.
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

/// Answers batches until the end of the input.
///
/// # Errors
/// If reading or writing fails, or a line is invalid.
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
