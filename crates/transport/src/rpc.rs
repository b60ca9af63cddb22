//! `tarpc` over TCP with `bincode`, size limits and byte counts.
//!
//! Both services of the project use it: member control and the peer service.

mod channel;
mod meter;

pub use channel::{RpcChannel, RpcConnection, RpcOptions};
pub use meter::{ControlMeter, MeteredStream};

use serde::{Deserialize, Serialize};
use tarpc::serde_transport::Transport;
use tarpc::tokio_serde::formats::Bincode;
use tokio_util::codec::LengthDelimitedCodec;

/// Transport of one connection that receives `Item` and sends `SinkItem`.
pub type RpcTransport<Item, SinkItem> =
    Transport<MeteredStream, Item, SinkItem, Bincode<Item, SinkItem>>;

/// Frames a connection. A frame above `frame_limit` bytes ends it, so that a
/// faulty sender cannot make this process allocate without bound.
pub fn frame_stream<Item, SinkItem>(
    stream: MeteredStream,
    frame_limit: usize,
) -> RpcTransport<Item, SinkItem>
where
    Item: for<'a> Deserialize<'a>,
    SinkItem: Serialize,
{
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(frame_limit)
        .new_framed(stream);
    tarpc::serde_transport::new(framed, Bincode::default())
}
