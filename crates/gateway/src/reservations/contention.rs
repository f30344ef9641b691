//! Which stage services have competing requests by the configuration.

use std::collections::{BTreeSet, HashSet};

use hollowsail_platform::deployment::{Deployment, Route, ServiceKey};

/// Stage services that routes or organisations of different priority share.
///
/// A service is contended when routes of different priority use it, or when a route that needs
/// an API key uses it and organisations have different priorities.
pub fn contended_services(deployment: &Deployment) -> HashSet<ServiceKey> {
    let organisations = deployment.organisations.iter();
    let priorities: BTreeSet<_> = organisations.map(|org| org.priority).collect();
    let organisations_differ = priorities.len() > 1;
    let is_contended = |service: &ServiceKey| {
        let uses = |route: &&Route| route.stages.iter().any(|stage| stage.service == *service);
        let users: Vec<&Route> = deployment.routes.iter().filter(uses).collect();
        let routes_differ = users
            .windows(2)
            .any(|pair| pair[0].priority != pair[1].priority);
        routes_differ || organisations_differ && users.iter().any(|route| !route.public)
    };
    let stages = deployment.routes.iter().flat_map(|route| &route.stages);
    let services: HashSet<ServiceKey> = stages.map(|stage| stage.service).collect();
    services.into_iter().filter(is_contended).collect()
}
