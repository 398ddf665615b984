//! The query of a request to the health API.
use std::collections::HashMap;
use std::time::Duration;

/// How long a blocking query without `wait` may block.
const DEFAULT_WAIT: Duration = Duration::from_secs(300);

/// The parameters of a request.
pub(crate) struct Query {
    parameters: HashMap<String, String>,
}

impl Query {
    pub(crate) fn parse(text: &str) -> Self {
        let pairs = text.split('&').map(|pair| pair.split_once('=').unwrap_or((pair, "")));
        let parameters = pairs.map(|(name, value)| (name.to_string(), percent_decode(value))).collect();
        Query { parameters }
    }

    /// The datacenter, if the request names one.
    pub(crate) fn datacenter(&self) -> Option<&str> {
        self.parameters.get("dc").map(String::as_str)
    }

    /// The index after which a blocking query wants a change; 0 if it does not block.
    pub(crate) fn index(&self) -> u64 {
        self.parameters.get("index").and_then(|index| index.parse().ok()).unwrap_or(0)
    }

    /// How long it may block.
    pub(crate) fn wait(&self) -> Duration {
        let wait = self.parameters.get("wait").and_then(|text| parse_duration(text));
        wait.unwrap_or(DEFAULT_WAIT)
    }
}

/// Parses `10s`, `250ms` or `2m`; None if it is neither.
fn parse_duration(text: &str) -> Option<Duration> {
    let digits = text.find(|character: char| !character.is_ascii_digit() && character != '.')?;
    let (number, unit) = text.split_at(digits);
    let seconds_per_unit = match unit {
        "ms" => 0.001,
        "s" => 1.0,
        "m" => 60.0,
        _ => return None,
    };
    number.parse::<f64>().ok().map(|number| Duration::from_secs_f64(number * seconds_per_unit))
}

/// Decodes percent-encoded text; a malformed escape becomes `%`.
pub(crate) fn percent_decode(text: &str) -> String {
    let (mut out, mut bytes) = (Vec::new(), text.bytes());
    while let Some(byte) = bytes.next() {
        let hex = |byte: Option<u8>| byte.and_then(|byte| (byte as char).to_digit(16));
        match byte {
            b'%' => match (hex(bytes.next()), hex(bytes.next())) {
                (Some(high), Some(low)) => out.push((high * 16 + low) as u8),
                _ => out.push(b'%'),
            },
            other => out.push(other),
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
