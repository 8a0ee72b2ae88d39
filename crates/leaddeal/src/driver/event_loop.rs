//! The loop that passes events to the core, one at a time, and carries out the resulting effects.
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

/// The core, its sources of inputs and the handler of its effects.
pub(super) struct EventLoop {
    pub core: Node,
    pub clock: SteadyClock,
    pub events: mpsc::Receiver<Event>,
    pub effects: EffectHandler,
    /// Set at each tick; read by the HTTP gateway for the load balancer.
    pub healthy: Arc<AtomicBool>,
}

impl EventLoop {
    /// Runs until all senders of events are dropped. [`EffectHandler`] has one, so this does not happen.
    pub async fn run(mut self) {
        let mut tick = interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            // Ticks have priority: otherwise, while the queue stays full, the core would not notice that time
            // passes.
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
                self.effects.register_request(id, reply_to);
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
