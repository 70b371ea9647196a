//! The governor of wake-ups: when more sessions are ready than a turn of the loop can carry, it decides who is
//! read now, who waits, and who is told to come back, and when.
//!
//! - What is under way goes first: sessions with an open request or a begun message, then those that were in
//!   conversation a moment ago, then those that wake after a long silence, then those that have just come. Each
//!   of these has a part of every turn (stride scheduling, Waldspurger and Weihl, 1995), so that nobody starves.
//! - Within each, groups (a tenant, or an address where the tenant is not known) take turns, whatever the number
//!   of their sessions; within a group the one that has waited longest goes first.
//! - How much fits into a turn is learned from what turns have cost ([`CostModel`]), not given.
//! - A request that could not be served in time, by the work that stands before it, is refused as soon as it is
//!   read. Those refused get times to come back that are spread at the rate at which they can be carried.

use std::collections::{HashMap, VecDeque};

use crate::session_table::Handle;

/// How a session that is ready stands to the gateway, in the order in which it matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Standing {
    /// A request is open: what comes may end it.
    Open,
    /// A message was begun, or more of its messages are here already.
    Begun,
    /// It was served a moment ago.
    Active,
    /// It was silent for long.
    Woken,
    /// It has not started its session yet.
    New,
}

const STANDINGS: usize = 5;
/// The queue of those that come when so many wait that their clients might not outwait them: they are read ahead
/// of their turn, cheaply, so that whoever can't be served is told at once.
const EARLY: usize = STANDINGS;
const QUEUES: usize = STANDINGS + 1;
/// Strides: who has half the stride gets twice the turns. Open ones have none: they always go first, and there
/// are no more of them than requests.
const STRIDES: [u64; QUEUES] = [0, 1, 1, 2, 4, 2];

/// One that was served within so many microseconds is still in conversation.
pub const ACTIVE_US: u64 = 2_000_000;

/// What a turn spends its time on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Work {
    /// A connection was accepted.
    Accept,
    /// A session was read.
    Read,
    /// A request was handed to the decisions.
    Request,
    /// So many bytes were read from clients.
    Bytes,
    /// Something came from an engine or the coordinator, or a timer rang.
    Event,
}

const WORKS: usize = 5;
/// Bytes are counted in blocks, so that all kinds of work come in like numbers.
const BLOCK: f64 = 4096.0;

/// What each kind of work costs, in microseconds, learned from whole turns by normalised least mean squares
/// (Widrow and Hoff, 1960): after each turn the error is laid on the kinds of work in proportion to what they
/// had in it. No single piece of work is timed, as the clock is read once a turn.
#[derive(Clone, Debug)]
pub struct CostModel {
    costs_us: [f64; WORKS],
}

/// How far one turn moves the costs; a large one tells more, and a crowd is over in a few of them.
const STEP: f64 = 0.1;
const LARGE_STEP: f64 = 0.4;
const LARGE_US: f64 = 1_000.0;
/// Before anything was measured, in microseconds.
const FIRST_GUESS_US: [f64; WORKS] = [30.0, 15.0, 40.0, 2.0, 10.0];
const LEAST_COST_US: f64 = 0.1;
const MOST_COST_US: f64 = 20_000.0;

impl Default for CostModel {
    fn default() -> Self {
        Self { costs_us: FIRST_GUESS_US }
    }
}

impl CostModel {
    /// What one piece of this work costs, in microseconds.
    pub fn cost_us(&self, work: Work) -> f64 {
        self.costs_us[work as usize]
    }

    fn predict_us(&self, done: &[f64; WORKS]) -> f64 {
        self.costs_us.iter().zip(done).map(|(cost, n)| cost * n).sum()
    }

    fn learn(&mut self, done: &[f64; WORKS], took_us: f64) {
        let power: f64 = done.iter().map(|n| n * n).sum();
        if power <= 0.0 {
            return;
        }
        // A turn in which the machine was taken away tells nothing of the work: its error counts up to a limit.
        let predicted = self.predict_us(done);
        let error = (took_us - predicted).clamp(-predicted, 4.0 * predicted);
        let step = if predicted.max(took_us) < LARGE_US { STEP } else { LARGE_STEP };
        for (cost, n) in self.costs_us.iter_mut().zip(done) {
            *cost = (*cost + step * error * n / power).clamp(LEAST_COST_US, MOST_COST_US);
        }
    }
}

/// What the governor keeps to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// How long the reading of sessions may make a turn, in microseconds.
    pub turn_us: u64,
    /// Messages of one session in one turn.
    pub messages: usize,
    /// Bytes read from one session in one turn.
    pub bytes: usize,
    /// The shortest time to come back that is told, in milliseconds.
    pub least_wait_ms: u64,
    /// The longest, in milliseconds.
    pub most_wait_ms: u64,
    /// How long the least patient clients wait for an answer, in microseconds.
    pub patience_us: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            turn_us: 2_000,
            messages: 16,
            bytes: 64 * 1024,
            least_wait_ms: 20,
            most_wait_ms: 500,
            patience_us: 3_000_000,
        }
    }
}

/// Sessions that are read in any turn, whatever it has cost already: the loop always gets on.
const LEAST_READS: usize = 8;
/// Accepting may have this part of what is left of a turn while others wait to be read.
const ACCEPT_PART: f64 = 0.25;
/// Connections that are accepted in any turn, and at most.
const ACCEPTS: std::ops::RangeInclusive<usize> = 4..=256;
/// The part of a core that new work is let have when times to come back are given out.
const RETURN_PART: f64 = 0.5;

/// A session whose turn has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pick {
    /// Which.
    pub who: Handle,
    /// Since when it has waited to be read, in microseconds.
    pub ready_us: u64,
    /// It is read ahead of its turn: a request of it is to be taken only if it will be served in time.
    pub early: bool,
}

#[derive(Debug, Default)]
struct Queue {
    /// Groups that have someone waiting, in the order of their turns.
    ring: VecDeque<u32>,
    groups: HashMap<u32, VecDeque<Pick>>,
    waiting: usize,
    /// Stride scheduling: the one that has passed least is next.
    pass: u64,
}

impl Queue {
    fn push(&mut self, group: u32, pick: Pick) {
        let waiting = self.groups.entry(group).or_default();
        if waiting.is_empty() {
            self.ring.push_back(group);
        }
        waiting.push_back(pick);
        self.waiting += 1;
    }

    fn pop(&mut self) -> Option<Pick> {
        let group = self.ring.pop_front()?;
        let waiting = self.groups.get_mut(&group)?;
        let pick = waiting.pop_front();
        if waiting.is_empty() {
            self.groups.remove(&group);
        } else {
            self.ring.push_back(group);
        }
        self.waiting -= usize::from(pick.is_some());
        pick
    }
}

/// The governor.
#[derive(Debug)]
pub struct ReadScheduler {
    limits: Limits,
    costs: CostModel,
    queues: [Queue; QUEUES],
    /// The largest pass at which anyone was picked: where one that was empty begins again.
    reached: u64,
    /// What this turn has done so far.
    done: [f64; WORKS],
    reads: usize,
    /// Up to when times to come back have been given out, in microseconds.
    promised_us: f64,
    deferred: u64,
    longest_us: [u64; QUEUES],
    longest_turn_us: u64,
}

impl ReadScheduler {
    /// A governor to whom nothing is known yet.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            costs: CostModel::default(),
            queues: Default::default(),
            reached: 0,
            done: [0.0; WORKS],
            reads: 0,
            promised_us: 0.0,
            deferred: 0,
            longest_us: [0; QUEUES],
            longest_turn_us: 0,
        }
    }

    /// Puts other limits in force. What was learned stays.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// What it keeps to.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// What work has been found to cost.
    pub fn costs(&self) -> &CostModel {
        &self.costs
    }

    /// Sessions that wait to be read, with those that have ended meanwhile.
    pub fn waiting(&self) -> usize {
        self.queues.iter().map(|q| q.waiting).sum()
    }

    /// How often a session had to wait for a later turn.
    pub fn deferred(&self) -> u64 {
        self.deferred
    }

    /// The longest that a session of this standing has waited to be read, in microseconds.
    pub fn longest_wait_us(&self, standing: Standing) -> u64 {
        self.longest_us[standing as usize]
    }

    /// The longest turn so far, in microseconds.
    pub fn longest_turn_us(&self) -> u64 {
        self.longest_turn_us
    }

    /// A session is ready to be read. The caller sees to it that each is named once until it is picked.
    pub fn ready(&mut self, who: Handle, standing: Standing, group: u32, now_us: u64) {
        let early = standing > Standing::Active && self.backlog_us() > self.limits.patience_us / 2;
        let queue = &mut self.queues[if early { EARLY } else { standing as usize }];
        if queue.waiting == 0 {
            // Who had nobody waiting has saved nothing up, also where nobody else waits now.
            queue.pass = queue.pass.max(self.reached);
        }
        queue.push(group, Pick { who, ready_us: now_us, early });
    }

    /// Work was done in this turn.
    pub fn charge(&mut self, work: Work, amount: usize) {
        let amount = if work == Work::Bytes { amount as f64 / BLOCK } else { amount as f64 };
        self.done[work as usize] += amount;
    }

    fn left_us(&self) -> f64 {
        self.limits.turn_us as f64 - self.costs.predict_us(&self.done)
    }

    /// How many connections may be accepted now.
    pub fn accepts(&self) -> usize {
        let part = if self.waiting() > 0 { ACCEPT_PART } else { 1.0 };
        let fit = self.left_us().max(0.0) * part / self.costs.cost_us(Work::Accept);
        (fit as usize).clamp(*ACCEPTS.start(), *ACCEPTS.end())
    }

    /// Who is read next; `None` where nobody waits or the turn is full. The read itself is charged here.
    pub fn pick(&mut self, now_us: u64) -> Option<Pick> {
        let open = self.queues[0].waiting > 0;
        if !open && self.reads >= LEAST_READS && self.left_us() < self.costs.cost_us(Work::Read) {
            return None;
        }
        let at = if open {
            0
        } else {
            let waiting = (1..QUEUES).filter(|at| self.queues[*at].waiting > 0);
            waiting.min_by_key(|at| self.queues[*at].pass)?
        };
        let pick = self.queues[at].pop()?;
        self.reached = self.reached.max(self.queues[at].pass);
        self.queues[at].pass += STRIDES[at];
        self.reads += 1;
        self.charge(Work::Read, 1);
        self.longest_us[at] = self.longest_us[at].max(now_us.saturating_sub(pick.ready_us));
        Some(pick)
    }

    /// The turn is over and its work took so many microseconds.
    pub fn end_turn(&mut self, took_us: u64) {
        self.longest_turn_us = self.longest_turn_us.max(took_us);
        self.costs.learn(&self.done, took_us as f64);
        self.done = [0.0; WORKS];
        self.reads = 0;
        self.deferred += self.waiting() as u64;
    }

    /// How long those that wait for their turn now will keep a core busy, in microseconds; those that are read
    /// ahead of it will mostly be told to come back.
    pub fn backlog_us(&self) -> u64 {
        let each = self.costs.cost_us(Work::Read) + self.costs.cost_us(Work::Request);
        let in_turn: usize = self.queues[..EARLY].iter().map(|q| q.waiting).sum();
        (in_turn as f64 * each) as u64
    }

    /// Whether a request that has just been read will be served in time, if `work_us` stand before it and its
    /// client waits until `deadline_us`.
    pub fn in_time(now_us: u64, work_us: u64, deadline_us: u64) -> bool {
        now_us + work_us < deadline_us
    }

    /// When one that is refused now should come back, in milliseconds: after what waits here is done, each at a
    /// time of its own, at the rate at which half a core carries requests. Times beyond the longest that may be
    /// told are spread over the span that there is, over and over.
    pub fn come_back_ms(&mut self, now_us: u64) -> u64 {
        let Limits { least_wait_ms, most_wait_ms, .. } = self.limits;
        let each = (self.costs.cost_us(Work::Read) + self.costs.cost_us(Work::Request)) / RETURN_PART;
        let first = (now_us + self.backlog_us()) as f64 + least_wait_ms as f64 * 1e3;
        self.promised_us = self.promised_us.max(first) + each;
        let wait_ms = ((self.promised_us - now_us as f64) / 1e3).ceil() as u64;
        if wait_ms <= most_wait_ms {
            return wait_ms;
        }
        let span = most_wait_ms.saturating_sub(least_wait_ms) + 1;
        least_wait_ms.min(most_wait_ms) + wait_ms % span
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::session_table::Table;

    fn handles(n: usize) -> Vec<Handle> {
        let mut table: Table<(), ()> = Table::new();
        (0..n).map(|_| table.insert(0, Box::new(()))).collect()
    }

    /// A governor that has learned that a read costs `read_us` and nothing else anything.
    fn learned(read_us: f64) -> ReadScheduler {
        let mut governor = ReadScheduler::new(Limits { turn_us: 4_000, ..Limits::default() });
        for _ in 0..500 {
            governor.charge(Work::Read, 10);
            governor.end_turn((read_us * 10.0) as u64);
        }
        governor
    }

    fn turn(governor: &mut ReadScheduler, now_us: u64) -> Vec<Pick> {
        std::iter::from_fn(|| governor.pick(now_us)).collect()
    }

    #[test]
    fn what_fits_into_a_turn_is_what_turns_have_cost() {
        let all = handles(2000);
        for (cost, about) in [(10.0, 400), (40.0, 100), (200.0, 20)] {
            let mut governor = learned(cost);
            all.iter().for_each(|h| governor.ready(*h, Standing::Woken, 1, 0));
            let picked = turn(&mut governor, 0).len();
            assert!(picked.abs_diff(about) <= about / 10, "{picked} reads at {cost}");
        }
        let mut slow = learned(20_000.0);
        all.iter().for_each(|h| slow.ready(*h, Standing::Woken, 1, 0));
        assert_eq!(turn(&mut slow, 0).len(), LEAST_READS, "it always gets on");
    }

    #[test]
    fn costs_of_mixed_work_are_told_apart_and_a_stolen_core_is_no_cost() {
        let mut model = CostModel::default();
        let mut n = 1_u64;
        for turn in 0..20_000 {
            n = n.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let done =
                [(n >> 60) as f64, (n >> 56 & 15) as f64, (n >> 52 & 15) as f64, 0.0, (n >> 48 & 15) as f64];
            let mut took = 50.0 * done[0] + 8.0 * done[1] + 200.0 * done[2] + 5.0 * done[4];
            if turn % 1000 == 0 {
                took += 300_000.0;
            }
            model.learn(&done, took);
        }
        for (work, cost) in
            [(Work::Accept, 50.0), (Work::Read, 8.0), (Work::Request, 200.0), (Work::Event, 5.0)]
        {
            let found = model.cost_us(work);
            assert!((found - cost).abs() < 0.2 * cost + 2.0, "{work:?}: {found}, not {cost}");
        }
    }

    #[test]
    fn who_is_in_conversation_does_not_wait_for_a_crowd_that_wakes_up() {
        let all = handles(5001);
        let mut governor = learned(40.0);
        all[..5000].iter().for_each(|h| governor.ready(*h, Standing::Woken, 1, 0));
        turn(&mut governor, 0);
        governor.end_turn(4000);
        governor.ready(all[5000], Standing::Active, 1, 4000);
        let second = turn(&mut governor, 4000);
        assert!(second[..2].iter().any(|p| p.who == all[5000]), "it is read in its first turn");
    }

    #[test]
    fn a_crowd_has_saved_nothing_up_while_others_were_served() {
        let all = handles(5001);
        let mut governor = learned(40.0);
        for n in 0..10_000 {
            governor.ready(all[5000], Standing::Active, 1, n);
            assert_eq!(turn(&mut governor, n).len(), 1);
            governor.end_turn(40);
        }
        all[..5000].iter().for_each(|h| governor.ready(*h, Standing::Woken, 2, 0));
        turn(&mut governor, 0);
        governor.end_turn(4000);
        governor.ready(all[5000], Standing::Active, 1, 0);
        assert!(turn(&mut governor, 0)[..4].iter().any(|p| p.who == all[5000]));
    }

    #[test]
    fn nobody_starves_whatever_else_is_ready() {
        let all = handles(400);
        let mut governor = learned(400.0);
        let standings = [Standing::Begun, Standing::Active, Standing::Woken, Standing::New];
        let mut served = [0; 4];
        let mut next = all.iter();
        // There is always more of each than fits.
        for (i, s) in standings.iter().enumerate() {
            next.by_ref().take(100).for_each(|h| governor.ready(*h, *s, i as u32, 0));
        }
        for _ in 0..8 {
            for pick in turn(&mut governor, 0) {
                served[pick.who.index as usize / 100] += 1;
            }
            governor.end_turn(4000);
        }
        let [begun, active, woken, new] = served;
        assert!(
            new >= 5 && woken >= 2 * new - 2 && active >= 2 * woken - 2 && begun >= active - 1,
            "{served:?}"
        );
    }

    #[test]
    fn a_crowd_of_one_address_does_not_keep_another_waiting() {
        let all = handles(1001);
        let mut governor = learned(40.0);
        all[..1000].iter().for_each(|h| governor.ready(*h, Standing::Woken, 1, 0));
        governor.ready(all[1000], Standing::Woken, 2, 0);
        assert_eq!(turn(&mut governor, 0)[1].who, all[1000]);
        assert_eq!(governor.waiting(), 1001 - 100);
    }

    #[test]
    fn open_requests_go_first_even_when_the_turn_is_full() {
        let all = handles(300);
        let mut governor = learned(400.0);
        all[..200].iter().for_each(|h| governor.ready(*h, Standing::Begun, 1, 0));
        turn(&mut governor, 0);
        all[200..].iter().for_each(|h| governor.ready(*h, Standing::Open, 1, 0));
        assert_eq!(turn(&mut governor, 0).len(), 100);
    }

    #[test]
    fn those_refused_come_back_no_faster_than_they_can_be_carried() {
        let mut governor = learned(100.0);
        governor.limits.most_wait_ms = 60_000;
        let each = governor.costs.cost_us(Work::Read) + governor.costs.cost_us(Work::Request);
        let mut waits: Vec<u64> = (0..10_000).map(|_| governor.come_back_ms(1_000_000)).collect();
        assert!(waits[0] >= governor.limits.least_wait_ms);
        let span_ms = waits[9_999] - waits[0];
        let wanted = 10_000.0 * each / RETURN_PART / 1e3;
        assert!((span_ms as f64 - wanted).abs() < 0.01 * wanted, "{span_ms} ms, not {wanted}");
        // Where they may be told no more than half a second, they still don't come together.
        governor.limits.most_wait_ms = 500;
        waits = (0..10_000).map(|_| governor.come_back_ms(1_000_000)).collect();
        let mut buckets = [0; 10];
        waits.iter().for_each(|w| buckets[(*w as usize * 10 / 501).min(9)] += 1);
        assert!(waits.iter().all(|w| (20..=500).contains(w)));
        assert!(buckets.iter().all(|n| (500..1500).contains(n)), "{buckets:?}");
    }

    #[test]
    fn who_would_be_reached_too_late_is_read_ahead_of_its_turn() {
        let all = handles(10_000);
        let mut governor = learned(400.0);
        all.iter().for_each(|h| governor.ready(*h, Standing::Woken, 1, 0));
        let behind = all.iter().position(|h| h.index as u64 * 440 > 1_500_000).unwrap();
        let mut early = Vec::new();
        for _ in 0..20 {
            early.extend(turn(&mut governor, 0).into_iter().filter(|p| p.early));
            governor.end_turn(4000);
        }
        assert!(early.len() >= 80, "{}: half of every turn", early.len());
        assert!(early.iter().all(|p| p.who.index as usize + 10 >= behind));
        assert!(!ReadScheduler::in_time(0, governor.backlog_us(), 1_000_000));
    }

    #[test]
    fn a_request_is_refused_only_if_the_work_before_it_outlasts_its_client() {
        let mut governor = learned(40.0);
        handles(1000).iter().for_each(|h| governor.ready(*h, Standing::Woken, 1, 0));
        let work = governor.backlog_us();
        assert!(work >= 1000 * 40);
        assert!(ReadScheduler::in_time(500, work, 501 + work));
        assert!(!ReadScheduler::in_time(500, work, 500 + work));
    }
}
