//! Remote calls with `tarpc` over TCP and `bincode`, with a limit on the size of
//! frames and with a count of the bytes.
//!
//! Member control and the peer service use it.

mod channel;
mod meter;

pub use channel::{RpcChannel, RpcConnection, RpcOptions};
pub use meter::{ControlMeter, MeteredStream};

use serde::{Deserialize, Serialize};
use tarpc::serde_transport::Transport;
use tarpc::tokio_serde::formats::Bincode;
use tokio_util::codec::LengthDelimitedCodec;

/// Message transport of a connection that receives `Item` and sends `SinkItem`.
pub type RpcTransport<Item, SinkItem> =
    Transport<MeteredStream, Item, SinkItem, Bincode<Item, SinkItem>>;

/// Splits the bytes of a connection into frames. A frame of more than
/// `frame_limit` bytes ends the connection, so that a faulty sender cannot make
/// this process allocate without bound.
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
