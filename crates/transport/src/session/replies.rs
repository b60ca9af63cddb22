//! Replies that the proxy expects from a server in one exchange.

use std::collections::VecDeque;

use bytes::Bytes;
use protocol::frame::tag;

/// One expected reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ExpectedReply {
    /// ParseComplete.
    Parse {
        /// Key of the statement, if it stays prepared on the connection.
        key: Option<u128>,
        /// Name that the caller uses; `None` when the proxy added the Parse frame,
        /// whose reply is not forwarded.
        name: Option<Box<str>>,
    },
    /// BindComplete.
    Bind,
    /// CloseComplete.
    Close,
    /// RowDescription or NoData.
    Describe,
    /// CommandComplete, EmptyQueryResponse or PortalSuspended.
    Execute,
    /// Encoded reply of the proxy, which goes out in place of a server's reply.
    Answer(Bytes),
    /// ReadyForQuery.
    Ready,
}

impl ExpectedReply {
    /// Returns whether a frame with this tag ends the reply.
    fn ends_with(&self, frame_tag: u8) -> bool {
        match self {
            Self::Parse { .. } => frame_tag == tag::PARSE_COMPLETE,
            Self::Bind => frame_tag == tag::BIND_COMPLETE,
            Self::Close => frame_tag == tag::CLOSE_COMPLETE,
            Self::Describe => matches!(frame_tag, tag::ROW_DESCRIPTION | tag::NO_DATA),
            Self::Execute => matches!(
                frame_tag,
                tag::COMMAND_COMPLETE | tag::EMPTY_QUERY | tag::PORTAL_SUSPENDED
            ),
            Self::Ready => frame_tag == tag::READY,
            Self::Answer(_) => false,
        }
    }
}

/// Queue of the replies that are still to come.
#[derive(Clone, Debug, Default)]
pub(super) struct ReplyQueue {
    replies: VecDeque<ExpectedReply>,
}

impl ReplyQueue {
    /// Creates a queue with one reply.
    pub(super) fn of(reply: ExpectedReply) -> Self {
        let mut replies = Self::default();
        replies.push(reply);
        replies
    }

    pub(super) fn push(&mut self, reply: ExpectedReply) {
        self.replies.push_back(reply);
    }

    /// Empties the queue at ReadyForQuery. After an error the server may omit the
    /// replies before it.
    pub(super) fn end(&mut self) {
        self.replies.clear();
    }

    pub(super) fn is_done(&self) -> bool {
        self.replies.is_empty()
    }

    /// Removes and returns the first reply if it is one of the proxy's own.
    pub(super) fn take_answer(&mut self) -> Option<Bytes> {
        if !matches!(self.replies.front(), Some(ExpectedReply::Answer(_))) {
            return None;
        }
        match self.replies.pop_front() {
            Some(ExpectedReply::Answer(bytes)) => Some(bytes),
            _ => None,
        }
    }

    /// Removes and returns the first reply if a frame with this tag ends it.
    pub(super) fn take_ended(&mut self, frame_tag: u8) -> Option<ExpectedReply> {
        let ends = self
            .replies
            .front()
            .is_some_and(|reply| reply.ends_with(frame_tag));
        match ends {
            true => self.replies.pop_front(),
            false => None,
        }
    }

    /// Removes the replies up to ReadyForQuery after an error. Returns the names of
    /// the statements whose Parse failed or was skipped.
    pub(super) fn skip_to_sync(&mut self) -> Vec<Box<str>> {
        let mut names = Vec::new();
        while let Some(reply) = self.replies.front() {
            if *reply == ExpectedReply::Ready {
                break;
            }
            if let Some(ExpectedReply::Parse {
                name: Some(name), ..
            }) = self.replies.pop_front()
            {
                names.push(name);
            }
        }
        names
    }
}
