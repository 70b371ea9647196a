use super::*;

#[test]
fn costs_of_mixed_work_are_separated_despite_preempted_turns() {
    let mut model = CostModel::default();
    let mut n = 1_u64;
    for turn in 0..20_000 {
        n = n.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let amounts =
            [(n >> 60) as f64, (n >> 56 & 15) as f64, (n >> 52 & 15) as f64, 0.0, (n >> 48 & 15) as f64];
        let mut duration_us = 50.0 * amounts[0] + 8.0 * amounts[1] + 200.0 * amounts[2] + 5.0 * amounts[4];
        if turn % 1000 == 0 {
            duration_us += 300_000.0;
        }
        model.learn(&TurnWork { amounts }, duration_us);
    }
    for (work, cost) in [(Work::Accept, 50.0), (Work::Read, 8.0), (Work::Request, 200.0), (Work::Event, 5.0)]
    {
        let learned = model.cost_us(work);
        assert!((learned - cost).abs() < 0.2 * cost + 2.0, "{work:?}: {learned}, not {cost}");
    }
}
