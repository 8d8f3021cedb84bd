//! Policy settings of the planner, and its fixed constants.

use std::time::Duration;

/// Policy settings. The reasons for the default values are in `docs/design/08-platform.md`.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Share of a gap target that a pass may take, prefill included.
    pub gap_share: f64,
    /// Shortest worthwhile prefill part, in milliseconds; a smaller part costs more in passes than it saves.
    pub min_part_ms: f64,
    /// Largest number of engines that prefill one prompt together.
    pub max_parts: usize,
    /// Most pending prefill that an engine may have when it joins a team, in milliseconds.
    pub max_pending_ms: f64,
    /// Share of an engine's slots that is granted; the rest absorbs load that this planner does not see.
    pub slot_share: f64,
    /// Share of an engine's memory that is granted.
    pub memory_share: f64,
    /// Share of the engines that short prompts leave to long ones.
    pub long_share: f64,
    /// Share of the time until the caller gives up within which a late prompt must be prefilled.
    pub late_share: f64,
    /// Share of the engines that must remain when recently failed engines are excluded; otherwise none is excluded.
    pub min_usable_share: f64,
    /// Share of the time until the target of the first event within which a team must have prefilled the prompt.
    pub in_time_share: f64,
    /// Whether parts of long prompts go to engines without sequences as long as there are enough. On other engines
    /// they slow down decoding, which then occupies its slots for longer: in a burst of long prompts at 150 engines,
    /// 150 long answers were decoding on 75 engines, and no prompt over 550,000 tokens found a dozen usable engines.
    pub prefer_idle_helpers: bool,
    /// Whether long answers decode beside each other, so that more engines have no sequences.
    pub colocate_long: bool,
    /// Most pending prefill of an engine at which a long answer may join others, in milliseconds.
    pub max_join_pending_ms: f64,
    /// Whether the cheapest prompt goes first within a priority; otherwise the one with the earliest first-event
    /// target.
    pub cheapest_first: bool,
    /// Whether late prompts wait for prompts that can still be in time.
    pub late_last: bool,
    /// Whether late short prompts may meanwhile use engines that already serve short prompts.
    pub late_shared: bool,
    /// Whether prompts that cannot be served before their callers give up are refused at once.
    pub refuse_early: bool,
    /// Whether short prompts are packed onto few engines; otherwise each goes to the engine with the shortest wait.
    pub packing: bool,
    /// Whether several engines together may hold a prompt that exceeds the memory of one.
    pub shared_memory: bool,
    /// Whether engines that fail are ejected for a while.
    pub breakers: bool,
    /// Whether engines with a mild exclusion, such as a recent failure, are used where all rules together leave few.
    pub relax_exclusions: bool,
    /// Whether engines of overdue prompts become half-open.
    pub suspect_slow: bool,
    /// Whether an overdue team makes only those members half-open that have produced no first event since the grant;
    /// otherwise all. With 5 of 60 engines hanging, suspecting all members excluded 19 to 43 engines from teams at
    /// once.
    pub suspect_unresponsive_only: bool,
    /// Whether engines are probed for their slowdown factors.
    pub probe_slowdown: bool,
    /// Whether prompts that stay unresponsive beyond any plausible delay are sent to other engines.
    pub resend_unresponsive: bool,
    /// Whether a new planner holds long prompts until the entries have reported their running jobs.
    pub settle_before_long: bool,
    /// Whether planners that do not know of each other prefer different engines.
    pub salt: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            gap_share: 0.85,
            min_part_ms: 40.0,
            max_parts: 17,
            max_pending_ms: 20.0,
            slot_share: 0.88,
            memory_share: 0.97,
            long_share: 0.06,
            late_share: 0.5,
            min_usable_share: 0.6,
            in_time_share: 0.9,
            prefer_idle_helpers: true,
            colocate_long: true,
            max_join_pending_ms: 300.0,
            cheapest_first: true,
            late_last: true,
            late_shared: true,
            refuse_early: true,
            packing: true,
            shared_memory: true,
            breakers: true,
            relax_exclusions: true,
            suspect_slow: true,
            suspect_unresponsive_only: true,
            probe_slowdown: true,
            resend_unresponsive: true,
            settle_before_long: true,
            salt: true,
        }
    }
}

/// Length of the settling period, in which entries report their running jobs to a new planner. Entries that lose
/// their planner at the same moment take 0.1 s to find the next one.
pub(super) const SETTLING_PERIOD: Duration = Duration::from_millis(300);
/// Factor by which the time to a first event must exceed the prediction to indicate a slow engine.
pub(super) const SLOW_FACTOR: f64 = 2.5;
/// Time by which it must additionally exceed the prediction, in milliseconds. Covers a pass of a full engine and
/// several network hops.
pub(super) const SLOW_MARGIN_MS: f64 = 150.0;
/// Largest slowdown factor of a team member; a team waits for its slowest member.
pub(super) const MAX_TEAM_SLOWDOWN: f64 = 1.25;
/// Factor by which a part must exceed its expected time to no longer count as pending.
pub(super) const OVERDUE_FACTOR: f64 = 3.0;
/// Share of its expected time that a part still counts as pending, at least, while it is being prefilled and is not
/// overdue.
pub(super) const MIN_PENDING_SHARE: f64 = 0.1;
/// Tokens in an engine's memory that weigh as much as 1 ms of waiting when an engine is selected to start serving
/// short prompts.
pub(super) const TOKENS_PER_WAIT_MS: f64 = 1e3;
/// Largest number of output tokens that a job is expected to generate; no more memory is reserved for its answer.
pub(super) const MAX_RESERVED_OUTPUT_TOKENS: u64 = 4_096;
/// Passes until the first event of a prompt that is admitted, without its prefill: on average half of the pass under
/// way, and the pass that produces the event.
pub(super) const PASSES_TO_FIRST_EVENT: f64 = 1.5;
/// Longest prefill of a short prompt, in milliseconds. A longer one would use most of the 200 ms that the strictest
/// observed gap target leaves beside a pass.
pub(super) const MAX_SHORT_PREFILL_MS: f64 = 125.0;
