//! The query string of a request to the health API.
use std::collections::HashMap;
use std::time::Duration;

/// How long a blocking query without the parameter `wait` may block.
const DEFAULT_WAIT: Duration = Duration::from_secs(300);

/// The decoded parameters of a request.
pub(crate) struct Query {
    parameters: HashMap<String, String>,
}

impl Query {
    /// Parses a query string; parameters without a value are empty.
    pub(crate) fn parse(text: &str) -> Self {
        let pairs = text.split('&').map(|pair| pair.split_once('=').unwrap_or((pair, "")));
        let parameters = pairs.map(|(name, value)| (name.to_string(), percent_decode(value))).collect();
        Query { parameters }
    }

    /// Returns the datacenter, if the request names one.
    pub(crate) fn datacenter(&self) -> Option<&str> {
        self.parameters.get("dc").map(String::as_str)
    }

    /// Returns the index after which a blocking query waits for a change; 0 if the query does not block.
    pub(crate) fn index(&self) -> u64 {
        self.parameters.get("index").and_then(|index| index.parse().ok()).unwrap_or(0)
    }

    /// Returns how long the query may block.
    pub(crate) fn wait(&self) -> Duration {
        let wait = self.parameters.get("wait").and_then(|text| parse_duration(text));
        wait.unwrap_or(DEFAULT_WAIT)
    }
}

/// Parses a duration such as `10s`, `250ms` or `2m`; returns `None` if it is invalid.
fn parse_duration(text: &str) -> Option<Duration> {
    let unit_start = text.find(|character: char| !character.is_ascii_digit() && character != '.')?;
    let (number, unit) = text.split_at(unit_start);
    let seconds_per_unit = match unit {
        "ms" => 0.001,
        "s" => 1.0,
        "m" => 60.0,
        _ => return None,
    };
    number.parse::<f64>().ok().map(|number| Duration::from_secs_f64(number * seconds_per_unit))
}

/// Decodes percent-encoded text. A malformed escape becomes `%`.
pub(crate) fn percent_decode(text: &str) -> String {
    let (mut decoded, mut bytes) = (Vec::new(), text.bytes());
    while let Some(byte) = bytes.next() {
        let hex_digit = |byte: Option<u8>| byte.and_then(|byte| (byte as char).to_digit(16));
        match byte {
            b'%' => match (hex_digit(bytes.next()), hex_digit(bytes.next())) {
                (Some(high), Some(low)) => decoded.push((high * 16 + low) as u8),
                _ => decoded.push(b'%'),
            },
            other => decoded.push(other),
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
