//! Label values of the metrics of admission.

use gateway::admission::metrics::place;

/// Guards against more label values than a scraper can keep, and against ranks that share one without need.
#[test]
fn places_are_bounded() {
    let ranks = 1 << 0 | 1 << 12 | 1 << 55;
    assert_eq!([0, 12, 55].map(|rank| place(ranks, rank)), ["0", "1", "2"]);
    let mut places: Vec<String> = (0..100).map(|rank| place(u128::MAX, rank)).collect();
    places.dedup();
    assert_eq!((places.len(), places[9].as_str()), (10, "other"));
}
