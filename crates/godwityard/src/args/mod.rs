//! Arguments of each subcommand.

use std::path::PathBuf;

use argh::FromArgs;

/// Queries a godwityard fleet, checks its documents and shows its state.
#[derive(FromArgs)]
#[argh(error_code(1, "findings, or a refused request that did not run"))]
#[argh(error_code(2, "wrong usage"))]
#[argh(error_code(3, "host unreachable, or its admin API failed"))]
#[argh(error_code(4, "partial answer"))]
#[argh(error_code(5, "no usable answer, and the request may have run"))]
pub(crate) struct Args {
    #[argh(subcommand)]
    pub(crate) command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Query(Query),
    Ticket(Ticket),
    Execute(Execute),
    Check(Check),
    Status(Status),
    Explain(Explain),
    Version(Version),
}

/// Sends a query to a service and prints the answer and its coverage.
#[derive(FromArgs)]
#[argh(subcommand, name = "query")]
pub(crate) struct Query {
    /// name of the service
    #[argh(positional)]
    pub(crate) service: String,
    /// body of the query
    #[argh(positional)]
    pub(crate) body: Option<String>,
    /// shard to query; default: all shards
    #[argh(option)]
    pub(crate) shard: Option<u32>,
    /// file with the body; `-` reads standard input
    #[argh(option)]
    pub(crate) file: Option<PathBuf>,
    /// deadline in ms; default: the service's deadline
    #[argh(option)]
    pub(crate) deadline_ms: Option<u64>,
    /// minimum coverage, 0.0 to 1.0; default: the service's minimum
    #[argh(option)]
    pub(crate) min_coverage: Option<f64>,
    /// address of a host for callers, IP:PORT; default: $GODWITYARD_ADDRESS
    #[argh(option)]
    pub(crate) address: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Requests a ticket for one non-idempotent request and prints it.
#[derive(FromArgs)]
#[argh(subcommand, name = "ticket")]
pub(crate) struct Ticket {
    /// name of the service
    #[argh(positional)]
    pub(crate) service: String,
    /// address of a host for callers, IP:PORT; default: $GODWITYARD_ADDRESS
    #[argh(option)]
    pub(crate) address: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Runs a non-idempotent request under a ticket. Sending it again under the
/// same ticket is safe: it runs at most once.
#[derive(FromArgs)]
#[argh(subcommand, name = "execute")]
pub(crate) struct Execute {
    /// name of the service
    #[argh(positional)]
    pub(crate) service: String,
    /// body of the request
    #[argh(positional)]
    pub(crate) body: Option<String>,
    /// ticket that `godwityard ticket` printed
    #[argh(option)]
    pub(crate) ticket: String,
    /// shard to run on; default: all shards
    #[argh(option)]
    pub(crate) shard: Option<u32>,
    /// file with the body; `-` reads standard input
    #[argh(option)]
    pub(crate) file: Option<PathBuf>,
    /// deadline in ms; default: the service's deadline
    #[argh(option)]
    pub(crate) deadline_ms: Option<u64>,
    /// address of a host for callers, IP:PORT; default: $GODWITYARD_ADDRESS
    #[argh(option)]
    pub(crate) address: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Checks documents and settings, each alone and against each other, or a
/// configuration of the platform, and prints every finding with its position.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// files, or folders that are searched for .yaml and .yml files
    #[argh(positional)]
    pub(crate) paths: Vec<PathBuf>,
    /// file with a configuration of the platform, checked instead of documents
    #[argh(option)]
    pub(crate) configuration: Option<PathBuf>,
    /// file with another version of the configuration, usually the active one, to
    /// compare with
    #[argh(option)]
    pub(crate) against: Option<PathBuf>,
    /// settings file of a host, for its regions and its memory
    #[argh(option)]
    pub(crate) settings: Option<PathBuf>,
    /// file with a page of the store that lists targets
    #[argh(option)]
    pub(crate) targets: Option<PathBuf>,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Shows the state of the fleet as a host sees it.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {
    /// view to show: status (the default), domains, targets, services or
    /// decisions
    #[argh(positional, default = "\"status\".to_owned()")]
    pub(crate) view: String,
    /// admin address of a host, IP:PORT; default: $GODWITYARD_ADMIN
    #[argh(option)]
    pub(crate) admin: Option<String>,
    /// file with the admin token; default: $GODWITYARD_TOKEN
    #[argh(option)]
    pub(crate) token_file: Option<PathBuf>,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Shows why a recent request was routed, refused or answered in part, as reported
/// by the host that received it or by the logs of hosts.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct Explain {
    /// id of the request, as stated in its answer or refusal
    #[argh(positional)]
    pub(crate) request: String,
    /// file with logs of hosts, read instead of asking a host; `-` reads standard
    /// input; may be given several times
    #[argh(option)]
    pub(crate) log: Vec<PathBuf>,
    /// admin address of the host that received the request; default:
    /// $GODWITYARD_ADMIN
    #[argh(option)]
    pub(crate) admin: Option<String>,
    /// file with the admin token; default: $GODWITYARD_TOKEN
    #[argh(option)]
    pub(crate) token_file: Option<PathBuf>,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Prints the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
pub(crate) struct Version {
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}
