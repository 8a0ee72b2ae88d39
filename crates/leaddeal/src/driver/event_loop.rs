//! The loop that feeds events to the core, one at a time, and carries out what it decides.
use super::clock::{wall_clock_ms, SteadyClock};
use super::effects::EffectHandler;
use crate::event::Event;
use leaddeal_core::{Input, Node};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{interval, MissedTickBehavior};

const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The core and what it is connected with.
pub(super) struct EventLoop {
    pub core: Node,
    pub clock: SteadyClock,
    pub events: mpsc::Receiver<Event>,
    pub effects: EffectHandler,
    /// Read by the HTTP front for the load balancer; set at each tick.
    pub healthy: Arc<AtomicBool>,
}

impl EventLoop {
    /// Runs until all senders of events are gone, which is never while [`EffectHandler`] has one.
    pub async fn run(mut self) {
        let mut tick = interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            // Ticks go first: a full queue must not keep the core from noticing that time passes.
            let input = tokio::select! {
                biased;
                _ = tick.tick() => self.before_tick(),
                event = self.events.recv() => match event {
                    Some(event) => self.input_of(event),
                    None => return,
                },
            };
            self.step(input);
        }
    }

    fn before_tick(&mut self) -> Input {
        self.healthy.store(self.core.is_healthy(self.clock.now_ms()), Ordering::Relaxed);
        self.effects.remove_expired();
        Input::Tick
    }

    fn input_of(&mut self, event: Event) -> Input {
        match event {
            Event::Input(input) => input,
            Event::Request { id, reply_to, input } => {
                self.effects.await_reply(id, reply_to);
                input
            }
        }
    }

    fn step(&mut self, input: Input) {
        for effect in self.core.step(self.clock.now_ms(), wall_clock_ms(), input) {
            self.effects.handle(effect);
        }
    }
}
