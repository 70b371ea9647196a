use super::*;

#[test]
fn a_query_is_split_into_fields_and_statement() {
    let text = b"/* c=report,i=9b1f03aa5c7e2d41,d=1500,t=acme,h=820.0,mem=96 */ SELECT 1  ";
    let (f, statement) = split(text).unwrap();
    assert_eq!(statement, b"SELECT 1  ");
    assert_eq!((f.class.as_str(), f.wait_ms), ("report", Some(1500)));
    assert_eq!(f.id.as_deref(), Some("9b1f03aa5c7e2d41"));
    assert_eq!((f.tenant.as_deref(), f.estimate_ms, f.memory_mb), (Some("acme"), Some(820.0), Some(96.0)));
}

#[test]
fn each_invalid_field_is_reported_by_its_own_error() {
    let error = |text: &str| split(text.as_bytes()).unwrap_err();
    assert_eq!(error("SELECT 1"), FieldError::NoComment);
    assert_eq!(error("/* c=a,i=12 */ x"), FieldError::BadId);
    assert_eq!(error("/* c=a,k= */ x"), FieldError::BadIdempotencyKey);
    assert_eq!(error("/* c=a,k=x\r\ny: z */ x"), FieldError::BadIdempotencyKey);
    assert_eq!(split(b"/* c=a,k=x9 */ x").unwrap().0.idempotency_key.as_deref(), Some("x9"));
    assert_eq!(error("/* c=a,o= */ x"), FieldError::BadOrderKey);
    assert_eq!(error("/* c=a,o=a b */ x"), FieldError::BadOrderKey);
    assert_eq!(error(&format!("/* c=a,o={} */ x", "7".repeat(129))), FieldError::BadOrderKey);
    assert_eq!(error("/* c=a,o=1,o=1 */ x"), FieldError::Malformed);
    assert_eq!(error("/* c=a,r=2 */ x"), FieldError::BadRetry);
    assert_eq!(error("/* c=a,r= */ x"), FieldError::BadRetry);
    assert_eq!(error("/* c=a,d=0 */ x"), FieldError::BadWait);
    assert_eq!(error("/* c=a,d=-4 */ x"), FieldError::BadWait);
    assert_eq!(error("/* c=a,h=x */ x"), FieldError::BadEstimate);
    assert_eq!(error("/* c=a,h=NaN */ x"), FieldError::BadEstimate);
    assert_eq!(error("/* c=a,h=1e19 */ x"), FieldError::BadEstimate);
    assert_eq!(error("/* c=a,mem=1000000000000 */ x"), FieldError::BadEstimate);
    assert_eq!(error("/* c=a,d=86400001 */ x"), FieldError::BadWait);
    assert_eq!(error("/* d=4 */ x"), FieldError::NoClass);
    assert_eq!(error("/* c=a,c=b */ x"), FieldError::Malformed);
    assert_eq!(error("/* c=a */  "), FieldError::NoStatement);
}

#[test]
fn order_key_and_retry_are_parsed_in_any_position() {
    let fields = |text: &str| split(text.as_bytes()).unwrap().0;
    let retry = fields("/* r=1,o=7f3a9c21e0b4d655,c=load */ x");
    assert_eq!((retry.order_key.as_deref(), retry.is_retry), (Some("7f3a9c21e0b4d655"), true));
    let minimal = fields("/* c=load */ x");
    assert_eq!((minimal.order_key, minimal.is_retry), (None, false));
    // All processes of a gateway must compute the same id for a key.
    assert_eq!(key_id("a"), KeyId(0xaf63_dc4c_8601_ec8c));
    assert_ne!(key_id("7f3a9c21e0b4d655"), key_id("7f3a9c21e0b4d656"));
}
