use quickcheck::quickcheck;

use super::*;

quickcheck! {
    fn length_encoded_integers_round_trip(n: u64) -> bool {
        let mut out = Vec::new();
        write_lenenc_int(&mut out, n);
        Reader(&out).lenenc_int() == Ok(n)
    }
}
