//! Merges the logs of all processes into one causal order.
//!
//! Usage: sorrelpass timeline [--request ID] [--endpoint NAME] [--from HLC] [--until HLC] FILE...
//!
//! Every event line carries a timestamp of a hybrid logical clock (`hlc=`). Calls between
//! processes pass the timestamp on, so that a cause sorts before its effects. --request
//! selects the events of one request and of its attempts in all processes.

use std::collections::BTreeSet;
use std::path::PathBuf;

use bpaf::Bpaf;
use eyre::{Result, WrapErr};

/// Command-line arguments of `timeline`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(args))]
pub struct Args {
    /// Only events of this request and its attempts
    #[bpaf(long, argument("ID"))]
    request: Option<String>,
    /// Only events that name this endpoint or that its sidecar logged
    #[bpaf(long, argument("NAME"))]
    endpoint: Option<String>,
    /// Only events at or after this timestamp
    #[bpaf(long, argument("HLC"))]
    from: Option<String>,
    /// Only events at or before this timestamp
    #[bpaf(long, argument("HLC"))]
    until: Option<String>,
    /// Log files
    #[bpaf(positional("FILE"), some("name at least one FILE"))]
    files: Vec<PathBuf>,
}

/// Log line that has a timestamp.
struct Event {
    timestamp: String,
    line: String,
}

/// Reads the log files, and prints the selected events sorted by timestamp.
pub fn run(args: &Args) -> Result<()> {
    let mut events = Vec::new();
    for file in &args.files {
        let bytes = std::fs::read(file).wrap_err_with(|| format!("step=read-log file={}", file.display()))?;
        let text = String::from_utf8_lossy(&bytes);
        events.extend(text.lines().filter_map(parse_event));
    }
    events.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
    let attempts = attempts_of(&events, args.request.as_deref());
    let mut output = String::new();
    for event in events.iter().filter(|event| is_selected(args, &attempts, event)) {
        output.push_str(&event.line);
        output.push('\n');
    }
    print_text(&output)
}

/// Writes `text` to standard output. A broken pipe is no error, since readers such as `head` close it early.
fn print_text(text: &str) -> Result<()> {
    use std::io::Write;
    match std::io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() != std::io::ErrorKind::BrokenPipe => Err(error).wrap_err("step=print"),
        _ => Ok(()),
    }
}

/// Returns the event of a log line, or `None` if the line has no timestamp.
fn parse_event(line: &str) -> Option<Event> {
    let timestamp = value_of(line, "hlc")?;
    Some(Event { timestamp: timestamp.to_owned(), line: line.to_owned() })
}

/// Returns the value of a key in a logfmt line, without its quotes.
fn value_of<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let mut rest = line;
    loop {
        let position = rest.find(key)?;
        let is_key_start = position == 0 || rest[..position].ends_with(' ');
        let after_key = &rest[position + key.len()..];
        if is_key_start && let Some(value) = after_key.strip_prefix('=') {
            return Some(leading_value(value));
        }
        rest = after_key;
    }
}

/// Returns the value at the start of `text`: up to the closing quote, or else up to the next space.
fn leading_value(text: &str) -> &str {
    match text.strip_prefix('"') {
        Some(quoted) => quoted.split('"').next().unwrap_or(quoted),
        None => text.split(' ').next().unwrap_or(text),
    }
}

/// Returns the ids of the attempts of a request.
fn attempts_of<'a>(events: &'a [Event], request: Option<&str>) -> BTreeSet<&'a str> {
    let Some(request) = request else { return BTreeSet::new() };
    let request_events = events.iter().filter(|event| value_of(&event.line, "request") == Some(request));
    request_events.filter_map(|event| value_of(&event.line, "attempt")).collect()
}

/// Returns whether an event passes all filters of the command line.
fn is_selected(args: &Args, attempts: &BTreeSet<&str>, event: &Event) -> bool {
    let line = &event.line;
    let matches_request = args.request.as_deref().is_none_or(|request| {
        value_of(line, "request") == Some(request)
            || value_of(line, "attempt").is_some_and(|attempt| attempts.contains(attempt))
    });
    let matches_endpoint = args
        .endpoint
        .as_deref()
        .is_none_or(|endpoint| ["peer", "endpoint", "process"].iter().any(|key| value_of(line, key) == Some(endpoint)));
    let is_after_start = args.from.as_ref().is_none_or(|from| event.timestamp >= *from);
    let is_before_end = args.until.as_ref().is_none_or(|until| event.timestamp <= *until);
    matches_request && matches_endpoint && is_after_start && is_before_end
}
