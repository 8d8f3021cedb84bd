//! Tests of `sorrelpass check`.

mod common;

use common::{TempDir, run_sorrelpass};

const ENTRY_SETTINGS: &str = "[process]\nname = entry-1\nfailure_domain = nyabugogo\n\n[entry]\nlisten = 127.0.0.1:8080\n\
    peer_listen = 127.0.0.1:8081\n\n[platform]\nlog_address = 127.0.0.1:9000\nvms_address = 127.0.0.1:9001\n";

#[test]
fn valid_settings_pass() {
    let dir = TempDir::new("check-good");
    let (text, success) = run_sorrelpass(&["check", &dir.file("entry.ini", ENTRY_SETTINGS)]);
    assert!(success && text.contains("role=entry ok"), "{text}");
}

#[test]
fn every_fault_is_named_with_file_line_key_and_reason() {
    let dir = TempDir::new("check-bad");
    let invalid = ENTRY_SETTINGS
        .replace("listen = 127.0.0.1:8080", "listen = nowhere\npicker = lucky\ncandidates = 0\ncolour = red")
        .replace("failure_domain = nyabugogo\n", "")
        .replace("vms_address = 127.0.0.1:9001\n", "");
    let file = dir.file("entry.ini", &invalid);
    let (text, success) = run_sorrelpass(&["check", &file]);
    assert!(!success);
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
    let dir = TempDir::new("check-secret");
    let secret_file = dir.file("secret", "hunter2");
    let settings = ENTRY_SETTINGS.replace("[platform]", &format!("ticket_secret_file = {secret_file}\n\n[platform]"));
    let (text, success) = run_sorrelpass(&["check", &dir.file("entry.ini", &settings)]);
    assert!(!success && text.contains("shorter than 16 bytes"), "{text}");
    assert!(!text.contains("hunter2"));
}

#[test]
fn a_file_without_a_role_and_a_missing_file_are_faults() {
    let dir = TempDir::new("check-roles");
    let (text, success) = run_sorrelpass(&["check", &dir.file("none.ini", "[process]\nname = x\n")]);
    assert!(!success && text.contains("exactly one of the sections"), "{text}");
    let (text, success) = run_sorrelpass(&["check", "no-such-file.ini"]);
    assert!(!success && text.contains("no-such-file.ini"), "{text}");
}

/// Returns the keys in the table of docs/OPERATING.md under the heading of a section such as `[entry]`.
fn documented_keys(section: &str) -> Vec<String> {
    let page = include_str!("../../docs/OPERATING.md");
    let start = page.find(&format!("`[{section}]`")).expect("the section has a table");
    let table = page[start..]
        .lines()
        .skip(1)
        .skip_while(|line| !line.starts_with('|'))
        .take_while(|line| line.starts_with('|'));
    let cells = table.skip(2).filter_map(|line| line.split('|').nth(1));
    // A cell may name several keys: `a`, `b` stands for a and b, and `x_file` / `_env` for x_file and x_env.
    cells
        .flat_map(|cell| {
            let words: Vec<&str> = cell.split('`').skip(1).step_by(2).collect();
            let first_key = words[0].to_owned();
            words
                .into_iter()
                .map(move |word| match word.strip_prefix('_') {
                    Some(suffix) => format!("{}_{suffix}", first_key.trim_end_matches("_file")),
                    None => word.to_owned(),
                })
                .collect::<Vec<_>>()
        })
        .collect()
}

/// Returns the keys of a section that the source code reads, found by the calls that contain the section's name.
fn keys_in_source(section: &str) -> Vec<String> {
    let source: String = include_str!("../src/config/mod.rs").split_whitespace().collect();
    let method_call = format!("(\"{section}\",\"");
    let function_call = format!("(reader,\"{section}\",\"");
    let mut keys = Vec::new();
    for call_start in [method_call, function_call] {
        for (position, _) in source.match_indices(&call_start) {
            let preceding_source = &source[..position];
            let key = source[position + call_start.len()..].split('"').next().expect("a key").to_owned();
            if preceding_source.ends_with("reader.fault") {
                continue;
            }
            if preceding_source.ends_with("reader.secret") {
                keys.extend([format!("{key}_file"), format!("{key}_env")]);
            } else {
                keys.push(key);
            }
        }
    }
    keys
}

#[test]
fn the_operators_page_documents_exactly_the_settings_in_the_source() {
    for section in ["process", "platform", "entry", "sidecar"] {
        let (mut documented, mut read) = (documented_keys(section), keys_in_source(section));
        documented.sort_unstable();
        read.sort_unstable();
        read.dedup();
        assert_eq!(documented, read, "[{section}]");
    }
}
