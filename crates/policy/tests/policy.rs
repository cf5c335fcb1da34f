//! The table of mechanisms: its switches and its text form.

use bergamot_policy::{NAMES, Policy};

#[test]
fn each_mechanism_can_be_switched_off_by_its_name_and_nothing_else_changes() {
    let all_on = Policy::default();
    for name in NAMES {
        let policy = all_on.without(&[name]).expect("the name is in the table");
        let off: Vec<_> = policy.mechanisms().into_iter().filter(|one| !one.on).collect();
        assert_eq!(off.len(), 1, "{name}");
        assert_eq!(off[0].name, *name);
        let before = all_on.mechanisms().into_iter().find(|one| one.name == *name);
        assert_eq!(before.map(|one| one.parameters), Some(off[0].parameters.clone()));
    }
}

#[test]
fn an_unknown_name_is_rejected_with_the_list_of_known_names() {
    let error = Policy::default().without(&["hedge", "hegde"]).expect_err("there is none");
    let text = error.to_string();
    assert!(
        text.starts_with("switch off hegde: no such mechanism; there are hedge, retry"),
        "{text}"
    );
    for name in NAMES {
        assert!(text.contains(name), "{text}");
    }
}

#[test]
fn the_text_form_lists_each_parameter_with_its_unit_and_grounds() {
    for mechanism in Policy::default().mechanisms() {
        let text = mechanism.to_string();
        assert!(text.starts_with(&format!("{} (on)\n", mechanism.name)), "{text}");
        assert!(!mechanism.help.trim().is_empty(), "{text}");
        for parameter in &mechanism.parameters {
            assert!(
                text.contains(&format!(
                    "{} = {} {}",
                    parameter.name, parameter.value, parameter.unit
                ))
            );
            assert!(!parameter.grounds.trim().is_empty(), "{text}");
        }
    }
}
