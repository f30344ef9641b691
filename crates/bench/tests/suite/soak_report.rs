//! The printed report of a soak run.

use hollowsail_bench::soak::{Failure, FailureKind, SoakReport};

/// Guards against kinds of failures that many failures of another kind hide.
#[test]
fn report_counts_each_kind_of_failure() {
    let versions = (0..40)
        .map(|number| Failure::new(FailureKind::StreamEvents, format!("stream {number} is odd")));
    let cut = Failure::new(FailureKind::CutOff, "gateway 1 served too little");
    let report = SoakReport {
        seed: 203,
        seconds: 24,
        entries: 4,
        attempts: 100,
        whole: 60,
        not_run: 30,
        unknown: 10,
        ran: 70,
        room: "no room".to_string(),
        cut: "behind the cut".to_string(),
        streams: "streams".to_string(),
        repeats: "repeats".to_string(),
        used_repeats: 0.5,
        owners: "owners".to_string(),
        attempt_bounds: "attempts".to_string(),
        mode: None,
        failures: versions.chain([cut]).collect(),
    };
    let text = report.to_string();
    for line in [
        "41 failures",
        "40 x events of a stream",
        "1 x served too little behind a cut",
        "gateway 1 served too little",
        "behind the cut",
        "--seed 203 --seconds 24 --entries 4",
    ] {
        assert!(text.contains(line), "{line:?} in {text}");
    }
}
