//! `sorrelpass plan`, `confirm`, `drain` and `status`, as far as they need no entry, and the
//! refusal of a role's settings by the other role. Against a fleet they are tested beside the stand-ins.

mod common;

use common::{Dir, sorrelpass};

/// An address on which nothing listens: port 1 is reserved.
const NOWHERE: &str = "127.0.0.1:1";

#[test]
fn an_entry_that_cannot_be_reached_is_named_with_the_step() {
    let dir = Dir::new("operators-nowhere");
    let changes = dir.file("changes.json", "{\"changes\":[]}");
    for args in [
        vec!["status", "--entry", NOWHERE],
        vec!["plan", "--entry", NOWHERE, &changes],
        vec!["confirm", "--entry", NOWHERE, "plan-1"],
        vec!["drain", "--entry", NOWHERE, "engine-1"],
    ] {
        let (text, ok) = sorrelpass(&args);
        assert!(!ok && text.contains("step=call peer=127.0.0.1:1"), "{args:?}: {text}");
    }
}

#[test]
fn a_missing_file_is_named() {
    let (text, ok) = sorrelpass(&["plan", "--entry", NOWHERE, "no-such.json"]);
    assert!(!ok && text.contains("step=read-changes file=no-such.json"), "{text}");
    let (text, ok) = sorrelpass(&["status", "--entry", NOWHERE, "--key-file", "no-such-key"]);
    assert!(!ok && text.contains("step=read-key file=no-such-key"), "{text}");
}

#[test]
fn a_role_refuses_the_other_roles_settings() {
    let dir = Dir::new("operators-roles");
    let sidecar = dir.file(
        "sidecar.ini",
        "[process]\nname = s\nfailure_domain = d\n[sidecar]\nlisten = 127.0.0.1:1\nendpoint = e\n\
         endpoint_address = 127.0.0.1:1\nservice = x\n",
    );
    let (text, ok) = sorrelpass(&["entry", &sidecar]);
    assert!(!ok && text.contains("a sidecar's settings"), "{text}");
}

#[test]
fn every_subcommand_has_help() {
    for command in ["entry", "sidecar", "check", "plan", "confirm", "drain", "status", "timeline"] {
        let (text, ok) = sorrelpass(&[command, "--help"]);
        assert!(ok && text.contains("Usage: sorrelpass"), "{text}");
    }
}
