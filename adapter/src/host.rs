//! Host of many instances on one connection: passes each event to its instance and collects the actions.

use std::collections::HashMap;

use workload_manager::{EndpointListMode, Event, RequestId};

use crate::error::HostError;
use crate::instance::Instance;
use crate::translate;
use crate::wire::{self, Batch, Element, Reply, Step};

/// All instances by name, and the endpoint lists that events refer to by slot.
#[derive(Default)]
pub struct Host {
    instances: HashMap<String, Instance>,
    endpoint_lists: HashMap<u32, Vec<Element>>,
}

impl Host {
    /// Handles one line of input and returns the reply.
    ///
    /// # Errors
    /// The line is not a valid batch, starts an instance with invalid settings, or refers to an unknown
    /// instance, class, slot or number. Events before the invalid one have taken effect.
    pub fn on_line(&mut self, line: &str) -> Result<Reply, HostError> {
        let batch: Batch = serde_json::from_str(line)?;
        let mut reply = Reply::default();
        for (index, event) in batch.events.into_iter().enumerate() {
            self.on_event(batch.now_s, index, event, &mut reply.steps)?;
        }
        Ok(reply)
    }

    fn on_event(
        &mut self,
        now: f64,
        index: usize,
        event: wire::Event,
        steps: &mut Vec<Step>,
    ) -> Result<(), HostError> {
        match event {
            wire::Event::Hello { who, salt, env } => self.start(index, who, &env, salt)?,
            wire::Event::Stop { who } => drop(self.instances.remove(&who)),
            wire::Event::Roster { slot, elements } => drop(self.endpoint_lists.insert(slot, elements)),
            wire::Event::RosterChange(change) => self.endpoint_list_changed(now, index, &change, steps)?,
            wire::Event::WorkItem(item) => {
                let instance = self.instance(index, &item.who)?;
                let request = instance.request(item, index)?;
                instance.on_event(now, &Event::RequestArrived(request), steps);
            }
            wire::Event::Established(stream) => {
                let request = RequestId(stream.job);
                let event = Event::StreamStarted { request, attempt: stream.attempt };
                self.instance(index, &stream.who)?.on_event(now, &event, steps);
            }
            wire::Event::UpdateOf(update) => {
                let progress = translate::progress(&update, index)?;
                let request = RequestId(update.job);
                let event = Event::AttemptProgress { request, attempt: update.attempt, progress };
                self.instance(index, &update.who)?.on_event(now, &event, steps);
            }
            wire::Event::ReportBack(end) => {
                let instance = self.instance(index, &end.who)?;
                let event = instance.attempt_ended(&end);
                instance.on_event(now, &event, steps);
            }
            wire::Event::Aborted { who, job } => {
                let event = Event::RequestAborted(RequestId(job));
                self.instance(index, &who)?.on_event(now, &event, steps);
            }
            wire::Event::Bell { who, nonce } => {
                self.instance(index, &who)?.on_event(now, &Event::Timer(nonce), steps);
            }
            wire::Event::CheckResult(check) => {
                let instance = self.instance(index, &check.who)?;
                let event = instance.health_checked(&check);
                instance.on_event(now, &event, steps);
            }
            // Messages from other instances have no effect. Only the recipient is checked.
            wire::Event::Memo { who } => drop(self.instance(index, &who)?),
        }
        Ok(())
    }

    fn start(&mut self, event: usize, who: String, env: &wire::Env, seed: u64) -> Result<(), HostError> {
        match Instance::new(who.clone(), env, seed) {
            Ok(instance) => {
                self.instances.insert(who, instance);
                Ok(())
            }
            Err(source) => Err(HostError::Settings { event, who, source }),
        }
    }

    fn endpoint_list_changed(
        &mut self,
        now: f64,
        index: usize,
        change: &wire::RosterChange,
        steps: &mut Vec<Step>,
    ) -> Result<(), HostError> {
        let mode = translate::list_mode(change.mode, index)?;
        let instance = find(&mut self.instances, index, &change.who)?;
        let mut entries = Vec::new();
        if mode != EndpointListMode::Failed {
            let Some(elements) = self.endpoint_lists.get(&change.slot) else {
                let (what, value) = ("roster slot", change.slot);
                return Err(HostError::UnknownNumber { event: index, what, value });
            };
            for element in elements {
                entries.push(instance.endpoint(element, index)?);
            }
        }
        instance.on_event(now, &Event::EndpointList { mode, entries }, steps);
        Ok(())
    }

    fn instance(&mut self, event: usize, who: &str) -> Result<&mut Instance, HostError> {
        find(&mut self.instances, event, who)
    }
}

fn find<'a>(
    instances: &'a mut HashMap<String, Instance>,
    event: usize,
    who: &str,
) -> Result<&'a mut Instance, HostError> {
    instances.get_mut(who).ok_or_else(|| HostError::UnknownGateway { event, who: who.to_owned() })
}
