//! Proof that both ends of a connection hold the deployment's shared key.
//!
//! Each side sends a random challenge and answers the other's with a keyed BLAKE3 hash over the
//! challenge, the protocol's version, its own direction and the link class.

use std::{fmt, io, path::Path, time::Duration};

use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use quick_error::quick_error;

use crate::{peer::link_counters::LinkClass, runtime};

/// Version of the protocol between processes; both ends must share the first byte.
const PROTOCOL_VERSION: u8 = 1;
/// Bytes of a challenge.
const CHALLENGE_BYTES: usize = 32;
/// Bytes of a proof.
const PROOF_BYTES: usize = 32;
/// Time within which a handshake must be complete.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
/// Context string of the key derivation.
const KEY_CONTEXT: &str = "crocustiller peer key 2026-12";

/// The key that all processes of a deployment share.
#[derive(Clone, PartialEq, Eq)]
pub struct PeerKey([u8; 32]);

impl PeerKey {
    /// Derives the key from a secret of any length.
    pub fn from_secret(secret: &[u8]) -> PeerKey {
        PeerKey(blake3::derive_key(KEY_CONTEXT, secret))
    }

    /// Reads the secret from a file; white space at its end does not count.
    pub fn from_file(path: &Path) -> io::Result<PeerKey> {
        let text = std::fs::read_to_string(path)?;
        Ok(PeerKey::from_secret(text.trim_end().as_bytes()))
    }

    /// Keyed hash of `message`; compare results as `blake3::Hash`, which takes constant time.
    pub fn sign(&self, message: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.0, message)
    }
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey(hidden)")
    }
}

quick_error! {
    /// Why a connection between processes was refused.
    #[derive(Debug)]
    pub enum HandshakeError {
        /// The connection failed.
        Io(err: io::Error) {
            source(err)
            from()
            display("the handshake broke off: {err}")
        }
        /// The other side speaks another protocol version.
        Version(theirs: u8) {
            display("the other side speaks protocol version {theirs}, not {PROTOCOL_VERSION}; upgrade the older side")
        }
        /// The other side named an unknown link class.
        Class(theirs: u8) {
            display("the other side asked for the unknown link class {theirs}")
        }
        /// The other side does not hold the shared key.
        Key {
            display("the other side does not hold the shared key; check peer_key_file on both hosts")
        }
        /// The handshake took too long.
        TimedOut {
            display("the handshake took longer than {} s", HANDSHAKE_TIMEOUT.as_secs())
        }
    }
}

/// Proves the key as the side that opened the connection.
pub(crate) async fn open(
    stream: &mut TcpStream,
    key: &PeerKey,
    class: LinkClass,
) -> Result<(), HandshakeError> {
    let exchange = async {
        let own = challenge();
        stream.write_all(&[PROTOCOL_VERSION, class_code(class)]).await?;
        stream.write_all(&own).await?;
        let mut answer = [0u8; 1 + CHALLENGE_BYTES + PROOF_BYTES];
        stream.read_exact(&mut answer).await?;
        check_version(answer[0])?;
        let theirs = &answer[1..1 + CHALLENGE_BYTES];
        check_proof(key, &own, Side::Acceptor, class, &answer[1 + CHALLENGE_BYTES..])?;
        let proof = proof(key, theirs, Side::Opener, class);
        stream.write_all(proof.as_bytes()).await?;
        Ok(())
    };
    limited(exchange).await
}

/// Proves the key as the side that accepted the connection and gives the class asked for.
pub(crate) async fn accept(
    stream: &mut TcpStream,
    key: &PeerKey,
) -> Result<LinkClass, HandshakeError> {
    let exchange = async {
        let mut hello = [0u8; 2 + CHALLENGE_BYTES];
        stream.read_exact(&mut hello).await?;
        check_version(hello[0])?;
        let class = class_of(hello[1])?;
        let own = challenge();
        let proof_sent = proof(key, &hello[2..], Side::Acceptor, class);
        stream.write_all(&[PROTOCOL_VERSION]).await?;
        stream.write_all(&own).await?;
        stream.write_all(proof_sent.as_bytes()).await?;
        let mut answer = [0u8; PROOF_BYTES];
        stream.read_exact(&mut answer).await?;
        check_proof(key, &own, Side::Opener, class, &answer)?;
        Ok(class)
    };
    limited(exchange).await
}

#[derive(Clone, Copy)]
enum Side {
    Opener = 1,
    Acceptor = 2,
}

async fn limited<T>(
    exchange: impl std::future::Future<Output = Result<T, HandshakeError>>,
) -> Result<T, HandshakeError> {
    runtime::timeout(HANDSHAKE_TIMEOUT, exchange).await.unwrap_or(Err(HandshakeError::TimedOut))
}

fn challenge() -> [u8; CHALLENGE_BYTES] {
    let mut bytes = [0u8; CHALLENGE_BYTES];
    bytes[..16].copy_from_slice(uuid::Uuid::new_v4().as_bytes());
    bytes[16..].copy_from_slice(uuid::Uuid::new_v4().as_bytes());
    bytes
}

fn proof(key: &PeerKey, challenge: &[u8], side: Side, class: LinkClass) -> blake3::Hash {
    let mut message = vec![PROTOCOL_VERSION, side as u8, class_code(class)];
    message.extend_from_slice(challenge);
    key.sign(&message)
}

fn check_proof(
    key: &PeerKey,
    challenge: &[u8],
    side: Side,
    class: LinkClass,
    answer: &[u8],
) -> Result<(), HandshakeError> {
    let Ok(answer) = <[u8; PROOF_BYTES]>::try_from(answer) else {
        return Err(HandshakeError::Key);
    };
    if proof(key, challenge, side, class) != blake3::Hash::from(answer) {
        return Err(HandshakeError::Key);
    }
    Ok(())
}

fn check_version(theirs: u8) -> Result<(), HandshakeError> {
    if theirs != PROTOCOL_VERSION {
        return Err(HandshakeError::Version(theirs));
    }
    Ok(())
}

fn class_code(class: LinkClass) -> u8 {
    match class {
        LinkClass::Control => 1,
        LinkClass::Weights => 2,
    }
}

fn class_of(code: u8) -> Result<LinkClass, HandshakeError> {
    match code {
        1 => Ok(LinkClass::Control),
        2 => Ok(LinkClass::Weights),
        _ => Err(HandshakeError::Class(code)),
    }
}
