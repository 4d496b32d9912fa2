//! The format of the cache file.

use super::*;

/// A cache file as an earlier version of the gateway (commit f5644fc) wrote it.
const STORED: &[u8] = br#"[{"address":"127.0.0.1:7001","zone":0,"started":1764745200.5},{"address":"[::1]:7002","zone":3,"started":0.0}]"#;

/// After an update, a gateway that starts without discovery depends on the file that the older version wrote.
/// It must read that file, and write the same format.
#[test]
fn the_file_format_of_an_older_version_is_kept() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("endpoints.json");
    std::fs::write(&path, STORED).unwrap();
    let endpoints = load(&path);
    let endpoint = |id: &str, zone, started| Endpoint {
        id: id.into(),
        location: Location { zone: Some(ZoneId::from_number(zone)), cell: None },
        started,
        lifecycle: Lifecycle::Running,
    };
    assert_eq!(endpoints, [endpoint("127.0.0.1:7001", 0, 1764745200.5), endpoint("[::1]:7002", 3, 0.0)]);
    let cached: Vec<_> = endpoints.iter().map(CachedEndpoint::from).collect();
    write(&path, &cached).unwrap();
    assert_eq!(std::fs::read(&path).unwrap(), STORED);
}

#[test]
fn a_damaged_or_missing_file_gives_no_endpoints() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("endpoints.json");
    assert!(load(&path).is_empty());
    std::fs::write(&path, &STORED[..40]).unwrap();
    assert!(load(&path).is_empty());
}
