//! Questions to other daemons for the turns of crash suspects.

use std::{rc::Rc, time};

use acaciabank_core::{member::Liveness, suspect::TurnStamp};
use futures::{StreamExt, stream::FuturesUnordered};

use super::{TurnQuestion, client, link::PeerLink, node::PeerNode};

/// Longest wait for the answers of other daemons. One that does not answer in time, because it is
/// cut off or suspended, holds no request back.
const MAX_ANSWER_WAIT: time::Duration = time::Duration::from_millis(500);

impl PeerNode {
    /// Asks the daemons of this region whether a waiting request may run; returns whether one of
    /// them holds it back.
    pub(super) async fn is_turn_held_back(self: &Rc<Self>, question: &TurnQuestion) -> bool {
        let state = &self.state;
        let targets = &state.targets;
        let known = targets.report_suspects_on(question.fingerprint, &question.pieces);
        let stamp = TurnStamp {
            clock: question.clock,
            daemon: state.settings.daemon.as_str(),
        };
        let links = self.region_links();
        let questions = links
            .iter()
            .map(|link| client::ask_for_turn(link, question, stamp, &known));
        let mut answers: FuturesUnordered<_> = questions.collect();
        let deadline = tokio::time::Instant::now() + MAX_ANSWER_WAIT;
        let mut is_held_back = false;
        while let Ok(Some(answer)) = tokio::time::timeout_at(deadline, answers.next()).await {
            match answer {
                Ok(answer) => {
                    state.targets.advance_turn_clock(answer.clock);
                    state.targets.merge_suspects(&answer.known);
                    is_held_back |= answer.is_held_back;
                }
                Err(error) => log::debug!("no answer about the turn of a suspect: {error}"),
            }
        }
        is_held_back
    }

    /// Returns the links to the live daemons of this region.
    fn region_links(&self) -> Vec<Rc<PeerLink>> {
        let daemons: Vec<_> = {
            let table = self.table.borrow();
            let others = table.others(time::Instant::now());
            others
                .filter(|(entry, liveness, _)| {
                    *liveness == Liveness::Alive && table.is_local(entry)
                })
                .map(|(entry, _, _)| entry.daemon.clone())
                .collect()
        };
        daemons
            .iter()
            .filter_map(|daemon| self.link(daemon))
            .collect()
    }
}
