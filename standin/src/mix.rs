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
pub enum Kind {
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
    Once,
    /// A plain service call with a ticket issued by the entry as its idempotency key.
    Ticket,
}

/// A class of requests.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// Name of the class in reports.
    pub name: &'static str,
    /// Share of all requests, in thousandths.
    pub share: u32,
    /// Kind and size of the requests.
    pub kind: Kind,
    /// Deadline of a request in real time, before division by the fleet's speed.
    pub deadline: Duration,
}

impl Class {
    /// Returns whether all prompts of the class are short, at most 2000 tokens.
    pub fn is_short(&self) -> bool {
        matches!(self.kind, Kind::Prompt { tokens, .. } if tokens.1 <= 2_000)
    }

    /// Returns whether all prompts of the class have at least 100,000 tokens. Short requests must not wait behind them.
    pub fn is_long(&self) -> bool {
        matches!(self.kind, Kind::Prompt { tokens, .. } if tokens.0 >= 100_000)
    }

    /// Returns the mean number of prompt tokens; 0 for plain service calls.
    pub fn mean_tokens(&self) -> f64 {
        match self.kind {
            Kind::Prompt { tokens, .. } => (tokens.0 + tokens.1) as f64 / 2.0,
            _ => 0.0,
        }
    }
}

const fn prompt(tokens: (u64, u64), output: (u64, u64)) -> Kind {
    Kind::Prompt { tokens, output }
}

const MARKET: [Class; 7] = [
    Class { name: "question", share: 600, kind: prompt((800, 2_000), (12, 40)), deadline: Duration::from_secs(20) },
    Class { name: "review", share: 200, kind: prompt((8_000, 32_000), (40, 120)), deadline: Duration::from_secs(60) },
    Class { name: "audit", share: 20, kind: prompt((100_000, 300_000), (60, 200)), deadline: Duration::from_secs(300) },
    Class {
        name: "year-audit",
        share: 1,
        kind: prompt((900_000, 1_000_000), (60, 200)),
        deadline: Duration::from_secs(600),
    },
    Class { name: "receipt", share: 80, kind: Kind::Read, deadline: Duration::from_secs(10) },
    Class { name: "payment", share: 60, kind: Kind::Once, deadline: Duration::from_secs(10) },
    Class { name: "levy", share: 39, kind: Kind::Ticket, deadline: Duration::from_secs(10) },
];

const COLIBRI: [Class; 7] = [
    Class { name: "wording", share: 500, kind: prompt((600, 2_000), (20, 60)), deadline: Duration::from_secs(20) },
    Class {
        name: "guest-list",
        share: 260,
        kind: prompt((4_000, 40_000), (60, 200)),
        deadline: Duration::from_secs(60),
    },
    Class {
        name: "dossier",
        share: 30,
        kind: prompt((100_000, 350_000), (60, 200)),
        deadline: Duration::from_secs(300),
    },
    Class {
        name: "archive",
        share: 1,
        kind: prompt((900_000, 1_000_000), (60, 200)),
        deadline: Duration::from_secs(600),
    },
    Class { name: "seating", share: 79, kind: Kind::Read, deadline: Duration::from_secs(10) },
    Class { name: "rsvp", share: 90, kind: Kind::Once, deadline: Duration::from_secs(10) },
    Class { name: "reminder", share: 40, kind: Kind::Ticket, deadline: Duration::from_secs(10) },
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
    pub fn domains(self) -> [&'static str; 3] {
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
    pub fn weights(self) -> (f64, f64) {
        match self {
            Deployment::Market => (2.0, 1.0),
            Deployment::Colibri => (1.0, 2.0),
        }
    }

    /// Returns the mean number of prompt tokens per request of the workload, counting prompts only of the classes for
    /// which `keep` returns true.
    pub fn mean_tokens(self, keep: impl Fn(&Class) -> bool) -> f64 {
        self.classes()
            .iter()
            .filter(|class| keep(class))
            .map(|class| class.mean_tokens() * f64::from(class.share) / 1_000.0)
            .sum()
    }
}

/// A request of a workload with its arrival time.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Arrival time, relative to the start of the run.
    pub at: Duration,
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
pub const WORKSPACES: usize = 10;
/// Share of requests that the two large workspaces send.
const LARGE_SHARE: f64 = 0.5;

/// Generates Poisson arrivals for `span` at `rate` requests per second, identical for equal seeds.
///
/// Classes for which `keep` returns false are omitted; the other classes keep their arrival times and sizes.
pub fn arrivals(
    deployment: Deployment,
    rate: f64,
    span: Duration,
    seed: u64,
    keep: impl Fn(&Class) -> bool,
) -> Vec<Arrival> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut at = 0.0;
    let mut arrivals = Vec::new();
    loop {
        let uniform: f64 = random.random::<f64>().max(1e-12);
        at -= uniform.ln() / rate;
        if at >= span.as_secs_f64() {
            return arrivals;
        }
        let class = pick(deployment.classes(), random.random_range(0..1_000));
        let (tokens, output) = match class.kind {
            Kind::Prompt { tokens, output } => {
                (random.random_range(tokens.0..=tokens.1), random.random_range(output.0..=output.1))
            }
            _ => (0, 0),
        };
        let large: bool = random.random_bool(LARGE_SHARE);
        let workspace = if large { random.random_range(0..2) } else { random.random_range(2..WORKSPACES) };
        let arrival =
            Arrival { at: Duration::from_secs_f64(at), class, tokens, output, workspace, seed: random.random() };
        if keep(&class) {
            arrivals.push(arrival);
        }
    }
}

fn pick(classes: &[Class], mut draw: u32) -> Class {
    for class in classes {
        if draw < class.share {
            return *class;
        }
        draw -= class.share;
    }
    classes[0]
}
