//! What a process does with connections and messages of other processes that are not as agreed.

mod cluster;

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use async_net::TcpStream;
use crocustiller::{
    charter::Charter,
    documents::{DocumentError, DocumentStore},
    peer::{
        Document, DocumentName, HandshakeError, LinkClass, LinkCounters, PeerError, PeerKey,
        PeerPool,
    },
    runtime,
};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use serde_bytes::ByteBuf;
use serde_json::{json, Value};

use crate::cluster::Cluster;

/// Time within which a bad connection must be closed.
const CLOSE_LIMIT: Duration = Duration::from_secs(20);
const SECRET: &[u8] = b"cluster test";
const VERSION: u8 = 1;
const CONTROL: u8 = 1;

#[test]
fn bad_openings_are_closed() {
    let cases: [(&str, Vec<u8>); 6] = [
        ("HTTP", b"GET / HTTP/1.1\r\nHost: a\r\n\r\n".repeat(4)),
        ("zeros", vec![0; 100]),
        ("newer version", hello(VERSION + 1, CONTROL)),
        ("unknown class", hello(VERSION, 9)),
        ("half a hello", hello(VERSION, CONTROL)[..20].to_vec()),
        ("no proof", [hello(VERSION, CONTROL), vec![7; 32]].concat()),
    ];
    runtime::run_until(async {
        let cluster = Cluster::start(1).await;
        let address = cluster.node(0).membership.own().peer_address;
        for (name, bytes) in cases {
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.write_all(&bytes).await.unwrap();
            check_closed(name, &mut stream).await;
            check_alive(name, address).await;
        }
        cluster.close().await;
    });
}

#[test]
fn bad_frames_close_the_connection() {
    let too_long = (9u32 << 20).to_be_bytes().to_vec();
    let huge = u32::MAX.to_be_bytes().to_vec();
    let cases: [(&str, Vec<u8>); 4] = [
        ("frame over the limit", too_long),
        ("greatest length", huge),
        ("bytes that are no message", [vec![0, 0, 0, 64], vec![0xff; 64]].concat()),
        ("empty frame", vec![0; 4]),
    ];
    runtime::run_until(async {
        let cluster = Cluster::start(1).await;
        let address = cluster.node(0).membership.own().peer_address;
        for (name, bytes) in cases {
            let mut stream = open(address).await.unwrap();
            stream.write_all(&bytes).await.unwrap();
            check_closed(name, &mut stream).await;
            check_alive(name, address).await;
        }
        cluster.close().await;
    });
}

#[test]
fn other_key_is_named() {
    runtime::run_until(async {
        let cluster = Cluster::start(1).await;
        let address = cluster.node(0).membership.own().peer_address;
        let pool = PeerPool::new(PeerKey::from_secret(b"another"), Arc::default());
        let call = pool.call(address, LinkClass::Control, CLOSE_LIMIT, |peer, ctx| async move {
            peer.ping(ctx).await
        });
        let res = call.await;
        assert!(
            matches!(res, Err(PeerError::Handshake(_, HandshakeError::KeyMismatch))),
            "{:?}",
            res.map_err(|it| it.to_string())
        );
        assert!(cluster.node(0).membership.records().len() == 1);
        cluster.close().await;
    });
}

#[test]
fn documents_of_a_newer_release() {
    let unknown = json!({ "number": 3, "future": { "a": [1] }, "rollout": { "pace": "slow" } });
    check_offer(unknown, Ok(true), 3, 3);
    let unreadable = json!({ "number": 3, "rollout": { "mode": "third-mode" } });
    check_offer(unreadable, Err("Unsupported"), 2, 3);
    check_offer(json!({ "number": 2, "future": 1 }), Ok(false), 2, 2);
    check_offer(json!({ "number": 1 }), Ok(false), 2, 2);
    check_offer(json!({ "numbers": 3 }), Err("Malformed"), 2, 2);
    check_offer(json!([3]), Err("Malformed"), 2, 2);
}

/// Offers `charter` to a store with number 2 and looks at what is in force and what is passed on.
fn check_offer(charter: Value, expected: Result<bool, &str>, in_force: u64, passed_on: u64) {
    let store = DocumentStore::new();
    store.offer(document(&json!({ "number": 2 }))).unwrap();
    let offered = document(&charter);
    let res = store.offer(offered.clone()).map_err(|err| match err {
        DocumentError::Unsupported(..) => "Unsupported",
        DocumentError::Malformed(..) => "Malformed",
        DocumentError::NumberMismatch(..) => "NumberMismatch",
    });
    assert_eq!(res, expected, "{charter}");
    assert_eq!(store.charter().map(|it: Arc<Charter>| it.number), Some(in_force), "{charter}");
    let held = store.document(&DocumentName::Charter).unwrap();
    assert_eq!(held.number, passed_on, "{charter}");
    if passed_on > 2 {
        assert_eq!(held, offered, "every byte is passed on");
    }
}

fn document(charter: &Value) -> Document {
    let number = charter["number"].as_u64().unwrap_or(9);
    let json = ByteBuf::from(charter.to_string().into_bytes());
    Document { name: DocumentName::Charter, number, json }
}

async fn check_closed(name: &str, stream: &mut TcpStream) {
    let mut rest = Vec::new();
    let read = runtime::timeout(CLOSE_LIMIT, stream.read_to_end(&mut rest)).await;
    assert!(read.is_ok(), "{name}: the connection stays open");
}

async fn check_alive(name: &str, address: SocketAddr) {
    let counters = Arc::new(LinkCounters::default());
    let pool = PeerPool::new(PeerKey::from_secret(SECRET), counters);
    let call = pool.call(address, LinkClass::Control, CLOSE_LIMIT, |peer, ctx| async move {
        peer.ping(ctx).await
    });
    assert_eq!(call.await.unwrap().host, "host-0", "{name}");
}

/// Opens a connection as a process of the deployment does, but with the bytes in the test's hand.
async fn open(address: SocketAddr) -> io::Result<TcpStream> {
    let key = PeerKey::from_secret(SECRET);
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(&hello(VERSION, CONTROL)).await?;
    let mut answer = [0u8; 65];
    stream.read_exact(&mut answer).await?;
    let opener = 1;
    let message = [&[VERSION, opener, CONTROL], &answer[1..33]].concat();
    stream.write_all(key.keyed_hash(&message).as_bytes()).await?;
    Ok(stream)
}

fn hello(version: u8, class: u8) -> Vec<u8> {
    [vec![version, class], vec![5; 32]].concat()
}
