//! The caller's side of a call: receives replies, and reports progress and disconnection.

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::command;
use super::context;
use crate::reducer;

/// A call in progress at a caller's connection.
///
/// Dropping it notifies the reducer that the connection has finished with the response, or that the
/// caller has disconnected before.
pub struct CallSession {
    call: ids::CallId,
    replies: mpsc::Receiver<reducer::CallReply>,
    deferred_reply: Option<reducer::CallReply>,
    abort: Option<oneshot::Receiver<()>>,
    commands: command::CommandSender,
    ended: bool,
    _slot: context::CallSlot,
}

impl CallSession {
    /// Opens `call` in the reducer by `event`.
    pub(super) fn open(
        commands: command::CommandSender,
        slot: context::CallSlot,
        call: ids::CallId,
        event: reducer::GatewayEvent,
    ) -> Self {
        let (reply_sender, replies) = mpsc::channel(super::replies::MAX_PENDING_REPLIES);
        let (abort_sender, abort) = oneshot::channel();
        let channels = command::CallerChannels {
            replies: reply_sender,
            abort: abort_sender,
        };

        // An error means that the driver has ended; the reply channel is then closed as well.
        let _ = commands.send(command::DriverCommand::OpenCall {
            call,
            event,
            channels,
        });
        Self {
            call,
            replies,
            deferred_reply: None,
            abort: Some(abort),
            commands,
            ended: false,
            _slot: slot,
        }
    }

    /// Waits for the next reply, and joins all tokens that are available into one.
    ///
    /// Returns `None` after the final reply, or if the call was dropped without one.
    pub async fn next(&mut self) -> Option<reducer::CallReply> {
        if self.ended {
            return None;
        }
        let first = match self.deferred_reply.take() {
            Some(reply) => Some(reply),
            None => self.replies.recv().await,
        };

        match first {
            Some(reducer::CallReply::Tokens(tokens)) => {
                Some(reducer::CallReply::Tokens(self.join_tokens(tokens)))
            }
            final_reply => {
                self.ended = true;
                final_reply
            }
        }
    }

    /// Notifies the reducer that the connection has consumed all tokens before `next`.
    pub fn report_consumed(&self, next: measures::SequenceNumber) {
        let call = self.call;
        self.report(reducer::GatewayEvent::TokensDelivered { call, next });
    }

    /// Returns the signal to close the connection; `None` if it was taken before.
    pub fn take_abort(&mut self) -> Option<oneshot::Receiver<()>> {
        self.abort.take()
    }

    /// Appends the tokens of the replies that are waiting, up to the first reply of another kind.
    fn join_tokens(&mut self, mut tokens: reducer::TokenReply) -> reducer::TokenReply {
        while let Ok(reply) = self.replies.try_recv() {
            match reply {
                reducer::CallReply::Tokens(more) => tokens.tokens.extend(more.tokens),
                final_reply => {
                    self.deferred_reply = Some(final_reply);
                    break;
                }
            }
        }
        tokens
    }

    fn report(&self, event: reducer::GatewayEvent) {
        // An error means that the driver has ended.
        let _ = self
            .commands
            .send(command::DriverCommand::CallerEvent(event));
    }
}

impl Drop for CallSession {
    fn drop(&mut self) {
        // The reducer ignores this if the call has ended.
        let call = self.call;
        self.report(reducer::GatewayEvent::CallerDisconnected { call });
    }
}
