//! `troutknot-wirehost`: reads batches of events on standard input, drives one `Dispatcher` an instance, and
//! answers each batch on standard output. Wire names end in this crate; nothing is decided here.
mod decode;
mod encode;
mod host;

use std::io::{BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = std::io::stdin().lock();
    let output = std::io::stdout().lock();
    match run(std::io::BufReader::with_capacity(1 << 16, input), output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("troutknot-wirehost: {what}");
            ExitCode::FAILURE
        }
    }
}

/// Answers batches until the input ends; an error says which line was wrong and how.
fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut host = host::Host::default();
    let (mut line, mut reply) = (Vec::new(), Vec::new());
    let mut number = 0u64;
    loop {
        line.clear();
        if input.read_until(b'\n', &mut line).map_err(|e| format!("cannot read: {e}"))? == 0 {
            return Ok(());
        }
        number += 1;
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        if host.take(&line, &mut reply).map_err(|what| format!("line {number}: {what}"))? {
            output
                .write_all(&reply)
                .and_then(|()| output.flush())
                .map_err(|e| format!("cannot write the reply: {e}"))?;
            reply.clear();
        }
    }
}
