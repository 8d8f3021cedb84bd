//! Workload definitions: request classes, sizes and arrival times for each deployment.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// A customer deployment, which defines a workload and the names in a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// Market Stall Advisory, Kigali.
    Market,
    /// Invitaciones Colibrí, Bajío.
    Colibri,
}

impl std::str::FromStr for Deployment {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "market" => Ok(Deployment::Market),
            "colibri" => Ok(Deployment::Colibri),
            other => Err(format!("{other:?} is neither market nor colibri")),
        }
    }
}

/// Kind of request that a class sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestKind {
    /// A chat completion with uniformly distributed sizes.
    Prompt {
        /// Minimum and maximum number of prompt tokens.
        tokens: (u64, u64),
        /// Minimum and maximum number of output tokens.
        output: (u64, u64),
    },
    /// A plain service call that only reads.
    Read,
    /// A plain service call with an idempotency key chosen by the caller.
    Idempotent,
    /// A plain service call with a ticket issued by the entry as its idempotency key.
    Ticket,
}

/// A class of requests.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// Name of the class in reports.
    pub name: &'static str,
    /// Share of all requests, in thousandths.
    pub share_per_mille: u32,
    /// Kind and size of the requests.
    pub kind: RequestKind,
    /// Deadline of a request in real time, before division by the fleet's speed.
    pub deadline: Duration,
}

impl Class {
    /// Returns whether all prompts of the class are short, at most 2000 tokens.
    pub fn is_short(&self) -> bool {
        matches!(self.kind, RequestKind::Prompt { tokens, .. } if tokens.1 <= 2_000)
    }

    /// Returns whether all prompts of the class have at least 100,000 tokens. Short requests must not wait behind them.
    pub fn is_long(&self) -> bool {
        matches!(self.kind, RequestKind::Prompt { tokens, .. } if tokens.0 >= 100_000)
    }

    /// Returns the mean number of prompt tokens; 0 for plain service calls.
    pub fn mean_tokens(&self) -> f64 {
        match self.kind {
            RequestKind::Prompt { tokens, .. } => (tokens.0 + tokens.1) as f64 / 2.0,
            _ => 0.0,
        }
    }
}

const fn prompt_kind(tokens: (u64, u64), output: (u64, u64)) -> RequestKind {
    RequestKind::Prompt { tokens, output }
}

const MARKET: [Class; 7] = [
    Class {
        name: "question",
        share_per_mille: 600,
        kind: prompt_kind((800, 2_000), (12, 40)),
        deadline: Duration::from_secs(20),
    },
    Class {
        name: "review",
        share_per_mille: 200,
        kind: prompt_kind((8_000, 32_000), (40, 120)),
        deadline: Duration::from_secs(60),
    },
    Class {
        name: "audit",
        share_per_mille: 20,
        kind: prompt_kind((100_000, 300_000), (60, 200)),
        deadline: Duration::from_secs(300),
    },
    Class {
        name: "year-audit",
        share_per_mille: 1,
        kind: prompt_kind((900_000, 1_000_000), (60, 200)),
        deadline: Duration::from_secs(600),
    },
    Class { name: "receipt", share_per_mille: 80, kind: RequestKind::Read, deadline: Duration::from_secs(10) },
    Class { name: "payment", share_per_mille: 60, kind: RequestKind::Idempotent, deadline: Duration::from_secs(10) },
    Class { name: "levy", share_per_mille: 39, kind: RequestKind::Ticket, deadline: Duration::from_secs(10) },
];

const COLIBRI: [Class; 7] = [
    Class {
        name: "wording",
        share_per_mille: 500,
        kind: prompt_kind((600, 2_000), (20, 60)),
        deadline: Duration::from_secs(20),
    },
    Class {
        name: "guest-list",
        share_per_mille: 260,
        kind: prompt_kind((4_000, 40_000), (60, 200)),
        deadline: Duration::from_secs(60),
    },
    Class {
        name: "dossier",
        share_per_mille: 30,
        kind: prompt_kind((100_000, 350_000), (60, 200)),
        deadline: Duration::from_secs(300),
    },
    Class {
        name: "archive",
        share_per_mille: 1,
        kind: prompt_kind((900_000, 1_000_000), (60, 200)),
        deadline: Duration::from_secs(600),
    },
    Class { name: "seating", share_per_mille: 79, kind: RequestKind::Read, deadline: Duration::from_secs(10) },
    Class { name: "rsvp", share_per_mille: 90, kind: RequestKind::Idempotent, deadline: Duration::from_secs(10) },
    Class { name: "reminder", share_per_mille: 40, kind: RequestKind::Ticket, deadline: Duration::from_secs(10) },
];

impl Deployment {
    /// Returns the request classes of the workload.
    pub fn classes(self) -> &'static [Class] {
        match self {
            Deployment::Market => &MARKET,
            Deployment::Colibri => &COLIBRI,
        }
    }

    /// Returns the names of the failure domains.
    pub fn failure_domains(self) -> [&'static str; 3] {
        match self {
            Deployment::Market => ["nyabugogo", "kimironko", "kicukiro"],
            Deployment::Colibri => ["leon", "queretaro", "celaya"],
        }
    }

    /// Returns the name of the model.
    pub fn model(self) -> &'static str {
        match self {
            Deployment::Market => "market-advisor",
            Deployment::Colibri => "pluma",
        }
    }

    /// Returns the name of the plain service.
    pub fn service(self) -> &'static str {
        match self {
            Deployment::Market => "stall-ledger",
            Deployment::Colibri => "buzon",
        }
    }

    /// Returns the sidecars' weights of the slowdown factor and of the time to first token.
    pub fn latency_weights(self) -> (f64, f64) {
        match self {
            Deployment::Market => (2.0, 1.0),
            Deployment::Colibri => (1.0, 2.0),
        }
    }

    /// Returns the mean number of prompt tokens per request of the workload, counting prompts only of the classes for
    /// which `include` returns true.
    pub fn mean_tokens(self, include: impl Fn(&Class) -> bool) -> f64 {
        self.classes()
            .iter()
            .filter(|class| include(class))
            .map(|class| class.mean_tokens() * f64::from(class.share_per_mille) / 1_000.0)
            .sum()
    }
}

/// A request of a workload with its arrival time.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Arrival time, relative to the start of the run.
    pub offset: Duration,
    /// Class of the request.
    pub class: Class,
    /// Prompt tokens; 0 for a plain service call.
    pub tokens: u64,
    /// Output tokens; 0 for a plain service call.
    pub output: u64,
    /// Index of the workspace that sends the request.
    pub workspace: usize,
    /// Seed of the prompt's text.
    pub seed: u64,
}

/// Number of workspaces of a deployment; the first two are large.
pub const WORKSPACE_COUNT: usize = 10;
/// Share of requests that the two large workspaces send.
const LARGE_WORKSPACE_SHARE: f64 = 0.5;

/// Generates Poisson arrivals for `duration` at `rate` requests per second, identical for equal seeds.
///
/// Classes for which `include` returns false are omitted; the other classes keep their arrival times and sizes.
pub fn arrivals(
    deployment: Deployment,
    rate: f64,
    duration: Duration,
    seed: u64,
    include: impl Fn(&Class) -> bool,
) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut offset = 0.0;
    let mut arrivals = Vec::new();
    loop {
        let uniform: f64 = rng.random::<f64>().max(1e-12);
        offset -= uniform.ln() / rate;
        if offset >= duration.as_secs_f64() {
            return arrivals;
        }
        let class = pick_class(deployment.classes(), rng.random_range(0..1_000));
        let (tokens, output) = match class.kind {
            RequestKind::Prompt { tokens, output } => {
                (rng.random_range(tokens.0..=tokens.1), rng.random_range(output.0..=output.1))
            }
            _ => (0, 0),
        };
        let is_large: bool = rng.random_bool(LARGE_WORKSPACE_SHARE);
        let workspace = if is_large { rng.random_range(0..2) } else { rng.random_range(2..WORKSPACE_COUNT) };
        let arrival =
            Arrival { offset: Duration::from_secs_f64(offset), class, tokens, output, workspace, seed: rng.random() };
        if include(&class) {
            arrivals.push(arrival);
        }
    }
}

fn pick_class(classes: &[Class], mut remaining_draw: u32) -> Class {
    for class in classes {
        if remaining_draw < class.share_per_mille {
            return *class;
        }
        remaining_draw -= class.share_per_mille;
    }
    classes[0]
}
