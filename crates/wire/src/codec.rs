//! Encoding of frames: a length, a format number and the message in postcard.

use derive_more::{Display, Error};
use serde::{Serialize, de::DeserializeOwned};

/// Number of the frame format. Frames of a peer with another format are refused.
pub const FORMAT: u8 = 1;

/// Longest frame in bytes.
pub const MAX_FRAME_BYTES: usize = 24 << 20;

/// Why a frame could not be read or written.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The peer uses another format.
    #[display("frame format {found}, this process speaks {FORMAT}")]
    Format {
        /// Format number that the peer sent.
        found: u8,
    },
    /// The frame is longer than [`MAX_FRAME_BYTES`].
    #[display("frame of {length} bytes, the limit is {MAX_FRAME_BYTES}")]
    Long {
        /// Its length.
        length: usize,
    },
    /// The bytes are not a message of the expected type.
    #[display("frame does not decode: {reason}")]
    Decode {
        /// Error text of the decoder.
        reason: String,
    },
    /// Bytes follow the message.
    #[display("{count} bytes after the end of the message")]
    Trailing {
        /// Number of bytes.
        count: usize,
    },
    /// The stream ended or broke.
    #[display("stream broke: {reason}")]
    Stream {
        /// Error text of the transport.
        reason: String,
    },
}

/// Encodes a message with its length and format number.
///
/// ```
/// use wire::codec::{decode, encode};
/// use wire::frame::Command;
/// let raw = encode(&Command::Status).unwrap();
/// assert_eq!(decode::<Command>(&raw[4..]).unwrap(), Command::Status);
/// ```
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, Error> {
    let raw = vec![0, 0, 0, 0, FORMAT];
    let mut raw =
        postcard::to_extend(message, raw).map_err(|e| Error::Decode { reason: e.to_string() })?;
    let length = raw.len() - 4;
    match u32::try_from(length) {
        Ok(n) if length <= MAX_FRAME_BYTES => raw[..4].copy_from_slice(&n.to_be_bytes()),
        _ => return Err(Error::Long { length }),
    }
    Ok(raw)
}

/// Decodes the bytes after the length. Another format and trailing bytes are errors.
///
/// ```
/// assert!(wire::codec::decode::<wire::frame::Command>(&[9, 0]).is_err());
/// ```
pub fn decode<T: DeserializeOwned>(raw: &[u8]) -> Result<T, Error> {
    let (format, body) = match raw.split_first() {
        Some((f, body)) => (*f, body),
        None => return Err(Error::Decode { reason: "empty frame".into() }),
    };
    if format != FORMAT {
        return Err(Error::Format { found: format });
    }
    let (message, rest) =
        postcard::take_from_bytes(body).map_err(|e| Error::Decode { reason: e.to_string() })?;
    match rest.len() {
        0 => Ok(message),
        count => Err(Error::Trailing { count }),
    }
}
