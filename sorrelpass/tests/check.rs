//! `sorrelpass check`

mod common;

use common::{Dir, sorrelpass};

const ENTRY: &str = "[process]\nname = entry-1\nfailure_domain = nyabugogo\n\n[entry]\nlisten = 127.0.0.1:8080\n\
    peer_listen = 127.0.0.1:8081\n\n[platform]\nlog_address = 127.0.0.1:9000\nvms_address = 127.0.0.1:9001\n";

#[test]
fn good_settings_pass() {
    let dir = Dir::new("check-good");
    let (text, ok) = sorrelpass(&["check", &dir.file("entry.ini", ENTRY)]);
    assert!(ok && text.contains("role=entry ok"), "{text}");
}

#[test]
fn every_fault_is_named_with_file_line_key_and_reason() {
    let dir = Dir::new("check-bad");
    let bad = ENTRY
        .replace("listen = 127.0.0.1:8080", "listen = nowhere\npicker = lucky\ncandidates = 0\ncolour = red")
        .replace("failure_domain = nyabugogo\n", "")
        .replace("vms_address = 127.0.0.1:9001\n", "");
    let file = dir.file("entry.ini", &bad);
    let (text, ok) = sorrelpass(&["check", &file]);
    assert!(!ok);
    for fault in [
        "key=process.failure_domain reason=\"missing",
        "line=5 key=entry.listen reason=\"\\\"nowhere\\\" is not an address",
        "line=6 key=entry.picker reason=\"\\\"lucky\\\" is none of: active-tokens, least-outstanding, quoted, round-robin",
        "line=7 key=entry.candidates reason=\"0 lies outside 1 to 16",
        "line=8 key=entry.colour reason=\"unknown key",
        "key=platform.vms_address reason=\"missing",
    ] {
        assert!(text.contains(fault), "{fault}\n{text}");
    }
    assert_eq!(text.matches(&file).count(), 6, "{text}");
}

#[test]
fn a_secret_is_never_echoed() {
    let dir = Dir::new("check-secret");
    let short = dir.file("secret", "hunter2");
    let text = ENTRY.replace("[platform]", &format!("ticket_secret_file = {short}\n\n[platform]"));
    let (text, ok) = sorrelpass(&["check", &dir.file("entry.ini", &text)]);
    assert!(!ok && text.contains("shorter than 16 bytes"), "{text}");
    assert!(!text.contains("hunter2"));
}

#[test]
fn a_file_with_both_roles_or_none_is_a_fault() {
    let dir = Dir::new("check-roles");
    let (text, ok) = sorrelpass(&["check", &dir.file("none.ini", "[process]\nname = x\n")]);
    assert!(!ok && text.contains("exactly one of the sections"), "{text}");
    let (text, ok) = sorrelpass(&["check", "no-such-file.ini"]);
    assert!(!ok && text.contains("no-such-file.ini"), "{text}");
}

/// Keys that a table of docs/OPERATING.md names under a heading such as `[entry]`.
fn documented(section: &str) -> Vec<String> {
    let page = include_str!("../../docs/OPERATING.md");
    let start = page.find(&format!("`[{section}]`")).expect("the section has a table");
    let table = page[start..]
        .lines()
        .skip(1)
        .skip_while(|line| !line.starts_with('|'))
        .take_while(|line| line.starts_with('|'));
    let cells = table.skip(2).filter_map(|line| line.split('|').nth(1));
    // `a`, `b` are two keys; `x_file` / `_env` are x_file and x_env.
    cells
        .flat_map(|cell| {
            let words: Vec<&str> = cell.split('`').skip(1).step_by(2).collect();
            let first = words[0].to_owned();
            words
                .into_iter()
                .map(move |word| match word.strip_prefix('_') {
                    Some(suffix) => format!("{}_{suffix}", first.trim_end_matches("_file")),
                    None => word.to_owned(),
                })
                .collect::<Vec<_>>()
        })
        .collect()
}

/// Keys that the source asks for in a section.
fn asked(section: &str) -> Vec<String> {
    let source: String = include_str!("../src/config/mod.rs").split_whitespace().collect();
    let marker = format!("(\"{section}\",\"");
    let with_reader = format!("(reader,\"{section}\",\"");
    let mut keys = Vec::new();
    for marker in [marker, with_reader] {
        for (at, _) in source.match_indices(&marker) {
            let before = &source[..at];
            let key = source[at + marker.len()..].split('"').next().expect("a key").to_owned();
            if before.ends_with("reader.fault") {
                continue;
            }
            if before.ends_with("reader.secret") {
                keys.extend([format!("{key}_file"), format!("{key}_env")]);
            } else {
                keys.push(key);
            }
        }
    }
    keys
}

#[test]
fn the_operators_page_names_exactly_the_settings_that_there_are() {
    for section in ["process", "platform", "entry", "sidecar"] {
        let (mut page, mut code) = (documented(section), asked(section));
        page.sort_unstable();
        code.sort_unstable();
        code.dedup();
        assert_eq!(page, code, "[{section}]");
    }
}
