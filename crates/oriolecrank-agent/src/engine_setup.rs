//! What the engine was set up for by orders.

use oriolecrank_schema::control::{OrderAction, UpstreamRecord, UpstreamRole};

/// Role and model that orders have set since the agent started. The control group plans from the
/// announced ones, so they have to follow the orders.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineSetup {
    role: Option<UpstreamRole>,
    /// Model and version.
    model: Option<(String, String)>,
}

impl EngineSetup {
    /// Takes an order that was carried out.
    pub fn note(&mut self, action: &OrderAction) {
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

    /// Writes the setup into an announcement.
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
