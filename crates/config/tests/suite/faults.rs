//! All faults are reported together, with file, line and field.

use expect_test::{expect, Expect};
use hollowsail_config::{check, SourceFile};

const VALID: &str = "\
[deployment]
name = one
[hall.a]
region = r
[service.enc]
kind = encoder
[target.enc-1]
service = enc
hall = a
address = 127.0.0.1:1
[pipeline.p]
stages = x, y, z
[stage.p.x]
service = enc
[stage.p.y]
service = enc
[stage.p.z]
service = enc
[organisation.o]
halls = a
key_sha256 = 0000000000000000000000000000000000000000000000000000000000000000
";

fn source(name: &str, text: &str) -> SourceFile {
    SourceFile {
        name: name.into(),
        text: text.into(),
    }
}

fn faults_of(files: &[SourceFile], expected: Expect) {
    let faults = check(files).expect_err("the files have faults");
    expected.assert_eq(&faults.to_string());
}

#[test]
fn valid_file_is_accepted() {
    let deployment = check(&[source("valid.ini", VALID)]).expect("the file is valid");
    assert_eq!(deployment.pipelines[0].stages.len(), 3);
    assert!(!deployment.pipelines[0].runs_once());
}

#[test]
fn faults_of_all_files_are_reported_together() {
    let text = VALID
        .replace("kind = encoder", "kind = encodr")
        .replace("hall = a\naddress", "hall = b\naddress")
        .replace("stages = x, y, z", "stages = x, y")
        .replace("region = r", "regoin = r");
    let other = "[organisation.p]\nhalls =\nkey_sha256 = 12\nweight = heavy\n[rack.1]\n";
    faults_of(
        &[source("a.ini", &text), source("b.ini", other)],
        expect![[r#"
            a.ini:3: hall.a.region: is missing; add it to this section
            a.ini:4: hall.a.regoin: is not a field here; known fields: region
            a.ini:6: service.enc.kind: is not one of encoder, retriever, reranker, engine, plain
            a.ini:9: target.enc-1.hall: names b, which no section defines
            a.ini:12: pipeline.p.stages: lists 2 stages; write 3 to 6, comma-separated
            a.ini:17: stage.p.z: is not listed in the stages of [pipeline.p]
            b.ini:2: organisation.p.halls: permits no hall; list at least one
            b.ini:3: organisation.p.key_sha256: is not 64 hexadecimal digits
            b.ini:4: organisation.p.weight: is not a number from 1 to 1000
            b.ini:5: rack.1: is not a known section; use [deployment], [policy] or [KIND.NAME] with KIND one of hall, service, target, model, pipeline, stage, organisation
            10 fault(s); nothing was changed. Correct them and try again."#]],
    );
}

#[test]
fn duplicate_keys_and_sections_are_faults() {
    let text = VALID.replace("name = one", "name = one\nname = two");
    faults_of(
        &[
            source("a.ini", &text),
            source("b.ini", "[hall.a]\nregion = r\n"),
        ],
        expect![[r#"
            a.ini:3: deployment.name: is defined more than once; keep one
            b.ini:1: hall.a: is also defined in a.ini; keep one
            2 fault(s); nothing was changed. Correct them and try again."#]],
    );
}

#[test]
fn syntax_error_is_reported_with_its_line() {
    faults_of(
        &[source("a.ini", "[deployment]\nname = one\nwhat is this\n")],
        expect![[r#"
            a.ini:3: syntax: is neither [section] nor key = value; correct this line
            1 fault(s); nothing was changed. Correct them and try again."#]],
    );
}

#[test]
fn key_of_two_organisations_is_a_fault() {
    let key = "0000000000000000000000000000000000000000000000000000000000000000";
    let text = format!("{VALID}[organisation.q]\nhalls = a\nkey_sha256 = {key}\n");
    faults_of(
        &[source("a.ini", &text)],
        expect![[r#"
            a.ini:24: organisation.q.key_sha256: is already used by another organisation; create a new key
            1 fault(s); nothing was changed. Correct them and try again."#]],
    );
}

#[test]
fn missing_deployment_section_is_a_fault() {
    faults_of(
        &[],
        expect![[r#"
            no file:0: deployment: is missing from all files; add [deployment] with a name
            1 fault(s); nothing was changed. Correct them and try again."#]],
    );
    faults_of(
        &[source("a.ini", "[hall.a]\nregion = r\n")],
        expect![[r#"
            a.ini:0: deployment: is missing from all files; add [deployment] with a name
            1 fault(s); nothing was changed. Correct them and try again."#]],
    );
}

#[test]
fn unlisted_adapter_is_a_fault() {
    let text = VALID.replace("[organisation.o]", "[organisation.o]\nadapter = legal");
    faults_of(
        &[source("a.ini", &text)],
        expect![[r#"
            a.ini:20: organisation.o.adapter: names legal, which no model lists
            1 fault(s); nothing was changed. Correct them and try again."#]],
    );
}
