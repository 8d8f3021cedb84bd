//! Engines of a service, by name.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::engine::Engine;
use crate::engine::Profile;
use crate::name::Name;

/// Engines in the order of their names.
#[derive(Debug, Default)]
pub struct Fleet(Vec<Engine>);

impl Fleet {
    /// Replaces the set of engines; engines that remain keep their state.
    pub fn set(&mut self, engines: impl IntoIterator<Item = (Name, Arc<Profile>)>) {
        let previous = std::mem::take(&mut self.0).into_iter();
        let mut previous: BTreeMap<Name, Engine> = previous.map(|engine| (engine.name.clone(), engine)).collect();
        let engines: BTreeMap<Name, Arc<Profile>> = engines.into_iter().collect();
        for (name, profile) in engines {
            let engine = match previous.remove(&name) {
                Some(mut engine) => {
                    engine.set_profile(profile);
                    engine
                }
                None => Engine::new(name, profile),
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

    /// Returns the index of an engine in [`Fleet::engines`].
    pub fn position(&self, name: &Name) -> Option<usize> {
        self.0.binary_search_by(|engine| engine.name.cmp(name)).ok()
    }

    pub fn get(&self, name: &Name) -> Option<&Engine> {
        self.position(name).map(|index| &self.0[index])
    }

    pub fn get_mut(&mut self, name: &Name) -> Option<&mut Engine> {
        self.position(name).map(|index| &mut self.0[index])
    }

    /// Returns the profile at nominal speed, which is the same for all engines of a service.
    pub fn nominal_profile(&self) -> Option<&Arc<Profile>> {
        self.0.first().map(Engine::nominal_profile)
    }
}
