//! The recorder behind the metrics address: counters and latency histograms in
//! Prometheus text format.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Upper bounds of latency histogram buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 14] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.7, 1.0, 1.5, 2.5, 4.0, 8.0, 16.0,
];

static RECORDER: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the recorder once per process; later calls do nothing.
pub fn install() {
    RECORDER.get_or_init(|| {
        let builder = PrometheusBuilder::new().set_buckets(&LATENCY_BUCKETS_S);
        builder.ok()?.install_recorder().ok()
    });
}

/// Metrics in text format; empty if another recorder was installed first.
pub fn render() -> String {
    RECORDER
        .get()
        .and_then(|recorder| recorder.as_ref())
        .map(PrometheusHandle::render)
        .unwrap_or_default()
}
