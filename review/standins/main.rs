//! Stand-ins of the platform, the store, the leafs and the clients for the cases of
//! the review. Uses the standard library only; every address is a loopback address.
//!
//! `play CASE FOLDER` plays a case in the repository's root, writes `record.txt` into
//! the folder, and exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case could not run. With `TROUBLE=0` in the environment there is no disruption.

mod cases;
mod client;
mod deployment;
mod host;
mod http;
mod ingress;
mod leaf;
mod proxy;
mod record;
mod store;

use std::process::exit;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: play CASE FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let record = record::Record::new(folder);
    host::limit_run_time(&record);
    let broken = match case.as_str() {
        "encoded-answer" => cases::encoded_answer::play(&record, has_trouble),
        "stop-in-turn" => cases::stop_in_turn::play(&record, has_trouble),
        "endless-chunks" => cases::endless_chunks::play(&record, has_trouble),
        "lost-store-answer" => cases::lost_store_answer::play(&record, has_trouble),
        "silent-store" => cases::silent_store::play(&record, has_trouble),
        "readers-cut" => cases::readers_cut::play(&record, has_trouble),
        "foreign-entry" => cases::foreign_entry::play(&record, has_trouble),
        "late-health-answer" => cases::late_health_answer::play(&record, has_trouble),
        _ => Err(format!("no case is named {case}")),
    };
    host::end_all();
    let code = match broken {
        Ok(0) => {
            record.line("result: the rule held");
            0
        }
        Ok(count) => {
            record.line(&format!("result: the rule was broken, {count} times"));
            1
        }
        Err(err) => {
            record.line(&format!("result: could not run: {err}"));
            2
        }
    };
    record.write();
    exit(code);
}
