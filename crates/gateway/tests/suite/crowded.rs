//! A host with a narrow link that gets more callers than it can serve in time.

use std::time::{Duration, Instant};

use hollowsail_gateway::Running;
use hollowsail_platform::settings::Settings;
use hollowsail_platform_standins::target::answer;
use hollowsail_platform_standins::{Step, StoreStandin, TargetStandin};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::fixture::{gateway_at, plain_deployment, settings, wait_for_entries, Call};

/// Bandwidth of the narrow link, in megabits per second, and the body of each request.
const LINK_MBPS: f64 = 2.0;
const BODY_BYTES: usize = 20_000;
/// How long the host is pressed.
const PRESSED: Duration = Duration::from_millis(2_500);
/// Pause of a caller after each request.
const PAUSE: Duration = Duration::from_millis(20);

fn host_settings(host: &str, hall: &str, link_mbps: f64, store: &StoreStandin) -> Settings {
    let mut settings = settings(host, hall, store.addr);
    settings.limits.link_mbps = link_mbps;
    settings
}

/// Two hosts, the first with a narrow link, before a target.
struct Fleet {
    narrow: Running,
    wide: Running,
    _target: TargetStandin,
    _store: StoreStandin,
}

impl Fleet {
    async fn start(wide_hall: &str) -> Self {
        let store = StoreStandin::start().await;
        store.put("op/config", &plain_deployment(1, "/safe/").bytes());
        let target =
            TargetStandin::start(|request| vec![Step::Write(answer(request, 200, "whole"))]).await;
        store.put_target("i-1", "plain", target.addr, "hall-a", "ready");
        let narrow = gateway_at(host_settings("host-1", "hall-a", LINK_MBPS, &store)).await;
        let wide = gateway_at(host_settings("host-2", wide_hall, 1_000.0, &store)).await;
        wait_for_entries("both hosts are listed", &store, 2).await;
        Fleet {
            narrow,
            wide,
            _target: target,
            _store: store,
        }
    }

    /// Presses the narrow host. Callers that are refused go to the other host.
    async fn press(&self) -> Pressed {
        let call = Call::new("POST", "/safe/x").body(&"x".repeat(BODY_BYTES));
        let until = Instant::now() + PRESSED;
        let mut pressed = Pressed::default();
        while Instant::now() < until {
            let status = match TcpStream::connect(self.narrow.addrs.callers).await {
                Ok(mut caller) => {
                    let sent = caller.write_all(&call.bytes()).await;
                    let mut received = String::new();
                    let read = caller.read_to_string(&mut received).await;
                    match sent.and(read) {
                        Ok(_) if received.starts_with("HTTP/1.1 200") => Some(200),
                        Ok(read) if read > 0 => Some(0),
                        // Reset in the accept queue.
                        Ok(_) | Err(_) => None,
                    }
                }
                Err(_) => None,
            };
            match status {
                Some(200) => pressed.served += 1,
                Some(_) => pressed.failed += 1,
                None => {
                    pressed.refused += 1;
                    let answer = call.send(self.wide.addrs.callers).await;
                    pressed.served_elsewhere += usize::from(answer.status == 200);
                }
            }
            tokio::time::sleep(PAUSE).await;
        }
        pressed
    }
}

#[derive(Debug, Default)]
struct Pressed {
    served: usize,
    failed: usize,
    refused: usize,
    served_elsewhere: usize,
}

#[actix_rt::test]
async fn full_host_refuses_connections_that_its_peers_can_serve() {
    let fleet = Fleet::start("hall-a").await;
    let pressed = fleet.press().await;
    // 2 Mbit/s carry 12 such requests a second, and 0.6 of that is used.
    assert!(pressed.refused > 20, "{pressed:?}");
    assert!(pressed.served > 10, "{pressed:?}");
    assert_eq!(pressed.failed, 0, "{pressed:?}");
    assert_eq!(pressed.served_elsewhere, pressed.refused, "{pressed:?}");
}

#[actix_rt::test]
async fn full_host_serves_callers_that_no_peer_of_its_hall_could_serve() {
    let fleet = Fleet::start("hall-b").await;
    let pressed = fleet.press().await;
    assert_eq!(pressed.refused, 0, "{pressed:?}");
    assert_eq!(pressed.failed, 0, "{pressed:?}");
}

#[actix_rt::test]
async fn full_host_accepts_connections_again_after_the_crowd() {
    let fleet = Fleet::start("hall-a").await;
    let pressed = fleet.press().await;
    assert!(pressed.refused > 0, "{pressed:?}");
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    for _ in 0..5 {
        let answer = Call::new("POST", "/safe/x")
            .send(fleet.narrow.addrs.callers)
            .await;
        assert_eq!(answer.status, 200);
    }
}
