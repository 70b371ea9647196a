//! Types of the wire protocol. Each line is a JSON value: a batch of events as input, or a list of actions as
//! output. Unknown keys are ignored. Absent keys have the defaults given here, and those without a default
//! are required.
//!
//! In all types `who` is the name of the instance, `job` the id of the request, and `attempt` the number of
//! the attempt.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// A line from the simulator.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Batch {
    pub now_s: f64,
    #[serde(rename = "in")]
    pub events: Vec<Event>,
}

/// A line to the simulator.
#[derive(Debug, Default, Serialize)]
pub struct Reply {
    pub steps: Vec<Step>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// Starts an instance. `salt` is the seed of its random numbers, and `env` has its settings.
    Hello { who: String, salt: u64, env: Box<Env> },
    /// Ends an instance.
    Stop { who: String },
    /// Stores an endpoint list in a slot, for later events of the type `roster-change`.
    Roster { slot: u32, elements: Vec<Element> },
    /// Watch event of the endpoint list.
    RosterChange(RosterChange),
    /// Arrival of a request.
    WorkItem(WorkItem),
    /// Start of the answer's stream.
    Established(AttemptRef),
    /// Progress report of an attempt.
    UpdateOf(UpdateOf),
    /// End of an attempt.
    ReportBack(ReportBack),
    /// Disconnection of a request's client.
    Aborted { who: String, job: u64 },
    /// Expiry of a timer. `nonce` is its token.
    Bell { who: String, nonce: u64 },
    /// Result of a health check.
    CheckResult(CheckResult),
    /// Message from another instance.
    Memo { who: String },
}

#[derive(Debug, Deserialize)]
pub struct RosterChange {
    pub who: String,
    /// 0: delta, 1: full, 2: cached, 3: failed.
    pub mode: u32,
    #[serde(default)]
    pub slot: u32,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Element {
    pub engine: String,
    /// Name of the zone.
    #[serde(default)]
    pub failure_domain: String,
    /// Name of the machine type.
    #[serde(default)]
    pub generation_hw: String,
    /// Number of the cell.
    #[serde(default)]
    pub group: u64,
    /// 0: removed, 1: ready, 2: draining.
    pub state: u32,
    /// Time of the engine's last start. 0 if it was long ago.
    #[serde(default)]
    pub since_s: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct WorkItem {
    pub who: String,
    pub job: u64,
    /// Name of the request's class.
    pub band: String,
    /// Name of the tenant, or 0 in deployments without tenants.
    #[serde(default)]
    pub party: Option<serde_json::Value>,
    /// Order key.
    #[serde(default)]
    pub relation: Option<String>,
    /// Time at which the client stops waiting.
    pub valid_until_s: f64,
    /// Estimated work, summed over all threads.
    #[serde(default)]
    pub estimate_s: Option<f64>,
    /// Estimated memory. 0 if there is no estimate.
    #[serde(default)]
    pub need_mb: Option<f64>,
    /// Number of the table group.
    #[serde(default)]
    pub tables: Option<f64>,
    #[serde(default)]
    pub retry: bool,
}

#[derive(Debug, Deserialize)]
pub struct AttemptRef {
    pub who: String,
    pub job: u64,
    #[serde(default)]
    pub attempt: u32,
}

#[derive(Debug, Deserialize)]
pub struct UpdateOf {
    pub who: String,
    pub job: u64,
    #[serde(default)]
    pub attempt: u32,
    /// 1: progress, 2: the query spills to disk, 3: the query waits.
    pub what: u32,
    /// Ratio of the work that is done, missing memory in MB, or cause of the wait (below 2: memory, else a
    /// load).
    #[serde(default)]
    pub amount: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ReportBack {
    pub who: String,
    pub job: u64,
    #[serde(default)]
    pub attempt: u32,
    pub engine: String,
    pub how: How,
    #[serde(default)]
    pub rtt_s: f64,
    #[serde(default)]
    pub settled: bool,
    /// 4096 times milliseconds of work, plus memory in units of 4 MB. 0 if not known.
    #[serde(default)]
    pub used_up: u64,
    #[serde(default)]
    pub feedback: Option<BTreeMap<String, f64>>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct CheckResult {
    pub who: String,
    pub engine: String,
    pub how: How,
    #[serde(default)]
    pub rtt_s: f64,
    #[serde(default)]
    pub feedback: Option<BTreeMap<String, f64>>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum How {
    Success,
    Failure,
    Overloaded,
    TimedOut,
    Unreachable,
    Broken,
    Withdrawn,
    Void,
}

/// Settings of one gateway. `translate` maps them to those of the workload manager.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Env {
    #[serde(default)]
    pub allowed: Allowed,
    /// Number of gateways that share the engines. Default: 1.
    #[serde(default = "one")]
    pub balancers: u32,
    pub classes: Vec<Class>,
    /// `ask` if the endpoint list has to be polled. By default the simulator pushes it.
    #[serde(default)]
    pub discovery: String,
    #[serde(default)]
    pub domain: Domain,
    #[serde(default)]
    pub kinds: Vec<String>,
    #[serde(default)]
    pub locality: String,
    /// Default: 1, so that requests beyond a quota keep their full weight.
    #[serde(default = "full")]
    pub over_share_worth: f64,
    #[serde(default)]
    pub projects: Vec<Project>,
    #[serde(default)]
    pub report: ReportSettings,
    #[serde(default)]
    pub resolution_s: f64,
    #[serde(default)]
    pub rules: Rules,
    #[serde(default)]
    pub zones: Vec<String>,
}

fn one() -> u32 {
    1
}

fn full() -> f64 {
    1.0
}

/// By default, load reports arrive with answers and health checks.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct ReportSettings {
    /// `answers`, `probe` or `none`: the messages that carry load reports. `probe` counts as `none` without
    /// the permission `probing`, and any other text as `answers`.
    pub how: String,
}

/// By default, nothing is permitted and attempts are not limited.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Allowed {
    pub cancelling: bool,
    pub max_attempts: u32,
    pub max_retry_after_s: f64,
    pub probing: bool,
    pub retry_after: bool,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Class {
    pub name: String,
    pub aim_s: f64,
    #[serde(default)]
    pub aim_stretch: f64,
    pub deadline_s: f64,
    /// Default: `side_effect`, under which no request runs twice.
    #[serde(default)]
    pub repeat: Repeat,
    /// Default: `cell`, the smallest scope.
    #[serde(default)]
    pub group: Group,
    #[serde(default)]
    pub window_s: f64,
    #[serde(default)]
    pub keep_order: bool,
    #[serde(default)]
    pub allowed_on: Option<Vec<String>>,
    #[serde(default)]
    pub confined_to: Option<Vec<String>>,
    #[serde(default)]
    pub late_value: f64,
    /// Default: 1.
    #[serde(default = "full")]
    pub worth: f64,
    #[serde(default)]
    pub streaming: bool,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    Pure,
    Token,
    #[default]
    SideEffect,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Group {
    All,
    Zone,
    #[default]
    Cell,
}

/// By default, a query has one thread and a machine has one core, there are no loads, engines ignore memory
/// grants and priorities, and queries wait when memory is short.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Domain {
    pub grants_count: bool,
    pub holds_tables: Vec<bool>,
    pub kind_cores: Vec<f64>,
    pub memory_by_kind_mb: Vec<f64>,
    pub note_period_s: f64,
    pub parallelism: Vec<u32>,
    pub report_x0: String,
    pub report_x1: String,
    pub takes_priority: bool,
    pub when_short: WhenShort,
    pub yields_to_loads: Vec<bool>,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WhenShort {
    #[default]
    Wait,
    Shrink,
    Page,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Project {
    pub name: String,
    #[serde(default)]
    pub quota_per_s: f64,
}

/// By default, keys have no cooldown, engines start with full capacity, and grace periods are 0. Retries are
/// limited only if `look-back-s` is given.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Rules {
    pub answer_slack_s: f64,
    pub cold_share: f64,
    pub drain_grace_s: f64,
    pub extra_floor: Option<f64>,
    pub extra_ratio: Option<f64>,
    pub look_back_s: Option<f64>,
    pub fall_multiple: f64,
    pub order_pause_s: f64,
    pub overload_for_s: f64,
    pub warm_up_s: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            answer_slack_s: 0.0,
            cold_share: 1.0,
            drain_grace_s: 0.0,
            extra_floor: None,
            extra_ratio: None,
            look_back_s: None,
            fall_multiple: 1.0,
            order_pause_s: 0.0,
            overload_for_s: 0.0,
            warm_up_s: 0.0,
        }
    }
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// Sends the next attempt of a request to an engine.
    Route {
        who: String,
        job: u64,
        engine: String,
        #[serde(rename = "max-wait-s", skip_serializing_if = "Option::is_none")]
        max_wait_s: Option<f64>,
    },
    /// Cancels an attempt.
    StopAttempt { who: String, job: u64, attempt: u32 },
    /// Rejects a request. `wait-s` is the Retry-After.
    OverloadReply {
        who: String,
        job: u64,
        #[serde(rename = "wait-s", skip_serializing_if = "Option::is_none")]
        wait_s: Option<f64>,
    },
    /// Answers a request with an error.
    RespondError { who: String, job: u64 },
    /// Sets a timer. `nonce` is its token.
    Remind {
        who: String,
        #[serde(rename = "delay-s")]
        delay_s: f64,
        nonce: u64,
    },
    /// Sends a health check.
    Touch { who: String, engine: String },
    /// Subscribes to the endpoint list.
    Observe { who: String, active: bool },
    /// Sets memory grant and priority of a request's next attempts.
    Allot { who: String, job: u64, memory: f64, priority: u8 },
    /// Reports a panic of the instance.
    BailOut { who: String, text: String },
}
