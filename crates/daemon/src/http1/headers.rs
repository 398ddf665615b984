//! Header fields of a message.
use super::error::MessageError;
use bytes::Bytes;

/// Header fields in the order in which they were received, with their names as they were spelled.
#[derive(Debug, Default)]
pub struct Headers(pub Vec<(String, Bytes)>);

impl Headers {
    /// Copies the fields of a parsed head.
    pub fn from_parsed(parsed: &[httparse::Header]) -> Self {
        let copied = parsed.iter().map(|field| (field.name.into(), Bytes::copy_from_slice(field.value)));
        Headers(copied.collect())
    }

    /// The values of all fields of this name.
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Bytes> {
        let named = self.0.iter().filter(move |(field_name, _)| field_name.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value)
    }

    /// The value of a field that may occur once, without surrounding whitespace; none if it is missing.
    ///
    /// # Errors
    /// If the field is repeated or is not UTF-8.
    pub fn single(&self, name: &str) -> Result<Option<&str>, MessageError> {
        let mut found = None;
        for (field_name, value) in &self.0 {
            if !field_name.eq_ignore_ascii_case(name) {
                continue;
            }
            let text = std::str::from_utf8(value).map_err(|_| MessageError::FieldNotText)?;
            if found.replace(text.trim()).is_some() {
                return Err(MessageError::RepeatedField);
            }
        }
        Ok(found)
    }

    /// Whether a comma-separated field contains this token, ignoring case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        let texts = self.values(name).filter_map(|value| std::str::from_utf8(value).ok());
        texts.flat_map(|text| text.split(',')).any(|element| element.trim().eq_ignore_ascii_case(token))
    }
}
