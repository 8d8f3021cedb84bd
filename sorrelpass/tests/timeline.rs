//! Tests of `sorrelpass timeline`.

mod common;

use common::{TempDir, run_sorrelpass};

const ENTRY_LOG: &str = "ts=1 level=info hlc=0000000000000003/a process=entry-1 step=done request=r1\n\
    not an event\n\
    ts=1 level=info hlc=0000000000000001/a process=entry-1 step=attempt request=r1 attempt=a1 peer=engine-1\n\
    ts=1 level=info hlc=0000000000000004/a process=entry-1 step=attempt request=r2 attempt=a2 peer=engine-2\n";
const SIDECAR_LOG: &str = "ts=1 level=info hlc=0000000000000002/b process=sidecar-1 step=void attempt=a1\n";

fn write_logs(dir: &TempDir) -> [String; 2] {
    [dir.file("entry.log", ENTRY_LOG), dir.file("sidecar.log", SIDECAR_LOG)]
}

fn steps(text: &str) -> Vec<&str> {
    text.split(' ').filter_map(|field| field.strip_prefix("step=")).map(str::trim).collect()
}

#[test]
fn logs_are_merged_by_timestamp() {
    let dir = TempDir::new("timeline-merge");
    let [entry, sidecar] = write_logs(&dir);
    let (text, success) = run_sorrelpass(&["timeline", &entry, &sidecar]);
    assert!(success);
    assert_eq!(steps(&text), ["attempt", "void", "done", "attempt"]);
}

#[test]
fn a_request_is_followed_through_its_attempts() {
    let dir = TempDir::new("timeline-request");
    let [entry, sidecar] = write_logs(&dir);
    let (text, _) = run_sorrelpass(&["timeline", "--request", "r1", &entry, &sidecar]);
    assert_eq!(steps(&text), ["attempt", "void", "done"]);
}

#[test]
fn events_are_filtered_by_endpoint_and_time() {
    let dir = TempDir::new("timeline-narrow");
    let [entry, sidecar] = write_logs(&dir);
    let (text, _) = run_sorrelpass(&["timeline", "--endpoint", "engine-2", &entry, &sidecar]);
    assert!(text.contains("request=r2") && text.lines().count() == 1, "{text}");
    let (text, _) =
        run_sorrelpass(&["timeline", "--from", "0000000000000002", "--until", "0000000000000003/z", &entry, &sidecar]);
    assert_eq!(steps(&text), ["void", "done"]);
}

#[test]
fn the_error_names_a_missing_file() {
    let (text, success) = run_sorrelpass(&["timeline", "no-such.log"]);
    assert!(!success && text.contains("file=no-such.log"), "{text}");
}
