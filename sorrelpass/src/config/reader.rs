//! Reader of INI files that collects all faults instead of stopping at the first.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

use coord::name::Name;
use eyre::{Result, eyre};
use ini::Ini;

use crate::secret::Secret;

/// Fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Path of the settings file, as given by the operator.
    pub file: PathBuf,
    /// Line of the key, or of its section if the key is missing; `None` if the file has no such section.
    pub line: Option<usize>,
    /// Section and key, as `section.key`; `-` if the fault concerns the syntax of the file.
    pub key: String,
    /// Human-readable reason why the value or key is rejected.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let line = self.line.map_or(String::new(), |line| format!(" line={line}"));
        write!(f, "file={}{line} key={} reason={:?}", self.file.display(), self.key, self.reason)
    }
}

/// All faults of a settings file, which are displayed one per line.
#[derive(Clone, Debug)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Fault::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Faults {}

/// Reads the values of a settings file and collects its faults.
pub struct Reader {
    file: PathBuf,
    text: String,
    ini: Ini,
    requested_keys: BTreeSet<(String, String)>,
    faults: Vec<Fault>,
}

impl Reader {
    /// Reads `file`. Returns an error if the file cannot be read or is not valid INI.
    pub fn open(file: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(file)
            .map_err(|error| eyre!("step=read-settings file={}: {error}", file.display()))?;
        Self::parse(file, text)
    }

    /// Parses `text` as the content of `file`.
    pub fn parse(file: &Path, text: String) -> Result<Self> {
        let ini = Ini::load_from_str(&text).map_err(|error| {
            let fault = Fault {
                file: file.to_owned(),
                line: Some(error.line + 1),
                key: "-".into(),
                reason: error.msg.to_string(),
            };
            eyre!(Faults(vec![fault]))
        })?;
        Ok(Self { file: file.to_owned(), text, ini, requested_keys: BTreeSet::new(), faults: Vec::new() })
    }

    /// Returns whether the file has a section with at least its header.
    pub fn has_section(&self, section: &str) -> bool {
        self.ini.section(Some(section)).is_some()
    }

    /// Returns the text of a value, trimmed, and records that the key was requested.
    fn raw_value(&mut self, section: &str, key: &str) -> Option<String> {
        self.requested_keys.insert((section.to_owned(), key.to_owned()));
        self.ini.get_from(Some(section), key).map(|value| value.trim().to_owned())
    }

    /// Records a fault of a key, with the key's line.
    pub fn fault(&mut self, section: &str, key: &str, reason: impl Into<String>) {
        let line = self.line_number(section, key);
        let fault = Fault { file: self.file.clone(), line, key: format!("{section}.{key}"), reason: reason.into() };
        self.faults.push(fault);
    }

    /// Returns the line of a key, counted from 1, or the line of its section if the section lacks the key.
    fn line_number(&self, section: &str, key: &str) -> Option<usize> {
        let header = format!("[{section}]");
        let header_index = self.text.lines().position(|line| line.trim() == header)?;
        let section_lines =
            self.text.lines().enumerate().skip(header_index + 1).take_while(|(_, line)| !line.trim().starts_with('['));
        let key_line = section_lines
            .into_iter()
            .find(|(_, line)| line.split(['=', ':']).next().is_some_and(|name| name.trim() == key));
        Some(key_line.map_or(header_index, |(index, _)| index) + 1)
    }

    /// Returns a required value, or `None` after recording a fault. `expected` describes valid values, with an article.
    pub fn required<T: FromStr>(&mut self, section: &str, key: &str, expected: &str) -> Option<T> {
        let Some(raw) = self.raw_value(section, key).filter(|raw| !raw.is_empty()) else {
            self.fault(section, key, format!("missing: {expected} is needed"));
            return None;
        };
        self.parse_value(section, key, &raw, expected)
    }

    /// Returns an optional value. A missing or invalid value yields the default; an invalid one is also a fault.
    pub fn optional<T: FromStr>(&mut self, section: &str, key: &str, expected: &str, default: T) -> T {
        let Some(raw) = self.raw_value(section, key) else { return default };
        self.parse_value(section, key, &raw, expected).unwrap_or(default)
    }

    /// Parses a value; records a fault if it is invalid.
    fn parse_value<T: FromStr>(&mut self, section: &str, key: &str, raw: &str, expected: &str) -> Option<T> {
        let value = raw.parse().ok();
        if value.is_none() {
            self.fault(section, key, format!("{raw:?} is not {expected}"));
        }
        value
    }

    /// Returns an optional number. A number outside `bounds` is a fault and yields the default.
    pub fn number<T>(&mut self, section: &str, key: &str, bounds: std::ops::RangeInclusive<T>, default: T) -> T
    where
        T: FromStr + PartialOrd + fmt::Display + Copy,
    {
        let value = self.optional(section, key, "a number", default);
        if !bounds.contains(&value) {
            self.fault(section, key, format!("{value} lies outside {} to {}", bounds.start(), bounds.end()));
            return default;
        }
        value
    }

    /// Returns an optional duration in milliseconds. A value outside `bounds` is a fault and yields the default.
    pub fn millis(
        &mut self,
        section: &str,
        key: &str,
        bounds: std::ops::RangeInclusive<u64>,
        default: u64,
    ) -> Duration {
        Duration::from_millis(self.number(section, key, bounds, default))
    }

    /// Returns a required name, which consists of ASCII letters, digits, `-`, `_` and `.`.
    pub fn name(&mut self, section: &str, key: &str) -> Option<Name> {
        let raw: String = self.required(section, key, "a name")?;
        if !raw.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c)) {
            self.fault(section, key, format!("{raw:?} is not a name: letters, digits, '-', '_' and '.' only"));
            return None;
        }
        Some(Name::from(raw))
    }

    /// Returns an optional value that must be one of `choices`.
    pub fn choice(
        &mut self,
        section: &str,
        key: &str,
        choices: &[&'static str],
        default: &'static str,
    ) -> &'static str {
        let Some(raw) = self.raw_value(section, key) else { return default };
        if let Some(chosen) = choices.iter().find(|choice| **choice == raw) {
            return chosen;
        }
        self.fault(section, key, format!("{raw:?} is none of: {}", choices.join(", ")));
        default
    }

    /// Returns an optional value that is `true` or `false`; a missing or empty value yields the default.
    pub fn flag(&mut self, section: &str, key: &str, default: bool) -> bool {
        let raw = self.raw_value(section, key).filter(|raw| !raw.is_empty());
        raw.and_then(|raw| self.parse_value(section, key, &raw, "true or false")).unwrap_or(default)
    }

    /// Returns a comma-separated list of names; the list may be missing or empty.
    pub fn names(&mut self, section: &str, key: &str) -> Vec<Name> {
        self.parse_list(section, key, "a name", |part| (!part.is_empty()).then(|| Name::from(part)))
    }

    /// Returns a comma-separated list of `ip:port` addresses as names; the list may be missing or empty.
    pub fn addresses(&mut self, section: &str, key: &str) -> Vec<Name> {
        let parse_address = |part: &str| part.parse::<SocketAddr>().is_ok().then(|| Name::from(part));
        self.parse_list(section, key, "an address ip:port", parse_address)
    }

    /// Returns a comma-separated list of `ip:port` addresses; the list may be missing or empty.
    pub fn sockets(&mut self, section: &str, key: &str) -> Vec<SocketAddr> {
        self.parse_list(section, key, "an address ip:port", |part| part.parse().ok())
    }

    /// Returns a comma-separated list of port numbers; the list may be missing or empty.
    pub fn ports(&mut self, section: &str, key: &str) -> Vec<u16> {
        self.parse_list(section, key, "a port", |part| part.parse().ok())
    }

    /// Returns the items of a comma-separated list. Items that `parse_item` rejects are recorded as faults and omitted.
    fn parse_list<T>(
        &mut self,
        section: &str,
        key: &str,
        expected: &str,
        parse_item: impl Fn(&str) -> Option<T>,
    ) -> Vec<T> {
        let Some(raw) = self.raw_value(section, key) else { return Vec::new() };
        let mut items = Vec::new();
        for part in raw.split(',').map(str::trim).filter(|part| !part.is_empty()) {
            match parse_item(part) {
                Some(value) => items.push(value),
                None => self.fault(section, key, format!("{part:?} is not {expected}")),
            }
        }
        items
    }

    /// Returns a secret of at least 16 bytes from the file or environment variable that the setting `{key}_file` or
    /// `{key}_env` names; `None` if neither is set or the secret is invalid.
    pub fn secret(&mut self, section: &str, key: &str) -> Option<Secret> {
        let file_key = format!("{key}_file");
        let env_key = format!("{key}_env");
        let file: Option<String> = self.raw_value(section, &file_key);
        let env: Option<String> = self.raw_value(section, &env_key);
        match (file, env) {
            (Some(_), Some(_)) => {
                self.fault(section, &file_key, format!("give either {file_key} or {env_key}, not both"))
            }
            (Some(path), None) => match std::fs::read(&path) {
                Ok(bytes) if bytes.trim_ascii().len() >= 16 => return Some(Secret::new(bytes.trim_ascii())),
                Ok(_) => self.fault(section, &file_key, "the secret is shorter than 16 bytes"),
                Err(error) => self.fault(section, &file_key, format!("cannot read {path:?}: {error}")),
            },
            (None, Some(name)) => match std::env::var(&name) {
                Ok(value) if value.trim().len() >= 16 => return Some(Secret::new(value.trim().as_bytes())),
                Ok(_) => self.fault(section, &env_key, "the secret is shorter than 16 bytes"),
                Err(_) => self.fault(section, &env_key, format!("the environment has no variable {name:?}")),
            },
            (None, None) => {}
        }
        None
    }

    /// Returns an error with all faults, which include keys in the file that were not requested.
    pub fn finish(mut self) -> Result<(), Faults> {
        let mut unknown_keys = Vec::new();
        for (section, properties) in self.ini.iter() {
            let section = section.unwrap_or("");
            for (key, _) in properties.iter() {
                if !self.requested_keys.contains(&(section.to_owned(), key.to_owned())) {
                    unknown_keys.push((section.to_owned(), key.to_owned()));
                }
            }
        }
        for (section, key) in unknown_keys {
            self.fault(&section, &key, "unknown key");
        }
        if self.faults.is_empty() { Ok(()) } else { Err(Faults(self.faults)) }
    }
}
