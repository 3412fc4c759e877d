//! Fair shares between teams, as the daemon that places prompts decides on them, and their counters
//! and log lines at the daemon that refuses a request.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
};

use acaciabank_core::{fair_share, load_shed};

use crate::clock;

/// Shortest interval between two log lines about teams that are held back.
const LOG_INTERVAL_MS: u64 = 1_000;

/// State of the fair shares of this daemon as a scheduler.
#[derive(Debug, Default)]
pub struct ShareState {
    /// Recent work of the teams by service. Services have engines of their own, so that the work of
    /// one takes nothing from another.
    tables: RefCell<HashMap<String, fair_share::ShareTable>>,
    /// Time from which the next line about a team that is held back may be logged.
    next_log_ms: Cell<u64>,
    /// Requests held back since the last such line.
    unlogged: Cell<u64>,
}

/// A prompt that is about to be placed, with the times expected at its engines.
#[derive(Clone, Copy, Debug)]
pub struct PlannedPrompt<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// The request.
    pub request: fair_share::SharedRequest,
    /// Part of the time to the first token that is spent waiting for other requests.
    pub wait_ms: f64,
    /// Expected time to the first token.
    pub first_token_ms: f64,
}

impl ShareState {
    /// Decides on a prompt and counts its work for its team. The time to retry has no jitter.
    pub fn decide(
        &self,
        prompt: &PlannedPrompt<'_>,
        intake: &load_shed::IntakeRequest,
    ) -> fair_share::ShareDecision {
        let mut tables = self.tables.borrow_mut();
        let now_ms = clock::now_ms();
        let decide = |table: &mut fair_share::ShareTable| {
            let (wait_ms, first_token_ms) = (prompt.wait_ms, prompt.first_token_ms);
            table.decide(&prompt.request, intake, wait_ms, first_token_ms, now_ms)
        };
        match tables.get_mut(prompt.service) {
            Some(table) => decide(table),
            None => decide(tables.entry(prompt.service.to_owned()).or_default()),
        }
    }

    /// Counts a request on which the factor of its team has an effect, and logs from time to time
    /// that teams are held back. `team` is the name; empty for requests without a team.
    pub fn record_effect(&self, effect: fair_share::ShareEffect, team: &str, wait_factor: f64) {
        let label = match effect {
            fair_share::ShareEffect::Unchanged => return,
            fair_share::ShareEffect::HeldBack => "held_back",
            fair_share::ShareEffect::LetIn => "let_in",
        };
        metrics::counter!("acaciabank_fair_share_total", "effect" => label).increment(1);
        if effect == fair_share::ShareEffect::LetIn {
            return;
        }
        self.unlogged.set(self.unlogged.get() + 1);
        let now_ms = clock::now_ms();
        if now_ms < self.next_log_ms.get() {
            return;
        }
        self.next_log_ms.set(now_ms + LOG_INTERVAL_MS);
        log::info!(
            team = team, wait_factor = wait_factor, requests = self.unlogged.take();
            "team_held_back"
        );
    }
}
