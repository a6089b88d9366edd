//! A proxy between a host and the store, which can cut the host off.

use std::{
    io::{Read, Write},
    net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering::Relaxed},
    },
    thread,
    time::Duration,
};

const PASSES: u8 = 0;
const HOLDS: u8 = 1;
const CLOSES: u8 = 2;

const POLL: Duration = Duration::from_millis(5);

#[derive(Clone)]
pub struct Proxy {
    pub addr: SocketAddr,
    mode: Arc<AtomicU8>,
}

impl Proxy {
    pub fn start(ip: IpAddr, store: SocketAddr) -> Result<Proxy, String> {
        let listener = TcpListener::bind((ip, 0)).map_err(|err| format!("proxy: {err}"))?;
        let addr = listener.local_addr().map_err(|err| err.to_string())?;
        let proxy = Proxy { addr, mode: Arc::default() };
        let served = proxy.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.mode.load(Relaxed) == CLOSES {
                    continue;
                }
                let Ok(other) = TcpStream::connect(store) else { continue };
                served.pass(&stream, &other);
                served.pass(&other, &stream);
            }
        });
        Ok(proxy)
    }

    /// Holds back all bytes, as a cut of the network does.
    pub fn hold(&self) {
        self.mode.store(HOLDS, Relaxed);
    }

    /// Closes all connections, and new ones at once.
    pub fn close(&self) {
        self.mode.store(CLOSES, Relaxed);
    }

    pub fn heal(&self) {
        self.mode.store(PASSES, Relaxed);
    }

    fn pass(&self, from: &TcpStream, to: &TcpStream) {
        let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else { return };
        let mode = self.mode.clone();
        thread::spawn(move || {
            let mut buf = [0; 16 * 1024];
            let _ = from.set_read_timeout(Some(POLL));
            loop {
                match mode.load(Relaxed) {
                    CLOSES => break,
                    HOLDS => {
                        thread::sleep(POLL);
                        continue;
                    }
                    _ => {}
                }
                match from.read(&mut buf) {
                    Ok(0) => break,
                    Ok(len) => {
                        while mode.load(Relaxed) == HOLDS {
                            thread::sleep(POLL);
                        }
                        if mode.load(Relaxed) == CLOSES || to.write_all(&buf[..len]).is_err() {
                            break;
                        }
                    }
                    Err(err)
                        if matches!(
                            err.kind(),
                            std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                        ) => {}
                    Err(_) => break,
                }
            }
            let _ = from.shutdown(Shutdown::Both);
            let _ = to.shutdown(Shutdown::Both);
        });
    }
}
