//! Incremental decoder of the chunked transfer coding.

use crate::http1::HttpError;

/// Maximum length of a line with a chunk size or a trailer field.
const MAX_LINE_BYTES: usize = 4096;
/// Maximum length of all trailer fields.
const MAX_TRAILER_BYTES: usize = 8 << 10;

/// Decodes one body in the chunked transfer coding from input that arrives in parts.
#[derive(Clone, Debug, Default)]
pub struct ChunkDecoder {
    state: State,
    line: Vec<u8>,
    n_trailer_bytes: usize,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Size,
    Data(u64),
    DataEnd,
    Trailer,
    Done,
}

impl ChunkDecoder {
    /// Decodes bytes from the front of `input` and appends the data to `out`; returns the number of
    /// bytes consumed.
    pub fn decode(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<usize, HttpError> {
        let mut pos = 0;
        while pos < input.len() && self.state != State::Done {
            match self.state {
                State::Data(n_left) => {
                    let n_bytes = (input.len() - pos).min(n_left as usize);
                    out.extend_from_slice(&input[pos..pos + n_bytes]);
                    pos += n_bytes;
                    let n_left = n_left - n_bytes as u64;
                    self.state = if n_left == 0 { State::DataEnd } else { State::Data(n_left) };
                }
                _ => {
                    let byte = input[pos];
                    pos += 1;
                    self.decode_line_byte(byte)?;
                }
            }
        }
        Ok(pos)
    }

    /// Returns `true` if the end of the body was decoded.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    fn decode_line_byte(&mut self, byte: u8) -> Result<(), HttpError> {
        if byte != b'\n' {
            self.line.push(byte);
            return match self.line.len() {
                0..=MAX_LINE_BYTES => Ok(()),
                _ => Err(HttpError::Malformed("a chunk line is too long")),
            };
        }
        let Some(line) = self.line.strip_suffix(b"\r") else {
            return Err(HttpError::Malformed("a chunk line without a carriage return at its end"));
        };
        if self.state == State::Trailer {
            self.n_trailer_bytes += line.len();
            if self.n_trailer_bytes > MAX_TRAILER_BYTES {
                return Err(HttpError::Malformed("the trailer is too long"));
            }
        }
        self.state = match self.state {
            State::Size => match parse_size(line)? {
                0 => State::Trailer,
                size => State::Data(size),
            },
            State::DataEnd if line.is_empty() => State::Size,
            State::DataEnd => return Err(HttpError::Malformed("a chunk is longer than its size")),
            State::Trailer if line.is_empty() => State::Done,
            other => other,
        };
        self.line.clear();
        Ok(())
    }
}

fn parse_size(line: &[u8]) -> Result<u64, HttpError> {
    let bad = HttpError::Malformed("invalid chunk size");
    let digits = line.split(|it| *it == b';').next().unwrap_or(line);
    let digits = digits.trim_ascii();
    if digits.is_empty() || digits.len() > 15 || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(bad);
    }
    let text = std::str::from_utf8(digits).unwrap_or("");
    u64::from_str_radix(text, 16).map_err(|_| bad)
}
