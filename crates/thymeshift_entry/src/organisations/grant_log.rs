//! Log line of a counter: how many tokens it granted to which process, and as which rank.
//!
//! The lines of all processes together show which processes counted for an organisation at the same
//! time, and with which share of its limit.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use spdlog::info;
use thymeshift_allocation::AllocatorRank;
use thymeshift_types::OrganisationName;
use thymeshift_types::Timestamp;
use thymeshift_types::VmName;

/// Interval between two lines of a counter whose rank stays the same.
const LINE_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of processes that a line names; the processes with the most tokens are named.
const HOLDERS_PER_LINE_MAX: usize = 8;

/// Tokens that a counter has granted since its last log line.
#[derive(Debug)]
pub(super) struct GrantLog {
    created_at: Timestamp,
    line_due_at: Timestamp,
    rank: Option<AllocatorRank>,
    tokens_by_holder: BTreeMap<VmName, u32>,
    refusal_count: u32,
}

impl GrantLog {
    /// Creates the log of a counter that starts now.
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            created_at: now,
            line_due_at: now,
            rank: None,
            tokens_by_holder: BTreeMap::new(),
            refusal_count: 0,
        }
    }

    /// Records a reply to the process on VM `holder`; zero tokens count as a refusal.
    pub(super) fn record(
        &mut self,
        holder: &VmName,
        tokens: u32,
        rank: AllocatorRank,
        now: Timestamp,
    ) {
        if self.rank != Some(rank) {
            self.rank = Some(rank);
            self.line_due_at = now;
        }
        if tokens == 0 {
            self.refusal_count += 1;
        } else if let Some(known) = self.tokens_by_holder.get_mut(holder) {
            *known += tokens;
        } else {
            self.tokens_by_holder.insert(holder.clone(), tokens);
        }
    }

    /// Returns whether there are grants to log and a line is due.
    pub(super) fn is_due(&self, now: Timestamp) -> bool {
        let is_empty = self.tokens_by_holder.is_empty() && self.refusal_count == 0;
        !is_empty && now >= self.line_due_at
    }

    /// Writes the line and starts a new count.
    pub(super) fn write(&mut self, organisation: &OrganisationName, now: Timestamp) {
        let Some(rank) = self.rank else { return };
        let holders = self.take_holders();
        let AllocatorRank { better_ranked, reachable, known } = rank;
        info!("quota_granted", kv: {
            organisation: = organisation, holders, refusals = self.refusal_count,
            better_ranked, reachable, known, share = rank.rate_share().fraction(),
            counter_age_ms = now.since(self.created_at).as_millis() as u64
        });
        self.refusal_count = 0;
        self.line_due_at = now + LINE_INTERVAL;
    }

    /// Returns the tokens by VM, such as `m-1:20 m-2:4`, and resets them.
    fn take_holders(&mut self) -> String {
        let mut holders: Vec<_> = std::mem::take(&mut self.tokens_by_holder).into_iter().collect();
        holders.sort_by_key(|(_, tokens)| std::cmp::Reverse(*tokens));
        let mut text = String::new();
        for (vm, tokens) in holders.iter().take(HOLDERS_PER_LINE_MAX) {
            let _ = write!(text, "{vm}:{tokens} ");
        }
        let others = holders.get(HOLDERS_PER_LINE_MAX..).unwrap_or_default();
        if !others.is_empty() {
            let tokens: u32 = others.iter().map(|(_, tokens)| tokens).sum();
            let _ = write!(text, "{} others:{tokens}", others.len());
        }
        text.trim_end().to_owned()
    }
}
