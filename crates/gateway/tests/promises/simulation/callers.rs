//! Simulated callers: they make calls, repeat bookings, disconnect and resume streams.

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::work;
use kingcupfall_gateway::reducer as gateway;
use rand::Rng;

use crate::checker;
use crate::operations::CallKind;

use super::ClusterSimulation;

impl ClusterSimulation {
    /// Makes a call for a new operation, which has the id of the call.
    pub(super) fn make_call(&mut self, gateway: usize, kind: CallKind, extra_tokens: u64) {
        let call = self.next_call;
        self.extra_tokens.insert(call, extra_tokens);
        self.send_call(gateway, kind, call, None);
    }

    /// Repeats one of the bookings whose caller has an idempotency key, under that key.
    pub(super) fn repeat_booking(&mut self, call: usize, gateway: usize) {
        let keyed_bookings: Vec<(u64, checker::CallRecord)> = self
            .checker
            .calls
            .iter()
            .filter(|(_, record)| record.is_booking && record.key.is_some())
            .map(|(call, record)| (*call, record.clone()))
            .collect();
        if keyed_bookings.is_empty() {
            return;
        }
        let (_, record) = &keyed_bookings[call % keyed_bookings.len()];
        self.send_call(
            gateway,
            CallKind::Booking,
            record.operation,
            record.key.clone(),
        );
    }

    /// Sends a call for `operation` to a gateway; does nothing if the gateway is dead.
    pub(super) fn send_call(
        &mut self,
        gateway: usize,
        kind: CallKind,
        operation: u64,
        key: Option<kingcupfall_core::keys::IdempotencyKey>,
    ) {
        if !self.gateways[gateway].alive {
            return;
        }
        let call = self.next_call;
        self.next_call += 1;
        let extra_tokens = self.extra_tokens.get(&operation).copied().unwrap_or(1);
        let record = checker::CallRecord {
            operation,
            is_booking: kind == CallKind::Booking,
            attempts: Default::default(),
            is_repeat: key.is_some(),
            key: key.clone(),
            last_event: None,
            next_token: 0,
            outcome: None,
            connected: true,
            resumed: false,
            disconnected_at: None,
            resumed_late: false,
        };
        self.checker.calls.insert(call, record);
        self.call_gateways
            .insert(call, (gateway, self.gateways[gateway].incarnation));

        let start_timeout = match self.has_long_start_timeouts {
            true => super::START_TIMEOUTS[1],
            false => super::START_TIMEOUTS[self.rng.random_range(0..2)],
        };
        let request = gateway::CallRequest {
            call: ids::CallId::new(call),
            tag: caller_tag(),
            fingerprint: work::RequestFingerprint::new(operation),
            work: match kind {
                CallKind::Stream | CallKind::Buffered => generation_request(extra_tokens + 1),
                CallKind::Booking => booking_request(operation),
            },
            stream: kind == CallKind::Stream,
            repeatable: kind != CallKind::Booking,
            key,
            start_deadline: self.now + start_timeout,
        };
        self.apply_gateway_event(gateway, gateway::GatewayEvent::Call(Box::new(request)));
    }

    /// Closes the connection of an open call. A gateway that has restarted is not notified.
    pub(super) fn disconnect_caller(&mut self, index: usize) {
        let open_calls: Vec<u64> = self
            .checker
            .calls
            .iter()
            .filter(|(_, record)| record.connected && record.outcome.is_none())
            .map(|(call, _)| *call)
            .collect();
        if open_calls.is_empty() {
            return;
        }
        let call = open_calls[index % open_calls.len()];
        let record = self.checker.calls.get_mut(&call).unwrap();
        record.connected = false;
        record.disconnected_at = Some(self.now);
        let (gateway, incarnation) = self.call_gateways[&call];
        if self.gateways[gateway].incarnation == incarnation {
            let event = gateway::GatewayEvent::CallerDisconnected {
                call: ids::CallId::new(call),
            };
            self.apply_gateway_event(gateway, event);
        }
    }

    /// Resumes one of the streams whose caller disconnected, as a new call.
    pub(super) fn resume_stream(&mut self, index: usize, gateway: usize) {
        let resumable_calls: Vec<u64> = self
            .checker
            .calls
            .iter()
            .filter(|(_, record)| !record.connected && record.outcome.is_none())
            .filter(|(_, record)| record.last_event.is_some() && !record.resumed)
            .map(|(call, _)| *call)
            .collect();
        if resumable_calls.is_empty() || !self.gateways[gateway].alive {
            return;
        }
        let record = self
            .checker
            .calls
            .get_mut(&resumable_calls[index % resumable_calls.len()])
            .unwrap();
        // Each connection is resumed at most once, so a stream has one open connection at a time.
        let previous = record.clone();
        record.resumed = true;
        let token = previous.last_event.clone().unwrap();
        let call = self.next_call;
        self.next_call += 1;
        self.checker.calls.insert(
            call,
            checker::CallRecord {
                connected: true,
                resumed_late: previous
                    .disconnected_at
                    .is_some_and(|at| self.now.since(at) >= super::RESUME_GRACE_PERIOD),
                ..previous
            },
        );
        self.call_gateways
            .insert(call, (gateway, self.gateways[gateway].incarnation));
        let request = gateway::ResumeRequest {
            call: ids::CallId::new(call),
            tag: caller_tag(),
            token,
        };
        self.apply_gateway_event(gateway, gateway::GatewayEvent::Resume(Box::new(request)));
    }
}

fn caller_tag() -> work::CallerTag {
    work::CallerTag {
        organisation: "exaustao".parse().unwrap(),
        class: "report".parse().unwrap(),
        priority: measures::Priority::new(2),
        weight: measures::Weight::new(1),
    }
}

fn generation_request(tokens: u64) -> work::WorkRequest {
    work::WorkRequest::Generation(work::GenerationRequest {
        model: "report".parse().unwrap(),
        prompt: "p".into(),
        prompt_tokens: measures::TokenCount::new(1),
        prefix: work::PrefixHash::new(1),
        max_tokens: measures::TokenCount::new(tokens),
    })
}

fn booking_request(operation: u64) -> work::WorkRequest {
    work::WorkRequest::Service(work::ServiceRequest {
        service: "bookings".parse().unwrap(),
        path: "visits".into(),
        content_type: "text/plain".into(),
        body: operation.to_string().into_bytes(),
    })
}
