//! Reading the host list, and learning that hosts leave by other ways.

use std::time::Duration;

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use hollowsail_fleet::ListedHost;
use hollowsail_platform::{HostListClient, HostRecord, HostStatus};

use crate::control::Control;
use crate::events;

/// Between two reads of the list.
const READ_EVERY: Duration = Duration::from_secs(1);

/// The list's client, and whether a read is under way.
pub struct HostState {
    client: Option<HostListClient>,
    reading: bool,
}

impl HostState {
    pub fn new(client: Option<HostListClient>) -> Self {
        HostState {
            client,
            reading: false,
        }
    }
}

impl Control {
    pub(crate) fn start_hosts(&mut self, cx: &mut Context<Self>) {
        if self.hosts.client.is_some() {
            self.read_hosts(cx);
            cx.run_interval(READ_EVERY, |control, cx| control.read_hosts(cx));
        }
    }

    fn read_hosts(&mut self, cx: &mut Context<Self>) {
        let Some(client) = self.hosts.client.clone().filter(|_| !self.hosts.reading) else {
            return;
        };
        self.hosts.reading = true;
        let read = async move { client.read().await };
        let done = read.into_actor(self).map(|result, control, _| {
            control.hosts.reading = false;
            if let Ok(records) = result {
                control.take_list(&records);
            }
        });
        cx.spawn(done);
    }

    fn take_list(&mut self, records: &[HostRecord]) {
        let hosts: Vec<_> = records
            .iter()
            .map(|record| ListedHost {
                name: record.name.clone(),
                incarnation: record.incarnation,
                leaving: record.status == HostStatus::Leaving,
            })
            .collect();
        if !self.fleet.hosts.observe(&hosts) {
            self.entry.log(
                events::LIST_NOT_BELIEVED,
                format_args!("hosts={}", hosts.len()),
            );
        }
        self.publish();
    }

    /// A host is leaving, by the word of an operator or of itself.
    pub(crate) fn learn_leaving(&mut self, name: &str, source: &str) {
        if self.fleet.hosts.learn_by_name(name) {
            self.entry.log(
                events::HOST_LEAVING,
                format_args!("host={name} source={source}"),
            );
            self.publish();
        }
    }
}
