//! Typed access to the fields of one section, collecting all faults.
//!
//! [`Section`] wraps a parsed section and records which fields were read;
//! [`Section::finish`] reports all others, so that a misspelt field is a fault
//! instead of a silent default.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::str::FromStr;

use ini::Properties;

use crate::fault::{Fault, Faults};
use crate::source::{LineIndex, SourceFile};

/// Collects faults from many sections of many files.
#[derive(Debug, Default)]
pub struct FaultList(RefCell<Vec<Fault>>);

impl FaultList {
    pub fn push(&self, fault: Fault) {
        self.0.borrow_mut().push(fault);
    }

    pub fn into_vec(self) -> Vec<Fault> {
        self.0.into_inner()
    }

    /// `value` if there are no faults, else the faults in order.
    pub fn into_result<T>(self, value: T) -> Result<T, Faults> {
        match self.into_vec() {
            faults if faults.is_empty() => Ok(value),
            faults => Err(Faults::sorted(faults)),
        }
    }
}

/// Passes every section of a file to `read` and reports the fields that it did not read.
/// For an unknown section, `read` returns the known names as its error. Fails only on a
/// syntax error, before any section is read.
pub fn read_sections(
    source: &SourceFile,
    mut read: impl FnMut(&Section<'_>) -> Result<(), &'static str>,
) -> Result<FaultList, Faults> {
    let ini = source.parse().map_err(|fault| Faults(vec![fault]))?;
    let index = source.index();
    let faults = FaultList::default();
    for (name, fields) in ini.iter() {
        let Some(name) = name else { continue };
        let section = Section::new(&source.name, name, fields, &index, &faults);
        match read(&section) {
            Ok(()) => section.finish(),
            Err(known) => section.fault("", format!("is not known; use {known}")),
        }
    }
    Ok(faults)
}

/// One section being read.
pub struct Section<'a> {
    file: &'a str,
    name: &'a str,
    fields: &'a Properties,
    index: &'a LineIndex,
    faults: &'a FaultList,
    read_keys: RefCell<BTreeSet<String>>,
}

impl<'a> Section<'a> {
    pub fn new(
        file: &'a str,
        name: &'a str,
        fields: &'a Properties,
        index: &'a LineIndex,
        faults: &'a FaultList,
    ) -> Self {
        Section {
            file,
            name,
            fields,
            index,
            faults,
            read_keys: RefCell::default(),
        }
    }

    /// Section name as written.
    pub fn name(&self) -> &'a str {
        self.name
    }

    /// Part after the first dot of `[kind.name]`; empty without a dot.
    pub fn item_name(&self) -> &'a str {
        self.name.split_once('.').map_or("", |(_, name)| name)
    }

    /// Records a fault at `key` (or at the header when `key` is absent).
    pub fn fault(&self, key: &str, message: impl Into<String>) {
        let field = match key {
            "" => self.name.to_string(),
            _ => format!("{}.{key}", self.name),
        };
        self.faults.push(Fault {
            file: self.file.into(),
            line: self.index.line(self.name, key),
            field,
            message: message.into(),
        });
    }

    /// An optional text field.
    pub fn text(&self, key: &str) -> Option<&'a str> {
        self.read_keys.borrow_mut().insert(key.to_string());
        self.fields
            .get(key)
            .map(str::trim)
            .filter(|text| !text.is_empty())
    }

    /// A mandatory field; a fault and `""` when it is missing.
    pub fn required(&self, key: &str) -> &'a str {
        self.text(key).unwrap_or_else(|| {
            self.fault(key, "is missing; add it to this section");
            ""
        })
    }

    /// A comma-separated list; empty when absent.
    pub fn list(&self, key: &str) -> Vec<&'a str> {
        self.text(key)
            .map(|text| text.split(',').map(str::trim).collect())
            .unwrap_or_default()
    }

    /// A parsed value; `default` when absent, and a fault too when invalid.
    pub fn parsed<T: FromStr>(&self, key: &str, default: T, expected: &str) -> T {
        match self.text(key).map(str::parse) {
            None => default,
            Some(Ok(value)) => value,
            Some(Err(_)) => {
                self.fault(key, format!("is not {expected}"));
                default
            }
        }
    }

    /// A number within bounds; `default` when absent.
    pub fn number<T>(&self, key: &str, default: T, bounds: RangeInclusive<T>) -> T
    where
        T: FromStr + PartialOrd + Copy + std::fmt::Display,
    {
        let expected = format!("a number from {} to {}", bounds.start(), bounds.end());
        let value = self.parsed(key, default, &expected);
        if self.text(key).is_some() && !bounds.contains(&value) {
            self.fault(key, format!("is not {expected}"));
            return default;
        }
        value
    }

    /// `yes` or `no`; `default` when absent.
    pub fn flag(&self, key: &str, default: bool) -> bool {
        match self.text(key) {
            None => default,
            Some("yes") => true,
            Some("no") => false,
            Some(_) => {
                self.fault(key, "is neither yes nor no");
                default
            }
        }
    }

    /// Reports the fields that were not read as unknown.
    pub fn finish(self) {
        let read_keys = self.read_keys.take();
        for (key, _) in self
            .fields
            .iter()
            .filter(|(key, _)| !read_keys.contains(*key))
        {
            let known: Vec<_> = read_keys.iter().map(String::as_str).collect();
            self.faults.push(Fault {
                file: self.file.into(),
                line: self.index.line(self.name, key),
                field: format!("{}.{key}", self.name),
                message: format!("is not a field here; known fields: {}", known.join(", ")),
            });
        }
    }
}
