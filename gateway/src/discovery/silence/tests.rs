use super::*;

#[test]
fn silence_is_measured_by_the_comment_period_of_the_stream() {
    let second = 1_000_000;
    let patience = |detector: &SilenceDetector, last_us: u64| detector.deadline_us() - last_us;
    for chance in [0.0, 1.0] {
        let mut detector = SilenceDetector::new(chance);
        detector.on_open(second);
        let first = patience(&detector, second);
        assert!((2 * second..=3 * second).contains(&first), "as the protocol says: {first}");
        // A slower one, whose first comment comes later than that: it gets longer, until its period is known.
        detector.on_silence();
        detector.on_open(10 * second);
        assert!(patience(&detector, 10 * second) > first);
        for n in 1..4 {
            detector.on_lines((10 + 3 * n) * second, true);
        }
        let slow = patience(&detector, 19 * second);
        assert!((4 * second..=5 * second).contains(&slow), "{slow}, and never so long that 7 s are over");
        // One with a known period does not get longer for falling silent.
        detector.on_silence();
        assert_eq!(patience(&detector, 19 * second), slow);
        // Events between comments say nothing of the period; a faster one is learned again.
        detector.on_open(20 * second);
        for n in 1..80 {
            detector.on_lines((20 + n) * second, true);
            detector.on_lines((20 + n) * second + 1000, false);
        }
        assert!(patience(&detector, 99 * second + 1000) <= 3 * second);
    }
    let due = |chance| SilenceDetector::new(chance).deadline_us();
    assert!(due(0.0) < due(0.5) && due(0.5) < due(1.0), "each gateway has its own moment");
}
