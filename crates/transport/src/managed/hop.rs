//! Statements that run on the connections of another entry host, which holds
//! connections to the members of the group.

mod client;
mod server;

use std::net::SocketAddr;
use std::time::Instant;

use protocol::statement::{MemberRefusal, MemberStatement, TransactionState};

pub(super) use client::{HopClient, RelayedConnection, RelayedIdentity, CALLS_MAX};
pub(super) use server::ForwardServer;

use super::codec::StatementCodec;
use super::member_connection::{
    ConnectionError, ConnectionIdentity, ConnectionOwner, ConnectionSetup, MemberAnswer,
    MemberConnection, Result,
};
use super::statement_request::MemberRequest;
use crate::pool::{IdleState, ReleaseState, ServerConnection};

/// What opening a link to a member needs.
#[derive(Clone, Debug)]
pub(crate) enum LinkIdentity {
    /// A connection of this host.
    Direct(ConnectionIdentity),
    /// Connections of other hosts.
    Relayed(RelayedIdentity),
}

/// A way to run statements at one member, one at a time.
#[derive(Debug)]
pub(crate) enum MemberLink<K> {
    /// A connection of this host.
    Direct(MemberConnection<K>),
    /// Connections of other hosts.
    Relayed(RelayedConnection),
}

impl<K: StatementCodec> MemberLink<K> {
    /// Returns the state of the transaction as of the member's last answer.
    pub(crate) fn state(&self) -> TransactionState {
        match self {
            Self::Direct(connection) => connection.state(),
            Self::Relayed(connection) => connection.state(),
        }
    }

    /// Returns whether an answer to an earlier statement may still come a second time.
    pub(crate) fn has_answered(&self) -> bool {
        match self {
            Self::Direct(connection) => connection.has_answered(),
            Self::Relayed(_) => false,
        }
    }

    /// Returns whether the session's values can be set without a reset.
    pub(crate) fn can_apply(&self, setup: &ConnectionSetup<'_>) -> bool {
        match self {
            Self::Direct(connection) => connection.can_apply(setup),
            Self::Relayed(connection) => connection.can_apply(setup),
        }
    }

    /// Brings the link into the state that a session needs. A relayed link only keeps
    /// the set-up, and its next statement carries it.
    pub(crate) async fn prepare(
        &mut self,
        setup: &ConnectionSetup<'_>,
        deadline: Instant,
    ) -> Result<Option<MemberRefusal>> {
        match self {
            Self::Direct(connection) => connection.prepare(setup, deadline).await,
            Self::Relayed(connection) => {
                connection.keep_setup(setup);
                Ok(None)
            }
        }
    }

    /// Sends a caller's statement and waits for its answer.
    pub(super) async fn run(
        &mut self,
        request: &MemberRequest<'_>,
        deadline: Instant,
    ) -> Result<MemberAnswer> {
        match self {
            Self::Direct(connection) => connection.run(request, deadline).await,
            Self::Relayed(connection) => connection.run(request, deadline).await,
        }
    }

    /// Sends a statement of this host and waits for its answer.
    pub(crate) async fn ask(
        &mut self,
        statement: &MemberStatement<'_>,
        deadline: Instant,
    ) -> Result<MemberAnswer> {
        match self {
            Self::Direct(connection) => connection.ask(statement, deadline).await,
            Self::Relayed(_) => {
                let reason = "only callers' statements are forwarded".to_owned();
                Err(ConnectionError::Protocol(reason))
            }
        }
    }
}

impl<K: StatementCodec> ServerConnection for MemberLink<K> {
    type Identity = LinkIdentity;
    type Owner = ConnectionOwner;
    type Error = ConnectionError;
    const ATTEMPTS_MAX: usize = MemberConnection::<K>::ATTEMPTS_MAX;

    async fn connect(
        address: SocketAddr,
        identity: &LinkIdentity,
        owner: &ConnectionOwner,
        deadline: Instant,
    ) -> Result<Self> {
        match identity {
            LinkIdentity::Direct(identity) => {
                let opened = MemberConnection::connect(address, identity, owner, deadline);
                opened.await.map(Self::Direct)
            }
            LinkIdentity::Relayed(identity) => {
                let connection = RelayedConnection::new(identity.clone(), owner.clone());
                Ok(Self::Relayed(connection))
            }
        }
    }

    fn is_limit_refusal(error: &ConnectionError) -> bool {
        MemberConnection::<K>::is_limit_refusal(error)
    }

    fn is_refusal(error: &ConnectionError) -> bool {
        MemberConnection::<K>::is_refusal(error)
    }

    fn idle_state(&self) -> IdleState {
        match self {
            Self::Direct(connection) => connection.idle_state(),
            Self::Relayed(_) => IdleState::Alive,
        }
    }

    fn received_at(&self) -> Instant {
        match self {
            Self::Direct(connection) => connection.received_at(),
            Self::Relayed(connection) => connection.received_at(),
        }
    }

    fn release(&mut self) -> ReleaseState {
        match self {
            Self::Direct(connection) => connection.release(),
            Self::Relayed(connection) => connection.release(),
        }
    }

    fn is_mismatched(&self) -> bool {
        match self {
            Self::Direct(connection) => connection.is_mismatched(),
            Self::Relayed(_) => false,
        }
    }

    async fn reset(&mut self) -> bool {
        match self {
            Self::Direct(connection) => connection.reset().await,
            Self::Relayed(connection) => connection.end_transaction().await,
        }
    }
}
