//! One operators' file: its name, its text, and the lines of its sections and keys.

use ini::Ini;
use serde::{Deserialize, Serialize};

use crate::fault::Fault;

/// The name and text of a file, read by the caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SourceFile {
    /// Name shown in faults.
    pub name: String,
    /// Whole text, UTF-8.
    pub text: String,
}

impl SourceFile {
    /// Parses the text; a syntax error is returned as a fault with its line.
    pub fn parse(&self) -> Result<Ini, Fault> {
        Ini::load_from_str(&self.text).map_err(|err| Fault {
            file: self.name.clone(),
            // The parser may stop many lines after the malformed one.
            line: self.first_malformed_line().unwrap_or(err.line + 1),
            field: "syntax".into(),
            message: "is neither [section] nor key = value; correct this line".into(),
        })
    }

    /// First line (1-based) that is neither header, key, comment nor blank.
    fn first_malformed_line(&self) -> Option<usize> {
        let is_malformed = |raw: &str| {
            let line = raw.trim();
            let header = line.starts_with('[') && line.ends_with(']');
            let comment = line.starts_with(';') || line.starts_with('#');
            !line.is_empty() && !header && !comment && !line.contains(['=', ':'])
        };
        self.text
            .lines()
            .position(is_malformed)
            .map(|index| index + 1)
    }

    /// Builds the line index for fault messages and duplicate detection;
    /// `rust-ini` does not report line numbers.
    pub fn index(&self) -> LineIndex {
        let mut index = LineIndex::default();
        let mut section = String::new();
        for (row, raw) in self.text.lines().enumerate() {
            let line = raw.trim();
            if let Some(name) = line.strip_prefix('[').and_then(|l| l.strip_suffix(']')) {
                section = name.trim().to_string();
                index.locations.push(Location::new(&section, "", row + 1));
            } else if let Some((key, _)) = parse_key(line) {
                index.locations.push(Location::new(&section, key, row + 1));
            }
        }
        index
            .locations
            .sort_by(|a, b| (&a.section, &a.key, a.line).cmp(&(&b.section, &b.key, b.line)));
        index
    }
}

fn parse_key(line: &str) -> Option<(&str, &str)> {
    if line.starts_with(';') || line.starts_with('#') {
        return None;
    }
    let (key, value) = line.split_once('=')?;
    Some((key.trim(), value.trim()))
}

/// Line of a section header (empty key) or of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Location {
    section: String,
    key: String,
    line: usize,
}

impl Location {
    fn new(section: &str, key: &str, line: usize) -> Self {
        Location {
            section: section.into(),
            key: key.into(),
            line,
        }
    }
}

/// Line numbers of a file's sections and keys, sorted by name.
#[derive(Debug, Clone, Default)]
pub struct LineIndex {
    locations: Vec<Location>,
}

impl LineIndex {
    /// 1-based line of `key` in `section`; of the header when the key is
    /// absent; 0 when the file has neither.
    pub fn line(&self, section: &str, key: &str) -> usize {
        self.find(section, key)
            .or_else(|| self.find(section, ""))
            .unwrap_or(0)
    }

    fn find(&self, section: &str, key: &str) -> Option<usize> {
        let index = self
            .locations
            .partition_point(|p| (p.section.as_str(), p.key.as_str()) < (section, key));
        self.locations
            .get(index)
            .filter(|p| p.section == section && p.key == key)
            .map(|p| p.line)
    }

    /// Repeated section headers and keys: `(section, key, line)`.
    pub fn duplicates(&self) -> impl Iterator<Item = (&str, &str, usize)> {
        self.locations
            .windows(2)
            .filter(|w| w[0].section == w[1].section && w[0].key == w[1].key)
            .map(|w| (w[1].section.as_str(), w[1].key.as_str(), w[1].line))
    }
}
