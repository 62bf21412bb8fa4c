//! The order in which the loop receives messages.

#![allow(clippy::unwrap_used)]

use clock::Clock;
use gateway::event::Event;
use gateway::notice::Notice;
use relay::inbox::Handle;
use relay::inbox::Message;

/// After a freeze, requests were forwarded to a server before the later message that it had left was handled.
#[tokio::test]
async fn news_is_taken_in_before_requests() {
    let (handle, mut inbox) = Handle::new(Clock::start());
    for serial in 0..3 {
        handle.send_event(Event::CallerDisconnected { serial });
    }
    handle.send_event(Event::ServersLost);
    let first = inbox.next().await.unwrap().message;
    assert!(matches!(first, Message::Event(Event::ServersLost)));
    for expected in 0..3 {
        let next = inbox.next().await.unwrap().message;
        let Message::Event(Event::CallerDisconnected { serial }) = next else {
            panic!("requests are out of order");
        };
        assert_eq!(serial, expected);
    }
}

/// Requests that had waited in the inbox were forwarded to a server after it had asked for a pause.
#[tokio::test]
async fn a_servers_notice_is_taken_in_before_requests() {
    let (handle, mut inbox) = Handle::new(Clock::start());
    handle.send_event(Event::CallerDisconnected { serial: 1 });
    handle.send_event(Event::NoticeReceived {
        incarnation: "s1#1".into(),
        notice: Notice::default(),
    });
    let first = inbox.next().await.unwrap().message;
    assert!(matches!(
        first,
        Message::Event(Event::NoticeReceived { .. })
    ));
}
