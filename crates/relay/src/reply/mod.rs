//! Questions to other daemons whose answer comes in a datagram, which may be lost.

use std::{cell::RefCell, collections::HashMap, time::Duration};

use tokio::sync::oneshot;

/// How often a question is asked at most.
const MAX_QUESTIONS: usize = 2;

/// Questions that wait for an answer, by their id.
#[derive(Debug)]
pub struct PendingReplies<Answer>(RefCell<HashMap<u64, oneshot::Sender<Answer>>>);

impl<Answer> Default for PendingReplies<Answer> {
    fn default() -> Self {
        Self(RefCell::default())
    }
}

impl<Answer> PendingReplies<Answer> {
    /// Begins to wait for the answer to a question.
    pub fn open(&self, id: u64) -> WaitingReply<'_, Answer> {
        let (sender, receiver) = oneshot::channel();
        self.0.borrow_mut().insert(id, sender);
        WaitingReply {
            replies: self,
            id,
            receiver,
        }
    }

    /// Asks a question, which `send` sends, and waits for its answer. It is asked again once, as a
    /// datagram may be lost; `None` if there is no answer within `timeout` of either.
    pub async fn ask(&self, id: u64, timeout: Duration, send: impl Fn()) -> Option<Answer> {
        let mut reply = self.open(id);
        for _ in 0..MAX_QUESTIONS {
            send();
            let answer = reply.wait(timeout).await;
            if answer.is_some() {
                return answer;
            }
        }
        None
    }

    /// Passes an answer to the task that waits for it; a late one is ignored.
    pub fn resolve(&self, id: u64, answer: Answer) {
        let sender = self.0.borrow_mut().remove(&id);
        if let Some(sender) = sender {
            // The question may have just timed out.
            let _: Result<(), Answer> = sender.send(answer);
        }
    }
}

/// A question that waits for its answer until this is dropped.
#[derive(Debug)]
pub struct WaitingReply<'a, Answer> {
    replies: &'a PendingReplies<Answer>,
    id: u64,
    receiver: oneshot::Receiver<Answer>,
}

impl<Answer> WaitingReply<'_, Answer> {
    /// Waits for the answer; `None` if there is none in time.
    pub async fn wait(&mut self, timeout: Duration) -> Option<Answer> {
        let received = tokio::time::timeout(timeout, &mut self.receiver).await;
        received.ok()?.ok()
    }
}

impl<Answer> Drop for WaitingReply<'_, Answer> {
    fn drop(&mut self) {
        self.replies.0.borrow_mut().remove(&self.id);
    }
}
