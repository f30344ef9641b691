//! Reading the host list, and learning that hosts leave by other ways.
//!
//! A few entries of each hall read the list every second; the others read it
//! when a peer reports another list than theirs, and now and then to be sure.
//! An unchanged list is not sent again.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use hollowsail_clients::{HostList, HostListClient, HostStatus};
use hollowsail_fleet::{ListedHost, Millis};

use crate::control::Control;
use crate::events;

/// Between two looks at whether a read is due.
const READ_EVERY: Duration = Duration::from_secs(1);
/// Readers in each hall.
const READERS_PER_HALL: usize = 2;
/// Between two reads of an entry that is no reader.
const BE_SURE_MS: Millis = 60_000;

/// The list's client, and what it last gave.
pub struct HostState {
    client: Option<HostListClient>,
    reading: bool,
    tag: Option<String>,
    last_read: Option<Millis>,
}

impl HostState {
    pub fn new(client: Option<HostListClient>) -> Self {
        HostState {
            client,
            reading: false,
            tag: None,
            last_read: None,
        }
    }
}

impl Control {
    pub(crate) fn start_hosts(&mut self, cx: &mut Context<Self>) {
        if self.hosts.client.is_some() {
            self.read_hosts(cx);
            cx.run_interval(READ_EVERY, |control, cx| {
                if control.read_is_due() {
                    control.read_hosts(cx);
                }
            });
        }
    }

    fn read_is_due(&self) -> bool {
        let now = self.now();
        let old = self.hosts.last_read.is_none_or(|at| now - at >= BE_SURE_MS);
        let unsettled = !self.fleet.hosts.is_settled();
        old || unsettled
            || self.fleet.list_differs()
            || self.fleet.asks_for_all("host list", READERS_PER_HALL)
    }

    fn read_hosts(&mut self, cx: &mut Context<Self>) {
        let Some(client) = self.hosts.client.clone().filter(|_| !self.hosts.reading) else {
            return;
        };
        self.hosts.reading = true;
        let tag = self.hosts.tag.clone();
        let read = async move { client.read(tag.as_deref()).await };
        let done = read.into_actor(self).map(|result, control, _| {
            control.hosts.reading = false;
            if let Ok(read) = result {
                control.hosts.last_read = Some(control.now());
                match read {
                    Some(list) => control.take_list(list),
                    None => control.fleet.hosts.read_again(),
                }
                control.publish();
            }
        });
        cx.spawn(done);
    }

    fn take_list(&mut self, list: HostList) {
        let hosts: Vec<_> = list
            .hosts
            .iter()
            .map(|record| ListedHost {
                name: record.name.clone(),
                incarnation: record.incarnation,
                leaving: record.status == HostStatus::Leaving,
            })
            .collect();
        if self.fleet.hosts.observe(&hosts) {
            self.hosts.tag = list.tag;
            self.fleet.set_list_hash(hash_of(&hosts));
        } else {
            self.entry.log(
                events::LIST_NOT_BELIEVED,
                format_args!("hosts={}", hosts.len()),
            );
        }
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

/// Equal for equal lists in all entries; never 0.
fn hash_of(hosts: &[ListedHost]) -> u64 {
    let mut hasher = DefaultHasher::new();
    for host in hosts {
        (&host.name, host.incarnation, host.leaving).hash(&mut hasher);
    }
    hasher.finish().max(1)
}
