//! Checked TOML settings of both programs.

mod agent_settings;
mod checked_file;
mod default_templates;
mod overridable;
mod serve_settings;
mod token_hash;

pub use agent_settings::AgentSettings;
pub use agent_settings::WorkerSection;
pub use checked_file::SettingsError;
pub use checked_file::read_agent_settings;
pub use checked_file::read_serve_settings;
pub use default_templates::default_templates;
pub use overridable::AgentLimitsSection;
pub use overridable::AgentLimitsValues;
pub use overridable::DefaultSettings;
pub use overridable::EntryLimitsSection;
pub use overridable::EntryLimitsValues;
pub use overridable::TimingSection;
pub use overridable::TimingValues;
pub use overridable::default_settings;
pub use serve_settings::ControlSection;
pub use serve_settings::InstanceSection;
pub use serve_settings::ListenSection;
pub use serve_settings::ReplicaEntry;
pub use serve_settings::ServeSettings;
pub use serve_settings::TokenEntry;
pub use token_hash::TokenHash;
