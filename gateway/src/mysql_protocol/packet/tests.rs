use super::*;

#[test]
fn incomplete_and_oversized_packets_are_not_read() {
    let mut out = Vec::new();
    let mut sequence = 3;
    write_packet(&mut out, &mut sequence, b"abc");
    assert_eq!(sequence, 4);
    assert_eq!(read_packet(&mut out[..6].to_vec()), Ok(None));
    assert_eq!(read_packet(&mut out), Ok(Some((3, b"abc".to_vec()))));
    assert_eq!(read_packet(&mut vec![0xff, 0xff, 0xff, 0]), Err(PacketError::TooLong));
}
