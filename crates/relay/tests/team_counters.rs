//! Counters by team.

use acaciabank_relay::{config, teams};
use metrics_exporter_prometheus::PrometheusBuilder;

/// Teams with counters of their own.
const MAX_LABELS: usize = 1_000;

/// Guards against metrics whose number grows with every team that a daemon has ever seen, and
/// against a team that loses its own counters to later ones.
#[test]
fn teams_beyond_the_limit_are_counted_together() {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    let state = teams::TeamState::default();
    let count = |number: usize| {
        let team = config::TeamSpec::new(format!("team-{number}"), None);
        state.counters(&team).requests.increment(1);
    };
    metrics::with_local_recorder(&recorder, || {
        (0..MAX_LABELS + 50).for_each(count);
        count(0);
        count(MAX_LABELS);
    });
    let text = handle.render();
    let lines = text.lines();
    let series = lines.filter(|line| line.starts_with("acaciabank_team_requests_total{"));
    assert_eq!(series.count(), MAX_LABELS + 1);
    let has = |label: &str, value: u64| {
        let line = format!("acaciabank_team_requests_total{{team=\"{label}\"}} {value}");
        text.lines().any(|other| other == line)
    };
    assert!(has("team-0", 2));
    assert!(has("team-999", 1));
    assert!(has("other", 51));
    assert!(!text.contains("team-1000"));
}
