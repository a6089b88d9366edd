//! One connection to a target, from its opening to its end.

use std::{net::SocketAddr, pin::pin};

use base::TargetName;
use bytes::Bytes;
use forward::target::SendResult;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, sync::mpsc};

use super::{Job, Outcome, exchange::exchange, finish};
use crate::{SharedCx, socket};

/// Opens a connection for `job` and keeps it while it is good.
pub(super) fn open(cx: &SharedCx, job: Job) {
    let address = {
        let targets = cx.targets.borrow();
        let target = targets.target(job.send.target);
        target.map(|it| (it.report.address, it.report.name.clone()))
    };
    let Some((address, name)) = address else {
        finish(cx, &job, Outcome { result: SendResult::NotSent, answer: None });
        return;
    };
    tokio::task::spawn_local(run(cx.clone(), address, name, job));
}

async fn run(cx: SharedCx, address: SocketAddr, name: TargetName, job: Job) {
    let stream = match connect(address, &job).await {
        Ok(stream) => stream,
        Err(result) => {
            finish(&cx, &job, Outcome { result, answer: None });
            return;
        }
    };
    let handshake = http1::Builder::new().handshake::<_, Full<Bytes>>(TokioIo::new(stream)).await;
    let Ok((mut sender, connection)) = handshake else {
        finish(&cx, &job, Outcome { result: SendResult::NotSent, answer: None });
        return;
    };
    let mut connection = pin!(connection);
    let target = job.send.target;
    let (tx, mut jobs) = mpsc::unbounded_channel();
    let mut next = Some(job);
    loop {
        let job = match next.take() {
            Some(job) => job,
            None => {
                tokio::select! {
                    biased;
                    _ = connection.as_mut() => break,
                    job = jobs.recv() => match job {
                        Some(job) => job,
                        None => break,
                    },
                }
            }
        };
        let ended = exchange(&cx, &name, &mut sender, connection.as_mut(), &job).await;
        if ended.is_reusable {
            cx.pools.borrow_mut().put(target, tx.clone());
        }
        finish(&cx, &job, ended.outcome);
        if !ended.is_reusable {
            break;
        }
    }
    cx.pools.borrow_mut().forget(target, &tx);
    jobs.close();
    while let Ok(job) = jobs.try_recv() {
        finish(&cx, &job, Outcome { result: SendResult::NotSent, answer: None });
    }
}

/// Connects unless the request's time ends first.
async fn connect(address: SocketAddr, job: &Job) -> Result<TcpStream, SendResult> {
    tokio::select! {
        made = socket::connect(address) => made.map_err(|_| SendResult::Silent),
        () = tokio::time::sleep_until(job.request.until) => Err(SendResult::Silent),
    }
}
