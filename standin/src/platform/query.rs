//! Query of a URL, read as strictly as by servers that reject what RFC 3986 does not allow.

use std::collections::HashMap;

use axum::extract::FromRequestParts;
use axum::http::StatusCode;
use axum::http::request::Parts;

/// Characters that a query may hold beside letters, digits and escapes.
const PLAIN: &[u8] = b"-._~!$'()*,;:@/?+";

/// Decoded parameters of a query by their names. Values are bytes, since an escape may stand for any byte.
pub(super) struct Query(HashMap<String, Vec<u8>>);

impl Query {
    /// Returns the text of a parameter; empty if it is missing or not UTF-8.
    pub(super) fn text(&self, name: &str) -> String {
        self.bytes(name).and_then(|value| String::from_utf8(value.to_vec()).ok()).unwrap_or_default()
    }

    /// Returns the numeric value of a parameter; 0 if it is missing or invalid.
    pub(super) fn number(&self, name: &str) -> u64 {
        self.text(name).parse().unwrap_or(0)
    }

    /// Returns the bytes of a parameter.
    pub(super) fn bytes(&self, name: &str) -> Option<&[u8]> {
        self.0.get(name).map(Vec::as_slice)
    }
}

impl<S: Sync> FromRequestParts<S> for Query {
    type Rejection = StatusCode;

    async fn from_request_parts(parts: &mut Parts, _: &S) -> Result<Self, StatusCode> {
        let query = parts.uri.query().unwrap_or_default();
        let pairs = query.split('&').filter(|pair| !pair.is_empty());
        let decoded = pairs.map(|pair| {
            let (name, value) = pair.split_once('=').ok_or(StatusCode::BAD_REQUEST)?;
            Ok((name.to_owned(), decode(value.as_bytes()).ok_or(StatusCode::BAD_REQUEST)?))
        });
        Ok(Self(decoded.collect::<Result<_, StatusCode>>()?))
    }
}

/// Decodes the escapes of a value, in which a plus sign stands for a blank; `None` if it holds what a query may not.
fn decode(mut value: &[u8]) -> Option<Vec<u8>> {
    let mut decoded = Vec::new();
    while let [byte, rest @ ..] = value {
        value = rest;
        decoded.push(match byte {
            b'%' => {
                let digits = rest.get(..2).filter(|digits| digits.iter().all(u8::is_ascii_hexdigit))?;
                value = &rest[2..];
                u8::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?
            }
            b'+' => b' ',
            byte if byte.is_ascii_alphanumeric() || PLAIN.contains(byte) => *byte,
            _ => return None,
        });
    }
    Some(decoded)
}
