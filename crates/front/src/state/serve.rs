//! Serves this host's state to peers.

use std::convert::Infallible;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use slog::warn;
use tokio::net::{TcpListener, TcpStream};

use super::{
    Part,
    wire::{WireConfiguration, WireState, WireTarget, WireUnlisted, ms},
};
use crate::{
    MessageKind, SharedCx,
    callers::{MAX_HEADER_FIELDS, accept},
    follow::{self, Feed},
    messages::Relay,
    relay, socket,
};

pub(crate) async fn serve(cx: SharedCx, listener: TcpListener) {
    loop {
        let stream = accept(&cx, &listener).await;
        tokio::task::spawn_local(answer(cx.clone(), stream));
    }
}

async fn answer(cx: SharedCx, stream: TcpStream) {
    if socket::set_options(&stream).is_err() {
        return;
    }
    let service = service_fn(|req| {
        let cx = cx.clone();
        async move {
            let relayed = Relay::read(req.headers(), cx.clock.now());
            let answer = match relayed {
                Some(relay) => relay::answer(&cx, relay, req).await,
                None => match follow::answer(&cx, req.uri().path()).await {
                    Some(answer) => answer,
                    None => state(&cx, Part::of(req.uri().path())),
                },
            };
            Ok::<_, Infallible>(answer)
        }
    });
    // An error means that the peer closed the connection; it will retry.
    let _ = http1::Builder::new()
        .half_close(false)
        .max_headers(MAX_HEADER_FIELDS)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

fn state(cx: &SharedCx, part: Part) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(Bytes::new()));
    let encoded = {
        let cfg = cx.configuration.borrow();
        let Some(cfg) = cfg.as_ref() else {
            *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            return answer;
        };
        let now = cx.clock.now();
        let targets = cx.targets.borrow();
        let age_ms = |feed| {
            let known_until = cx.change_logs.of(feed).progress().proven_until();
            known_until.map(|it| ms(now.since(it)))
        };
        let configuration = WireConfiguration::from(&**cfg);
        let all = |configuration| WireState {
            configuration,
            follows_source: cx.follows_targets.get(),
            targets: targets.listed_reports(now).map(|it| WireTarget::from(&it)).collect(),
            targets_age_ms: age_ms(Feed::Targets),
            operations_age_ms: age_ms(Feed::Operations),
            unlisted: targets.unlisted(now).map(WireUnlisted::from).collect(),
            evacuated: targets.evacuated().iter().map(ToString::to_string).collect(),
        };
        serde_json::to_vec(&match part {
            Part::All => all(configuration),
            Part::Configuration => WireState::of_configuration(configuration),
        })
    };
    match encoded {
        Ok(mut bytes) => {
            cx.cfg.peer_keys.sign(MessageKind::State, &mut bytes);
            *answer.body_mut() = Full::new(Bytes::from(bytes));
        }
        Err(err) => {
            warn!(cx.log, "state: cannot encode this host's state"; "error" => %err);
            *answer.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
    }
    answer
}
