use super::*;

const MB: usize = 1 << 20;

#[test]
fn memory_is_denied_to_new_sessions_first_and_to_results_last() {
    let mut memory = MemoryBudget::new(32 * MB);
    assert_eq!((memory.limit(), memory.pressure()), (16 * MB, MemoryPressure::Normal));
    let allowed = |memory: &MemoryBudget| MemoryPurpose::ALL.map(|p| memory.check(p, 4096).is_ok());
    assert_eq!(allowed(&memory), [true; 5]);
    memory.reserve(MemoryPurpose::Results, 12 * MB);
    assert_eq!(
        (memory.pressure(), allowed(&memory)),
        (MemoryPressure::Elevated, [false, true, true, true, false])
    );
    memory.reserve(MemoryPurpose::Results, 2 * MB);
    assert_eq!(
        (memory.pressure(), allowed(&memory)),
        (MemoryPressure::High, [false, false, false, true, false])
    );
    memory.reserve(MemoryPurpose::Results, 2 * MB);
    assert_eq!((memory.pressure(), allowed(&memory)), (MemoryPressure::Exhausted, [false; 5]));
    memory.release(MemoryPurpose::Results, 16 * MB);
    assert_eq!((memory.pressure(), memory.peak()), (MemoryPressure::Normal, 16 * MB));
}

#[test]
fn statements_have_their_own_limit() {
    let mut memory = MemoryBudget::new(32 * MB);
    memory.reserve(MemoryPurpose::Statements, 4 * MB);
    assert_eq!(memory.check(MemoryPurpose::Statements, 1), Err(InsufficientMemory::Purpose));
    assert_eq!(memory.check(MemoryPurpose::Requests, MB), Ok(()));
    memory.release(MemoryPurpose::Statements, 100);
    assert_eq!(memory.check(MemoryPurpose::Statements, 100), Ok(()));
}
