//! Options of dialled connections.

use std::time::Duration;

use hollowsail_connect::dial;
use socket2::SockRef;
use tokio::net::TcpListener;

/// Longest silence of a target that is sound.
const SOUND_SILENCE: Duration = Duration::from_millis(1_500);
/// Time in which a connection that fell silent for good has to fail.
const DETECTION_TIME: Duration = Duration::from_secs(4);

/// Guards against requests that hang with a connection whose other end is gone.
#[actix_rt::test]
async fn connection_that_falls_silent_fails_in_time() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let addr = listener.local_addr().expect("a local address");
    let stream = dial(addr, Duration::from_secs(1))
        .await
        .expect("it listens");
    let options = SockRef::from(&stream);
    assert!(options.keepalive().expect("the option is supported"));
    let timeout = options.tcp_user_timeout().expect("the option is supported");
    let timeout = timeout.expect("a user timeout is set");
    let first_probe = options
        .tcp_keepalive_time()
        .expect("the option is supported");
    let interval = options
        .tcp_keepalive_interval()
        .expect("the option is supported");
    assert!(timeout > SOUND_SILENCE);
    // The first probe after the timeout ends the connection.
    assert!(first_probe < timeout && timeout + interval <= DETECTION_TIME);
}
