//! Settings files of daemons.

use std::ffi::OsString;
use std::fs;
use std::path::Path;

use super::{ChildProcess, sibling_program};

/// Starts a daemon by a settings file that is written for it.
pub fn start_daemon(program: &str, folder: &Path, name: &str, settings: &str) -> ChildProcess {
    let file = folder.join(format!("{name}.ini"));
    fs::write(&file, settings).expect("a settings file is written");
    let program = sibling_program(program).expect("the daemons are built");
    let arguments = [OsString::from("--config"), file.into_os_string()];
    ChildProcess::start(program, arguments).expect("the daemon starts")
}
