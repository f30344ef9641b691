//! State of one traffic thread: the shared context and the thread's own clients.

use std::sync::Arc;

use actix::Addr;
use awc::Client;
use hollowsail_clients::http;
use hollowsail_clients::StoreClient;

use crate::context::Entry;
use crate::control::Control;

/// State of a traffic thread; not `Send`, because `awc` clients are thread-local.
#[derive(Clone)]
pub struct Worker {
    pub entry: Arc<Entry>,
    /// The control thread.
    pub control: Addr<Control>,
    /// Client that reuses connections, for calls that may be repeated.
    pub pooled: Client,
    /// Client with a new connection per call, for calls that must not be repeated.
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

    /// The client for a call, by whether it may be repeated.
    pub fn client(&self, repeatable: bool) -> &Client {
        if repeatable {
            &self.pooled
        } else {
            &self.single_use
        }
    }
}
