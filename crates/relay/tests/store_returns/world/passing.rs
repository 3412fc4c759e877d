//! Time that passes: rewrites, removals, reports and the steps of the daemons.

use std::rc;

use acaciabank_relay::gossip::PeerReport;
use rand::RngExt;

use super::{DAEMONS, Message, TICK_MS, Target, World};
use crate::daemon::{Daemon, REPORT_MS};

impl World {
    /// Lets time pass.
    pub(super) fn pass(&mut self, pause_ms: u64) -> Result<(), String> {
        let end_ms = self.now_ms + pause_ms;
        while self.now_ms < end_ms {
            self.now_ms += TICK_MS;
            self.write_again();
            self.sweep();
            let listed = self.store.rows.targets.keys();
            self.listed_ms
                .extend(listed.map(|id| (id.clone(), self.now_ms)));
            self.deliver()?;
            for daemon in 0..DAEMONS {
                self.run_daemon(daemon)?;
            }
        }
        self.check()
    }

    fn write_again(&mut self) {
        let now_ms = self.now_ms;
        let is_due = |target: &Target| target.rewrite_ms.is_some_and(|due_ms| due_ms <= now_ms);
        let due = self.targets.iter().filter(|(_, target)| is_due(target));
        let due: Vec<String> = due.map(|(id, _)| id.clone()).collect();
        for id in due {
            self.write_target(&id);
        }
        while self
            .rewrites
            .first()
            .is_some_and(|(due_ms, _)| *due_ms <= now_ms)
        {
            let (_, document) = self.rewrites.remove(0);
            self.log(format!("operator writes {document:?} again"));
            self.store.write_config(document, now_ms);
        }
    }

    /// Removes the rows of targets that do not run.
    fn sweep(&mut self) {
        if self.now_ms < self.sweep_ms {
            return;
        }
        let rows = self.store.rows.targets.keys();
        let silent = rows.filter(|id| !self.targets.contains_key(*id));
        let silent: Vec<String> = silent.cloned().collect();
        for id in silent {
            self.write_target(&id);
        }
    }

    fn deliver(&mut self) -> Result<(), String> {
        let now_ms = self.now_ms;
        let is_due = |message: &mut Message| message.deliver_ms <= now_ms;
        let due: Vec<Message> = self.messages.extract_if(.., is_due).collect();
        for message in due {
            let report = PeerReport::clone(&message.report);
            let to = message.to;
            if self.daemons[to].apply_report(report, now_ms)? {
                let (from, changes) = (&message.report.host, &message.report.target_changes);
                self.log(format!("daemon {to} gets from {from}: {changes:?}"));
            }
        }
        Ok(())
    }

    fn run_daemon(&mut self, index: usize) -> Result<(), String> {
        let now_ms = self.now_ms;
        let daemon = &mut self.daemons[index];
        if daemon.registry.has_due_doubts(now_ms) {
            daemon.watch.targets.record_gap();
        }
        if now_ms >= daemon.cut_off_until_ms && daemon.is_reading(now_ms) {
            let known = daemon.after_targets;
            daemon.read(&self.store, now_ms)?;
            let read = daemon.after_targets;
            if read != known {
                self.log(format!("daemon {index} reads up to {read:?}"));
            }
        }
        self.fetch_config(index)?;
        let daemon = &mut self.daemons[index];
        if now_ms < daemon.next_report_ms {
            return Ok(());
        }
        daemon.next_report_ms = now_ms + REPORT_MS;
        let report = rc::Rc::new(daemon.build_report(now_ms));
        for to in (0..DAEMONS).filter(|to| *to != index) {
            self.send(to, &report);
        }
        Ok(())
    }

    /// Sends a report that may be lost, late or repeated.
    fn send(&mut self, to: usize, report: &rc::Rc<PeerReport>) {
        let copies = self.pick(&[0, 1, 1, 1, 1, 1, 1, 2]);
        for _ in 0..copies {
            let delay_ms = match self.rng.random_range(0..20) {
                0 => self.rng.random_range(0..6_000),
                1..5 => self.rng.random_range(0..300),
                _ => 0,
            };
            self.messages.push(Message {
                deliver_ms: self.now_ms + delay_ms,
                to,
                report: rc::Rc::clone(report),
            });
        }
    }

    /// Fetches a newer configuration from the daemon that has reported it, which may have another
    /// one by now.
    fn fetch_config(&mut self, index: usize) -> Result<(), String> {
        let random = self.rng.random();
        let daemon = &mut self.daemons[index];
        if !std::mem::take(&mut daemon.has_newer_config_reported) {
            return Ok(());
        }
        let newer = daemon
            .peers
            .newer_config_source(&daemon.config_version(), self.now_ms, random);
        let Some((address, version)) = newer else {
            return Ok(());
        };
        let source = (0..DAEMONS).find(|rank| Daemon::address(*rank) == address);
        let source = source.expect("a daemon");
        if let Some((_, document)) = self.daemons[source].config.clone() {
            self.log(format!(
                "daemon {index} fetches {document:?} from {source} as {version:?}"
            ));
            let number = self.daemons[index].config_version().number;
            self.daemons[index].apply_config(&document, version.stored);
            if self.daemons[index].config_version().number < number {
                return Err(format!("the configuration of daemon {index} goes back"));
            }
        }
        Ok(())
    }
}
