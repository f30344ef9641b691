//! Every fault of a file is named at once, with file, line and field.

use expect_test::{expect, Expect};
use hollowsail_config::{check, SourceFile};

const GOOD: &str = "\
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
    let faults = check(files).expect_err("the files are faulty");
    expected.assert_eq(&faults.to_string());
}

#[test]
fn a_good_file_is_accepted() {
    let deployment = check(&[source("good.ini", GOOD)]).expect("it is good");
    assert_eq!(deployment.pipelines[0].stages.len(), 3);
    assert!(!deployment.pipelines[0].runs_once());
}

#[test]
fn all_faults_of_all_files_come_together() {
    let text = GOOD
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
            a.ini:12: pipeline.p.stages: names 2 stages; write 3 to 6, comma-separated
            a.ini:17: stage.p.z: is not among the stages of [pipeline.p]
            b.ini:2: organisation.p.halls: permits no hall; name at least one
            b.ini:3: organisation.p.key_sha256: is not 64 hexadecimal digits
            b.ini:4: organisation.p.weight: is not a number from 1 to 1000
            b.ini:5: rack.1: is not a known section; use [deployment], [policy] or [KIND.NAME] with KIND one of hall, service, target, model, pipeline, stage, organisation
            10 fault(s); nothing was changed. Correct them and try again."#]],
    );
}

#[test]
fn what_stands_twice_is_a_fault() {
    let text = GOOD.replace("name = one", "name = one\nname = two");
    faults_of(
        &[
            source("a.ini", &text),
            source("b.ini", "[hall.a]\nregion = r\n"),
        ],
        expect![[r#"
            a.ini:3: deployment.name: stands twice; keep one
            b.ini:1: hall.a: stands in a.ini too; keep one
            2 fault(s); nothing was changed. Correct them and try again."#]],
    );
}

#[test]
fn a_line_that_is_no_ini_is_a_fault_with_its_line() {
    faults_of(
        &[source("a.ini", "[deployment]\nname = one\nwhat is this\n")],
        expect![[r#"
            a.ini:3: syntax: is neither [section] nor key = value; correct this line
            1 fault(s); nothing was changed. Correct them and try again."#]],
    );
}

#[test]
fn one_key_cannot_belong_to_two_organisations() {
    let key = "0000000000000000000000000000000000000000000000000000000000000000";
    let text = format!("{GOOD}[organisation.q]\nhalls = a\nkey_sha256 = {key}\n");
    faults_of(
        &[source("a.ini", &text)],
        expect![[r#"
            a.ini:24: organisation.q.key_sha256: is another organisation's key; make a new one
            1 fault(s); nothing was changed. Correct them and try again."#]],
    );
}

#[test]
fn no_file_and_a_file_without_a_deployment_are_faults() {
    faults_of(
        &[],
        expect![[r#"
            no file:0: deployment: is in none of the files; add [deployment] with a name
            1 fault(s); nothing was changed. Correct them and try again."#]],
    );
    faults_of(
        &[source("a.ini", "[hall.a]\nregion = r\n")],
        expect![[r#"
            a.ini:0: deployment: is in none of the files; add [deployment] with a name
            1 fault(s); nothing was changed. Correct them and try again."#]],
    );
}

#[test]
fn an_adapter_that_no_model_lists_is_a_fault() {
    let text = GOOD.replace("[organisation.o]", "[organisation.o]\nadapter = legal");
    faults_of(
        &[source("a.ini", &text)],
        expect![[r#"
            a.ini:20: organisation.o.adapter: names legal, which no model lists
            1 fault(s); nothing was changed. Correct them and try again."#]],
    );
}
