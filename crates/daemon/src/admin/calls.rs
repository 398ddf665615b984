//! The calls that operators make, as their request heads say them.

/// What is asked for.
#[derive(Debug, PartialEq)]
pub enum Call {
    IsReady,
    /// How many executors are listed, kept and left out.
    Executors,
    /// Leave an executor out, or let it serve again.
    Out {
        executor: String,
        out: bool,
    },
    /// Empty the node, or take clients again.
    Drain(bool),
}

/// Why a head asks for none of these.
#[derive(Debug, PartialEq)]
pub enum UnknownCall {
    UnknownPath,
    /// And the one method that the path takes.
    WrongMethod(&'static str),
    OddPath,
}

/// The longest name of an executor.
const MOST_NAME: usize = 255;

/// Reads a call out of a request's method and target.
pub fn call(method: &str, target: &str) -> Result<Call, UnknownCall> {
    let path = target.split('?').next().unwrap_or("");
    let steps: Vec<&str> = path.split('/').collect();
    let (by, call) = match steps[..] {
        ["", "v1", "readyz"] => ("GET", Call::IsReady),
        ["", "v1", "executors"] => ("GET", Call::Executors),
        ["", "v1", "node", "drain"] => ("PUT", Call::Drain(true)),
        ["", "v1", "node", "activate"] => ("PUT", Call::Drain(false)),
        ["", "v1", "executors", name, what @ ("suspend" | "resume")] => {
            let name = percent_encoding::percent_decode_str(name).decode_utf8();
            let name = name.ok().filter(|name| (1..=MOST_NAME).contains(&name.len()));
            let executor = name.ok_or(UnknownCall::OddPath)?.into_owned();
            ("PUT", Call::Out { executor, out: what == "suspend" })
        }
        _ => return Err(UnknownCall::UnknownPath),
    };
    if method == by { Ok(call) } else { Err(UnknownCall::WrongMethod(by)) }
}

#[cfg(test)]
#[path = "../../tests/unit/admin_calls.rs"]
mod tests;
