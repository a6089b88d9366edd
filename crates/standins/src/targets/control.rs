//! Control API of the targets: changes knobs and reads records.

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

/// Applies a change. Responds with the number of selected targets, or with 422
/// and the error as text.
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

/// Clears all records and run counts.
#[post("/reset")]
fn reset(set: &State<TargetSet>) -> Status {
    set.reset();
    Status::NoContent
}
