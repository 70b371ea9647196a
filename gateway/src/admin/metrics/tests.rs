use super::*;

#[test]
fn each_value_has_its_own_line() {
    let mut metrics = Metrics::new(["lookup", "load"]);
    metrics.count_outcome(ClassId(0), RequestOutcome::Served);
    metrics.count_outcome(ClassId(1), RequestOutcome::Rejected);
    metrics.count_outcome(ClassId(1), RequestOutcome::Failed);
    metrics.class(ClassId(1)).attempts += 2;
    let text = metrics.text(Gauges { in_flight: 3, engines_known: 8, engines_excluded: 1 });
    let expected = "edge_lb.served.lookup=1\nedge_lb.refused.lookup=0\nedge_lb.failed.lookup=0\n\
                  edge_lb.attempts.lookup=0\nedge_lb.served.load=0\nedge_lb.refused.load=1\n\
                  edge_lb.failed.load=1\nedge_lb.attempts.load=2\nedge_lb.in_flight=3\n\
                  edge_lb.engines_known=8\nedge_lb.engines_excluded=1\n";
    assert_eq!(text, expected);
}

#[test]
fn counters_of_a_class_name_survive_a_change_of_class_ids() {
    let mut m = Metrics::new(["lookup", "load"]);
    m.count_outcome(ClassId(1), RequestOutcome::Served);
    m.set_class_names(["lookup", "load", "load"]);
    m.count_outcome(ClassId(1), RequestOutcome::Served);
    m.count_outcome(ClassId(2), RequestOutcome::Served);
    let text = m.text(Gauges::default());
    assert_eq!(text.matches("served.load=").count(), 1);
    assert!(text.contains("served.load=3\n"), "{text}");
    m.set_class_names(["other", "other", "load"]);
    let text = m.text(Gauges::default());
    assert!(text.contains("served.load=3\n") && !text.contains("lookup"), "{text}");
}
