//! Guards against a command that accepts invalid input, that changes the store
//! although it reports a failure, or that does not report the reason.

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};

use googletest::prelude::*;
use standin::platform::PlatformServer;

const FERNWAKE: &str = include_str!("../../../docs/examples/fernwake.toml");

/// A temporary folder that is deleted on drop.
struct TempFolder(PathBuf);

impl TempFolder {
    fn create(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("cassiactl-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("the temporary folder is writable");
        Self(path)
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        fs::write(&path, text).expect("the temporary folder is writable");
        path.to_string_lossy().into_owned()
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

async fn run(arguments: Vec<String>) -> Output {
    tokio::task::spawn_blocking(move || {
        Command::new(env!("CARGO_BIN_EXE_cassiactl"))
            .args(arguments)
            .output()
            .expect("the program starts")
    })
    .await
    .expect("the task does not panic")
}

fn split_arguments(text: &str) -> Vec<String> {
    text.split(' ').map(str::to_owned).collect()
}

fn error_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

struct CheckCase {
    from: &'static str,
    to: &'static str,
    message: &'static str,
}

const CHECK_CASES: [CheckCase; 3] = [
    CheckCase {
        from: "slots = 3",
        to: "slots = 0",
        message: "group[0].member[0].slots: found 0, allowed: 1 to 1024",
    },
    CheckCase {
        from: "[deadlines]",
        to: "[deadline]",
        message: "unknown field `deadline`",
    },
    CheckCase {
        from: "address = \"10.1.0.11:5432\"",
        to: "address = \"somewhere\"",
        message: "invalid socket address",
    },
];

#[gtest]
#[tokio::test]
async fn config_check_reports_file_key_and_allowed_range() {
    let folder = TempFolder::create("check");
    let good = folder.write("good.toml", FERNWAKE);
    let output = run(split_arguments(&format!("config check {good}"))).await;
    expect_that!(output.status.success(), eq(true), "{}", error_text(&output));
    for case in CHECK_CASES {
        let bad = folder.write("bad.toml", &FERNWAKE.replacen(case.from, case.to, 1));
        let output = run(split_arguments(&format!("config check {bad}"))).await;
        expect_that!(output.status.code(), some(eq(1)));
        expect_that!(error_text(&output), contains_substring(case.message));
        expect_that!(error_text(&output), contains_substring("bad.toml"));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn config_apply_requires_the_version_in_force() {
    let address = "127.0.0.1:0".parse().expect("a valid address");
    let platform = PlatformServer::start(address).await.expect("a free port");
    let folder = TempFolder::create("apply");
    let document = folder.write("document.toml", FERNWAKE);
    let text = format!("[platform]\naddress = \"{}\"\n", platform.address());
    let settings = folder.write("settings.toml", &text);
    let apply = |version: u64| {
        split_arguments(&format!(
            "--settings {settings} config apply {document} --expected-version {version}"
        ))
    };
    let first = run(apply(0)).await;
    expect_that!(first.status.success(), eq(true), "{}", error_text(&first));
    let stale = run(apply(0)).await;
    expect_that!(stale.status.code(), some(eq(1)));
    expect_that!(
        error_text(&stale),
        contains_substring("version 1 is in force, not 0")
    );
    let second = run(apply(1)).await;
    expect_that!(second.status.success(), eq(true), "{}", error_text(&second));
    let history = run(split_arguments(&format!(
        "--settings {settings} config history"
    )))
    .await;
    let listed = String::from_utf8_lossy(&history.stdout).lines().count();
    expect_that!(listed, eq(2));
}
