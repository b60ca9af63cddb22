//! Weighted fair queueing between the customers of one priority.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use slotmap::SlotMap;
use state::keys::CustomerKey;

use super::TicketKey;

slotmap::new_key_type! {
    /// Key of one customer's flow at one priority.
    pub(super) struct FlowKey;
}

#[derive(Clone, Debug)]
struct CustomerFlow {
    customer: CustomerKey,
    weight: u64,
    /// Start tag of the customer's next request: the service time received so
    /// far divided by the weight, in virtual nanoseconds.
    start_tag: i128,
    queue: BTreeMap<u64, TicketKey>,
    running: usize,
}

/// Start-time fair queueing over the customers of one priority.
///
/// The unit is slot time. A request is charged its expected service time when it
/// starts, and the difference to the actual service time when it ends. A customer
/// with slow statements therefore gets no larger share than one with fast
/// statements.
///
/// # Invariants
///
/// `backlog` holds exactly the flows with a queued request, ordered by their
/// current start tag. `queued` is the number of queued requests.
#[derive(Clone, Debug, Default)]
pub(super) struct FairQueue {
    flows: SlotMap<FlowKey, CustomerFlow>,
    by_customer: HashMap<CustomerKey, FlowKey>,
    backlog: BTreeSet<(i128, FlowKey)>,
    backlog_weight: u64,
    virtual_time: i128,
    queued: usize,
}

impl FairQueue {
    pub(super) fn queued(&self) -> usize {
        self.queued
    }

    /// Returns the flow of a customer, created if needed, and sets its weight.
    pub(super) fn flow(&mut self, customer: CustomerKey, weight: u64) -> FlowKey {
        assert!(weight > 0, "weight of a customer is at least 1");
        let virtual_time = self.virtual_time;
        let flows = &mut self.flows;
        let key = *self.by_customer.entry(customer).or_insert_with(|| {
            flows.insert(CustomerFlow {
                customer,
                weight,
                start_tag: virtual_time,
                queue: BTreeMap::new(),
                running: 0,
            })
        });
        let flow = &mut self.flows[key];
        if !flow.queue.is_empty() {
            self.backlog_weight = self.backlog_weight - flow.weight + weight;
        }
        flow.weight = weight;
        key
    }

    pub(super) fn push(&mut self, key: FlowKey, sequence: u64, ticket: TicketKey) {
        let flow = &mut self.flows[key];
        if flow.queue.is_empty() {
            flow.start_tag = flow.start_tag.max(self.virtual_time);
            self.backlog.insert((flow.start_tag, key));
            self.backlog_weight += flow.weight;
        }
        let previous = flow.queue.insert(sequence, ticket);
        assert!(previous.is_none(), "sequence numbers are unique");
        self.queued += 1;
    }

    /// Returns the next ticket in fair order.
    pub(super) fn first(&self) -> Option<TicketKey> {
        let (_, key) = self.backlog.first()?;
        self.flows[*key].queue.values().next().copied()
    }

    /// Removes a queued ticket.
    pub(super) fn remove(&mut self, key: FlowKey, sequence: u64) {
        let flow = &mut self.flows[key];
        let removed = flow.queue.remove(&sequence);
        assert!(removed.is_some(), "ticket is queued in its flow");
        self.queued -= 1;
        if flow.queue.is_empty() {
            let present = self.backlog.remove(&(flow.start_tag, key));
            assert!(present, "a flow with queued requests is in the backlog");
            self.backlog_weight -= flow.weight;
        }
    }

    /// Charges the flow for a request that starts.
    pub(super) fn start(&mut self, key: FlowKey, expected_nanos: i128) {
        self.virtual_time = self.virtual_time.max(self.flows[key].start_tag);
        self.flows[key].running += 1;
        self.charge(key, expected_nanos);
    }

    /// Corrects the charge for a request that has ended.
    pub(super) fn finish(&mut self, key: FlowKey, difference_nanos: i128) {
        self.flows[key].running -= 1;
        self.charge(key, difference_nanos);
    }

    fn charge(&mut self, key: FlowKey, nanos: i128) {
        let flow = &mut self.flows[key];
        let queued = !flow.queue.is_empty();
        if queued {
            self.backlog.remove(&(flow.start_tag, key));
        }
        flow.start_tag += nanos / i128::from(flow.weight);
        if queued {
            self.backlog.insert((flow.start_tag, key));
        }
    }

    /// Returns how many requests of this priority are expected to start before a
    /// new request of the flow. These are the requests queued in the flow, and as
    /// many requests of other flows as their weights allow in that time.
    pub(super) fn expected_ahead_of(&self, key: FlowKey) -> f64 {
        let flow = &self.flows[key];
        let own_queued = flow.queue.len();
        let own_weight = match flow.queue.is_empty() {
            true => 0,
            false => flow.weight,
        };
        let other_weight = self.backlog_weight - own_weight;
        let others = (own_queued + 1) as f64 * other_weight as f64 / flow.weight as f64;
        own_queued as f64 + others.min((self.queued - own_queued) as f64)
    }

    /// Removes flows without requests whose start tag is not ahead of the virtual
    /// time. A flow that is ahead has received more than its share and is kept.
    pub(super) fn remove_idle(&mut self) {
        let virtual_time = self.virtual_time;
        let by_customer = &mut self.by_customer;
        self.flows.retain(|_, flow| {
            let idle = flow.queue.is_empty() && flow.running == 0;
            let keep = !idle || flow.start_tag > virtual_time;
            if !keep {
                by_customer.remove(&flow.customer);
            }
            keep
        });
    }

    pub(super) fn check_invariants(&self) {
        let queued: usize = self.flows.values().map(|flow| flow.queue.len()).sum();
        debug_assert_eq!(queued, self.queued);
        let backlog = self.flows.iter().filter(|(_, flow)| !flow.queue.is_empty());
        let weight: u64 = backlog.clone().map(|(_, flow)| flow.weight).sum();
        debug_assert_eq!(weight, self.backlog_weight);
        debug_assert_eq!(backlog.count(), self.backlog.len());
    }
}
