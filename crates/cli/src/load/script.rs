//! Load scripts: their JSON form and its validation.

use acaciabank_protocol::{ids, value_type, wire};

value_type!(
    /// The phases of a load run.
    pub struct LoadScript {
        /// Phases, one after the other.
        pub phases: Vec<LoadPhase>,
    }
);

value_type!(
    /// A period with a constant arrival rate and request mix.
    pub struct LoadPhase {
        /// Duration, in milliseconds.
        pub duration_ms: u64,
        /// Mean arrivals per second; the intervals are exponentially distributed.
        pub rate_per_s: f64,
        /// Request shapes, chosen at random by weight.
        pub mix: Vec<RequestShape>,
    }
);

value_type!(
    /// A template from which similar requests are generated.
    pub struct RequestShape {
        /// Relative frequency in the mix.
        #[serde(default = "one")]
        pub weight: u32,
        /// Model to complete with; excludes `service`.
        #[serde(default)]
        pub model: Option<ids::ModelId>,
        /// Plain service to call; excludes `model`.
        #[serde(default)]
        pub service: Option<ids::ServiceId>,
        /// Path below the service's root; must start with `/`.
        #[serde(default = "root_path")]
        pub path: String,
        /// Prompt length, in tokens.
        #[serde(default)]
        pub prompt_tokens: TokenRange,
        /// Number of tokens to generate.
        #[serde(default)]
        pub output_tokens: TokenRange,
        /// Length of the prompt prefix that requests of one prefix group share, in tokens.
        #[serde(default)]
        pub shared_prefix_tokens: u32,
        /// Number of prefix groups, each with its own shared prefix.
        #[serde(default = "one")]
        pub prefix_groups: u32,
        /// Priority that the requests state.
        #[serde(default)]
        pub priority: wire::Priority,
        /// Time from the planned arrival to the deadline, in milliseconds.
        #[serde(default = "default_timeout_ms")]
        pub timeout_ms: u64,
        /// Whether the request carries an idempotency key.
        #[serde(default)]
        pub keyed: bool,
        /// API key of the sending team; without it the request carries no key.
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
    /// An inclusive range of token counts with uniform distribution.
    pub struct TokenRange {
        /// Smallest count.
        pub min: u32,
        /// Largest count.
        pub max: u32,
    }
);

impl Default for TokenRange {
    fn default() -> Self {
        Self { min: 64, max: 64 }
    }
}

/// Upper limit of the prompt and output lengths of a script, in tokens.
const MAX_TOKENS: u32 = 1_000_000;

impl LoadScript {
    /// Parses and validates a script.
    ///
    /// # Errors
    ///
    /// The parser's message for invalid JSON or an unknown field; for a value that is not allowed,
    /// one line with its path, the value and what is allowed.
    pub fn from_json(text: &str) -> Result<Self, String> {
        let script: Self = serde_json::from_str(text).map_err(|error| error.to_string())?;
        script.validate()?;
        Ok(script)
    }

    /// Total duration of the phases, in milliseconds.
    pub fn duration_ms(&self) -> u64 {
        self.phases.iter().map(|phase| phase.duration_ms).sum()
    }

    fn validate(&self) -> Result<(), String> {
        if self.phases.is_empty() {
            return Err("phases: []; must have at least one phase".to_owned());
        }
        for (index, phase) in self.phases.iter().enumerate() {
            if !(phase.rate_per_s.is_finite() && phase.rate_per_s >= 0.0) {
                let rate = phase.rate_per_s;
                return Err(format!(
                    "phases[{index}].rate_per_s: {rate}; must be a finite number of at least 0"
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
                    "phases[{index}].mix: the sum of the weights is 0; must be at least 1"
                ));
            }
            for (position, shape) in phase.mix.iter().enumerate() {
                validate_shape(shape)
                    .map_err(|message| format!("phases[{index}].mix[{position}].{message}"))?;
            }
        }
        Ok(())
    }
}

fn validate_shape(shape: &RequestShape) -> Result<(), String> {
    if shape.model.is_some() == shape.service.is_some() {
        return Err("model: exactly one of `model` and `service` must be given".to_owned());
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
