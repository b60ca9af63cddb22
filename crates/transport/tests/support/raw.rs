//! A caller that sends and receives single protocol frames, for sequences that client
//! libraries do not send.

use std::time::{Duration, Instant};

use bytes::BytesMut;
use postgres_protocol::authentication::sasl::{ChannelBinding, ScramSha256, SCRAM_SHA_256};
use postgres_protocol::message::backend::Message;
use postgres_protocol::message::frontend;
use protocol::frame::{self, tag, WireFrame};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Connection of a caller to the proxy.
pub struct RawCaller {
    stream: TcpStream,
    input: BytesMut,
    /// Frames that the next send delivers.
    pub output: BytesMut,
}

impl RawCaller {
    /// Connects and logs in as user `app`.
    pub async fn connect(port: u16, group: &str) -> Self {
        let mut caller = Self {
            stream: TcpStream::connect(("127.0.0.1", port)).await.unwrap(),
            input: BytesMut::new(),
            output: BytesMut::new(),
        };
        let parameters = [("user", "app"), ("database", group)];
        frontend::startup_message(parameters, &mut caller.output).unwrap();
        caller.send().await;
        let mut scram = ScramSha256::new(b"secret", ChannelBinding::unsupported());
        loop {
            let frame = caller.frame().await;
            let mut bytes = BytesMut::from(frame.bytes());
            match Message::parse(&mut bytes).unwrap() {
                Some(Message::AuthenticationSasl(_)) => {
                    let data = scram.message();
                    frontend::sasl_initial_response(SCRAM_SHA_256, data, &mut caller.output)
                        .unwrap();
                }
                Some(Message::AuthenticationSaslContinue(body)) => {
                    scram.update(body.data()).unwrap();
                    frontend::sasl_response(scram.message(), &mut caller.output).unwrap();
                }
                Some(Message::AuthenticationSaslFinal(body)) => scram.finish(body.data()).unwrap(),
                Some(Message::ReadyForQuery(_)) => return caller,
                _ => {}
            }
            caller.send().await;
        }
    }

    /// Adds Parse, Bind and Execute of an unnamed statement without parameters.
    pub fn statement(&mut self, text: &str) {
        frontend::parse("", text, [], &mut self.output).unwrap();
        self.bind("");
        frontend::execute("", 0, &mut self.output).unwrap();
    }

    /// Adds a Bind of the unnamed portal without parameters.
    pub fn bind(&mut self, statement: &str) {
        let none = std::iter::empty::<i16>();
        let values = std::iter::empty::<()>();
        let serialize = |(), _: &mut BytesMut| Ok(postgres_protocol::IsNull::Yes);
        let bound = frontend::bind(
            "",
            statement,
            none,
            values,
            serialize,
            Some(0),
            &mut self.output,
        );
        assert!(bound.is_ok());
    }

    /// Sends the frames in `output`.
    pub async fn send(&mut self) {
        self.stream.write_all(&self.output).await.unwrap();
        self.output.clear();
    }

    /// Waits up to 10 s for the next frame.
    pub async fn frame(&mut self) -> WireFrame {
        loop {
            if let Some(frame) = frame::split_frame(&mut self.input, 1 << 20).unwrap() {
                return frame;
            }
            let read = self.stream.read_buf(&mut self.input);
            let count = tokio::time::timeout(Duration::from_secs(10), read).await;
            assert!(count.expect("an answer").unwrap() > 0, "connection closed");
        }
    }

    /// Sends the frames in `output` and returns the tags of the answer up to the tag
    /// `end`. ParameterStatus is left out; ReadyForQuery adds the transaction status.
    pub async fn exchange(&mut self, end: u8) -> String {
        self.send().await;
        let mut tags = String::new();
        loop {
            let frame = self.frame().await;
            if frame.tag() != tag::PARAMETER_STATUS {
                tags.push(char::from(frame.tag()));
            }
            if frame.tag() == tag::READY {
                tags.push(char::from(frame.body()[0]));
            }
            if frame.tag() == end {
                return tags;
            }
        }
    }

    /// Returns whether nothing arrives for 50 ms.
    pub async fn is_silent(&mut self) -> bool {
        let start = Instant::now();
        let read = self.stream.read_buf(&mut self.input);
        let waited = tokio::time::timeout(Duration::from_millis(50), read).await;
        waited.is_err() && self.input.is_empty() && start.elapsed() >= Duration::from_millis(50)
    }
}
