//! Stand-ins of the second review: the platform's store, servers, engines and clients, as small as
//! the cases need them, and the cases themselves. Only the standard library is used.
//!
//! Usage: standin-2 CASE RECORD ROOT. The environment variable TROUBLE=0 leaves the disruption out.

mod failing;
mod gateway;
mod http;
mod json;
mod leaving;
mod memory;
mod moving;
mod plain;
mod record;
mod store;
mod versions;

use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record, root] = &arguments[..] else {
        eprintln!("usage: standin-2 CASE RECORD ROOT");
        exit(2);
    };
    record::open(record);
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record::line(&format!("case {case}, disruption: {has_trouble}"));
    // Whatever hangs, no process of the case outlives it.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(112));
        record::line("the case took too long");
        gateway::kill_all();
        exit(2);
    });
    let result = match case.as_str() {
        "memory" => memory::run(root, has_trouble),
        "failing" => failing::run(root, has_trouble),
        "leaving" => leaving::run(root, has_trouble),
        "moving" => moving::run(root, has_trouble),
        "versions" => versions::run(root, has_trouble),
        other => Err(format!("there is no case {other}")),
    };
    gateway::kill_all();
    let status = match result {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(reason) => {
            record::line(&format!("could not run: {reason}"));
            2
        }
    };
    record::line(&format!("exit status {status}"));
    exit(status);
}
