//! Stand-ins and judges of the scripts of the second review. Usage: `standin-2 CASE RECORD`, at the repository's root.
//! A case starts its model replicas as processes of their own: `standin-2 engine ID`.
//!
//! With `TROUBLE=0` in the environment, a case runs without its disruption. The exit status is 1 if the rule was broken,
//! 0 if it held, and 2 if the case could not run.

mod client;
mod engine;
mod entry;
mod http;
mod replica;
mod revoked;
mod site;
mod stop;
mod store;
mod unframed;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if let [_, role, id] = &arguments[..]
        && role == "engine"
    {
        return engine::run(id);
    }
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: standin-2 unframed|revoked|stop RECORD, or standin-2 engine ID");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let mut record = site::Record::default();
    let status = match case.as_str() {
        "unframed" => unframed::run(has_trouble, &mut record),
        "revoked" => revoked::run(has_trouble, &mut record),
        "stop" => stop::run(has_trouble, &mut record),
        _ => 2,
    };
    record.line(&format!("exit status {status}"));
    record.write(path);
    std::process::exit(status);
}
