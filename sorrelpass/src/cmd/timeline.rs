//! Merges the logs of all processes into one causal order.
//!
//! Usage: sorrelpass timeline [--request ID] [--endpoint NAME] [--from HLC] [--until HLC] FILE...
//!
//! Every event line carries a stamp of a hybrid logical clock (`hlc=`), which
//! travels with every call; sorted by it, a cause stands before its effects.
//! --request follows one request through its attempts at every process.

use std::collections::BTreeSet;
use std::path::PathBuf;

use bpaf::Bpaf;
use eyre::{Result, WrapErr};

/// Arguments of `timeline`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(args))]
pub struct Args {
    /// Only events of this request and its attempts
    #[bpaf(long, argument("ID"))]
    request: Option<String>,
    /// Only events that name this endpoint or come from beside it
    #[bpaf(long, argument("NAME"))]
    endpoint: Option<String>,
    /// Only events from this stamp on
    #[bpaf(long, argument("HLC"))]
    from: Option<String>,
    /// Only events up to this stamp
    #[bpaf(long, argument("HLC"))]
    until: Option<String>,
    /// Log files
    #[bpaf(positional("FILE"), some("name at least one FILE"))]
    files: Vec<PathBuf>,
}

/// One event line.
struct Event {
    stamp: String,
    line: String,
}

/// Runs the subcommand.
pub fn run(args: &Args) -> Result<()> {
    let mut events = Vec::new();
    for file in &args.files {
        let bytes = std::fs::read(file).wrap_err_with(|| format!("step=read-log file={}", file.display()))?;
        let text = String::from_utf8_lossy(&bytes);
        events.extend(text.lines().filter_map(parse));
    }
    events.sort_by(|a, b| a.stamp.cmp(&b.stamp));
    let attempts = attempts(&events, args.request.as_deref());
    let mut out = String::new();
    for event in events.iter().filter(|event| wanted(args, &attempts, event)) {
        out.push_str(&event.line);
        out.push('\n');
    }
    print_all(&out)
}

/// A reader that stops early, such as `head`, is no error.
fn print_all(text: &str) -> Result<()> {
    use std::io::Write;
    match std::io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() != std::io::ErrorKind::BrokenPipe => Err(error).wrap_err("step=print"),
        _ => Ok(()),
    }
}

fn parse(line: &str) -> Option<Event> {
    let stamp = field(line, "hlc")?;
    Some(Event { stamp: stamp.to_owned(), line: line.to_owned() })
}

/// The value of a key in a logfmt line; quotes are taken off.
fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let mut rest = line;
    loop {
        let at = rest.find(key)?;
        let starts = at == 0 || rest[..at].ends_with(' ');
        let after = &rest[at + key.len()..];
        if starts && let Some(value) = after.strip_prefix('=') {
            return Some(value_of(value));
        }
        rest = after;
    }
}

fn value_of(text: &str) -> &str {
    match text.strip_prefix('"') {
        Some(quoted) => quoted.split('"').next().unwrap_or(quoted),
        None => text.split(' ').next().unwrap_or(text),
    }
}

/// Attempts that the wanted request made.
fn attempts<'a>(events: &'a [Event], request: Option<&str>) -> BTreeSet<&'a str> {
    let Some(request) = request else { return BTreeSet::new() };
    let own = events.iter().filter(|event| field(&event.line, "request") == Some(request));
    own.filter_map(|event| field(&event.line, "attempt")).collect()
}

fn wanted(args: &Args, attempts: &BTreeSet<&str>, event: &Event) -> bool {
    let line = &event.line;
    let by_request = args.request.as_deref().is_none_or(|request| {
        field(line, "request") == Some(request)
            || field(line, "attempt").is_some_and(|attempt| attempts.contains(attempt))
    });
    let by_endpoint = args
        .endpoint
        .as_deref()
        .is_none_or(|endpoint| ["peer", "endpoint", "process"].iter().any(|key| field(line, key) == Some(endpoint)));
    let after = args.from.as_ref().is_none_or(|from| event.stamp >= *from);
    let before = args.until.as_ref().is_none_or(|until| event.stamp <= *until);
    by_request && by_endpoint && after && before
}
