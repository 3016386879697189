//! A change of good settings that makes them wrong.

use std::{
    fs,
    path::Path, //
};

use roseridge_settings::SettingsError;

/// A change of the good settings, the line of the error and a part of its text.
pub(crate) struct BadChange {
    pub(crate) from: &'static str,
    pub(crate) to: &'static str,
    pub(crate) line: usize,
    pub(crate) says: &'static str,
}

impl BadChange {
    /// Checks that the changed settings are refused, with the place and what would be right.
    pub(crate) fn check_refused(&self, good: &str, read: impl Fn(&Path) -> Option<SettingsError>) {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let path = folder.path().join("settings.toml");
        assert!(
            good.contains(self.from),
            "the sample holds the text to change"
        );
        fs::write(&path, good.replacen(self.from, self.to, 1)).expect("a written file");
        let error = read(&path).expect("the settings are wrong");
        let text = error.to_string();
        let place = format!("{}:{}:", path.display(), self.line);
        assert!(text.starts_with(&place), "{text} names {place}");
        assert!(text.contains(self.says), "{text} says {}", self.says);
    }
}
