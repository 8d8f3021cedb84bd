//! The `standin` binary: dispatches to one subcommand.

mod cmd;

fn main() -> std::process::ExitCode {
    cmd::main()
}
