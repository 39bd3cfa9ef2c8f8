//! Size of the notices that routers send at intervals.

use gateway::notice::Notice;
use policy::census::{self, Demand, MAX_WORKSPACES, Report};

/// Limit on the bytes that one router receives in a second of all demand notices for one model. All control traffic of
/// a router, sent and received, is to stay below 9 KB/s.
const MAX_BYTES_PER_S: f64 = 9_000.0;

/// Returns the bytes of the largest notice that a system with this many ranks gives, with names of usual length.
fn encoded(ranks: u8, workspaces: usize) -> usize {
    let rank = |n: u8| Demand { rank: n * 11, arrived: 23_456.0, refused: 3_456.0 };
    let report = Report {
        data_centre: "obuda-c".to_owned(),
        ranks: (0..ranks).map(rank).collect(),
        workspaces: (0..workspaces).map(|n| (format!("ws-{n:05}"), 12_345.0)).collect(),
    };
    let notice = Notice::demand("entry-123".to_owned(), "raxa73a".to_owned(), &report);
    let bytes = notice.encode();
    assert_eq!(Notice::decode(&bytes), Some(notice));
    bytes.len()
}

/// Guards against notices of demand that take the traffic allowed for all control. docs/CAPACITY.md has the figures.
#[test]
fn demand_of_300_routers_stays_small() {
    let per_s = 300.0 / census::interval(300).as_secs_f64();
    assert_eq!(per_s, 30.0);
    let (usual, largest) = (encoded(3, MAX_WORKSPACES), encoded(10, MAX_WORKSPACES));
    println!("usual={usual} largest={largest} bytes, {per_s} a second");
    assert!(usual as f64 * per_s < MAX_BYTES_PER_S, "{usual} bytes");
}
