//! The control API of the targets: knobs in, records out.

use std::net::SocketAddr;

use rocket::{
    Build, Rocket, State, get, http::Status, post, response::status::Custom, routes,
    serde::json::Json,
};

use super::{RunCount, TargetChange, TargetRecord, TargetSet};
use crate::server::new_rocket;

pub fn rocket(set: TargetSet, address: SocketAddr) -> Rocket<Build> {
    new_rocket(address).manage(set).mount("/", routes![change, records, runs, reset])
}

/// Applies a change; answers with the number of targets selected.
#[post("/change", data = "<change>")]
fn change(set: &State<TargetSet>, change: Json<TargetChange>) -> Result<String, Custom<String>> {
    match set.apply(&change) {
        Ok(count) => Ok(count.to_string()),
        Err(detail) => Err(Custom(Status::UnprocessableEntity, detail)),
    }
}

#[get("/records")]
fn records(set: &State<TargetSet>) -> Json<Vec<TargetRecord>> {
    Json(set.records())
}

#[get("/runs")]
fn runs(set: &State<TargetSet>) -> Json<Vec<RunCount>> {
    Json(set.runs())
}

/// Empties all records.
#[post("/reset")]
fn reset(set: &State<TargetSet>) -> Status {
    set.reset();
    Status::NoContent
}
