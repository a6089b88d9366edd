//! Forwards one connection.

use std::net::SocketAddr;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{mpsc, watch},
    time::{self, Instant},
};

use super::{Direction, Rules, connect};

const MAX_CHUNK_BYTES: usize = 16 << 10;
/// Limit of chunks in flight in one direction.
const MAX_CHUNKS_IN_FLIGHT: usize = 256;

type RulesRx = watch::Receiver<Rules>;

/// Forwards a connection until it ends or is cut.
pub async fn forward(stream: TcpStream, to: SocketAddr, outbound: Direction, rules: RulesRx) {
    let mut cut = rules.clone();
    let inbound = outbound.reversed();
    let is_cut = |it: &Rules| it.is_cut(&outbound) || it.is_cut(&inbound);
    tokio::select! {
        () = copy_both_ways(stream, to, &outbound, &inbound, rules) => (),
        _ = cut.wait_for(is_cut) => (),
    }
}

async fn copy_both_ways(
    stream: TcpStream,
    to: SocketAddr,
    outbound: &Direction,
    inbound: &Direction,
    mut rules: RulesRx,
) {
    wait_until_passing(&mut rules, outbound).await;
    let Ok(other) = connect(to).await else { return };
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let (other_reader, other_writer) = other.into_split();
    tokio::join!(
        copy(reader, other_writer, outbound, rules.clone()),
        copy(other_reader, writer, inbound, rules.clone()),
    );
}

async fn copy(
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    direction: &Direction,
    rules: RulesRx,
) {
    let (tx, rx) = mpsc::channel(MAX_CHUNKS_IN_FLIGHT);
    tokio::join!(read(reader, tx, direction, rules.clone()), write(writer, rx, direction, rules));
}

/// Reads chunks and sends each with the time at which it is due at the other
/// end.
async fn read(
    mut reader: OwnedReadHalf,
    tx: mpsc::Sender<(Instant, Vec<u8>)>,
    direction: &Direction,
    rules: RulesRx,
) {
    let mut buf = vec![0; MAX_CHUNK_BYTES];
    loop {
        let len = match reader.read(&mut buf).await {
            Ok(0) | Err(_) => return,
            Ok(len) => len,
        };
        let due = Instant::now() + rules.borrow().delay(direction);
        if tx.send((due, buf[..len].to_vec())).await.is_err() {
            return;
        }
    }
}

/// Writes each chunk when it is due and the direction passes, then closes the
/// stream.
async fn write(
    mut writer: OwnedWriteHalf,
    mut rx: mpsc::Receiver<(Instant, Vec<u8>)>,
    direction: &Direction,
    mut rules: RulesRx,
) {
    while let Some((due, chunk)) = rx.recv().await {
        time::sleep_until(due).await;
        wait_until_passing(&mut rules, direction).await;
        if writer.write_all(&chunk).await.is_err() {
            return;
        }
    }
    wait_until_passing(&mut rules, direction).await;
    let _ = writer.shutdown().await;
}

/// Waits until the direction passes; never returns if the flow stays silent.
async fn wait_until_passing(rules: &mut RulesRx, direction: &Direction) {
    // No error can occur here: the relay ends its flows before the sender of
    // the rules is dropped.
    let _ = rules.wait_for(|it| it.can_pass(direction)).await;
}
