//! Identity of a data folder: the instance and the cluster that it belongs to.

use oriolecrank_schema::peer;

use crate::instance_id::InstanceId;
use crate::membership::Member;
use crate::numbers::DiskTag;

/// Settings with which an instance opens its data folder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FolderRequest {
    /// Name of the cluster.
    pub cluster: String,
    /// Name of the instance.
    pub name: InstanceId,
    /// Random number that becomes the tag if the folder is new.
    pub tag: DiskTag,
    /// Founding members of the group; used only for a new folder. An instance that is not among
    /// them waits until it is added to a group.
    pub founders: Vec<Member>,
}

/// Instance and cluster that a data folder belongs to, stored in the folder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FolderIdentity {
    /// Name of the cluster.
    pub cluster: String,
    /// Name of the instance from its settings.
    pub name: InstanceId,
    /// Identity of the instance in the group, see [`FolderRequest::new_identity`].
    pub instance: InstanceId,
    /// Random number drawn when the folder was created.
    pub tag: DiskTag,
}

impl FolderRequest {
    /// Identity for a new folder.
    ///
    /// The instance identity contains the tag, so that a replaced disk results in a new identity.
    /// If a group has several founding members, they must know each other's identities in advance,
    /// so they use their plain names; the founding check detects a replaced disk.
    pub fn new_identity(&self) -> FolderIdentity {
        let uses_plain_name = self.is_founder() && self.founders.len() > 1;
        let instance = if uses_plain_name {
            self.name.clone()
        } else {
            InstanceId::new(&format!("{}-{:016x}", self.name, self.tag.0))
        };
        FolderIdentity {
            cluster: self.cluster.clone(),
            name: self.name.clone(),
            instance,
            tag: self.tag,
        }
    }

    fn is_founder(&self) -> bool {
        self.founders.iter().any(|member| member.id == self.name)
    }

    /// Founding members, with this instance listed under the identity of its folder; empty if this
    /// instance is not a founding member.
    pub(super) fn founding_members(&self, identity: &FolderIdentity) -> Vec<Member> {
        if !self.is_founder() {
            return Vec::new();
        }
        let mut members = self.founders.clone();
        for member in &mut members {
            if member.id == self.name {
                member.id = identity.instance.clone();
            }
        }
        members
    }
}

impl From<&FolderIdentity> for peer::FolderIdentity {
    fn from(identity: &FolderIdentity) -> Self {
        Self {
            cluster: identity.cluster.clone(),
            name: identity.name.as_str().to_owned(),
            instance: identity.instance.as_str().to_owned(),
            tag: identity.tag.0,
        }
    }
}

impl From<peer::FolderIdentity> for FolderIdentity {
    fn from(record: peer::FolderIdentity) -> Self {
        Self {
            cluster: record.cluster,
            name: InstanceId::new(&record.name),
            instance: InstanceId::new(&record.instance),
            tag: DiskTag(record.tag),
        }
    }
}
