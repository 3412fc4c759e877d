//! The script of a load run.

use acaciabank_protocol::{ids, value_type, wire};

value_type!(
    /// A load run.
    pub struct LoadScript {
        /// Phases, one after the other.
        pub phases: Vec<LoadPhase>,
    }
);

value_type!(
    /// A stretch of time with one rate and one mix.
    pub struct LoadPhase {
        /// Length, in milliseconds.
        pub duration_ms: u64,
        /// Mean arrivals a second; the gaps are exponentially distributed.
        pub rate_per_s: f64,
        /// Shapes of requests, drawn by weight.
        pub mix: Vec<RequestShape>,
    }
);

value_type!(
    /// One shape of requests.
    pub struct RequestShape {
        /// Weight in the mix.
        #[serde(default = "one")]
        pub weight: u32,
        /// Model to complete with; excludes `service`.
        #[serde(default)]
        pub model: Option<ids::ModelId>,
        /// Plain service to call; excludes `model`.
        #[serde(default)]
        pub service: Option<ids::ServiceId>,
        /// Path below the service.
        #[serde(default = "root_path")]
        pub path: String,
        /// Prompt length, in tokens.
        #[serde(default)]
        pub prompt_tokens: TokenRange,
        /// Tokens to generate.
        #[serde(default)]
        pub output_tokens: TokenRange,
        /// Part of the prompt that requests of one prefix group share, in tokens.
        #[serde(default)]
        pub shared_prefix_tokens: u32,
        /// Number of prefix groups.
        #[serde(default = "one")]
        pub prefix_groups: u32,
        /// Urgency.
        #[serde(default)]
        pub priority: wire::Priority,
        /// Time that the request has, in milliseconds.
        #[serde(default = "default_timeout_ms")]
        pub timeout_ms: u64,
        /// Whether the request carries an idempotency key.
        #[serde(default)]
        pub keyed: bool,
        /// Key of the team that sends it.
        #[serde(default)]
        pub team_key: Option<String>,
    }
);

fn one() -> u32 {
    1
}

fn root_path() -> String {
    "/".to_owned()
}

fn default_timeout_ms() -> u64 {
    30_000
}

value_type!(
    /// A range of token counts, drawn uniformly; both ends belong to it.
    pub struct TokenRange {
        /// Least count.
        pub min: u32,
        /// Greatest count.
        pub max: u32,
    }
);

impl Default for TokenRange {
    fn default() -> Self {
        Self { min: 64, max: 64 }
    }
}

/// Longest prompt or output of a script, in tokens.
const MAX_TOKENS: u32 = 1_000_000;

impl LoadScript {
    /// Reads and checks a script.
    ///
    /// # Errors
    ///
    /// One line that names the place, the value and what is allowed.
    pub fn from_json(text: &str) -> Result<Self, String> {
        let script: Self = serde_json::from_str(text).map_err(|error| error.to_string())?;
        script.check()?;
        Ok(script)
    }

    /// Length of the run, in milliseconds.
    pub fn duration_ms(&self) -> u64 {
        self.phases.iter().map(|phase| phase.duration_ms).sum()
    }

    fn check(&self) -> Result<(), String> {
        if self.phases.is_empty() {
            return Err("phases: []; must have at least one phase".to_owned());
        }
        for (index, phase) in self.phases.iter().enumerate() {
            if !(phase.rate_per_s.is_finite() && phase.rate_per_s >= 0.0) {
                let rate = phase.rate_per_s;
                return Err(format!(
                    "phases[{index}].rate_per_s: {rate}; must not be negative"
                ));
            }
            if phase
                .mix
                .iter()
                .map(|shape| u64::from(shape.weight))
                .sum::<u64>()
                == 0
            {
                return Err(format!(
                    "phases[{index}].mix: the weights must not all be 0"
                ));
            }
            for (position, shape) in phase.mix.iter().enumerate() {
                check_shape(shape)
                    .map_err(|fault| format!("phases[{index}].mix[{position}].{fault}"))?;
            }
        }
        Ok(())
    }
}

fn check_shape(shape: &RequestShape) -> Result<(), String> {
    if shape.model.is_some() == shape.service.is_some() {
        return Err("model: give either `model` or `service`".to_owned());
    }
    for (name, range) in [
        ("prompt_tokens", &shape.prompt_tokens),
        ("output_tokens", &shape.output_tokens),
    ] {
        if range.min > range.max || range.min == 0 || range.max > MAX_TOKENS {
            let allowed = format!("must have 1 <= min <= max <= {MAX_TOKENS}");
            return Err(format!(
                "{name}: {{min: {}, max: {}}}; {allowed}",
                range.min, range.max
            ));
        }
    }
    if shape.prefix_groups == 0 {
        return Err("prefix_groups: 0; must be at least 1".to_owned());
    }
    if shape.timeout_ms == 0 {
        return Err("timeout_ms: 0; must be at least 1".to_owned());
    }
    if !shape.path.starts_with('/') {
        return Err(format!("path: {:?}; must start with '/'", shape.path));
    }
    Ok(())
}
