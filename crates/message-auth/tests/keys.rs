//! Keys as they stand in files, and codes that openssl makes, too.

use rstest::rstest;
use shorepath_message_auth::advice;
use shorepath_message_auth::keyring::{FileMacError, Keys, KeysError};

const A: &str = "0101010101010101010101010101010101010101010101010101010101010101";
const B: &str = "0202020202020202020202020202020202020202020202020202020202020202";

fn keys(text: &str) -> Keys {
    Keys::read(text).unwrap()
}

/// RFC 4231, case 6 (the one with a key of at least 32 bytes) and case 7.
#[rstest]
#[case(b"Test Using Larger Than Block-Size Key - Hash Key First".as_slice(),
    "60e431591ee0b67f0d8a26aacbf5b77f8e0bc6213728c5140546040f0ee37f54")]
#[case(b"This is a test using a larger than block-size key and a larger than block-size data. The key needs to be hashed before being used by the HMAC algorithm.".as_slice(),
    "9b09ffa71b942fcb27635fbcd5b0e944bfdc63644f0713938a7f51535c3a35e2")]
fn the_codes_of_rfc_4231(#[case] sent: &[u8], #[case] code: &str) {
    let keys = keys(&"aa".repeat(131));
    assert_eq!(hex::encode(keys.mac(sent)), code);
    assert!(keys.verify_mac(sent, &hex::decode(code).unwrap()));
    assert!(!keys.verify_mac(&sent[1..], &hex::decode(code).unwrap()));
    for text in [code.to_string(), format!("HMAC-SHA2-256(a=b.sexp)= {code}\n")] {
        assert_eq!(keys.verify_file(sent, &text), Ok(()), "{text}");
    }
    assert_eq!(keys.verify_file(&sent[1..], code), Err(FileMacError::Mismatch));
    assert_eq!(keys.verify_file(sent, &code[2..]), Err(FileMacError::Malformed));
}

#[rstest]
#[case("# nothing\n\n", KeysError::Empty)]
#[case("\n01zz\n", KeysError::NotHex { line: 2 })]
#[case("0101 # short", KeysError::TooShort { line: 1, bytes: 2 })]
fn complaints_name_the_line(#[case] text: &str, #[case] why: KeysError) {
    assert_eq!(Keys::read(text).unwrap_err(), why);
    assert!(advice(&why).contains("openssl rand -hex 32"));
}

#[rstest]
fn two_keys_are_believed_and_the_first_is_used() {
    let both = keys(&format!("# new\n{A} # of today\n\n{B}\n"));
    assert_eq!(both.mac(b"x"), keys(A).mac(b"x"));
    assert!(both.verify_mac(b"x", &keys(B).mac(b"x")));
    assert!(!keys(A).verify_mac(b"x", &keys(B).mac(b"x")));
    assert_eq!(Keys::read(&format!("{A}\n{B}\n{A}")).unwrap_err(), KeysError::TooMany { line: 3 });
    assert_eq!(format!("{both:?}"), "Keys(2)");
    assert_eq!(Keys::check_file_mode(0o100600), Ok(()));
    assert_eq!(Keys::check_file_mode(0o100640), Err(KeysError::FileMode { mode: 0o640 }));
}
