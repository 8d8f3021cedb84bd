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
