//! The operators' configuration, as the store or a peer tells it.

use std::sync::Arc;

use hollowsail_observe::events;
use hollowsail_platform::deployment::Deployment;

use super::Control;

/// A configuration, and the same as it lies in the store.
#[derive(Debug, Clone)]
pub struct Configuration {
    pub deployment: Arc<Deployment>,
    pub source: Arc<[u8]>,
}

impl Control {
    /// Puts a configuration in force unless one as new already is, whoever brought it.
    pub(super) fn take_source(&self, source: &[u8], from: &str) {
        let deployment = match Deployment::decode(source) {
            Ok(deployment) => deployment,
            Err(err) => {
                let fields = format_args!("from={from} why=\"{err}\"");
                self.log.line(events::CONFIGURATION_UNREADABLE, fields);
                return;
            }
        };
        let deployment = Arc::new(deployment);
        let offered = Configuration {
            deployment: deployment.clone(),
            source: source.into(),
        };
        let before = self.configuration_version().unwrap_or(0);
        let is_newer = self
            .configuration
            .borrow_mut()
            .offer(deployment.version, offered);
        if !is_newer {
            return;
        }
        self.log.line(
            events::CONFIGURATION_IN_FORCE,
            format_args!(
                "version={} before={before} routes={} services={} from={from}",
                deployment.version,
                deployment.routes.len(),
                deployment.services.len(),
            ),
        );
        self.publish();
    }

    /// Version in force here, once there is one.
    pub(super) fn configuration_version(&self) -> Option<u64> {
        self.configuration.borrow().version()
    }
}
