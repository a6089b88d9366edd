//! HTTP interface for operators. It is read-only, and requires a bearer token if
//! one is configured.

mod state;

use rocket::{
    Build, Data, Request, Rocket, Route,
    http::Method,
    route::{Handler, Outcome},
};
use subtle::ConstantTimeEq;

use crate::{
    cx::EntryCx,
    http::{self, Reply},
    interfaces::{Owners, State},
    wire::DecisionBody,
};

/// Builds the server for operators. The daemon configures its address, port and
/// shutdown.
pub fn admin_rocket<S: State, O: Owners>(cx: EntryCx<S, O>) -> Rocket<Build> {
    let route = |path, view| Route::new(Method::Get, path, AdminHandler { cx: cx.clone(), view });
    let routes = vec![
        route("/v1/status", View::Status),
        route("/v1/domains", View::Domains),
        route("/v1/targets", View::Targets),
        route("/v1/services", View::Services),
        route("/v1/decisions", View::Decisions),
        route("/v1/explain/<request>", View::Explain),
    ];
    rocket::custom(http::server_config()).mount("/", routes).register("/", [http::catcher()])
}

/// Returns whether a request presents `token`, or no token is required. The
/// daemon uses it for its own routes on the same server.
pub fn is_authorized(token: Option<&str>, req: &Request<'_>) -> bool {
    let Some(token) = token else { return true };
    let header = req.headers().get_one("authorization").unwrap_or_default();
    let presented = header.strip_prefix("Bearer ").unwrap_or_default();
    presented.as_bytes().ct_eq(token.as_bytes()).into()
}

#[derive(Clone, Copy, Debug)]
enum View {
    Status,
    Domains,
    Targets,
    Services,
    Decisions,
    Explain,
}

struct AdminHandler<S, O> {
    cx: EntryCx<S, O>,
    view: View,
}

impl<S, O> Clone for AdminHandler<S, O> {
    fn clone(&self) -> Self {
        AdminHandler { cx: self.cx.clone(), view: self.view }
    }
}

#[rocket::async_trait]
impl<S: State, O: Owners> Handler for AdminHandler<S, O> {
    async fn handle<'r>(&self, req: &'r Request<'_>, _data: Data<'r>) -> Outcome<'r> {
        if !is_authorized(self.cx.admin_token(), req) {
            return Outcome::Success(problem(401, "a bearer token is asked for").into_response());
        }
        let reply = match self.view {
            View::Status => Reply::json(200, &state::status(&self.cx)),
            View::Domains => Reply::json(200, &state::domains(&self.cx)),
            View::Targets => Reply::json(200, &state::targets(&self.cx)),
            View::Services => Reply::json(200, &state::services(&self.cx)),
            View::Decisions => decisions(&self.cx),
            View::Explain => explain(&self.cx, req),
        };
        Outcome::Success(reply.into_response())
    }
}

fn decisions<S: State, O: Owners>(cx: &EntryCx<S, O>) -> Reply {
    let now = cx.now();
    let latest = cx.inner.recent.latest();
    let bodies: Vec<_> = latest.iter().map(|it| DecisionBody::summary(now, it)).collect();
    Reply::json(200, &bodies)
}

fn explain<S: State, O: Owners>(cx: &EntryCx<S, O>, req: &Request<'_>) -> Reply {
    const REQUEST_SEGMENT: usize = 2;
    let id = req.param::<&str>(REQUEST_SEGMENT).and_then(Result::ok).unwrap_or_default();
    let Ok(id) = id.parse() else {
        return problem(400, "a request id has 32 hexadecimal digits");
    };
    match cx.inner.recent.find(id) {
        Some(decision) => Reply::json(200, &DecisionBody::full(cx.now(), &decision)),
        None => problem(404, "this host keeps no such request; ask the one that answered it"),
    }
}

#[derive(Debug)]
#[derive(serde::Serialize)]
struct ProblemBody {
    status: u16,
    detail: &'static str,
}

fn problem(status: u16, detail: &'static str) -> Reply {
    Reply::json(status, &ProblemBody { status, detail })
}
