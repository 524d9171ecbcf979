//! Patterns of process starts and of an organisation's demand.

/// Demand of an organisation, and the times at which processes start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StartPattern {
    /// Name of the pattern in the result table.
    pub name: &'static str,
    /// Fleet sizes to simulate, up to those that every policy can simulate in a short time.
    pub sizes: &'static [usize],
    /// Number of entry VMs that the configuration allows, per running process.
    pub vms_max_factor: f64,
    /// Rate limit of the organisation in requests per second, and its burst in requests.
    pub limit: f64,
    /// Demand, divided by the rate limit, from `demand_from_ms` on.
    pub demand_factor: f64,
    /// Time at which the organisation sends its first request, in milliseconds.
    pub demand_from_ms: u64,
    /// Times at which all processes are killed, in milliseconds. They start again
    /// [`StartPattern::DOWN_MS`] later.
    pub losses_ms: &'static [u64],
    /// Time within which processes start that start together, in milliseconds.
    pub start_spread_ms: u64,
    /// Delay of an exchange between two processes, in milliseconds.
    pub exchange_delay_ms: u64,
    /// Interval at which single processes are stopped and started again, in milliseconds; `None` if
    /// they run on.
    pub replaced_each_ms: Option<u64>,
    /// Whether each process stands still again and again, as on a VM without free processors.
    pub is_starved: bool,
}

impl StartPattern {
    /// Time for which a killed process is down, in milliseconds.
    pub const DOWN_MS: u64 = 300;

    /// Demand of 7.5 times the limit that begins with a loss of all processes.
    const ONE_LOSS: Self = Self {
        name: "hot, all lost",
        sizes: &[3, 30, 117, 300],
        vms_max_factor: 1.4,
        limit: 80.0,
        demand_factor: 7.5,
        demand_from_ms: 8_000,
        losses_ms: &[8_000],
        start_spread_ms: 300,
        exchange_delay_ms: 5,
        replaced_each_ms: None,
        is_starved: false,
    };
    /// Four losses of all processes within four seconds.
    pub const FOUR_LOSSES: Self = Self {
        name: "hot, all lost four times",
        losses_ms: &[8_000, 9_200, 10_400, 11_600],
        ..Self::ONE_LOSS
    };
    /// Processes that stand still again and again, under demand of 7.5 times a low limit.
    pub const STARVED: Self = Self {
        name: "hot, starved",
        sizes: &[3, 12, 30],
        limit: 20.0,
        losses_ms: &[],
        is_starved: true,
        ..Self::ONE_LOSS
    };
    const CALM: Self = Self {
        name: "calm",
        demand_factor: 0.6,
        demand_from_ms: 5_000,
        losses_ms: &[],
        ..Self::ONE_LOSS
    };

    /// Patterns of the result table.
    pub const ALL: [Self; 13] = [
        Self::ONE_LOSS,
        Self::FOUR_LOSSES,
        Self { name: "hot, all lost, slow exchanges", exchange_delay_ms: 200, ..Self::FOUR_LOSSES },
        Self { name: "hot, all lost, late starts", start_spread_ms: 3_000, ..Self::ONE_LOSS },
        Self {
            name: "hot, new fleet",
            demand_from_ms: 0,
            losses_ms: &[],
            start_spread_ms: 3_000,
            ..Self::ONE_LOSS
        },
        Self::STARVED,
        Self::CALM,
        Self { name: "calm, starved", is_starved: true, ..Self::CALM },
        Self { name: "calm, all lost", losses_ms: &[10_000], ..Self::CALM },
        Self {
            name: "calm, all lost, few of 18",
            losses_ms: &[10_000],
            sizes: &[1, 3],
            vms_max_factor: 6.0,
            ..Self::CALM
        },
        Self {
            name: "calm, all lost, one of one",
            losses_ms: &[10_000],
            sizes: &[1],
            vms_max_factor: 1.0,
            ..Self::CALM
        },
        Self { name: "calm, one replaced", replaced_each_ms: Some(4_000), ..Self::CALM },
        Self { name: "calm, replaced in turn", replaced_each_ms: Some(400), ..Self::CALM },
    ];
}
