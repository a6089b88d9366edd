//! A day on which all machines of a zone are partitioned from all leafs.

use std::{
    net::{SocketAddr, SocketAddrV4},
    sync::{Arc, Mutex},
    thread::{self, sleep},
    time::Instant,
};

use crate::lib::{ms, request, route, Act, Cut, Fleet, Proxy, BROKEN, HELD};

/// A deployment whose zone c is cut from all leafs.
pub struct Day {
    /// Machines in the zones that are not cut, and in the one that is.
    pub machines: [usize; 3],
    /// Connections that a leaf takes.
    pub max_conns: u32,
    /// Time between two requests to one machine, in milliseconds.
    pub gap_ms: u64,
    pub attempts: u32,
}

/// Work of a leaf on a request, and the client's deadline, in milliseconds.
const WORK_MS: u64 = 220;
const DEADLINE_MS: u64 = 5_000;
const DEADLINE: &str = "5000";

const CUT_MS: u64 = 10_000;
const CONTACT_S: f64 = 4.0;

struct Try {
    at: f64,
    is_cut_zone: bool,
    status: u16,
    took: f64,
}

pub fn run(day: &Day) -> ! {
    let zones = ["a", "b", "c"];
    let gap = day.gap_ms;
    let mut fleet = Fleet::new(&zones);
    let far: SocketAddr = SocketAddrV4::new(fleet.net.ip(3), 8_102).into();
    let view = fleet.store.open_view(far);
    let mut proxies: Vec<Arc<Proxy>> = Vec::new();
    let mut leafs = Vec::new();
    for (i, zone) in zones.iter().cycle().take(9).enumerate() {
        let leaf = fleet.leaf("orders", zone, move |_, _| Act::ok(ms(WORK_MS), b"an order"));
        let proxy = Proxy::start(fleet.net.ip(100 + i as u8), leaf.addr);
        view.replace(leaf.addr, proxy.addr);
        proxies.push(proxy);
        fleet.register(&leaf, "ready", 6);
        leafs.push(leaf);
    }
    let routes = [route("/orders/", "orders", "idempotent", day.attempts, DEADLINE_MS)];
    fleet.configure(7, &routes, &[("orders", day.max_conns)]);
    // Hosts of all zones are among the seeds.
    let mut of: Vec<&str> = zones.to_vec();
    for (zone, count) in zones.iter().zip(day.machines) {
        of.extend(vec![*zone; count - 1]);
    }
    let near = fleet.store.addr;
    fleet.start_hosts_at(&of, "", |_, zone| if zone == "c" { far } else { near });
    fleet.start_watchdog();
    sleep(ms(3_000));

    let record = fleet.record.clone();
    let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
    let hosts = fleet.hosts.len() as u64;
    for (i, host) in fleet.hosts.iter().enumerate() {
        let (front, is_cut_zone) = (host.front(), host.zone == "c");
        let (tries, record) = (tries.clone(), record.clone());
        thread::spawn(move || {
            sleep(ms(i as u64 * gap / hosts));
            for n in 0.. {
                let (tries, record) = (tries.clone(), record.clone());
                let begun = Instant::now();
                thread::spawn(move || {
                    let at = record.now();
                    let id = format!("r-{i}-{n}");
                    let fields = [("x-request-id", id.as_str()), ("x-deadline-ms", DEADLINE)];
                    let path = format!("/orders/{i}-{n}");
                    let answer = request(front, "GET", &path, &fields, b"", ms(DEADLINE_MS + 1_000));
                    let status = answer.map_or(0, |it| it.status());
                    let took = record.now() - at;
                    record.line(format!(
                        "client of host {i}: {id} sent at {at:.3} s, status {status} after {:.0} ms",
                        took * 1e3
                    ));
                    tries.lock().unwrap().push(Try { at, is_cut_zone, status, took });
                });
                sleep(ms(gap).saturating_sub(begun.elapsed()));
            }
        });
    }
    sleep(ms(6_000));
    let begun = record.now();
    record.line("zone c is cut from all leafs");
    if fleet.trouble {
        proxies.iter().for_each(|it| it.cut(Cut::Hang));
    }
    sleep(ms(CUT_MS));
    let ended = record.now();
    record.line("the cut ends");
    if fleet.trouble {
        proxies.iter().for_each(|it| it.heal());
    }
    sleep(ms(6_500));

    let tries = tries.lock().unwrap();
    for second in (begun as i32 - 2)..(ended as i32 + 4) {
        let count = |zone: bool| {
            let of = tries.iter().filter(|it| it.at as i32 == second && it.is_cut_zone == zone);
            let (mut all, mut ok) = (0, 0);
            of.for_each(|it| {
                all += 1;
                ok += u32::from(it.status == 200);
            });
            format!("{ok}/{all}")
        };
        record.say(format!("{second} s: zone c {}, others {}", count(true), count(false)));
    }
    let judged = |zone: bool| {
        let of = tries.iter().filter(|it| {
            it.at >= begun + CONTACT_S && it.at < ended && it.is_cut_zone == zone
        });
        let all: Vec<&Try> = of.collect();
        (all.len(), all.iter().filter(|it| it.status == 200 && it.took * 1e3 < DEADLINE_MS as f64).count())
    };
    let ((all, ok), (others, others_ok)) = (judged(true), judged(false));
    record.say(format!("from contact_ms on: zone c {ok} of {all}, others {others_ok} of {others}"));
    let (share, other) = (ok as f64 / all as f64, others_ok as f64 / others as f64);
    let failed = all - ok;
    let is_broken = share < other * 2.0 / 3.0 && failed as f64 > 10.0 + (all + others) as f64 / 50.0;
    record.say(format!("{failed} of them failed in zone c"));
    fleet.end(if is_broken { BROKEN } else { HELD });
}
