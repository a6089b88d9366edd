//! Configuration and membership as last published by the fleet driver, for the
//! tasks that run concurrently with it.

use std::{
    net::SocketAddr,
    sync::{Arc, PoisonError, RwLock},
};

use base::{DomainName, HashMap, HostName, Incarnation, TargetName, Time};
use documents::Configuration;
use entry::interfaces::{HostView, Route, State};

use crate::clock;

/// State published by the fleet driver; immutable.
#[derive(Default)]
pub struct View {
    pub configuration: Arc<Configuration>,
    pub hosts: Vec<HostView>,
    pub addresses: HashMap<HostName, SocketAddr>,
    pub routes: Arc<HashMap<TargetName, Route>>,
    pub findings: Vec<String>,
    /// Reason why the host is not ready, if it is not.
    pub not_ready: Option<String>,
}

/// Handle to the latest view.
#[derive(Clone)]
pub struct SharedView {
    inner: Arc<Inner>,
}

struct Inner {
    host: HostName,
    domain: DomainName,
    incarnation: Incarnation,
    view: RwLock<Arc<View>>,
}

impl SharedView {
    pub fn new(host: HostName, domain: DomainName, incarnation: Incarnation) -> Self {
        let not_ready = Some("the host is starting".to_owned());
        let view = RwLock::new(Arc::new(View { not_ready, ..View::default() }));
        SharedView { inner: Arc::new(Inner { host, domain, incarnation, view }) }
    }

    pub fn publish(&self, view: View) {
        *self.inner.view.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(view);
    }

    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.inner.view.read().unwrap_or_else(PoisonError::into_inner))
    }
}

impl State for SharedView {
    fn now(&self) -> Time {
        clock::now()
    }

    fn host(&self) -> &HostName {
        &self.inner.host
    }

    fn domain(&self) -> &DomainName {
        &self.inner.domain
    }

    fn incarnation(&self) -> Incarnation {
        self.inner.incarnation
    }

    fn configuration(&self) -> Arc<Configuration> {
        Arc::clone(&self.view().configuration)
    }

    fn not_ready(&self) -> Option<String> {
        self.view().not_ready.clone()
    }

    fn hosts(&self) -> Vec<HostView> {
        self.view().hosts.clone()
    }

    fn findings(&self) -> Vec<String> {
        self.view().findings.clone()
    }

    fn route(&self, target: &TargetName) -> Option<Route> {
        self.view().routes.get(target).cloned()
    }
}
