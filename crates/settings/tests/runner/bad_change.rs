//! Changes that make valid settings invalid.

use std::{
    fs,
    path::Path, //
};

use roseridge_settings::SettingsError;

/// A replacement in valid settings, with the line and a part of the text of the expected error.
pub(crate) struct BadChange {
    pub(crate) from: &'static str,
    pub(crate) to: &'static str,
    pub(crate) line: usize,
    pub(crate) message: &'static str,
}

impl BadChange {
    /// Checks that reading the changed settings fails with the expected line and message.
    pub(crate) fn assert_rejected(
        &self,
        valid: &str,
        read: impl Fn(&Path) -> Option<SettingsError>,
    ) {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let path = folder.path().join("settings.toml");
        assert!(
            valid.contains(self.from),
            "the settings contain the text to replace"
        );
        fs::write(&path, valid.replacen(self.from, self.to, 1)).expect("write the settings");
        let error = read(&path).expect("the settings are rejected");
        let text = error.to_string();
        let location = format!("{}:{}:", path.display(), self.line);
        assert!(text.starts_with(&location), "{text} starts with {location}");
        assert!(
            text.contains(self.message),
            "{text} contains {}",
            self.message
        );
    }
}
