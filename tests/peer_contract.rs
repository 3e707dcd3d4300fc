//! Handling of invalid handshakes and frames, of a wrong key, and of documents of a newer release.

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

/// Time within which a connection with invalid input must be closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(20);
const SECRET: &[u8] = b"cluster test";
const PROTOCOL_VERSION: u8 = 1;
const CONTROL_CLASS: u8 = 1;

#[test]
fn invalid_handshakes_are_closed() {
    let cases: [(&str, Vec<u8>); 6] = [
        ("HTTP", b"GET / HTTP/1.1\r\nHost: a\r\n\r\n".repeat(4)),
        ("zeros", vec![0; 100]),
        ("newer version", hello(PROTOCOL_VERSION + 1, CONTROL_CLASS)),
        ("unknown class", hello(PROTOCOL_VERSION, 9)),
        ("half a hello", hello(PROTOCOL_VERSION, CONTROL_CLASS)[..20].to_vec()),
        ("invalid proof", [hello(PROTOCOL_VERSION, CONTROL_CLASS), vec![7; 32]].concat()),
    ];
    runtime::run_until(async {
        let cluster = Cluster::start(1).await;
        let address = cluster.node(0).membership.own().peer_address;
        for (name, bytes) in cases {
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.write_all(&bytes).await.unwrap();
            check_closed(name, &mut stream).await;
            check_responds(name, address).await;
        }
        cluster.close().await;
    });
}

#[test]
fn invalid_frames_close_the_connection() {
    let too_long = (9u32 << 20).to_be_bytes().to_vec();
    let huge = u32::MAX.to_be_bytes().to_vec();
    let cases: [(&str, Vec<u8>); 4] = [
        ("frame over the limit", too_long),
        ("maximum length", huge),
        ("undecodable message", [vec![0, 0, 0, 64], vec![0xff; 64]].concat()),
        ("empty frame", vec![0; 4]),
    ];
    runtime::run_until(async {
        let cluster = Cluster::start(1).await;
        let address = cluster.node(0).membership.own().peer_address;
        for (name, bytes) in cases {
            let mut stream = open_connection(address).await.unwrap();
            stream.write_all(&bytes).await.unwrap();
            check_closed(name, &mut stream).await;
            check_responds(name, address).await;
        }
        cluster.close().await;
    });
}

#[test]
fn key_mismatch_is_reported() {
    runtime::run_until(async {
        let cluster = Cluster::start(1).await;
        let address = cluster.node(0).membership.own().peer_address;
        let pool = PeerPool::new(PeerKey::from_secret(b"another"), Arc::default());
        let call = pool.call(address, LinkClass::Control, CLOSE_TIMEOUT, |peer, ctx| async move {
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
fn newer_documents_are_passed_on() {
    let unknown = json!({ "number": 3, "future": { "a": [1] }, "rollout": { "pace": "slow" } });
    check_offer(unknown, Ok(true), 3, 3);
    let unreadable = json!({ "number": 3, "rollout": { "mode": "third-mode" } });
    check_offer(unreadable, Err("Unsupported"), 2, 3);
    check_offer(json!({ "number": 2, "future": 1 }), Ok(false), 2, 2);
    check_offer(json!({ "number": 1 }), Ok(false), 2, 2);
    check_offer(json!({ "numbers": 3 }), Err("Malformed"), 2, 2);
    check_offer(json!([3]), Err("Malformed"), 2, 2);
}

/// Offers `charter` to a store that has number 2, and checks which number is then in force and
/// which is passed on to other processes.
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
    let stored = store.document(&DocumentName::Charter).unwrap();
    assert_eq!(stored.number, passed_on, "{charter}");
    if passed_on > 2 {
        assert_eq!(stored, offered, "the document is passed on unchanged");
    }
}

fn document(charter: &Value) -> Document {
    let number = charter["number"].as_u64().unwrap_or(9);
    let json = ByteBuf::from(charter.to_string().into_bytes());
    Document { name: DocumentName::Charter, number, json }
}

async fn check_closed(name: &str, stream: &mut TcpStream) {
    let mut remaining = Vec::new();
    let read = runtime::timeout(CLOSE_TIMEOUT, stream.read_to_end(&mut remaining)).await;
    assert!(read.is_ok(), "{name}: the connection was not closed");
}

async fn check_responds(name: &str, address: SocketAddr) {
    let counters = Arc::new(LinkCounters::default());
    let pool = PeerPool::new(PeerKey::from_secret(SECRET), counters);
    let call = pool.call(address, LinkClass::Control, CLOSE_TIMEOUT, |peer, ctx| async move {
        peer.ping(ctx).await
    });
    assert_eq!(call.await.unwrap().host, "host-0", "{name}");
}

/// Opens a connection with a valid handshake, and returns the raw stream for invalid frames.
async fn open_connection(address: SocketAddr) -> io::Result<TcpStream> {
    let key = PeerKey::from_secret(SECRET);
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(&hello(PROTOCOL_VERSION, CONTROL_CLASS)).await?;
    let mut response = [0u8; 65];
    stream.read_exact(&mut response).await?;
    let initiator_role = 1;
    let message = [&[PROTOCOL_VERSION, initiator_role, CONTROL_CLASS], &response[1..33]].concat();
    stream.write_all(key.keyed_hash(&message).as_bytes()).await?;
    Ok(stream)
}

fn hello(version: u8, class: u8) -> Vec<u8> {
    [vec![version, class], vec![5; 32]].concat()
}
