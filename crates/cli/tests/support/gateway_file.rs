//! A configuration for `weirusher run`.

use std::path::{Path, PathBuf};

/// Writes a configuration file into `dir`: deploy/gatekeeper.toml, with any free ports and without an endpoint cache.
pub fn gateway_file(dir: &Path) -> PathBuf {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/gatekeeper.toml");
    let text = std::fs::read_to_string(deploy).unwrap();
    let text = text.replace(":9000", ":0").replace(":9001", ":0").replace("keep = \"checkers.json\"", "");
    let file = dir.join("gatekeeper.toml");
    std::fs::write(&file, text).unwrap();
    file
}
