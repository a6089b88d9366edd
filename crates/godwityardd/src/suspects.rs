//! Broadcasts notes on requests that are suspected of crashing targets to all
//! hosts. The fleet driver passes received notes to the entry.

use std::time::Duration;

use entry::{
    EntryCx,
    interfaces::{HostView, State},
};
use peer::{DatagramSocket, Frame};
use policy::request::SuspectNote;

use crate::{owners::FleetOwners, view::SharedView};

/// Time after which each note is sent once more, because datagrams may be lost.
const REPEAT_AFTER: Duration = Duration::from_millis(300);

/// Maximum number of notes in one datagram.
const NOTES_PER_DATAGRAM: usize = 4;

/// Sends new notes to all other hosts until the process ends.
pub async fn broadcast(
    entry: EntryCx<SharedView, FleetOwners>,
    view: SharedView,
    datagrams: DatagramSocket,
) {
    loop {
        entry.suspects_changed().await;
        let notes = entry.take_suspect_notes();
        if notes.is_empty() {
            continue;
        }
        send(&view, &datagrams, &notes);
        let (view, datagrams) = (view.clone(), datagrams.clone());
        tokio::spawn(async move {
            tokio::time::sleep(REPEAT_AFTER).await;
            send(&view, &datagrams, &notes);
        });
    }
}

fn send(view: &SharedView, datagrams: &DatagramSocket, notes: &[SuspectNote]) {
    let hosts = view.hosts();
    let is_other = |it: &&HostView| it.is_alive && it.host != *view.host();
    for notes in notes.chunks(NOTES_PER_DATAGRAM) {
        let frame = Frame::Suspects(notes.to_vec()).encode();
        for host in hosts.iter().filter(is_other) {
            datagrams.send(host.address, &frame);
        }
    }
}
