use std::{fs, net::SocketAddr, sync::Arc};

use super::{documents, settings};
use crate::{
    deployment::{Host, ports::Ports, workspace_folder},
    scenario::{Baseline, Scenario},
};

fn hosts() -> Vec<Arc<Host>> {
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let host = |name: &str, port: u16| {
        let addresses = [address(port), address(port + 1), address(port + 2)];
        Arc::new(Host::new(name.to_owned(), "bench-a".to_owned(), addresses))
    };
    vec![host("bench-a-1", 20_101), host("bench-a-2", 20_111)]
}

#[test]
fn settings_pass_the_daemons_check_with_every_baseline() {
    let hosts = hosts();
    let policies = Baseline::NAMES.iter().map(|(_, it)| Some(it.policy_setting()));
    for policy in policies.chain([None]) {
        let text = settings(&hosts[0], &hosts, &[hosts[1].admin], policy);
        ::documents::parse_settings("settings", &text)
            .unwrap_or_else(|err| panic!("{err}\n{text}"));
    }
}

#[test]
fn documents_of_all_shipped_scenarios_pass_the_check() {
    for entry in fs::read_dir(workspace_folder().join("bench")).unwrap() {
        let scenario = Scenario::read(&entry.unwrap().path()).unwrap();
        for document in documents(&scenario, &mut Ports::new()).unwrap() {
            ::documents::parse_document(&document.key, &document.text)
                .unwrap_or_else(|err| panic!("{err}"));
        }
    }
}
