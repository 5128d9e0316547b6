//! Rejection of invalid arguments by `daleturn lab capacity`.

use std::process::{Command, Output};

fn capacity(args: &[&str]) -> Output {
    let command = env!("CARGO_BIN_EXE_daleturn");
    Command::new(command).args(["lab", "capacity"]).args(args).output().unwrap()
}

#[test]
fn invalid_arguments_are_named_with_exit_code_2_and_nothing_is_measured() {
    let dir = std::env::temp_dir().join(format!("daleturn-cli-capacity-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let (out, file) = (dir.join("out"), dir.join("file"));
    std::fs::write(&file, "").unwrap();
    let [out, file] = [&out, &file].map(|p| p.to_str().unwrap());
    let own = env!("CARGO_BIN_EXE_daleturn");
    let cases: [(&[&str], &str); 8] = [
        (&["--role", "baker", "--out", out], "--role baker: no such role; there are node"),
        (&["--axis", "moon", "--out", out], "--axis moon: no such axis of the node; there are backends, "),
        (&["--node", "/nowhere/node", "--out", out], "--node: /nowhere/node: not a file"),
        (&["--node", own, "--baseline", "/nowhere/b", "--out", out], "--baseline: /nowhere/b: not a file"),
        (&["--node", own, "--out", file], file),
        (&["--node", own], "--out <DIR>"),
        (&["--seed", "x", "--out", out], "--seed"),
        (&["--repetitions", "0", "--out", out], "--repetitions"),
    ];
    for (args, message) in cases {
        let output = capacity(args);
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{args:?}: {stderr}");
        assert!(stderr.contains(message), "{args:?}: {stderr}");
        assert!(output.stdout.is_empty(), "{args:?}");
    }
    assert!(!dir.join("out").join("capacity.json").exists());
    std::fs::remove_dir_all(dir).unwrap();
}
