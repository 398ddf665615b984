//! Reading of configuration files.
use std::fs::File;
use std::io::{self, Read};
use std::path::Path;

/// Reads the first `max_bytes` of a text file.
///
/// # Errors
/// If the file cannot be read or is not UTF-8.
pub fn read_text(path: &Path, max_bytes: u64) -> io::Result<String> {
    let mut text = String::new();
    File::open(path)?.take(max_bytes).read_to_string(&mut text)?;
    Ok(text)
}
