//! Tests of `sorrelpass plan`, `confirm`, `drain` and `status` that need no entry, and of each role's refusal of the
//! other role's settings. The tests of the `standin` crate run the subcommands against a deployment.

mod common;

use common::{TempDir, run_sorrelpass};

/// Address on which nothing listens, since port 1 is reserved.
const UNREACHABLE_ADDRESS: &str = "127.0.0.1:1";

#[test]
fn the_error_names_the_step_and_the_unreachable_entry() {
    let dir = TempDir::new("operators-nowhere");
    let changes = dir.file("changes.json", "{\"changes\":[]}");
    for args in [
        vec!["status", "--entry", UNREACHABLE_ADDRESS],
        vec!["plan", "--entry", UNREACHABLE_ADDRESS, &changes],
        vec!["confirm", "--entry", UNREACHABLE_ADDRESS, "plan-1"],
        vec!["drain", "--entry", UNREACHABLE_ADDRESS, "engine-1"],
    ] {
        let (text, success) = run_sorrelpass(&args);
        assert!(!success && text.contains("step=call peer=127.0.0.1:1"), "{args:?}: {text}");
    }
}

#[test]
fn the_error_names_a_missing_file() {
    let (text, success) = run_sorrelpass(&["plan", "--entry", UNREACHABLE_ADDRESS, "no-such.json"]);
    assert!(!success && text.contains("step=read-changes file=no-such.json"), "{text}");
    let (text, success) = run_sorrelpass(&["status", "--entry", UNREACHABLE_ADDRESS, "--key-file", "no-such-key"]);
    assert!(!success && text.contains("step=read-key file=no-such-key"), "{text}");
}

#[test]
fn a_role_refuses_the_other_roles_settings() {
    let dir = TempDir::new("operators-roles");
    let sidecar = dir.file(
        "sidecar.ini",
        "[process]\nname = s\nfailure_domain = d\n[sidecar]\nlisten = 127.0.0.1:1\nendpoint = e\n\
         endpoint_address = 127.0.0.1:1\nservice = x\n",
    );
    let (text, success) = run_sorrelpass(&["entry", &sidecar]);
    assert!(!success && text.contains("a sidecar's settings"), "{text}");
}

#[test]
fn every_subcommand_has_help() {
    for command in ["entry", "sidecar", "check", "plan", "confirm", "drain", "status", "timeline"] {
        let (text, success) = run_sorrelpass(&[command, "--help"]);
        assert!(success && text.contains("Usage: sorrelpass"), "{text}");
    }
}
