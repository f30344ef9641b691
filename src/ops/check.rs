//! Checks operators' files without applying them.

use std::path::PathBuf;

use hollowsail_config::check;
use hollowsail_local::localize::read_file;

use crate::{Context, Exit};

/// Checks the files together, as an apply would.
pub fn run(cx: &mut Context<'_>, paths: &[PathBuf]) -> Exit {
    let mut files = Vec::new();
    for path in paths {
        match read_file(path) {
            Ok(file) => files.push(file),
            Err(err) => {
                cx.print_error(format_args!("error: {err}"));
                return Exit::CannotRun;
            }
        }
    }
    match check(&files) {
        Ok(deployment) => {
            cx.print(format_args!(
                "{}: {} halls, {} services, {} targets, {} models, {} pipelines, {} organisations: ok",
                deployment.name,
                deployment.halls.len(),
                deployment.services.len(),
                deployment.targets.len(),
                deployment.models.len(),
                deployment.pipelines.len(),
                deployment.organisations.len()
            ));
            Exit::Success
        }
        Err(faults) => {
            cx.print_faults(&faults);
            Exit::Failure
        }
    }
}
