//! Calls from the nodes to the store, the engines and each other, with injected failures.

use super::engine::engine_number;
use super::store::LEASE_TTL;
use super::{CellWorld, MAX_DELAY, Message};
use passway_decide::cell::{Action, Event};
use passway_decide::messages::{Order, OrderAnswer, RouteChange, fence_epoch};
use passway_decide::plan::{Holder, Plan};
use passway_types::prelude::*;

const CALL_TIMEOUT: Duration = Duration::from_secs(1);

impl CellWorld {
    /// Carries out an action of a node.
    pub(super) fn perform(&mut self, node: usize, action: Action) {
        let short_delay = self.random_delay(Duration::from_millis(5));
        match action {
            Action::AcquireLease => {
                let event = self.store.acquire(self.now, self.nodes[node].incarnation);
                self.schedule_event(short_delay, node, event);
            }
            Action::RenewLease => {
                let event = self.store.renew(self.now, self.nodes[node].incarnation);
                self.schedule_event(short_delay, node, event);
            }
            Action::ReleaseLease => {
                self.store.release(self.nodes[node].incarnation);
            }
            Action::ReadPlan => {
                let event = self.store.read();
                self.schedule_event(short_delay, node, event);
            }
            Action::WritePlan { expected, plan } => self.write_plan(node, expected, plan),
            Action::SendOrder(order) => self.dispatch_order(node, order),
            Action::ProbePreviousHolder { epoch, holder } => {
                let prober_incarnation = self.nodes[node].incarnation;
                let probe = Message::Probe {
                    prober: node,
                    prober_incarnation,
                    epoch,
                    previous_holder: holder,
                };
                self.schedule(short_delay, probe);
            }
            Action::PublishRoutes(change) => self.publish(node, &change),
            Action::AnswerDemand { model, verdict, .. } => {
                let at = self.now;
                self.nodes[node].verdicts.push((at, model, verdict));
            }
            Action::Audit(_) => {}
        }
    }

    fn publish(&mut self, node: usize, change: &RouteChange) {
        let routes = &mut self.nodes[node].routes;
        if change.is_snapshot {
            routes.clear();
        }
        for route in &change.removed {
            routes.remove(route);
        }
        routes.extend(change.added.iter().cloned());
    }

    fn write_plan(&mut self, node: usize, expected: Version, plan: Box<Plan>) {
        let short_delay = self.random_delay(Duration::from_millis(5));
        if self.store.is_down {
            self.schedule_event(CALL_TIMEOUT, node, Event::WriteOutcomeUnknown);
        } else if self.draw_fault(self.fault_chances.delay_write) {
            let long_delay = self.random_delay(MAX_DELAY);
            self.schedule(long_delay, Message::Write { expected, plan });
            self.schedule_event(CALL_TIMEOUT, node, Event::WriteOutcomeUnknown);
        } else {
            let change = plan.last_change;
            let written = self.store.write(expected, *plan);
            let is_answer_lost = self.draw_fault(self.fault_chances.lose_write_answer);
            let event = match written {
                Some(version) if !is_answer_lost => Event::WriteDone { change, version },
                _ => Event::WriteOutcomeUnknown,
            };
            self.schedule_event(short_delay, node, event);
        }
    }

    fn dispatch_order(&mut self, node: usize, order: Order) {
        self.nodes[node]
            .unanswered_epochs
            .push(fence_epoch(order.fence));
        let incarnation = self.nodes[node].incarnation;
        if self.now >= order.not_after {
            let (upstream, fence) = (order.upstream, order.fence);
            let event = Event::OrderAnswered {
                upstream,
                fence,
                answer: OrderAnswer::NotSent,
            };
            self.schedule_event(Duration::ZERO, node, event);
        } else if self.draw_fault(self.fault_chances.hold_order) {
            // The order has passed the check of `not_after`; the process now pauses for longer than
            // its lease.
            let pause = LEASE_TTL + self.random_delay(LEASE_TTL * 3);
            self.pause(node, pause);
            self.schedule(
                pause,
                Message::PausedOrder {
                    node,
                    incarnation,
                    order,
                },
            );
        } else {
            self.send_order(node, incarnation, order);
        }
    }

    /// Sends an order, unless the process that made it has terminated.
    pub(super) fn send_order(&mut self, node: usize, incarnation: Incarnation, order: Order) {
        if self.nodes[node].incarnation != incarnation || self.nodes[node].controller.is_none() {
            return;
        }
        let engine = engine_number(&order.upstream);
        if self.engines[engine].is_down {
            let event = Event::OrderAnswered {
                upstream: order.upstream,
                fence: order.fence,
                answer: OrderAnswer::NotSent,
            };
            self.schedule_event(Duration::from_millis(1), node, event);
            return;
        }
        let (upstream, fence) = (order.upstream.clone(), order.fence);
        let answer = if self.draw_fault(self.fault_chances.delay_order) {
            let long_delay = self.random_delay(MAX_DELAY);
            self.schedule(long_delay, Message::Order { engine, order });
            self.schedule_event(
                CALL_TIMEOUT,
                node,
                Event::OrderAnswered {
                    upstream,
                    fence,
                    answer: OrderAnswer::Lost,
                },
            );
            return;
        } else {
            self.execute_order(engine, &order)
        };
        let is_answer_lost = self.draw_fault(self.fault_chances.lose_order_answer);
        let answer = if is_answer_lost {
            OrderAnswer::Lost
        } else {
            answer
        };
        let short_delay = self.random_delay(Duration::from_millis(20));
        self.schedule_event(
            short_delay,
            node,
            Event::OrderAnswered {
                upstream,
                fence,
                answer,
            },
        );
    }

    /// Executes an order that has reached its engine.
    pub(super) fn execute_order(&mut self, engine: usize, order: &Order) -> OrderAnswer {
        self.engines[engine].execute(self.now, self.load_time, order)
    }

    /// Answers the probe of a node whether a previous holder can still send orders.
    pub(super) fn answer_probe(
        &mut self,
        prober: usize,
        prober_incarnation: Incarnation,
        epoch: Epoch,
        previous_holder: &Holder,
    ) {
        let number: usize = previous_holder.instance["entry".len()..]
            .parse()
            .expect("a node number");
        if !self.is_running(number) {
            return;
        }
        let node = &self.nodes[number];
        let is_leader = node
            .controller
            .as_ref()
            .and_then(|c| c.term())
            .is_some_and(|t| t.epoch() == epoch);
        let may_order = node.incarnation == previous_holder.incarnation
            && (is_leader || node.unanswered_epochs.contains(&epoch));
        if !may_order {
            let event = Event::PreviousHolderStopped(epoch);
            let message = Message::ToNode {
                node: prober,
                incarnation: prober_incarnation,
                event,
            };
            self.schedule(Duration::from_millis(2), message);
        }
    }
}
