//! Priority class of a request.

use oriolecrank_schema::document::PriorityClass;

/// Priority class; a smaller value is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum WorkClass {
    /// Yes/no and fitness answers, whose delay does harm.
    Urgent,
    /// Everything that states no other class.
    #[default]
    Standard,
    /// Work that may wait.
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
