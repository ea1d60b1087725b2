//! Callers that call, repeat, leave and come back.

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::work;
use kingcupfall_gateway::reducer as gateway;
use rand::Rng;

use crate::observer;
use crate::operations::CallKind;

use super::CaseWorld;

impl CaseWorld {
    pub(super) fn call(&mut self, gateway: usize, kind: CallKind, tokens: u64) {
        let call = self.next_call;
        self.lengths.insert(call, tokens);
        self.start_call(gateway, kind, call, None);
    }

    pub(super) fn repeat(&mut self, call: usize, gateway: usize) {
        let booked: Vec<(u64, observer::CallRecord)> = self
            .observer
            .calls
            .iter()
            .filter(|(_, record)| record.booking && record.key.is_some())
            .map(|(call, record)| (*call, record.clone()))
            .collect();
        if booked.is_empty() {
            return;
        }
        let (_, record) = &booked[call % booked.len()];
        self.start_call(
            gateway,
            CallKind::Booking,
            record.operation,
            record.key.clone(),
        );
    }

    pub(super) fn start_call(
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
        let tokens = self.lengths.get(&operation).copied().unwrap_or(1);
        let record = observer::CallRecord {
            operation,
            booking: kind == CallKind::Booking,
            attempts: Default::default(),
            repeat: key.is_some(),
            key: key.clone(),
            last_event: None,
            next_token: 0,
            outcome: None,
            connected: true,
            resumed: false,
            broken_at: None,
            late: false,
        };
        self.observer.calls.insert(call, record);
        self.homes
            .insert(call, (gateway, self.gateways[gateway].life));

        let patience = match self.patient {
            true => super::START_PATIENCES[1],
            false => super::START_PATIENCES[self.generator.random_range(0..2)],
        };
        let request = gateway::CallRequest {
            call: ids::CallId::new(call),
            tag: tag(),
            fingerprint: work::RequestFingerprint::new(operation),
            work: match kind {
                CallKind::Stream | CallKind::Whole => generation(tokens + 1),
                CallKind::Booking => booking(operation),
            },
            stream: kind == CallKind::Stream,
            repeatable: kind != CallKind::Booking,
            key,
            start_deadline: self.now + patience,
        };
        self.gateway_event(gateway, gateway::GatewayEvent::Call(Box::new(request)));
    }

    pub(super) fn break_caller(&mut self, index: usize) {
        let open: Vec<u64> = self
            .observer
            .calls
            .iter()
            .filter(|(_, record)| record.connected && record.outcome.is_none())
            .map(|(call, _)| *call)
            .collect();
        if open.is_empty() {
            return;
        }
        let call = open[index % open.len()];
        let record = self.observer.calls.get_mut(&call).unwrap();
        record.connected = false;
        record.broken_at = Some(self.now);
        let (gateway, life) = self.homes[&call];
        if self.gateways[gateway].life == life {
            let event = gateway::GatewayEvent::CallerDisconnected {
                call: ids::CallId::new(call),
            };
            self.gateway_event(gateway, event);
        }
    }

    pub(super) fn resume(&mut self, index: usize, gateway: usize) {
        let broken: Vec<u64> = self
            .observer
            .calls
            .iter()
            .filter(|(_, record)| !record.connected && record.outcome.is_none())
            .filter(|(_, record)| record.last_event.is_some() && !record.resumed)
            .map(|(call, _)| *call)
            .collect();
        if broken.is_empty() || !self.gateways[gateway].alive {
            return;
        }
        let record = self
            .observer
            .calls
            .get_mut(&broken[index % broken.len()])
            .unwrap();
        // A caller follows its stream on one connection at a time.
        let former = record.clone();
        record.resumed = true;
        let token = former.last_event.clone().unwrap();
        let call = self.next_call;
        self.next_call += 1;
        self.observer.calls.insert(
            call,
            observer::CallRecord {
                connected: true,
                late: former
                    .broken_at
                    .is_some_and(|at| self.now.since(at) >= super::RESUME_GRACE),
                ..former
            },
        );
        self.homes
            .insert(call, (gateway, self.gateways[gateway].life));
        let request = gateway::ResumeRequest {
            call: ids::CallId::new(call),
            tag: tag(),
            token,
        };
        self.gateway_event(gateway, gateway::GatewayEvent::Resume(Box::new(request)));
    }
}

fn tag() -> work::CallerTag {
    work::CallerTag {
        organisation: "exaustao".parse().unwrap(),
        class: "report".parse().unwrap(),
        priority: measures::Priority::new(2),
        weight: measures::Weight::new(1),
    }
}

fn generation(tokens: u64) -> work::WorkRequest {
    work::WorkRequest::Generation(work::GenerationRequest {
        model: "report".parse().unwrap(),
        prompt: "p".into(),
        prompt_tokens: measures::TokenCount::new(1),
        prefix: work::PrefixHash::new(1),
        max_tokens: measures::TokenCount::new(tokens),
    })
}

fn booking(operation: u64) -> work::WorkRequest {
    work::WorkRequest::Service(work::ServiceRequest {
        service: "bookings".parse().unwrap(),
        path: "visits".into(),
        content_type: "text/plain".into(),
        body: operation.to_string().into_bytes(),
    })
}
