//! The built-in customer templates of a new cluster.

use roseridge_model::CustomerTemplate;
use serde::Deserialize;

const DEFAULT_TEMPLATES: &str = include_str!("default_templates.toml");

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TemplateFile {
    templates: Vec<CustomerTemplate>,
}

/// Returns the built-in templates.
///
/// # Panics
///
/// Panics if the built-in file is malformed. A test checks that it is well-formed.
pub fn default_templates() -> Vec<CustomerTemplate> {
    let file: TemplateFile =
        toml::from_str(DEFAULT_TEMPLATES).expect("the built-in templates are well-formed");
    file.templates
}
