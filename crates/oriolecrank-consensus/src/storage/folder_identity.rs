//! Owner of a data folder.

use oriolecrank_schema::peer;

use crate::instance_id::InstanceId;
use crate::numbers::DiskTag;

/// Owner of a data folder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FolderIdentity {
    /// Name of the cluster.
    pub cluster: String,
    /// Identity of the instance.
    pub instance: InstanceId,
    /// Random number drawn when the folder was created.
    pub tag: DiskTag,
}

impl From<&FolderIdentity> for peer::FolderIdentity {
    fn from(identity: &FolderIdentity) -> Self {
        Self {
            cluster: identity.cluster.clone(),
            instance: identity.instance.as_str().to_owned(),
            tag: identity.tag.0,
        }
    }
}

impl From<peer::FolderIdentity> for FolderIdentity {
    fn from(record: peer::FolderIdentity) -> Self {
        Self {
            cluster: record.cluster,
            instance: InstanceId::new(&record.instance),
            tag: DiskTag(record.tag),
        }
    }
}
