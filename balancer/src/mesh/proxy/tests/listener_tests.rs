//! Tests of `listener`.

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::*;
use crate::body::ResponseStream;

/// Time is the test's own: it goes on at once when nobody has anything to do.
#[tokio::test(start_paused = true)]
async fn a_long_answer_that_is_on_its_way_at_the_end_goes_whole() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let at = listener.local_addr().expect("its address");
    let (ajar, watch_ajar) = watch::channel(ListenerState::Open);
    let (sender, pieces) = ResponseStream::new(Bytes::from_static(b"begins, "), Some(17));
    let once = Arc::new(std::sync::Mutex::new(Some(pieces)));
    let answer = move |_: ReceivedRequest| {
        let pieces = once.lock().expect("a lock").take().expect("one req");
        async move { Response::new(ResponseBody::Streaming { pieces, hold: None, paced: None }) }
    };
    let bounds = ListenerLimits { max_connections: 4, header_timeout: Duration::from_secs(60) };
    let door = tokio::spawn(serve(listener, Clock::new(), bounds, watch_ajar, Arc::default(), answer));
    let mut client = TcpStream::connect(at).await.expect("a connection");
    client.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await.expect("written");
    let mut got = Vec::new();
    while !got.ends_with(b"begins, ") {
        got.push(client.read_u8().await.expect("a byte"));
    }
    ajar.send_replace(ListenerState::Closed);
    sleep(DRAIN_READ_TIMEOUT * 5).await;
    sender.send(Some(Bytes::from_static(b"ends well"))).await.expect("somebody reads");
    // Its length was told: nobody asks for its end.
    let _ = sender.send(None).await;
    client.read_to_end(&mut got).await.expect("an end");
    assert!(got.ends_with(b"begins, ends well"), "{}", String::from_utf8_lossy(&got));
    door.await.expect("no panic");
}
