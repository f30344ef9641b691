//! One operators' file: its name, its text, and where things stand in it.

use ini::Ini;
use serde::{Deserialize, Serialize};

use crate::fault::Fault;

/// A file as it was read; the check never opens files itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SourceFile {
    /// Name shown in faults.
    pub name: String,
    /// Whole text, UTF-8.
    pub text: String,
}

impl SourceFile {
    /// Parses the text; a syntax error becomes one fault at its line.
    pub fn parse(&self) -> Result<Ini, Fault> {
        Ini::load_from_str(&self.text).map_err(|err| Fault {
            file: self.name.clone(),
            // The parser stops where it gives up, often long after the line
            // that misled it.
            line: self.first_odd_line().unwrap_or(err.line + 1),
            field: "syntax".into(),
            message: "is neither [section] nor key = value; correct this line".into(),
        })
    }

    /// First line (1-based) that is no header, key, comment, or blank.
    fn first_odd_line(&self) -> Option<usize> {
        let is_odd = |raw: &str| {
            let line = raw.trim();
            let header = line.starts_with('[') && line.ends_with(']');
            let comment = line.starts_with(';') || line.starts_with('#');
            !line.is_empty() && !header && !comment && !line.contains(['=', ':'])
        };
        self.text.lines().position(is_odd).map(|at| at + 1)
    }

    /// Lines of every section header and key, for fault messages and for
    /// finding doubled ones.
    ///
    /// `rust-ini` gives the meaning of a file but not its lines; this index
    /// only says where a name stands.
    pub fn index(&self) -> LineIndex {
        let mut index = LineIndex::default();
        let mut section = String::new();
        for (at, raw) in self.text.lines().enumerate() {
            let line = raw.trim();
            if let Some(name) = line.strip_prefix('[').and_then(|l| l.strip_suffix(']')) {
                section = name.trim().to_string();
                index.places.push(Place::new(&section, "", at + 1));
            } else if let Some((key, _)) = key_of(line) {
                index.places.push(Place::new(&section, key, at + 1));
            }
        }
        index
            .places
            .sort_by(|a, b| (&a.section, &a.key, a.line).cmp(&(&b.section, &b.key, b.line)));
        index
    }
}

fn key_of(line: &str) -> Option<(&str, &str)> {
    if line.starts_with(';') || line.starts_with('#') {
        return None;
    }
    let (key, value) = line.split_once('=')?;
    Some((key.trim(), value.trim()))
}

/// Where one section header (empty key) or key stands.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Place {
    section: String,
    key: String,
    line: usize,
}

impl Place {
    fn new(section: &str, key: &str, line: usize) -> Self {
        Place {
            section: section.into(),
            key: key.into(),
            line,
        }
    }
}

/// Line numbers of a file's sections and keys, sorted by name.
#[derive(Debug, Clone, Default)]
pub struct LineIndex {
    places: Vec<Place>,
}

impl LineIndex {
    /// 1-based line of `key` in `section`; of the header when the key is
    /// absent; 0 when neither stands in the file.
    pub fn line(&self, section: &str, key: &str) -> usize {
        self.find(section, key)
            .or_else(|| self.find(section, ""))
            .unwrap_or(0)
    }

    fn find(&self, section: &str, key: &str) -> Option<usize> {
        let at = self
            .places
            .partition_point(|p| (p.section.as_str(), p.key.as_str()) < (section, key));
        self.places
            .get(at)
            .filter(|p| p.section == section && p.key == key)
            .map(|p| p.line)
    }

    /// Section headers and keys that stand twice: `(section, key, line)`.
    pub fn doubled(&self) -> impl Iterator<Item = (&str, &str, usize)> {
        self.places
            .windows(2)
            .filter(|w| w[0].section == w[1].section && w[0].key == w[1].key)
            .map(|w| (w[1].section.as_str(), w[1].key.as_str(), w[1].line))
    }
}
