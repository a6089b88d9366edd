//! Serves the requests of one process of a target.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncBufReadExt, AsyncWriteExt, BufReader},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::Semaphore,
    task::JoinSet,
    time,
};

use super::{
    SLOTS, Service,
    stated::{Stated, StatedCell},
};
use crate::soak::{
    http::{self, Kind, Message},
    record::{Arrival, Recorder, Reply, Run},
};

/// Requests that wait for a slot at most.
const QUEUE: u64 = 24;
/// Time for which a health check holds a slot.
const HEALTH_WORK: Duration = Duration::from_millis(1);
/// Limit on the work for a request without a deadline, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 60_000;
/// Records of an answer, and the length of one in bytes.
const RECORDS: u64 = 20;
const RECORD_BYTES: usize = 16;
const HEALTH_PATH: &str = "/healthz";

static NEXT_CONNECTION: AtomicU64 = AtomicU64::new(1);

#[derive(Clone)]
pub struct Serving {
    process: usize,
    id: Arc<str>,
    service: Arc<Service>,
    recorder: Recorder,
    stated: Arc<StatedCell>,
    slots: Arc<Semaphore>,
    waiting: Arc<AtomicU64>,
    runs: Arc<AtomicU64>,
}

impl Serving {
    pub fn new(
        process: usize,
        id: String,
        service: Service,
        recorder: Recorder,
        stated: Arc<StatedCell>,
    ) -> Self {
        Serving {
            process,
            id: id.into(),
            service: Arc::new(service),
            recorder,
            stated,
            slots: Arc::new(Semaphore::new(SLOTS as usize)),
            waiting: Arc::default(),
            runs: Arc::default(),
        }
    }

    /// Serves connections; all of them end with the task.
    pub async fn accept(self, listener: TcpListener) {
        let mut open = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            while open.try_join_next().is_some() {}
            open.spawn(self.clone().serve(stream));
        }
    }

    async fn serve(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (read, mut write) = stream.into_split();
        let mut reader = BufReader::new(read);
        let connection = NEXT_CONNECTION.fetch_add(1, Ordering::Relaxed);
        while let Ok(Some(request)) = http::read(&mut reader, Kind::Request).await {
            let arrival = self.record_arrival(&request, connection);
            let Some(answer) = self.answer(&request, &mut reader).await else { return };
            if !self.write(&request, answer, arrival, &mut write).await {
                return;
            }
        }
    }

    /// Records that a request has come; returns its index in the record.
    fn record_arrival(&self, request: &Message, connection: u64) -> usize {
        let arrival = Arrival {
            id: request.header("x-request-id").map(str::to_owned),
            at: self.recorder.now(),
            process: self.process,
            target: self.id.to_string(),
            connection,
            reply: None,
        };
        let mut record = self.recorder.lock();
        record.arrivals.push(arrival);
        record.arrivals.len() - 1
    }

    async fn answer(
        &self,
        request: &Message,
        reader: &mut BufReader<OwnedReadHalf>,
    ) -> Option<Answer> {
        if request.header("x-expect-instance").is_some_and(|it| it != &*self.id) {
            return Some(Answer::not_run(421));
        }
        if let Some(pause) = self.stated.take_pause() {
            return Some(Answer { pause: Some(pause), ..self.reject(request) });
        }
        if self.waiting.load(Ordering::Relaxed) >= QUEUE {
            return Some(self.reject(request));
        }
        let deadline_ms = request.number("x-deadline-ms").unwrap_or(DEFAULT_DEADLINE_MS);
        let deadline = time::Instant::now() + Duration::from_millis(deadline_ms);
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let slot = time::timeout_at(deadline, self.slots.acquire()).await;
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        let Ok(Ok(_slot)) = slot else { return Some(self.reject(request)) };
        if request.word(1) == HEALTH_PATH {
            time::sleep(HEALTH_WORK).await;
            let status = if self.stated.get().is_leaving { 503 } else { 200 };
            return Some(Answer { status, ..Answer::default() });
        }
        self.run(request, deadline, reader).await
    }

    fn reject(&self, request: &Message) -> Answer {
        if let Some(id) = request.header("x-request-id") {
            self.recorder.lock().rejected.insert(id.to_owned());
        }
        Answer::not_run(503)
    }

    /// Runs a request; returns `None` if its connection closes meanwhile.
    async fn run(
        &self,
        request: &Message,
        deadline: time::Instant,
        reader: &mut BufReader<OwnedReadHalf>,
    ) -> Option<Answer> {
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        let number = self.runs.fetch_add(1, Ordering::Relaxed);
        let stamp = format!("{}.{}.{number}.{id}", self.id, self.process);
        let body = records(&stamp);
        let run = Run {
            id,
            at: self.recorder.now(),
            process: self.process,
            target: self.id.to_string(),
            service: self.service.name.clone(),
            customer: request.header("x-tenant").map(str::to_owned),
            has_key: request.header("authorization").is_some(),
            stamp: stamp.clone(),
            body: body.clone(),
            status: None,
        };
        let index = {
            let mut record = self.recorder.lock();
            record.runs.push(run);
            record.runs.len() - 1
        };
        let work = time::Instant::now() + self.service.work.of(number);
        tokio::select! {
            () = time::sleep_until(work.min(deadline)) => {}
            () = wait_close(reader) => return None,
        }
        let status = if work > deadline { 504 } else { 200 };
        if let Some(run) = self.recorder.lock().runs.get_mut(index) {
            run.status = Some(status);
        }
        let body = if status == 200 { body } else { Vec::new() };
        Some(Answer { status, stamp: Some(stamp), is_run: true, body, pause: None })
    }

    /// Writes an answer; returns false if the connection is over.
    async fn write(
        &self,
        request: &Message,
        answer: Answer,
        arrival: usize,
        write: &mut OwnedWriteHalf,
    ) -> bool {
        let stated = self.stated.get();
        let mut bytes = self.head(request, &answer, stated).into_bytes();
        bytes.extend_from_slice(&answer.body);
        let reply = Reply {
            at: self.recorder.now(),
            status: answer.status,
            stamp: answer.stamp,
            is_leaving: stated.is_leaving,
            pause: answer.pause,
        };
        if let Some(arrival) = self.recorder.lock().arrivals.get_mut(arrival) {
            arrival.reply = Some(reply);
        }
        write.write_all(&bytes).await.is_ok() && !stated.closes_connections
    }

    fn head(&self, request: &Message, answer: &Answer, stated: Stated) -> String {
        let running = SLOTS as usize - self.slots.available_permits();
        let waiting = self.waiting.load(Ordering::Relaxed);
        let mut head = format!(
            "HTTP/1.1 {} Answer\r\nX-Server-Load: {running},{waiting},{SLOTS}\r\n\
             X-Instance-Id: {}\r\nContent-Length: {}\r\n",
            answer.status,
            self.id,
            answer.body.len()
        );
        if let Some(id) = request.header("x-request-id") {
            head.push_str(&format!("X-Request-Id: {id}\r\n"));
        }
        if let Some(stamp) = &answer.stamp {
            head.push_str(&format!("X-Server-Stamp: {stamp}\r\n"));
        } else if !answer.is_run && answer.status != 200 {
            head.push_str("X-Not-Run: 1\r\n");
        }
        if let Some(pause) = answer.pause {
            head.push_str(&format!("Retry-After: {}\r\n", pause.as_secs_f64()));
        }
        if stated.is_leaving {
            head.push_str("Server-Leaving: 1\r\n");
        }
        if stated.closes_connections {
            head.push_str("Connection: close\r\n");
        }
        head.push_str("\r\n");
        head
    }
}

#[derive(Default)]
struct Answer {
    status: u16,
    stamp: Option<String>,
    is_run: bool,
    body: Vec<u8>,
    /// Pause that the target asks for.
    pause: Option<Duration>,
}

impl Answer {
    fn not_run(status: u16) -> Self {
        Answer { status, ..Answer::default() }
    }
}

/// Returns once the other end has closed the connection.
async fn wait_close(reader: &mut BufReader<OwnedReadHalf>) {
    match reader.fill_buf().await {
        // A further request that came early waits in the buffer.
        Ok(bytes) if !bytes.is_empty() => std::future::pending().await,
        Ok(_) | Err(_) => {}
    }
}

/// Returns the body that belongs to a stamp: records in no order.
fn records(stamp: &str) -> Vec<u8> {
    let mut state = stamp.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, it| {
        (hash ^ u64::from(it)).wrapping_mul(0x0100_0000_01b3)
    });
    let mut body = Vec::with_capacity(RECORDS as usize * RECORD_BYTES);
    for _ in 0..RECORDS {
        for _ in 0..2 {
            state = state.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(1);
            body.extend_from_slice(&state.to_be_bytes());
        }
    }
    body
}
