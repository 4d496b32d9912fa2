//! What the system tells about real sockets.

use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::Duration;
use weirusher_net::{is_closed_by_peer, since_last_received};

#[test]
fn the_time_includes_the_wait_for_accept() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    client.write_all(b"x").unwrap();
    let wait = Duration::from_millis(120);
    std::thread::sleep(wait);
    // The connection waited in the listen backlog for this long.
    let (server, _) = listener.accept().unwrap();
    let first = since_last_received(&server).unwrap();
    // The kernel's clock has a resolution of a few milliseconds.
    assert!(first >= wait - Duration::from_millis(20), "{first:?}");
    client.write_all(b"y").unwrap();
    let second = since_last_received(&server).unwrap();
    assert!(second < first, "{second:?} after {first:?}");
    let file = std::fs::File::open("/dev/null").unwrap();
    assert_eq!(since_last_received(&file), None, "not a socket");
}

#[test]
fn a_close_is_known_behind_unread_data() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    for resets in [false, true] {
        let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (mut server, _) = listener.accept().unwrap();
        client.write_all(&[0; 4096]).unwrap();
        assert_eq!(is_closed_by_peer(&server), Some(false));
        if resets {
            // Closing a socket with unread data resets the connection.
            server.write_all(b"unread").unwrap();
            std::thread::sleep(Duration::from_millis(20));
            drop(client);
        } else {
            client.shutdown(Shutdown::Write).unwrap();
        }
        std::thread::sleep(Duration::from_millis(20));
        assert_eq!(is_closed_by_peer(&server), Some(true), "reset: {resets}");
    }
}
