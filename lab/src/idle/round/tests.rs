use super::*;

#[test]
fn timer_lag_is_read_from_counters_of_this_and_of_earlier_builds() {
    for key in ["timer_lag", "lateness"] {
        let counters = format!(
            "counters=\"turns=9\" {key}=timers_rung=57 late_p50_us=46 late_p99_us=899 late_max_us=5631"
        );
        assert_eq!(timers_late(&counters), "n=57 p50=46 p99=899 max=5631 us", "{key}");
    }
    assert_eq!(timers_late("counters=\"turns=9\""), "n=- p50=- p99=- max=- us");
}
