//! The recorder behind the metrics address: counters and latency histograms in
//! Prometheus text format.

use std::borrow::Cow;
use std::sync::OnceLock;

use metrics::{
    Counter, Gauge, Histogram, Key, KeyName, Label, Metadata, Recorder, SharedString, Unit,
};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle, PrometheusRecorder};

use crate::text::{is_unprintable, CUT_MARK};

/// Most bytes of a label's value that are kept.
const MAX_LABEL: usize = 200;

/// Upper bounds of latency histogram buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 14] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.7, 1.0, 1.5, 2.5, 4.0, 8.0, 16.0,
];

static RECORDER: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the recorder once per process; later calls do nothing.
pub fn install() {
    RECORDER.get_or_init(|| {
        let builder = PrometheusBuilder::new().set_buckets(&LATENCY_BUCKETS_S);
        let recorder = builder.ok()?.build_recorder();
        let handle = recorder.handle();
        metrics::set_global_recorder(BoundedLabels(recorder)).ok()?;
        Some(handle)
    });
}

/// Passes metrics on with labels that the exporter writes exactly and that are bounded.
struct BoundedLabels(PrometheusRecorder);

impl Recorder for BoundedLabels {
    fn describe_counter(&self, name: KeyName, unit: Option<Unit>, text: SharedString) {
        self.0.describe_counter(name, unit, text);
    }

    fn describe_gauge(&self, name: KeyName, unit: Option<Unit>, text: SharedString) {
        self.0.describe_gauge(name, unit, text);
    }

    fn describe_histogram(&self, name: KeyName, unit: Option<Unit>, text: SharedString) {
        self.0.describe_histogram(name, unit, text);
    }

    fn register_counter(&self, key: &Key, metadata: &Metadata<'_>) -> Counter {
        self.0.register_counter(&bounded(key), metadata)
    }

    fn register_gauge(&self, key: &Key, metadata: &Metadata<'_>) -> Gauge {
        self.0.register_gauge(&bounded(key), metadata)
    }

    fn register_histogram(&self, key: &Key, metadata: &Metadata<'_>) -> Histogram {
        self.0.register_histogram(&bounded(key), metadata)
    }
}

/// The key itself, unless one of its labels can't stay as it is.
fn bounded(key: &Key) -> Cow<'_, Key> {
    let is_odd = |label: &Label| {
        let value = label.value();
        value.len() > MAX_LABEL || value.contains(|c| c == '\\' || is_unprintable(c))
    };
    if !key.labels().any(is_odd) {
        return Cow::Borrowed(key);
    }
    let label = |label: &Label| Label::new(label.key().to_string(), bounded_value(label.value()));
    let labels: Vec<Label> = key.labels().map(label).collect();
    Cow::Owned(Key::from_parts(key.name().to_string(), labels))
}

/// Doubles backslashes, which the exporter takes in pairs, and escapes what a terminal would obey.
fn bounded_value(value: &str) -> String {
    let mut bounded = String::new();
    for c in value.chars() {
        if bounded.len() >= MAX_LABEL {
            bounded.push_str(CUT_MARK);
            break;
        }
        match c {
            '\\' => bounded.push_str("\\\\"),
            // The exporter escapes it.
            '\n' => bounded.push(c),
            c if is_unprintable(c) => bounded.push_str(&format!("\\{}", c.escape_default())),
            c => bounded.push(c),
        }
    }
    bounded
}

/// Metrics in text format; empty if another recorder was installed first.
pub fn render() -> String {
    RECORDER
        .get()
        .and_then(|recorder| recorder.as_ref())
        .map(PrometheusHandle::render)
        .unwrap_or_default()
}
