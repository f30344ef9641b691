//! Reads the host list, and records hosts that are draining.
//!
//! A few entries of each hall, the list readers, read it every second. The
//! others read it when a peer reports a different list, and every
//! `MAX_LIST_AGE_MS`. The list's tag makes the server skip an unchanged list.

use hollowsail_observe::text::Field;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use hollowsail_clients::{HostList, HostListClient, HostStatus};
use hollowsail_fleet::{ListedHost, Millis};

use crate::control::Control;
use crate::events;

/// Interval between two checks whether a read is due.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// List readers in each hall.
const READERS_PER_HALL: usize = 2;
/// Age at which an entry that isn't a list reader reads the list again.
const MAX_LIST_AGE_MS: Millis = 60_000;

/// Client of the host list, and the state of its last read.
pub struct HostListState {
    client: Option<HostListClient>,
    reading: bool,
    tag: Option<String>,
    last_read_at: Option<Millis>,
}

impl HostListState {
    pub fn new(client: Option<HostListClient>) -> Self {
        HostListState {
            client,
            reading: false,
            tag: None,
            last_read_at: None,
        }
    }
}

impl Control {
    pub(crate) fn start_host_list(&mut self, cx: &mut Context<Self>) {
        if self.hosts.client.is_some() {
            self.read_hosts(cx);
            cx.run_interval(READ_INTERVAL, |control, cx| {
                if control.read_is_due() {
                    control.read_hosts(cx);
                }
            });
        }
    }

    fn read_is_due(&self) -> bool {
        let now = self.now();
        let outdated = self
            .hosts
            .last_read_at
            .is_none_or(|read_at| now - read_at >= MAX_LIST_AGE_MS);
        let unsettled = !self.fleet.hosts.is_settled();
        outdated
            || unsettled
            || self.fleet.list_differs()
            || self.fleet.is_delegate("host list", READERS_PER_HALL)
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
                control.hosts.last_read_at = Some(control.now());
                match read {
                    Some(list) => control.apply_list(list),
                    None => control.fleet.hosts.reread_unchanged(),
                }
                control.publish();
            }
        });
        cx.spawn(done);
    }

    fn apply_list(&mut self, list: HostList) {
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

    /// Records that a host is draining, as `source` reported: an operator or the
    /// target itself.
    pub(crate) fn mark_draining(&mut self, name: &str, source: &str) {
        if self.fleet.hosts.mark_leaving(name) {
            self.entry.log(
                events::HOST_LEAVING,
                format_args!("host={} source={source}", Field(&name)),
            );
            self.publish();
        }
    }
}

/// Hash that is equal on all entries for equal lists; never 0.
fn hash_of(hosts: &[ListedHost]) -> u64 {
    let mut hasher = DefaultHasher::new();
    for host in hosts {
        (&host.name, host.incarnation, host.leaving).hash(&mut hasher);
    }
    hasher.finish().max(1)
}
