//! Log lines and metrics of the owner's decisions.

use std::time::Duration;

use base::TargetName;
use policy::{
    message::{Part, PartResult},
    owner::TargetEvent,
};
use slog::{Logger, debug, info, o, warn};
use telemetry::{Metrics, metrics::label};

use crate::cx::OwnerCx;

pub(crate) struct Recorder {
    log: Logger,
    metrics: Metrics,
}

impl Recorder {
    pub fn new(cx: &OwnerCx) -> Self {
        let log = telemetry::part_logger(&cx.log, telemetry::Part::Owner);
        let log = log.new(o!("owner" => cx.host.to_string()));
        Recorder { log, metrics: cx.metrics.clone() }
    }

    pub fn record_event(&self, target: &TargetName, event: &TargetEvent) {
        self.count_event(event);
        self.log_event(target, event);
    }

    /// Records a part sent by the owner in the metrics.
    pub fn record_part(&self, part: &Part) {
        let result = match &part.result {
            PartResult::Answer { .. } => "answered",
            PartResult::Failed { missing, .. } => missing.as_str(),
        };
        self.metrics.subqueries.add(1, &[label("result", result)]);
        self.metrics.queue_wait.record(millis(part.queued), &[]);
        if result == "answered" {
            self.metrics.target_latency.record(millis(part.service_time), &[]);
        }
    }

    fn count_event(&self, event: &TargetEvent) {
        match event {
            TargetEvent::LimitRaised { .. } => {
                self.metrics.limit_changes.add(1, &[label("cause", "proven")]);
            }
            TargetEvent::LimitLowered { cause, .. } => {
                self.metrics.limit_changes.add(1, &[label("cause", cause.as_str())]);
            }
            TargetEvent::ConnectionClosed { cause, .. } => {
                self.metrics.connections_condemned.add(1, &[label("cause", cause.as_str())]);
            }
            TargetEvent::Assigned { .. } | TargetEvent::Released => {
                self.metrics.assignment_changes.add(1, &[]);
            }
            TargetEvent::Refused { .. }
            | TargetEvent::QueueFailed { .. }
            | TargetEvent::Up { .. }
            | TargetEvent::Down
            | TargetEvent::Leaving { .. } => {}
        }
    }

    fn log_event(&self, target: &TargetName, event: &TargetEvent) {
        let log = &self.log;
        let target = target.as_str();
        match event {
            TargetEvent::Assigned { slots, connections } => {
                info!(log, "target assigned";
                    "target" => target, "slots" => slots, "connections" => connections);
            }
            TargetEvent::Released => info!(log, "target released"; "target" => target),
            TargetEvent::LimitRaised { to } => {
                info!(log, "limit raised"; "target" => target, "to" => to);
            }
            TargetEvent::LimitLowered { to, cause } => {
                info!(log, "limit lowered";
                    "target" => target, "to" => to, "cause" => cause.as_str());
            }
            TargetEvent::ConnectionClosed { connection, cause } => {
                info!(log, "connection closed";
                    "target" => target, "connection" => connection.0, "cause" => cause.as_str());
            }
            TargetEvent::Up { incarnation } => {
                info!(log, "target up"; "target" => target, "incarnation" => incarnation.0);
            }
            TargetEvent::Down => warn!(log, "target down"; "target" => target),
            TargetEvent::Leaving { incarnation } => {
                info!(log, "target leaving"; "target" => target, "incarnation" => incarnation.0);
            }
            TargetEvent::QueueFailed { jobs, missing } => {
                info!(log, "queued subqueries failed before they were sent";
                    "target" => target, "jobs" => jobs, "reason" => missing.as_str());
            }
            TargetEvent::Refused { service, missing } => {
                debug!(log, "subquery refused";
                    "target" => target, "service" => service.as_str(),
                    "reason" => missing.as_str());
            }
        }
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
