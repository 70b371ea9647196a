use super::*;

fn names() -> SettingsNames {
    SettingsNames {
        classes: vec!["lookup".into(), "report".into()],
        tenants: vec!["north".into()],
        ..SettingsNames::default()
    }
}

fn fields(class: &str, tenant: Option<&str>) -> RequestFields {
    RequestFields { class: class.to_owned(), tenant: tenant.map(str::to_owned), ..RequestFields::default() }
}

/// A request that is admitted: readable at 1 s, read at 2 s, with a client that waits for 3 s.
fn admissible() -> AdmissionInput {
    AdmissionInput {
        now_us: 2_000_000,
        ready_us: 1_000_000,
        wait_us: 3_000_000,
        work_ahead_us: 0,
        shutting_down: false,
        open_requests: 9,
        max_open_requests: 10,
        memory: Ok(()),
    }
}

fn rejection(input: AdmissionInput) -> Rejection {
    admit(&input).expect_err("the request was admitted")
}

fn reasons(input: AdmissionInput) -> Vec<RejectionReason> {
    rejection(input).reasons().collect()
}

#[test]
fn class_and_tenant_are_looked_up_by_name() {
    let with_tenant = resolve_names(&names(), &fields("report", Some("north")));
    assert_eq!(with_tenant, Ok(ResolvedNames { class: ClassId(1), tenant: Some(TenantId(0)) }));
    let without_tenant = resolve_names(&names(), &fields("lookup", None));
    assert_eq!(without_tenant, Ok(ResolvedNames { class: ClassId(0), tenant: None }));
}

#[test]
fn a_duplicate_id_is_reported_first_and_an_unknown_tenant_last() {
    let all_wrong = fields("none", Some("none"));
    assert_eq!(validate(&names(), &all_wrong, true), Err(InvalidRequest::DuplicateId));
    assert_eq!(validate(&names(), &all_wrong, false), Err(InvalidRequest::UnknownClass));
    let wrong_tenant = fields("lookup", Some("none"));
    assert_eq!(validate(&names(), &wrong_tenant, false), Err(InvalidRequest::UnknownTenant));
}

#[test]
fn error_texts_sent_to_clients_are_stable() {
    assert_eq!(InvalidRequest::UnknownClass.to_string(), "unknown class");
    assert_eq!(InvalidRequest::UnknownTenant.to_string(), "unknown tenant");
    assert_eq!(InvalidRequest::DuplicateId.to_string(), "the id is that of a request that is open");
}

#[test]
fn the_wait_is_bounded_by_the_deadline_of_the_class() {
    assert_eq!(wait_us(None, 3.0), 3_000_000);
    assert_eq!(wait_us(Some(500), 3.0), 500_000);
    assert_eq!(wait_us(Some(86_400_000), 3.0), 3_000_000);
    assert_eq!(wait_us(Some(u64::MAX), 3.0), 3_000_000);
}

#[test]
fn the_deadline_of_an_admitted_request_counts_from_its_readiness() {
    assert_eq!(admit(&admissible()), Ok(Admitted { deadline_us: 4_000_000 }));
}

#[test]
fn a_process_that_shuts_down_rejects_without_a_retry_after() {
    let rejected = rejection(AdmissionInput { shutting_down: true, ..admissible() });
    assert_eq!(rejected.reasons().collect::<Vec<_>>(), [RejectionReason::ShuttingDown]);
    assert_eq!((rejected.sends_retry_after(), rejected.counters().next()), (false, None));
}

#[test]
fn too_many_open_requests_are_rejected_without_a_retry_after() {
    let rejected = rejection(AdmissionInput { open_requests: 10, ..admissible() });
    assert_eq!(rejected.reasons().collect::<Vec<_>>(), [RejectionReason::TooManyOpenRequests]);
    assert_eq!((rejected.sends_retry_after(), rejected.counters().next()), (false, None));
}

#[test]
fn exhausted_memory_is_rejected_with_a_retry_after_for_either_bound() {
    for bound in [InsufficientMemory::Budget, InsufficientMemory::Purpose] {
        let rejected = rejection(AdmissionInput { memory: Err(bound), ..admissible() });
        assert_eq!(rejected.reasons().collect::<Vec<_>>(), [RejectionReason::MemoryShort]);
        assert!(rejected.sends_retry_after());
        assert_eq!(rejected.counters().collect::<Vec<_>>(), [RejectionCounter::NoMemory]);
    }
}

#[test]
fn a_request_that_would_be_processed_at_its_deadline_is_rejected_with_a_retry_after() {
    let just_in_time = AdmissionInput { work_ahead_us: 1_999_999, ..admissible() };
    assert!(admit(&just_in_time).is_ok());
    let rejected = rejection(AdmissionInput { work_ahead_us: 2_000_000, ..admissible() });
    assert_eq!(rejected.reasons().collect::<Vec<_>>(), [RejectionReason::TooLate]);
    assert!(rejected.sends_retry_after());
    assert_eq!(rejected.counters().collect::<Vec<_>>(), [RejectionCounter::TooLate]);
}

#[test]
fn a_request_past_its_deadline_is_rejected_even_without_queued_work() {
    assert_eq!(reasons(AdmissionInput { now_us: 4_000_000, ..admissible() }), [RejectionReason::TooLate]);
}

#[test]
fn all_reasons_are_reported_in_order() {
    let rejected_for_all = AdmissionInput {
        work_ahead_us: 2_000_000,
        shutting_down: true,
        open_requests: 11,
        memory: Err(InsufficientMemory::Budget),
        ..admissible()
    };
    assert_eq!(reasons(rejected_for_all), RejectionReason::ALL);
    let rejected = rejection(rejected_for_all);
    assert_eq!(
        rejected.counters().collect::<Vec<_>>(),
        [RejectionCounter::NoMemory, RejectionCounter::TooLate],
        "each reason that has a counter is counted"
    );
    let late_at_shutdown = AdmissionInput { memory: Ok(()), open_requests: 0, ..rejected_for_all };
    assert!(rejection(late_at_shutdown).sends_retry_after(), "one reason with a Retry-After is enough");
}
