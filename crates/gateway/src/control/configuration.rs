//! The operators' configuration, as received from the store or a peer.

use std::sync::Arc;

use hollowsail_observe::events;
use hollowsail_observe::text::Quoted;
use hollowsail_platform::deployment::Deployment;

use super::Control;

/// A decoded configuration and its encoded form from the store.
#[derive(Debug, Clone)]
pub struct Configuration {
    pub deployment: Arc<Deployment>,
    pub source: Arc<[u8]>,
}

impl Control {
    /// Applies a configuration if it is newer than the one in force. A malformed one is
    /// logged and ignored.
    pub(super) fn apply_configuration(&self, source: &[u8], from: &str) {
        let deployment = match Deployment::decode(source) {
            Ok(deployment) => deployment,
            Err(err) => {
                let fields = format_args!("from={from} why={}", Quoted(&err));
                self.log.line(events::CONFIGURATION_UNREADABLE, fields);
                return;
            }
        };
        let deployment = Arc::new(deployment);
        let candidate = Configuration {
            deployment: deployment.clone(),
            source: source.into(),
        };
        let before = self.configuration_version().unwrap_or(0);
        let is_newer = self
            .configuration
            .borrow_mut()
            .offer(deployment.version, candidate);
        if !is_newer {
            return;
        }
        self.log.line(
            events::CONFIGURATION_IN_FORCE,
            format_args!(
                "version={} before={before} routes={} services={} from={from}",
                deployment.version,
                deployment.routes.len(),
                deployment.services.len()
            ),
        );
        self.publish();
    }

    /// Version in force; `None` before the first configuration.
    pub(super) fn configuration_version(&self) -> Option<u64> {
        self.configuration.borrow().version()
    }
}
