use super::{Ways, build_commit};

#[test]
fn ways_that_do_not_exist_are_an_error_that_names_those_that_do() {
    assert_eq!("both".parse(), Ok(Ways::Both));
    let err = "down".parse::<Ways>().unwrap_err();
    assert!(err.contains("down") && err.contains("rollback"), "{err}");
}

#[test]
fn a_commit_that_does_not_exist_is_an_error_that_names_it() {
    for odd in ["no-such-commit", "--all", ""] {
        let err = build_commit(odd).expect_err("refused");
        assert!(err.to_string().contains("is no commit"), "{err}");
    }
}
