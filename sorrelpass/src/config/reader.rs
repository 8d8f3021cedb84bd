//! A reader of INI files that finds every fault at once.

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

/// One fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The file.
    pub file: PathBuf,
    /// The line of the key, or of the section if the key is missing.
    pub line: Option<usize>,
    /// `section.key`.
    pub key: String,
    /// What is wrong.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let line = self.line.map_or(String::new(), |line| format!(" line={line}"));
        write!(f, "file={}{line} key={} reason={:?}", self.file.display(), self.key, self.reason)
    }
}

/// All faults of a settings file.
#[derive(Clone, Debug)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Fault::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Faults {}

/// Reads one settings file.
pub struct Reader {
    file: PathBuf,
    text: String,
    ini: Ini,
    asked: BTreeSet<(String, String)>,
    faults: Vec<Fault>,
}

impl Reader {
    /// Reads `file`; a file that is no INI is a single fault.
    pub fn open(file: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(file)
            .map_err(|error| eyre!("step=read-settings file={}: {error}", file.display()))?;
        Self::parse(file, text)
    }

    /// Reads `text` as the content of `file`.
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
        Ok(Self { file: file.to_owned(), text, ini, asked: BTreeSet::new(), faults: Vec::new() })
    }

    /// Whether the file has a section.
    pub fn has(&self, section: &str) -> bool {
        self.ini.section(Some(section)).is_some()
    }

    fn raw(&mut self, section: &str, key: &str) -> Option<String> {
        self.asked.insert((section.to_owned(), key.to_owned()));
        self.ini.get_from(Some(section), key).map(|value| value.trim().to_owned())
    }

    /// Notes a fault at a key.
    pub fn fault(&mut self, section: &str, key: &str, reason: impl Into<String>) {
        let line = self.line(section, key);
        let fault = Fault { file: self.file.clone(), line, key: format!("{section}.{key}"), reason: reason.into() };
        self.faults.push(fault);
    }

    fn line(&self, section: &str, key: &str) -> Option<usize> {
        let header = format!("[{section}]");
        let start = self.text.lines().position(|line| line.trim() == header)?;
        let inside =
            self.text.lines().enumerate().skip(start + 1).take_while(|(_, line)| !line.trim().starts_with('['));
        let found =
            inside.into_iter().find(|(_, line)| line.split(['=', ':']).next().is_some_and(|name| name.trim() == key));
        Some(found.map_or(start, |(index, _)| index) + 1)
    }

    /// A value that must be there.
    pub fn required<T: FromStr>(&mut self, section: &str, key: &str, what: &str) -> Option<T> {
        let Some(raw) = self.raw(section, key).filter(|raw| !raw.is_empty()) else {
            self.fault(section, key, format!("missing: {what} is needed"));
            return None;
        };
        self.parsed(section, key, &raw, what)
    }

    /// A value with a default.
    pub fn or<T: FromStr>(&mut self, section: &str, key: &str, what: &str, default: T) -> T {
        let Some(raw) = self.raw(section, key) else { return default };
        self.parsed(section, key, &raw, what).unwrap_or(default)
    }

    fn parsed<T: FromStr>(&mut self, section: &str, key: &str, raw: &str, what: &str) -> Option<T> {
        let value = raw.parse().ok();
        if value.is_none() {
            self.fault(section, key, format!("{raw:?} is not {what}"));
        }
        value
    }

    /// A number within bounds, with a default.
    pub fn number<T>(&mut self, section: &str, key: &str, bounds: std::ops::RangeInclusive<T>, default: T) -> T
    where
        T: FromStr + PartialOrd + fmt::Display + Copy,
    {
        let value = self.or(section, key, "a number", default);
        if !bounds.contains(&value) {
            self.fault(section, key, format!("{value} lies outside {} to {}", bounds.start(), bounds.end()));
            return default;
        }
        value
    }

    /// A time in milliseconds, within bounds, with a default.
    pub fn millis(
        &mut self,
        section: &str,
        key: &str,
        bounds: std::ops::RangeInclusive<u64>,
        default: u64,
    ) -> Duration {
        Duration::from_millis(self.number(section, key, bounds, default))
    }

    /// A name that must be there: letters, digits, `-`, `_`, `.`.
    pub fn name(&mut self, section: &str, key: &str) -> Option<Name> {
        let raw: String = self.required(section, key, "a name")?;
        if !raw.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c)) {
            self.fault(section, key, format!("{raw:?} is not a name: letters, digits, '-', '_' and '.' only"));
            return None;
        }
        Some(Name::from(raw))
    }

    /// One of several words, with a default.
    pub fn choice(
        &mut self,
        section: &str,
        key: &str,
        choices: &[&'static str],
        default: &'static str,
    ) -> &'static str {
        let Some(raw) = self.raw(section, key) else { return default };
        if let Some(found) = choices.iter().find(|choice| **choice == raw) {
            return found;
        }
        self.fault(section, key, format!("{raw:?} is none of: {}", choices.join(", ")));
        default
    }

    /// A setting that is `true` or `false`, with a default where it is left out or empty.
    pub fn flag(&mut self, section: &str, key: &str, default: bool) -> bool {
        let raw = self.raw(section, key).filter(|raw| !raw.is_empty());
        raw.and_then(|raw| self.parsed(section, key, &raw, "true or false")).unwrap_or(default)
    }

    /// A list of addresses, separated by commas.
    pub fn addresses(&mut self, section: &str, key: &str) -> Vec<Name> {
        let address = |part: &str| part.parse::<SocketAddr>().is_ok().then(|| Name::from(part));
        self.list(section, key, "an address ip:port", address)
    }

    /// A list of addresses to connect to or listen on, separated by commas.
    pub fn sockets(&mut self, section: &str, key: &str) -> Vec<SocketAddr> {
        self.list(section, key, "an address ip:port", |part| part.parse().ok())
    }

    /// A list of port numbers, separated by commas.
    pub fn ports(&mut self, section: &str, key: &str) -> Vec<u16> {
        self.list(section, key, "a port", |part| part.parse().ok())
    }

    /// The parts of a list that is separated by commas, as far as `read` takes them.
    fn list<T>(&mut self, section: &str, key: &str, what: &str, read: impl Fn(&str) -> Option<T>) -> Vec<T> {
        let Some(raw) = self.raw(section, key) else { return Vec::new() };
        let mut found = Vec::new();
        for part in raw.split(',').map(str::trim).filter(|part| !part.is_empty()) {
            match read(part) {
                Some(value) => found.push(value),
                None => self.fault(section, key, format!("{part:?} is not {what}")),
            }
        }
        found
    }

    /// A secret named by `key_file` or `key_env`.
    pub fn secret(&mut self, section: &str, key: &str) -> Option<Secret> {
        let file_key = format!("{key}_file");
        let env_key = format!("{key}_env");
        let file: Option<String> = self.raw(section, &file_key);
        let env: Option<String> = self.raw(section, &env_key);
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

    /// Reports every fault, unknown sections and keys among them.
    pub fn finish(mut self) -> Result<(), Faults> {
        let mut unknown = Vec::new();
        for (section, properties) in self.ini.iter() {
            let section = section.unwrap_or("");
            for (key, _) in properties.iter() {
                if !self.asked.contains(&(section.to_owned(), key.to_owned())) {
                    unknown.push((section.to_owned(), key.to_owned()));
                }
            }
        }
        for (section, key) in unknown {
            self.fault(&section, &key, "unknown key");
        }
        if self.faults.is_empty() { Ok(()) } else { Err(Faults(self.faults)) }
    }
}
