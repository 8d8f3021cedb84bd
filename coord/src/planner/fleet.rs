//! Engines of a service, by name.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::engine::Engine;
use crate::engine::Figures;
use crate::name::Name;

/// Engines in the order of their names.
#[derive(Debug, Default)]
pub struct Fleet(Vec<Engine>);

impl Fleet {
    /// Replaces the set of engines; engines that remain keep their state.
    pub fn set(&mut self, engines: impl IntoIterator<Item = (Name, Arc<Figures>)>) {
        let old = std::mem::take(&mut self.0).into_iter();
        let mut old: BTreeMap<Name, Engine> = old.map(|engine| (engine.name.clone(), engine)).collect();
        let engines: BTreeMap<Name, Arc<Figures>> = engines.into_iter().collect();
        for (name, figures) in engines {
            let engine = match old.remove(&name) {
                Some(mut engine) => {
                    engine.set_figures(figures);
                    engine
                }
                None => Engine::new(name, figures),
            };
            self.0.push(engine);
        }
    }

    pub fn engines(&self) -> &[Engine] {
        &self.0
    }

    pub fn engines_mut(&mut self) -> &mut [Engine] {
        &mut self.0
    }

    /// Returns the index of an engine.
    pub fn position(&self, name: &Name) -> Option<usize> {
        self.0.binary_search_by(|engine| engine.name.cmp(name)).ok()
    }

    pub fn get(&self, name: &Name) -> Option<&Engine> {
        self.position(name).map(|index| &self.0[index])
    }

    pub fn get_mut(&mut self, name: &Name) -> Option<&mut Engine> {
        self.position(name).map(|index| &mut self.0[index])
    }

    /// Returns the sizes and speeds at nominal speed, which are the same for all engines of a service.
    pub fn figures(&self) -> Option<&Arc<Figures>> {
        self.0.first().map(Engine::sound)
    }
}
