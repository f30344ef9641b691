//! The daemon's own settings: addresses, hall, fleet key, limits.
//!
//! Settings apply to one process and are read at startup; the configuration
//! that operators change while the fleet runs is in [`crate::model`].

use std::net::SocketAddr;

use crate::fault::{Fault, Faults};
use crate::key::{parse_key_hash, KeyHash};
use crate::reader::{FaultList, Section};
use crate::source::SourceFile;

/// Settings of one entry process.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this entry; a label only, not an identity.
    pub name: String,
    /// Name of the hall that the entry runs in.
    pub hall: String,
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    pub operators: SocketAddr,
    /// Shared secret of the fleet.
    pub fleet_key: Vec<u8>,
    /// Peers to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Key-value service; `None`: run without a store.
    pub store: Option<SocketAddr>,
    /// Host list; `None`: run without a host list.
    pub host_list: Option<SocketAddr>,
    pub operator_key: KeyHash,
    pub tls: Option<TlsFiles>,
    pub limits: Limits,
}

/// PEM files of the callers' and operators' listeners.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TlsFiles {
    pub certificate: String,
    pub key: String,
}

/// Resource limits and timings of one entry process.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Threads that serve traffic.
    pub threads: usize,
    /// Largest request body in bytes.
    pub max_body_bytes: usize,
    /// Requests in flight before new ones are refused.
    pub max_in_flight: usize,
    /// Records the ledger holds before it refuses new ones.
    pub ledger_records: usize,
    /// Bytes of retained outcomes.
    pub ledger_bytes: usize,
    /// How long a ticket is accepted, in milliseconds.
    pub ticket_ms: u64,
    /// How long a claim on a caller-chosen id is retained, in milliseconds.
    pub claim_ms: u64,
    /// Claims that an entry writes to the store per second.
    pub claims_per_second: u32,
    /// How long a stopping entry serves until balancers react, in milliseconds.
    pub stop_grace_ms: u64,
    /// How long an entry that reaches neither store nor peers accepts work, in milliseconds.
    pub isolation_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            threads: 2,
            max_body_bytes: 256 * 1024,
            max_in_flight: 2048,
            ledger_records: 50_000,
            ledger_bytes: 8 * 1024 * 1024,
            ticket_ms: 600_000,
            claim_ms: 3_600_000,
            claims_per_second: 20,
            stop_grace_ms: 3_000,
            isolation_ms: 15_000,
        }
    }
}

const SECTIONS: [&str; 7] = [
    "entry",
    "listen",
    "fleet",
    "platform",
    "operators",
    "tls",
    "limits",
];

impl Settings {
    /// Reads a settings file; returns all faults together.
    pub fn read(source: &SourceFile) -> Result<Settings, Faults> {
        let ini = source.parse().map_err(|fault| Faults(vec![fault]))?;
        let index = source.index();
        let faults = FaultList::default();
        report_unknown_sections(source, &ini, &index, &faults);
        let empty = ini::Properties::new();
        let section = |name| {
            let fields = ini.section(Some(name)).unwrap_or(&empty);
            Section::new(&source.name, name, fields, &index, &faults)
        };
        let sections = SECTIONS.map(section);
        let settings = read_sections(&sections);
        sections.into_iter().for_each(Section::finish);
        faults.into_result(settings)
    }
}

fn report_unknown_sections(
    source: &SourceFile,
    ini: &ini::Ini,
    index: &crate::source::LineIndex,
    faults: &FaultList,
) {
    for name in ini.sections().flatten() {
        if !SECTIONS.contains(&name) {
            faults.push(Fault {
                file: source.name.clone(),
                line: index.line(name, ""),
                field: name.into(),
                message: format!("is not a known section; use {}", SECTIONS.join(", ")),
            });
        }
    }
}

fn read_sections(sections: &[Section<'_>; 7]) -> Settings {
    let [entry, listen, fleet, platform, operators, tls, limits] = sections;
    Settings {
        name: entry.required("name").into(),
        hall: entry.required("hall").into(),
        callers: address(listen, "callers"),
        peers: address(listen, "peers"),
        operators: address(listen, "operators"),
        fleet_key: read_fleet_key(fleet),
        seeds: fleet
            .list("seeds")
            .iter()
            .filter_map(|text| parse_address(fleet, "seeds", text))
            .collect(),
        store: optional_address(platform, "store"),
        host_list: optional_address(platform, "host_list"),
        operator_key: read_operator_key(operators),
        tls: read_tls(tls),
        limits: read_limits(limits),
    }
}

fn address(section: &Section<'_>, key: &str) -> SocketAddr {
    let unset = SocketAddr::from(([0, 0, 0, 0], 0));
    match section.required(key) {
        "" => unset,
        text => parse_address(section, key, text).unwrap_or(unset),
    }
}

fn optional_address(section: &Section<'_>, key: &str) -> Option<SocketAddr> {
    section
        .text(key)
        .and_then(|text| parse_address(section, key, text))
}

fn parse_address(section: &Section<'_>, key: &str, text: &str) -> Option<SocketAddr> {
    let parsed = text.parse().ok();
    if parsed.is_none() {
        section.fault(
            key,
            format!("holds {text}; expected an address like 10.0.0.1:8080"),
        );
    }
    parsed
}

/// Shortest fleet key in bytes.
const MIN_FLEET_KEY_BYTES: usize = 16;

fn read_fleet_key(section: &Section<'_>) -> Vec<u8> {
    let text = section.required("key");
    let key = hex::decode(text).unwrap_or_default();
    if !text.is_empty() && key.len() < MIN_FLEET_KEY_BYTES {
        section.fault(
            "key",
            format!("is not a hexadecimal key of at least {MIN_FLEET_KEY_BYTES} bytes"),
        );
    }
    key
}

fn read_operator_key(section: &Section<'_>) -> KeyHash {
    let text = section.required("key_sha256");
    parse_key_hash(text).unwrap_or_else(|| {
        if !text.is_empty() {
            section.fault("key_sha256", "is not 64 hexadecimal digits");
        }
        KeyHash::default()
    })
}

fn read_tls(section: &Section<'_>) -> Option<TlsFiles> {
    match (section.text("certificate"), section.text("key")) {
        (None, None) => None,
        (Some(certificate), Some(key)) => Some(TlsFiles {
            certificate: certificate.into(),
            key: key.into(),
        }),
        (Some(_), None) => {
            section.fault("key", "is missing; required with certificate");
            None
        }
        (None, Some(_)) => {
            section.fault("certificate", "is missing; required with key");
            None
        }
    }
}

fn read_limits(section: &Section<'_>) -> Limits {
    let d = Limits::default();
    Limits {
        threads: section.number("threads", d.threads, 1..=64),
        max_body_bytes: section.number("max_body_bytes", d.max_body_bytes, 1024..=16_777_216),
        max_in_flight: section.number("max_in_flight", d.max_in_flight, 1..=100_000),
        ledger_records: section.number("ledger_records", d.ledger_records, 1..=10_000_000),
        ledger_bytes: section.number("ledger_bytes", d.ledger_bytes, 1024..=1_073_741_824),
        ticket_ms: section.number("ticket_ms", d.ticket_ms, 1000..=86_400_000),
        claim_ms: section.number("claim_ms", d.claim_ms, 1000..=86_400_000),
        claims_per_second: section.number("claims_per_second", d.claims_per_second, 1..=1000),
        stop_grace_ms: section.number("stop_grace_ms", d.stop_grace_ms, 0..=600_000),
        isolation_ms: section.number("isolation_ms", d.isolation_ms, 1000..=3_600_000),
    }
}
