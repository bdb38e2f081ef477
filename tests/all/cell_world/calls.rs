//! Calls of the nodes to the store, the engines and each other, and how they fail.

use super::engine::engine_number;
use super::store::LEASE;
use super::{CellWorld, LONGEST_DELAY, Message};
use passway_decide::cell::{Action, Event};
use passway_decide::messages::{Order, OrderAnswer, RouteChange, fence_epoch};
use passway_decide::plan::{Holder, Plan};
use passway_types::prelude::*;

const CALL_TIMEOUT: Duration = Duration::from_secs(1);

impl CellWorld {
    /// Does what a node decided.
    pub(super) fn perform(&mut self, node: usize, action: Action) {
        let short = self.delay(Duration::from_millis(5));
        match action {
            Action::AcquireLease => {
                let event = self.store.acquire(self.now, self.nodes[node].incarnation);
                self.post_event(short, node, event);
            }
            Action::RenewLease => {
                let event = self.store.renew(self.now, self.nodes[node].incarnation);
                self.post_event(short, node, event);
            }
            Action::ReleaseLease => {
                self.store.release(self.nodes[node].incarnation);
            }
            Action::ReadPlan => {
                let event = self.store.read();
                self.post_event(short, node, event);
            }
            Action::WritePlan { expected, plan } => self.write_call(node, expected, plan),
            Action::SendOrder(order) => self.order_call(node, order),
            Action::ProbePreviousHolder { epoch, holder } => {
                let asker_incarnation = self.nodes[node].incarnation;
                let probe = Message::Probe {
                    asker: node,
                    asker_incarnation,
                    epoch,
                    former: holder,
                };
                self.post(short, probe);
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

    fn write_call(&mut self, node: usize, expected: Version, plan: Box<Plan>) {
        let short = self.delay(Duration::from_millis(5));
        if self.store.down {
            self.post_event(CALL_TIMEOUT, node, Event::WriteOutcomeUnknown);
        } else if self.chance(self.chances.delay_write) {
            let late = self.delay(LONGEST_DELAY);
            self.post(late, Message::Write { expected, plan });
            self.post_event(CALL_TIMEOUT, node, Event::WriteOutcomeUnknown);
        } else {
            let change = plan.last_change;
            let written = self.store.write(expected, *plan);
            let lost = self.chance(self.chances.lose_write_answer);
            let event = match written {
                Some(version) if !lost => Event::WriteDone { change, version },
                _ => Event::WriteOutcomeUnknown,
            };
            self.post_event(short, node, event);
        }
    }

    fn order_call(&mut self, node: usize, order: Order) {
        self.nodes[node].in_hand.push(fence_epoch(order.fence));
        let incarnation = self.nodes[node].incarnation;
        if self.now >= order.not_after {
            let (upstream, fence) = (order.upstream, order.fence);
            let event = Event::OrderAnswered {
                upstream,
                fence,
                answer: OrderAnswer::NotSent,
            };
            self.post_event(Duration::ZERO, node, event);
        } else if self.chance(self.chances.hold_order) {
            // The check has passed; the process now stops for longer than its lease.
            let pause = LEASE + self.delay(LEASE * 3);
            self.pause(node, pause);
            self.post(
                pause,
                Message::InHand {
                    node,
                    incarnation,
                    order,
                },
            );
        } else {
            self.send(node, incarnation, order);
        }
    }

    /// An order leaves its node, unless the process that made it is gone.
    pub(super) fn send(&mut self, node: usize, incarnation: Incarnation, order: Order) {
        if self.nodes[node].incarnation != incarnation || self.nodes[node].controller.is_none() {
            return;
        }
        let engine = engine_number(&order.upstream);
        if self.engines[engine].down {
            let event = Event::OrderAnswered {
                upstream: order.upstream,
                fence: order.fence,
                answer: OrderAnswer::NotSent,
            };
            self.post_event(Duration::from_millis(1), node, event);
            return;
        }
        let (upstream, fence) = (order.upstream.clone(), order.fence);
        let answer = if self.chance(self.chances.delay_order) {
            let late = self.delay(LONGEST_DELAY);
            self.post(late, Message::Order { engine, order });
            self.post_event(
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
            self.execute(engine, &order)
        };
        let lost = self.chance(self.chances.lose_order_answer);
        let answer = if lost { OrderAnswer::Lost } else { answer };
        let short = self.delay(Duration::from_millis(20));
        self.post_event(
            short,
            node,
            Event::OrderAnswered {
                upstream,
                fence,
                answer,
            },
        );
    }

    /// An order reaches its engine.
    pub(super) fn execute(&mut self, engine: usize, order: &Order) -> OrderAnswer {
        self.engines[engine].execute(self.now, self.load_time, order)
    }

    /// A node asks whether a former holder may still order.
    pub(super) fn probe(
        &mut self,
        asker: usize,
        asker_incarnation: Incarnation,
        epoch: Epoch,
        former: &Holder,
    ) {
        let number: usize = former.instance["entry".len()..].parse().expect("number");
        if !self.is_awake(number) {
            return;
        }
        let node = &self.nodes[number];
        let leads = node
            .controller
            .as_ref()
            .and_then(|c| c.term())
            .is_some_and(|t| t.epoch() == epoch);
        let may_order =
            node.incarnation == former.incarnation && (leads || node.in_hand.contains(&epoch));
        if !may_order {
            let event = Event::PreviousHolderStopped(epoch);
            let message = Message::ToNode {
                node: asker,
                incarnation: asker_incarnation,
                event,
            };
            self.post(Duration::from_millis(2), message);
        }
    }
}
