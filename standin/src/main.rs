//! Entry point of the `standin` binary.

mod cmd;

fn main() -> std::process::ExitCode {
    cmd::main()
}
