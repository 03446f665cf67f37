//! Priority class of a request.

use oriolecrank_schema::document::PriorityClass;

/// Priority class of a request; smaller values are served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum WorkClass {
    /// Requests for which a late answer does harm, such as yes/no checks.
    Urgent,
    /// Requests that state no other class.
    #[default]
    Standard,
    /// Batch work that may wait.
    Bulk,
}

impl From<PriorityClass> for WorkClass {
    fn from(class: PriorityClass) -> Self {
        match class {
            PriorityClass::Urgent => Self::Urgent,
            PriorityClass::Standard => Self::Standard,
            PriorityClass::Bulk => Self::Bulk,
        }
    }
}

impl From<WorkClass> for PriorityClass {
    fn from(class: WorkClass) -> Self {
        match class {
            WorkClass::Urgent => Self::Urgent,
            WorkClass::Standard => Self::Standard,
            WorkClass::Bulk => Self::Bulk,
        }
    }
}
