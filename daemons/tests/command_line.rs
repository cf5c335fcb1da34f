//! Invalid options, settings and documents are rejected with an error that says what is allowed.

mod support;

use support::{CTL, ENTRY, GATHER, run_program, text_and_code};

/// Writes a temporary file with a name that is unique to the test process.
fn temporary_file(name: &str, text: &str) -> String {
    let path = std::env::temp_dir().join(format!("bergamot-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("the temporary directory is writable");
    path.to_string_lossy().into_owned()
}

#[test]
fn all_programs_have_help_and_version() {
    for program in [CTL, ENTRY, GATHER] {
        let (help, code) = text_and_code(&run_program(program, &["--help"]));
        assert!(help.contains("--version"), "{help}");
        assert_eq!(code, Some(0));
        let (version, code) = text_and_code(&run_program(program, &["--version"]));
        assert!(version.trim_end().ends_with(env!("CARGO_PKG_VERSION")), "{version}");
        assert_eq!(code, Some(0));
    }
}

/// Guards against an error from `bergamotctl policy | head -1`, where the reader closes the pipe
/// before all output has been written.
#[test]
fn a_closed_output_pipe_is_not_an_error() {
    let mut child = std::process::Command::new(CTL)
        .arg("policy")
        .stdout(std::process::Stdio::piped())
        .stderr(std::process::Stdio::piped())
        .spawn()
        .expect("the program starts");
    drop(child.stdout.take());
    let output = child.wait_with_output().expect("the program ends");
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success() && errors.is_empty(), "{errors}");
}

#[test]
fn unknown_options_are_rejected() {
    for program in [CTL, ENTRY, GATHER] {
        let (text, code) = text_and_code(&run_program(program, &["--bogus"]));
        assert!(text.contains("--bogus"), "{text}");
        assert_eq!(code, Some(2));
    }
}

#[test]
fn an_unknown_settings_key_is_reported_with_the_allowed_keys() {
    let path = temporary_file("wrong-key.ini", "[instance]\nadress = 127.0.0.1\n");
    for args in [["--settings", path.as_str(), "--check"], ["check", "--settings", path.as_str()]] {
        let program = if args[0] == "check" { CTL } else { ENTRY };
        let (text, code) = text_and_code(&run_program(program, &args));
        assert!(text.contains("wrong-key.ini"), "{text}");
        assert!(text.contains("[instance] adress: found 127.0.0.1"), "{text}");
        assert!(text.contains("one of the keys address, zone"), "{text}");
        assert_eq!(code, Some(2));
    }
    std::fs::remove_file(path).expect("the file belongs to this test");
}

#[test]
fn a_truncated_document_is_rejected() {
    let path = temporary_file("truncated.json", r#"{"revision": 7, "instances": 8, "places": ["#);
    let (text, code) = text_and_code(&run_program(CTL, &["check", "--document", &path]));
    assert!(text.contains("truncated.json"), "{text}");
    assert!(text.contains("EOF"), "{text}");
    assert_eq!(code, Some(2));
    std::fs::remove_file(path).expect("the file belongs to this test");
}

#[test]
fn the_error_for_a_missing_file_names_it() {
    let (text, code) =
        text_and_code(&run_program(CTL, &["check", "--document", "no-such-file.json"]));
    assert!(text.contains("read document no-such-file.json"), "{text}");
    assert_eq!(code, Some(2));
}

#[test]
fn the_error_for_an_unreachable_daemon_names_its_address() {
    let (text, code) = text_and_code(&run_program(CTL, &["dump", "127.0.0.1:1"]));
    assert!(text.contains("dial 127.0.0.1:1"), "{text}");
    assert_eq!(code, Some(1));
}

#[test]
fn policy_prints_all_or_one_mechanism_and_rejects_unknown_names() {
    let (text, code) = text_and_code(&run_program(CTL, &["policy"]));
    for name in bergamot_policy::NAMES {
        assert!(text.contains(&format!("{name} (on)")), "{text}");
    }
    assert_eq!(code, Some(0));
    let (text, code) = text_and_code(&run_program(CTL, &["policy", "hedge"]));
    assert!(text.starts_with("hedge (on)") && text.contains("earliest = 0.33"), "{text}");
    assert!(!text.contains("retry (on)"), "{text}");
    assert_eq!(code, Some(0));
    let (text, code) = text_and_code(&run_program(CTL, &["policy", "hegde"]));
    assert!(text.contains("switch off hegde: no such mechanism; there are hedge"), "{text}");
    assert_eq!(code, Some(2));
}
