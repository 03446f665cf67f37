//! Role and model that orders have given the engine.

use oriolecrank_schema::control::{OrderAction, UpstreamRecord, UpstreamRole};

/// Role and model set by orders since the agent started; `None` where the settings still apply.
/// The control group plans with the announced values, so announcements must reflect the orders.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineSetup {
    role: Option<UpstreamRole>,
    /// Name and version of the model.
    model: Option<(String, String)>,
}

impl EngineSetup {
    /// Records an order that was executed successfully.
    pub fn record_order(&mut self, action: &OrderAction) {
        match action {
            OrderAction::ChangeRole { role } => self.role = Some(*role),
            OrderAction::LoadModel { model, version } => {
                self.model = Some((model.clone(), version.clone()));
            }
            OrderAction::LoadAdapter { .. }
            | OrderAction::Drain
            | OrderAction::Undrain
            | OrderAction::ExportCache { .. } => {}
        }
    }

    /// Overwrites the role and model of an announcement with those set by orders.
    pub fn apply_to(&self, record: &mut UpstreamRecord) {
        if let Some(role) = self.role {
            record.role = role;
        }
        if let Some((model, version)) = &self.model {
            record.model = Some(model.clone());
            record.version = Some(version.clone());
        }
    }
}
