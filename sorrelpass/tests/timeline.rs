//! `sorrelpass timeline`

mod common;

use common::{Dir, sorrelpass};

const ENTRY: &str = "ts=1 level=info hlc=0000000000000003/a process=entry-1 step=done request=r1\n\
    not an event\n\
    ts=1 level=info hlc=0000000000000001/a process=entry-1 step=attempt request=r1 attempt=a1 peer=engine-1\n\
    ts=1 level=info hlc=0000000000000004/a process=entry-1 step=attempt request=r2 attempt=a2 peer=engine-2\n";
const SIDECAR: &str = "ts=1 level=info hlc=0000000000000002/b process=sidecar-1 step=void attempt=a1\n";

fn logs(dir: &Dir) -> [String; 2] {
    [dir.file("entry.log", ENTRY), dir.file("sidecar.log", SIDECAR)]
}

fn steps(text: &str) -> Vec<&str> {
    text.split(' ').filter_map(|field| field.strip_prefix("step=")).map(str::trim).collect()
}

#[test]
fn logs_are_merged_by_stamp() {
    let dir = Dir::new("timeline-merge");
    let [entry, sidecar] = logs(&dir);
    let (text, ok) = sorrelpass(&["timeline", &entry, &sidecar]);
    assert!(ok);
    assert_eq!(steps(&text), ["attempt", "void", "done", "attempt"]);
}

#[test]
fn a_request_is_followed_through_its_attempts() {
    let dir = Dir::new("timeline-request");
    let [entry, sidecar] = logs(&dir);
    let (text, _) = sorrelpass(&["timeline", "--request", "r1", &entry, &sidecar]);
    assert_eq!(steps(&text), ["attempt", "void", "done"]);
}

#[test]
fn endpoint_and_time_narrow_it_down() {
    let dir = Dir::new("timeline-narrow");
    let [entry, sidecar] = logs(&dir);
    let (text, _) = sorrelpass(&["timeline", "--endpoint", "engine-2", &entry, &sidecar]);
    assert!(text.contains("request=r2") && text.lines().count() == 1, "{text}");
    let (text, _) =
        sorrelpass(&["timeline", "--from", "0000000000000002", "--until", "0000000000000003/z", &entry, &sidecar]);
    assert_eq!(steps(&text), ["void", "done"]);
}

#[test]
fn a_missing_file_is_named() {
    let (text, ok) = sorrelpass(&["timeline", "no-such.log"]);
    assert!(!ok && text.contains("file=no-such.log"), "{text}");
}
