//! Reads a sequence of chunks as one byte stream.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use futures_lite::io::{AsyncBufRead, AsyncRead};

use crate::weights::ChunkBytes;

/// An asynchronous reader over consecutive chunks, which stay in their separate buffers.
#[derive(Debug)]
pub(crate) struct ChunkReader {
    chunks: Arc<[ChunkBytes]>,
    idx: usize,
    offset: usize,
}

impl ChunkReader {
    pub(crate) fn new(chunks: Arc<[ChunkBytes]>) -> ChunkReader {
        ChunkReader { chunks, idx: 0, offset: 0 }
    }

    fn remaining(&self) -> &[u8] {
        self.chunks.get(self.idx).map_or(&[], |it| &it[self.offset..])
    }

    fn advance(&mut self, n_bytes: usize) {
        self.offset += n_bytes;
        if self.chunks.get(self.idx).is_some_and(|it| self.offset >= it.len()) {
            self.idx += 1;
            self.offset = 0;
        }
    }
}

impl AsyncRead for ChunkReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let remaining = self.remaining();
        let n_bytes = remaining.len().min(buf.len());
        buf[..n_bytes].copy_from_slice(&remaining[..n_bytes]);
        self.advance(n_bytes);
        Poll::Ready(Ok(n_bytes))
    }
}

impl AsyncBufRead for ChunkReader {
    fn poll_fill_buf(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        Poll::Ready(Ok(self.get_mut().remaining()))
    }

    fn consume(mut self: Pin<&mut Self>, n_bytes: usize) {
        self.advance(n_bytes);
    }
}
