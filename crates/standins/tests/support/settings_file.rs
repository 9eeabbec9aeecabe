//! Daemons that are started with a settings file.

use std::ffi::OsString;
use std::fs;
use std::path::Path;

use super::{ChildProcess, sibling_program};

/// Writes a settings file and starts a daemon with it.
pub fn start_daemon(
    program: &str,
    settings_dir: &Path,
    name: &str,
    settings: &str,
) -> ChildProcess {
    let file = settings_dir.join(format!("{name}.ini"));
    fs::write(&file, settings).expect("a settings file is written");
    let program = sibling_program(program).expect("the daemons are built");
    let arguments = [OsString::from("--config"), file.into_os_string()];
    ChildProcess::start(program, arguments).expect("the daemon starts")
}
