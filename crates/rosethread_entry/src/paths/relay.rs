//! Carries a path to a target over a connection between two hosts.
//!
//! What the target sends travels in frames, and an empty one marks the end. Without it the path has
//! broken off, so that a response which ends with its connection is never taken for complete when the
//! host in between has ended.

use std::{io, net::SocketAddr};

use bytes::{Bytes, BytesMut};
use futures::{SinkExt, StreamExt, stream, stream::BoxStream};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, Join},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
};
use tokio_util::{
    codec::{Framed, FramedRead, FramedWrite, LengthDelimitedCodec},
    io::StreamReader,
};

use crate::{
    paths::{LateReader, NoPath, PathRequest, limit_silence},
    peers::{PeerReply, PeerRequest, frame_codec},
};

/// The most bytes of a target's response that wait at the host in between.
const CHUNK_BYTES: usize = 8 << 10;

/// A path to a target through another host, as a socket.
pub type PathStream =
    Join<StreamReader<BoxStream<'static, io::Result<Bytes>>, Bytes>, OwnedWriteHalf>;

/// Asks the host at `to` for a path to a target. The outer error tells why the host gave no reply that
/// this one understands.
pub(super) async fn open(
    to: SocketAddr,
    request: PathRequest,
) -> io::Result<Result<PathStream, NoPath>> {
    let socket = TcpStream::connect(to).await?;
    socket.set_nodelay(true)?;
    limit_silence(&socket)?;
    let mut framed = Framed::new(socket, frame_codec());
    let frame = postcard::to_stdvec(&(0_u64, PeerRequest::OpenPath(request)));
    framed.send(Bytes::from(frame.map_err(io::Error::other)?)).await?;
    let reply = framed.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
    match PeerReply::decode(&reply).map_err(io::Error::other)? {
        (_, PeerReply::Done) => Ok(Ok(path_stream(framed))),
        (_, PeerReply::NoPath(reason)) => Ok(Err(reason)),
        // A host of the last release does not know the request.
        _ => Err(io::ErrorKind::Unsupported.into()),
    }
}

fn path_stream(framed: Framed<TcpStream, LengthDelimitedCodec>) -> PathStream {
    let parts = framed.into_parts();
    let (read, write) = parts.io.into_split();
    let mut frames = FramedRead::new(read, frame_codec());
    frames.read_buffer_mut().extend_from_slice(&parts.read_buf);
    let chunks = stream::unfold(Some(frames), async |frames| {
        let mut frames = frames?;
        match frames.next().await {
            Some(Ok(chunk)) if chunk.is_empty() => None,
            Some(Ok(chunk)) => Some((Ok(chunk.freeze()), Some(frames))),
            Some(Err(error)) => Some((Err(error), None)),
            None => Some((Err(io::ErrorKind::ConnectionReset.into()), None)),
        }
    });
    tokio::io::join(StreamReader::new(chunks.boxed()), write)
}

/// Carries a path between the host that asked for it and the target until either of them closes it.
pub(super) async fn carry(framed: Framed<TcpStream, LengthDelimitedCodec>, target: TcpStream) {
    let parts = framed.into_parts();
    // Without the limit the path still works, but outlives a host that has lost its power.
    let _ = limit_silence(&parts.io);
    let (mut near_read, near_write) = parts.io.into_split();
    let (far_read, mut far_write) = target.into_split();
    let requests = send_requests(parts.read_buf, &mut near_read, &mut far_write);
    // Each side hears of the other's end by the end of its connection.
    tokio::select! {
        _ = requests => (),
        _ = send_chunks(far_read, FramedWrite::new(near_write, frame_codec())) => (),
    }
}

/// Sends what the host that asked for the path sends, `received` of which has arrived.
async fn send_requests(
    received: BytesMut,
    host: &mut OwnedReadHalf,
    target: &mut OwnedWriteHalf,
) -> io::Result<()> {
    let mut buffer = received;
    let (mut reader, mut written) = (LateReader::default(), 0);
    loop {
        target.write_all(&buffer).await?;
        written += buffer.len();
        reader.update(target.as_ref(), written);
        buffer.clear();
        buffer.reserve(CHUNK_BYTES);
        if host.read_buf(&mut buffer).await? == 0 {
            return Ok(());
        }
    }
}

/// Sends what the target sends; an error of the target's connection ends the path without its mark.
async fn send_chunks(
    mut target: OwnedReadHalf,
    mut frames: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
) -> io::Result<()> {
    let mut buffer = BytesMut::with_capacity(CHUNK_BYTES);
    let (mut reader, mut written) = (LateReader::default(), 0);
    loop {
        let count = target.read_buf(&mut buffer).await?;
        frames.send(buffer.split().freeze()).await?;
        written += count;
        reader.update(frames.get_ref().as_ref(), written);
        if count == 0 {
            return Ok(());
        }
        buffer.reserve(CHUNK_BYTES);
    }
}
