use super::*;

#[test]
fn the_permitted_silence_follows_the_comment_period_of_the_stream() {
    let second = 1_000_000;
    let timeout = |detector: &SilenceDetector, last_us: u64| detector.deadline_us() - last_us;
    for random in [0.0, 1.0] {
        let mut detector = SilenceDetector::new(random);
        detector.on_open(second);
        let first = timeout(&detector, second);
        assert!((2 * second..=3 * second).contains(&first), "default period of the protocol: {first}");
        // The first comment of a slower stream arrives after the timeout, so the timeout grows.
        detector.on_silence();
        detector.on_open(10 * second);
        assert!(timeout(&detector, 10 * second) > first);
        for n in 1..4 {
            detector.on_lines((10 + 3 * n) * second, true);
        }
        let slow = timeout(&detector, 19 * second);
        assert!((4 * second..=5 * second).contains(&slow), "{slow} is out of range");
        // The timeout of a stream with a known period does not grow after a silence.
        detector.on_silence();
        assert_eq!(timeout(&detector, 19 * second), slow);
        // Events between comments don't change the estimate, and a shorter period is adopted.
        detector.on_open(20 * second);
        for n in 1..80 {
            detector.on_lines((20 + n) * second, true);
            detector.on_lines((20 + n) * second + 1000, false);
        }
        assert!(timeout(&detector, 99 * second + 1000) <= 3 * second);
    }
    let due = |random| SilenceDetector::new(random).deadline_us();
    assert!(due(0.0) < due(0.5) && due(0.5) < due(1.0), "the timeout differs between gateways");
}
