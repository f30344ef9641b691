//! Reading of the daemon's settings: defaults and faults.

use expect_test::expect;
use hollowsail_config::{Settings, SourceFile};

const VALID: &str = "\
[entry]
name = entry-1
hall = a
[listen]
callers = 127.0.0.1:1
peers = 127.0.0.1:2
operators = 127.0.0.1:3
[fleet]
key = 00112233445566778899aabbccddeeff
seeds = 127.0.0.1:4, 127.0.0.1:5
[operators]
key_sha256 = 0000000000000000000000000000000000000000000000000000000000000000
";

fn read(text: &str) -> Result<Settings, String> {
    let source = SourceFile {
        name: "entry.ini".into(),
        text: text.into(),
    };
    Settings::read(&source).map_err(|faults| faults.to_string())
}

#[test]
fn valid_settings_are_read_with_defaults() {
    let settings = read(VALID).expect("the settings are valid");
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(settings.store, None);
    assert_eq!(settings.limits.threads, 2);
}

#[test]
fn every_invalid_setting_is_reported() {
    let text = VALID
        .replace("peers = 127.0.0.1:2", "peers = localhost:2")
        .replace("key = 0011", "key = 00")
        .replace("ccddeeff", "")
        + "[limits]\nthreads = 0\nspeed = 1\n[tls]\ncertificate = c.pem\n[extra]\n";
    expect![[r#"
        entry.ini:6: listen.peers: holds localhost:2; expected an address like 10.0.0.1:8080
        entry.ini:9: fleet.key: is not a hexadecimal key of at least 16 bytes
        entry.ini:14: limits.threads: is not a number from 1 to 64
        entry.ini:15: limits.speed: is not a field here; known fields: claim_ms, claims_per_second, isolation_ms, ledger_bytes, ledger_records, max_body_bytes, max_in_flight, stop_grace_ms, threads, ticket_ms
        entry.ini:16: tls.key: is missing; required with certificate
        entry.ini:18: extra: is not a known section; use entry, listen, fleet, platform, operators, tls, limits
        6 fault(s); nothing was changed. Correct them and try again."#]]
    .assert_eq(&read(&text).expect_err("the settings have faults"));
}
