//! What one traffic thread has: the shared context and its own clients.

use std::sync::Arc;

use actix::Addr;
use awc::Client;
use hollowsail_clients::http;
use hollowsail_clients::StoreClient;

use crate::context::Entry;
use crate::control::Control;

/// Thread-local side of traffic; `awc` clients stay on their thread.
#[derive(Clone)]
pub struct Worker {
    pub entry: Arc<Entry>,
    /// The control thread.
    pub control: Addr<Control>,
    /// Reuses connections; for calls that may be repeated.
    pub pooled: Client,
    /// A connection per call; for calls that may not.
    pub single_use: Client,
    pub store: Option<StoreClient>,
}

impl Worker {
    pub fn new(entry: Arc<Entry>, control: Addr<Control>) -> Self {
        let store = entry.settings.store.map(StoreClient::new);
        Worker {
            entry,
            control,
            pooled: http::pooled_client(),
            single_use: http::single_use_client(),
            store,
        }
    }

    /// The client for a call that may or may not be repeated.
    pub fn client(&self, repeatable: bool) -> &Client {
        if repeatable {
            &self.pooled
        } else {
            &self.single_use
        }
    }
}
