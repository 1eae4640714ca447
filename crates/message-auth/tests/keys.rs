//! Tests key files, and MACs against published test vectors.

use rstest::rstest;
use shorepath_message_auth::advice;
use shorepath_message_auth::keyring::{FileMacError, Keys, KeysError};

const A: &str = "0101010101010101010101010101010101010101010101010101010101010101";
const B: &str = "0202020202020202020202020202020202020202020202020202020202020202";

fn keys(text: &str) -> Keys {
    Keys::read(text).unwrap()
}

/// RFC 4231, test cases 6 and 7, whose keys are at least as long as the minimum length.
#[rstest]
#[case::test_case_6(b"Test Using Larger Than Block-Size Key - Hash Key First".as_slice(),
    "60e431591ee0b67f0d8a26aacbf5b77f8e0bc6213728c5140546040f0ee37f54")]
#[case::test_case_7(b"This is a test using a larger than block-size key and a larger than block-size data. The key needs to be hashed before being used by the HMAC algorithm.".as_slice(),
    "9b09ffa71b942fcb27635fbcd5b0e944bfdc63644f0713938a7f51535c3a35e2")]
fn macs_match_the_vectors_of_rfc_4231(#[case] message: &[u8], #[case] mac: &str) {
    let keys = keys(&"aa".repeat(131));
    assert_eq!(hex::encode(keys.mac(message)), mac);
    assert!(keys.verify_mac(message, &hex::decode(mac).unwrap()));
    assert!(!keys.verify_mac(&message[1..], &hex::decode(mac).unwrap()));
    for text in [mac.to_string(), format!("HMAC-SHA2-256(a=b.sexp)= {mac}\n")] {
        assert_eq!(keys.verify_file(message, &text), Ok(()), "{text}");
    }
    assert_eq!(keys.verify_file(&message[1..], mac), Err(FileMacError::Mismatch));
    assert_eq!(keys.verify_file(message, &mac[2..]), Err(FileMacError::Malformed));
}

#[rstest]
#[case::no_key("# nothing\n\n", KeysError::Empty)]
#[case::not_hexadecimal("\n01zz\n", KeysError::NotHex { line: 2 })]
#[case::too_short("0101 # short", KeysError::TooShort { line: 1, bytes: 2 })]
fn an_invalid_key_file_is_rejected_with_its_line(#[case] text: &str, #[case] expected: KeysError) {
    assert_eq!(Keys::read(text).unwrap_err(), expected);
    assert!(advice(&expected).contains("openssl rand -hex 32"));
}

#[rstest]
fn two_keys_are_accepted_and_the_first_one_signs() {
    let both = keys(&format!("# new\n{A} # of today\n\n{B}\n"));
    assert_eq!(both.mac(b"x"), keys(A).mac(b"x"));
    assert!(both.verify_mac(b"x", &keys(B).mac(b"x")));
    assert!(!keys(A).verify_mac(b"x", &keys(B).mac(b"x")));
    assert_eq!(Keys::read(&format!("{A}\n{B}\n{A}")).unwrap_err(), KeysError::TooMany { line: 3 });
    assert_eq!(format!("{both:?}"), "Keys(2)");
    assert_eq!(Keys::check_file_mode(0o100600), Ok(()));
    assert_eq!(Keys::check_file_mode(0o100640), Err(KeysError::FileMode { mode: 0o640 }));
}
