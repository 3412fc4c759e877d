//! What one client of a crowd writes to its connection.

use std::io;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use super::{CrowdKind, CrowdPlan};

/// Bytes that a client writes at a time.
const WRITE_BYTES: usize = 64 << 10;
/// Bytes of a piece of a body that is sent in small pieces.
const PIECE_BYTES: usize = 4 << 10;
/// Bytes of a large chunk.
const LARGE_CHUNK_BYTES: usize = 256 << 10;
/// Chunks of a body that consists of chunks of one byte. With a slice of hyper's read buffer kept
/// for each, 60 of these bodies took 36 times their size.
const ONE_BYTE_CHUNKS: usize = 128 << 10;
/// Size of a body over the limit, as a multiple of the limit.
const OVERSIZE_FACTOR: usize = 4;
/// Share of the largest legal size that the body of a slow reader has: a half.
const SLOW_READER_DIVISOR: usize = 2;

/// Opens a connection and sends what a client of this kind sends. Returns the connection, also if
/// the process has closed it meanwhile.
pub async fn connect_and_send(plan: &CrowdPlan, kind: CrowdKind) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(plan.address).await.ok()?;
    // The process may refuse the request and close the connection at any point.
    let _ = send(&mut stream, plan, kind).await;
    Some(stream)
}

/// Waits for the first byte of the response.
pub async fn read_byte(stream: &mut TcpStream) -> io::Result<u8> {
    stream.read_u8().await
}

async fn send(stream: &mut TcpStream, plan: &CrowdPlan, kind: CrowdKind) -> io::Result<()> {
    let max_bytes = plan.max_body_bytes;
    let oversize = OVERSIZE_FACTOR * max_bytes;
    match kind {
        CrowdKind::WholeBodies => {
            write_announced_head(stream, plan, max_bytes).await?;
            write_body(stream, max_bytes - 1, WRITE_BYTES).await
        }
        CrowdKind::PiecedBodies => {
            write_announced_head(stream, plan, max_bytes).await?;
            write_body(stream, max_bytes - 1, PIECE_BYTES).await
        }
        CrowdKind::LargeChunks => {
            write_chunked_head(stream, plan).await?;
            write_chunks(stream, max_bytes).await
        }
        CrowdKind::OneByteChunks => {
            write_chunked_head(stream, plan).await?;
            write_one_byte_chunks(stream, ONE_BYTE_CHUNKS).await
        }
        CrowdKind::AnnouncedOversize => {
            write_announced_head(stream, plan, oversize).await?;
            write_body(stream, oversize - 1, WRITE_BYTES).await
        }
        CrowdKind::ChunkedOversize => {
            write_chunked_head(stream, plan).await?;
            write_chunks(stream, oversize).await
        }
        CrowdKind::SlowReaders => {
            let bytes = max_bytes / SLOW_READER_DIVISOR;
            write_announced_head(stream, plan, bytes).await?;
            write_body(stream, bytes, WRITE_BYTES).await
        }
        CrowdKind::IdleConnections => Ok(()),
    }
}

async fn write_announced_head(
    stream: &mut TcpStream,
    plan: &CrowdPlan,
    bytes: usize,
) -> io::Result<()> {
    let head = format!("{}content-length: {bytes}\r\n\r\n", plan.head);
    stream.write_all(head.as_bytes()).await
}

async fn write_chunked_head(stream: &mut TcpStream, plan: &CrowdPlan) -> io::Result<()> {
    let head = format!("{}transfer-encoding: chunked\r\n\r\n", plan.head);
    stream.write_all(head.as_bytes()).await
}

/// Writes `bytes` bytes of a body, `piece_bytes` at a time.
async fn write_body(stream: &mut TcpStream, bytes: usize, piece_bytes: usize) -> io::Result<()> {
    let piece = vec![b'x'; piece_bytes];
    let mut left = bytes;
    while left > 0 {
        let length = left.min(piece_bytes);
        stream.write_all(&piece[..length]).await?;
        left -= length;
        // Lets the other clients write too.
        tokio::task::yield_now().await;
    }
    Ok(())
}

/// Writes a body of `bytes` bytes in large chunks, without the last chunk.
async fn write_chunks(stream: &mut TcpStream, bytes: usize) -> io::Result<()> {
    for _ in 0..bytes / LARGE_CHUNK_BYTES {
        let size = format!("{LARGE_CHUNK_BYTES:x}\r\n");
        stream.write_all(size.as_bytes()).await?;
        write_body(stream, LARGE_CHUNK_BYTES, WRITE_BYTES).await?;
        stream.write_all(b"\r\n").await?;
    }
    Ok(())
}

async fn write_one_byte_chunks(stream: &mut TcpStream, count: usize) -> io::Result<()> {
    const CHUNK: &[u8] = b"1\r\nx\r\n";
    const CHUNKS_PER_WRITE: usize = 1_024;
    let chunks = CHUNK.repeat(CHUNKS_PER_WRITE);
    for _ in 0..count / CHUNKS_PER_WRITE {
        stream.write_all(&chunks).await?;
        tokio::task::yield_now().await;
    }
    Ok(())
}
