//! Checks all operators' files together and builds the typed [`Deployment`].
//!
//! The first pass parses every file and assigns an arena slot to each named
//! section, so that references may point forward and across files. The second
//! reads the fields and resolves references. All faults of both passes are
//! returned together; a single fault rejects the whole configuration.

use std::collections::HashMap;

use ini::Ini;

use crate::build::Builder;
use crate::fault::{Fault, Faults};
use crate::model::Deployment;
use crate::reader::{FaultList, Section};
use crate::source::{LineIndex, SourceFile};

/// Section kinds written as `[kind.name]`.
const NAMED_KINDS: [&str; 7] = [
    "hall",
    "service",
    "target",
    "model",
    "pipeline",
    "stage",
    "organisation",
];
/// Sections without a name, which appear once.
const SINGLE_KINDS: [&str; 2] = ["deployment", "policy"];

/// Returns the deployment, or all faults found, each with file, line and field.
pub fn check(files: &[SourceFile]) -> Result<Deployment, Faults> {
    let faults = FaultList::default();
    let parsed = parse_all(files, &faults);
    let sections = collect_sections(&parsed, &faults);
    // A file with a syntax error may contain the section.
    if parsed.len() == files.len() {
        report_missing_deployment(files, &sections, &faults);
    }
    let deployment = Builder::new(&sections).build();
    sections.into_iter().for_each(Section::finish);
    faults.into_result(deployment)
}

struct ParsedFile<'a> {
    source: &'a SourceFile,
    ini: Ini,
    index: LineIndex,
}

fn parse_all<'a>(files: &'a [SourceFile], faults: &FaultList) -> Vec<ParsedFile<'a>> {
    let mut parsed = Vec::new();
    for source in files {
        match source.parse() {
            Ok(ini) => parsed.push(ParsedFile {
                source,
                ini,
                index: source.index(),
            }),
            Err(fault) => faults.push(fault),
        }
    }
    parsed
}

fn collect_sections<'a>(parsed: &'a [ParsedFile<'a>], faults: &'a FaultList) -> Vec<Section<'a>> {
    let mut sections = Vec::new();
    let mut seen: HashMap<&str, &str> = HashMap::new();
    for file in parsed {
        report_duplicates(file, faults);
        for (name, fields) in file.ini.iter() {
            let Some(name) = name else {
                report_bare_fields(file, fields, faults);
                continue;
            };
            let section = Section::new(&file.source.name, name, fields, &file.index, faults);
            if !is_known_section(name) {
                section.fault("", unknown_section_message());
                continue;
            }
            match seen.insert(name, &file.source.name) {
                Some(other) if other != file.source.name => {
                    section.fault("", format!("is also defined in {other}; keep one"));
                }
                Some(_) => {}
                None => sections.push(section),
            }
        }
    }
    sections
}

fn report_missing_deployment(files: &[SourceFile], sections: &[Section<'_>], faults: &FaultList) {
    if sections
        .iter()
        .any(|section| section.name() == "deployment")
    {
        return;
    }
    faults.push(Fault {
        file: files.first().map_or("no file", |file| &file.name).into(),
        line: 0,
        field: "deployment".into(),
        message: "is missing from all files; add [deployment] with a name".into(),
    });
}

fn report_duplicates(file: &ParsedFile<'_>, faults: &FaultList) {
    for (section, key, line) in file.index.duplicates() {
        let field = match key {
            "" => section.to_string(),
            _ => format!("{section}.{key}"),
        };
        faults.push(Fault {
            file: file.source.name.clone(),
            line,
            field,
            message: "is defined more than once; keep one".into(),
        });
    }
}

fn report_bare_fields(file: &ParsedFile<'_>, fields: &ini::Properties, faults: &FaultList) {
    for (key, _) in fields.iter() {
        faults.push(Fault {
            file: file.source.name.clone(),
            line: file.index.line("", key),
            field: key.into(),
            message: "is outside any [section]; move it into one".into(),
        });
    }
}

fn is_known_section(name: &str) -> bool {
    match name.split_once('.') {
        Some((kind, item)) => NAMED_KINDS.contains(&kind) && !item.is_empty(),
        None => SINGLE_KINDS.contains(&name),
    }
}

fn unknown_section_message() -> String {
    format!(
        "is not a known section; use [{}] or [KIND.NAME] with KIND one of {}",
        SINGLE_KINDS.join("], ["),
        NAMED_KINDS.join(", ")
    )
}
