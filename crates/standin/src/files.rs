//! Files whose contents the stand-ins of the platform publish.

use std::collections::BTreeMap;
use std::fs;
use std::path;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_document::sections;
use kingcupfall_standin::configuration;
use kingcupfall_standin::vms;
use tokio::time;

use super::Result;

/// Time between two reads of a file.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Publishes the sections of the document in `file`, then polls the file and publishes each section
/// that changed. A section that is removed from the file stays published. Returns only on an error.
///
/// # Errors
///
/// Fails if the file can't be read at the start, or is not TOML with known sections. Later failures
/// are printed, and the sections published before stay.
pub async fn publish_document(
    standin: &configuration::ConfigurationStandin,
    file: &path::Path,
) -> Result<()> {
    let mut published = read_sections(file)?;
    for (section, text) in &published {
        standin.set_section(*section, text);
    }

    loop {
        time::sleep(POLL_INTERVAL).await;
        match read_sections(file) {
            Ok(texts) => {
                for (section, text) in texts {
                    if published.get(&section) != Some(&text) {
                        let version = standin.set_section(section, &text);
                        eprintln!("published section {section} as version {version}");
                        published.insert(section, text);
                    }
                }
            }
            Err(error) => eprintln!(
                "can't load {}: {error}; its last valid content stays published",
                file.display()
            ),
        }
    }
}

/// Publishes the VMs in `file`, then polls the file and publishes each change. Returns only on an
/// error.
///
/// # Errors
///
/// Fails if the file can't be read at the start, or is not the expected JSON. Later failures are
/// printed, and the VMs published before stay.
pub async fn publish_vms(standin: &vms::VmStandin, file: &path::Path) -> Result<()> {
    let mut published = BTreeMap::new();
    apply_vms(standin, &mut published, read_vms(file)?);

    loop {
        time::sleep(POLL_INTERVAL).await;
        match read_vms(file) {
            Ok(entries) => apply_vms(standin, &mut published, entries),
            Err(error) => eprintln!(
                "can't load {}: {error}; its last valid content stays published",
                file.display()
            ),
        }
    }
}

/// Reads a document and returns the text of each of its sections.
fn read_sections(file: &path::Path) -> Result<BTreeMap<sections::SectionName, String>> {
    let text = fs::read_to_string(file)?;
    let table: toml::Table = text.parse()?;

    let mut texts = BTreeMap::new();
    for (name, value) in table {
        let section: sections::SectionName = name.parse()?;
        let document = toml::Table::from_iter([(name, value)]);
        texts.insert(section, toml::to_string(&document)?);
    }
    Ok(texts)
}

type VmMap = BTreeMap<ids::VmName, vms::VmEntry>;

fn read_vms(file: &path::Path) -> Result<VmMap> {
    let text = fs::read_to_string(file)?;
    let snapshot: vms::VmSnapshot = serde_json::from_str(&text)?;
    let entries = snapshot.vms.into_iter();
    Ok(entries.map(|entry| (entry.name.clone(), entry)).collect())
}

/// Publishes the differences between `published` and `entries`, and updates `published`.
fn apply_vms(standin: &vms::VmStandin, published: &mut VmMap, entries: VmMap) {
    for name in published.keys() {
        if !entries.contains_key(name) {
            standin.remove_vm(name);
        }
    }
    for (name, entry) in &entries {
        if published.get(name) != Some(entry) {
            standin.set_vm(entry.clone());
        }
    }
    *published = entries;
}
