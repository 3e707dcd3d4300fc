//! Mutual authentication of two processes with the shared key of their deployment.
//!
//! Each side sends a random challenge. The proof that it returns for the other side's challenge is
//! a keyed BLAKE3 hash of the protocol version, its own role (initiator or responder), the link
//! class and the challenge.

use std::{fmt, io, path::Path, time::Duration};

use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use quick_error::quick_error;

use crate::{peer::link_counters::LinkClass, runtime};

/// The version of the peer protocol, sent as the first byte; both sides must use the same one.
const PROTOCOL_VERSION: u8 = 1;
/// The length of a challenge in bytes.
const CHALLENGE_BYTES: usize = 32;
/// The length of a proof in bytes.
const PROOF_BYTES: usize = 32;
/// The timeout of a complete handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
/// The context string for deriving the key from the secret.
const KEY_CONTEXT: &str = "crocustiller peer key 2026-12";

/// The symmetric key that all processes of a deployment share.
///
/// Connections from processes without the key are refused.
#[derive(Clone, PartialEq, Eq)]
pub struct PeerKey([u8; 32]);

impl PeerKey {
    /// Derives the key from a secret of any length.
    pub fn from_secret(secret: &[u8]) -> PeerKey {
        PeerKey(blake3::derive_key(KEY_CONTEXT, secret))
    }

    /// Reads the secret from a file, ignoring white space at its end.
    pub fn from_file(path: &Path) -> io::Result<PeerKey> {
        let text = std::fs::read_to_string(path)?;
        Ok(PeerKey::from_secret(text.trim_end().as_bytes()))
    }

    /// Returns the keyed hash of `message`.
    ///
    /// Compare hashes as `blake3::Hash`, whose equality takes constant time.
    pub fn keyed_hash(&self, message: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.0, message)
    }
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey(hidden)")
    }
}

quick_error! {
    /// The reason why a handshake between two processes failed.
    #[derive(Debug)]
    pub enum HandshakeError {
        /// The connection failed.
        Io(err: io::Error) {
            source(err)
            from()
            display("the connection failed during the handshake: {err}; try again")
        }
        /// The other side uses another protocol version.
        VersionMismatch(peer_version: u8) {
            display("the other side uses protocol version {peer_version}, not {PROTOCOL_VERSION}; upgrade the older side")
        }
        /// The other side requested an unknown link class.
        UnknownClass(code: u8) {
            display("the other side requested the unknown link class {code}; upgrade the older side")
        }
        /// The other side's proof was not made with the shared key.
        KeyMismatch {
            display("the other side does not have the shared key; check peer_key_file on both hosts")
        }
        /// The handshake did not complete within the timeout.
        TimedOut {
            display("the handshake took longer than {} s; check the other process and the network", HANDSHAKE_TIMEOUT.as_secs())
        }
    }
}

/// Runs the handshake as the side that opened the connection.
pub(crate) async fn initiate(
    stream: &mut TcpStream,
    key: &PeerKey,
    class: LinkClass,
) -> Result<(), HandshakeError> {
    let exchange = async {
        let own_challenge = random_challenge();
        stream.write_all(&[PROTOCOL_VERSION, encode_class(class)]).await?;
        stream.write_all(&own_challenge).await?;
        let mut reply = [0u8; 1 + CHALLENGE_BYTES + PROOF_BYTES];
        stream.read_exact(&mut reply).await?;
        check_version(reply[0])?;
        let peer_challenge = &reply[1..1 + CHALLENGE_BYTES];
        check_proof(key, &own_challenge, Side::Responder, class, &reply[1 + CHALLENGE_BYTES..])?;
        let own_proof = compute_proof(key, peer_challenge, Side::Initiator, class);
        stream.write_all(own_proof.as_bytes()).await?;
        Ok(())
    };
    with_timeout(exchange).await
}

/// Runs the handshake as the side that accepted the connection.
///
/// Returns the link class that the initiator requested.
pub(crate) async fn respond(
    stream: &mut TcpStream,
    key: &PeerKey,
) -> Result<LinkClass, HandshakeError> {
    let exchange = async {
        let mut hello = [0u8; 2 + CHALLENGE_BYTES];
        stream.read_exact(&mut hello).await?;
        check_version(hello[0])?;
        let class = decode_class(hello[1])?;
        let own_challenge = random_challenge();
        let own_proof = compute_proof(key, &hello[2..], Side::Responder, class);
        stream.write_all(&[PROTOCOL_VERSION]).await?;
        stream.write_all(&own_challenge).await?;
        stream.write_all(own_proof.as_bytes()).await?;
        let mut peer_proof = [0u8; PROOF_BYTES];
        stream.read_exact(&mut peer_proof).await?;
        check_proof(key, &own_challenge, Side::Initiator, class, &peer_proof)?;
        Ok(class)
    };
    with_timeout(exchange).await
}

/// The role of a process in the handshake, hashed into its proof.
#[derive(Clone, Copy)]
enum Side {
    Initiator = 1,
    Responder = 2,
}

async fn with_timeout<T>(
    exchange: impl std::future::Future<Output = Result<T, HandshakeError>>,
) -> Result<T, HandshakeError> {
    runtime::timeout(HANDSHAKE_TIMEOUT, exchange).await.unwrap_or(Err(HandshakeError::TimedOut))
}

fn random_challenge() -> [u8; CHALLENGE_BYTES] {
    let mut bytes = [0u8; CHALLENGE_BYTES];
    bytes[..16].copy_from_slice(uuid::Uuid::new_v4().as_bytes());
    bytes[16..].copy_from_slice(uuid::Uuid::new_v4().as_bytes());
    bytes
}

fn compute_proof(key: &PeerKey, challenge: &[u8], side: Side, class: LinkClass) -> blake3::Hash {
    let mut message = vec![PROTOCOL_VERSION, side as u8, encode_class(class)];
    message.extend_from_slice(challenge);
    key.keyed_hash(&message)
}

fn check_proof(
    key: &PeerKey,
    challenge: &[u8],
    side: Side,
    class: LinkClass,
    peer_proof: &[u8],
) -> Result<(), HandshakeError> {
    let Ok(peer_proof) = <[u8; PROOF_BYTES]>::try_from(peer_proof) else {
        return Err(HandshakeError::KeyMismatch);
    };
    if compute_proof(key, challenge, side, class) != blake3::Hash::from(peer_proof) {
        return Err(HandshakeError::KeyMismatch);
    }
    Ok(())
}

fn check_version(peer_version: u8) -> Result<(), HandshakeError> {
    if peer_version != PROTOCOL_VERSION {
        return Err(HandshakeError::VersionMismatch(peer_version));
    }
    Ok(())
}

fn encode_class(class: LinkClass) -> u8 {
    match class {
        LinkClass::Control => 1,
        LinkClass::Weights => 2,
    }
}

fn decode_class(code: u8) -> Result<LinkClass, HandshakeError> {
    match code {
        1 => Ok(LinkClass::Control),
        2 => Ok(LinkClass::Weights),
        _ => Err(HandshakeError::UnknownClass(code)),
    }
}
