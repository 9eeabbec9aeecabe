//! The operators' tool: edits and shows the settings tree, and shows status and cost.

use std::process::ExitCode;

use amaranthscale::operator::ctl::run_program;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    run_program(std::env::args_os()).await.into()
}
