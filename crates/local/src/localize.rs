//! Reads a deployment's files and replaces target addresses by those of stand-ins.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;

use hollowsail_config::SourceFile;
use ini::Ini;
use snafu::{ResultExt, Snafu};

/// A file or directory that cannot be read.
#[derive(Debug, Snafu)]
#[snafu(display("cannot read {path}: {source}; check the path"))]
pub struct ReadError {
    path: String,
    source: std::io::Error,
}

pub fn read_file(path: &Path) -> Result<SourceFile, ReadError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).context(ReadSnafu { path: &name })?;
    Ok(SourceFile { name, text })
}

/// Reads every `.ini` file of a directory, sorted by name.
pub fn read_directory(directory: &Path) -> Result<Vec<SourceFile>, ReadError> {
    let path = directory.display().to_string();
    let mut paths = Vec::new();
    for entry in std::fs::read_dir(directory).context(ReadSnafu { path: &path })? {
        let entry = entry.context(ReadSnafu { path: &path })?;
        if entry.path().extension().is_some_and(|ext| ext == "ini") {
            paths.push(entry.path());
        }
    }
    paths.sort();
    paths.iter().map(|path| read_file(path)).collect()
}

/// Replaces the addresses of targets. A file that does not parse is returned
/// unchanged; the check reports its fault.
pub fn localize(files: &[SourceFile], addresses: &HashMap<String, SocketAddr>) -> Vec<SourceFile> {
    files
        .iter()
        .map(|file| localize_file(file, addresses).unwrap_or_else(|| file.clone()))
        .collect()
}

fn localize_file(file: &SourceFile, addresses: &HashMap<String, SocketAddr>) -> Option<SourceFile> {
    let mut ini = Ini::load_from_str(&file.text).ok()?;
    let targets: Vec<String> = ini
        .sections()
        .flatten()
        .filter(|section| section.starts_with("target."))
        .map(String::from)
        .collect();
    for section in targets {
        let name = section.trim_start_matches("target.");
        if let Some(address) = addresses.get(name) {
            ini.with_section(Some(section.as_str()))
                .set("address", address.to_string());
        }
    }
    let mut text = Vec::new();
    ini.write_to(&mut text).ok()?;
    Some(SourceFile {
        name: file.name.clone(),
        text: String::from_utf8(text).ok()?,
    })
}
