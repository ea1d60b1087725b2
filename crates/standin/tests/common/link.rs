//! The gateway's end of a link, driven by the test itself.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_link::frames;
use kingcupfall_link::transport;

use super::within;

/// Time in which a start order must be carried out.
const START_PATIENCE: Duration = Duration::from_secs(60);

/// Tokens read from the first on.
pub struct TokenReading {
    pub text: String,
    /// First token not read.
    pub next: measures::SequenceNumber,
}

/// A link that plays a gateway.
pub struct GatewayLink {
    sender: transport::LinkSender<frames::GatewayFrame>,
    receiver: transport::LinkReceiver<frames::AgentFrame>,
    waiting: std::collections::VecDeque<frames::AgentFrame>,
    /// Time on the agent's clock at its last pulse.
    pub agent_now: time::Timestamp,
    pub hello: Option<frames::AgentHello>,
    pub is_agent_leaving: bool,
    /// Frames for the fleet that were passed over.
    pub fleet_frames: Vec<Vec<u8>>,
}

impl GatewayLink {
    /// Opens a link and waits until the target answers its agent.
    pub async fn open(address: std::net::SocketAddr) -> Self {
        let socket = transport::connect(address, &super::link_key())
            .await
            .unwrap();
        let (sender, receiver) = socket.split();
        let hello = frames::GatewayHello {
            version: frames::PROTOCOL_VERSION,
            gateway: ids::ProcessId::random(&mut rand::rng()),
            zone: "a".parse().unwrap(),
        };
        let mut link = Self {
            sender,
            receiver,
            waiting: std::collections::VecDeque::new(),
            agent_now: time::Timestamp::ZERO,
            hello: None,
            is_agent_leaving: false,
            fleet_frames: Vec::new(),
        };
        link.send(frames::GatewayFrame::Hello(hello));
        link.wait_for_target().await;
        link
    }

    pub fn send(&self, frame: frames::GatewayFrame) {
        self.sender.send(vec![frame]).unwrap();
    }

    /// Returns the next frame of any kind; `None` when the link is closed. Safe to cancel.
    pub async fn next_raw(&mut self) -> Option<frames::AgentFrame> {
        let frame = self.next_any().await?;
        if let frames::AgentFrame::Heartbeat(pulse) = &frame {
            self.take_pulse(pulse);
        }
        Some(frame)
    }

    /// Returns the next frame that is no hello or pulse and not for the fleet; `None` when the link is closed.
    pub async fn next(&mut self) -> Option<frames::AgentFrame> {
        loop {
            match self.next_any().await? {
                frames::AgentFrame::Heartbeat(pulse) => self.take_pulse(&pulse),
                frames::AgentFrame::Hello(hello) => self.hello = Some(hello),
                frames::AgentFrame::Fleet(bytes) => self.fleet_frames.push(bytes),
                frame => {
                    self.settle(&frame);
                    return Some(frame);
                }
            }
        }
    }

    /// Starts a generation of `count` tokens and returns its id.
    pub fn start(&self, prompt: &str, count: u64) -> ids::AttemptId {
        let order = generation_order(prompt, count, self.agent_now + START_PATIENCE);
        let attempt = order.attempt;
        self.send(frames::GatewayFrame::Start(Box::new(order)));
        attempt
    }

    /// Reads at least `count` tokens of `attempt` from its first on, acknowledging each batch.
    pub async fn read_tokens(&mut self, attempt: ids::AttemptId, count: u64) -> TokenReading {
        let mut text = String::new();
        let mut next = measures::SequenceNumber::ZERO;
        while next.get() < count {
            match self.next().await.expect("the link is open") {
                frames::AgentFrame::Tokens(batch) if batch.attempt == attempt => {
                    assert_eq!(batch.first, next);
                    next += measures::SequenceNumber::new(batch.tokens.len() as u64);
                    text.extend(batch.tokens.iter().map(AsRef::<str>::as_ref));
                    self.send(frames::GatewayFrame::Acknowledge { attempt, next });
                }
                frames::AgentFrame::Accepted { attempt: accepted } => {
                    assert_eq!(accepted, attempt);
                }
                frame => panic!("unexpected frame {frame:?}"),
            }
        }
        TokenReading { text, next }
    }

    /// Answers a pulse as a gateway does.
    fn take_pulse(&mut self, pulse: &frames::AgentHeartbeat) {
        self.agent_now = pulse.now;
        self.is_agent_leaving = pulse.leaving;
        if pulse.leaving {
            self.send(frames::GatewayFrame::LeavingAcknowledged { pulse: pulse.now });
        }
    }

    /// Tells the agent that the end of an attempt was taken.
    fn settle(&self, frame: &frames::AgentFrame) {
        let attempt = match frame {
            frames::AgentFrame::Finished(report) => report.attempt,
            frames::AgentFrame::Failed(report) => report.attempt,
            frames::AgentFrame::Responded(report) => report.attempt,
            frames::AgentFrame::Refused(report) => report.attempt,
            frames::AgentFrame::Hello(_)
            | frames::AgentFrame::Heartbeat(_)
            | frames::AgentFrame::Accepted { .. }
            | frames::AgentFrame::Tokens(_)
            | frames::AgentFrame::Superseded { .. }
            | frames::AgentFrame::Fleet(_) => return,
        };
        self.send(frames::GatewayFrame::EndAcknowledged { attempt });
    }

    async fn wait_for_target(&mut self) {
        loop {
            match self.next_any().await.expect("the link is open") {
                frames::AgentFrame::Hello(hello) => self.hello = Some(hello),
                frames::AgentFrame::Fleet(bytes) => self.fleet_frames.push(bytes),
                frames::AgentFrame::Heartbeat(pulse) => {
                    self.agent_now = pulse.now;
                    if pulse.target_up {
                        return;
                    }
                }
                frame => panic!("unexpected frame {frame:?}"),
            }
        }
    }

    async fn next_any(&mut self) -> Option<frames::AgentFrame> {
        while self.waiting.is_empty() {
            let frames = within("a frame", self.receiver.receive()).await?;
            self.waiting.extend(frames.unwrap());
        }
        self.waiting.pop_front()
    }
}

/// Makes an order for `count` tokens.
pub fn generation_order(prompt: &str, count: u64, start_by: time::Timestamp) -> frames::StartOrder {
    let model = super::model();
    let organisation: ids::OrganisationName = "exaustao".parse().unwrap();
    let fingerprint =
        work::RequestFingerprint::of_request(&organisation, model.as_str(), prompt.as_bytes());

    frames::StartOrder {
        attempt: ids::AttemptId::random(&mut rand::rng()),
        tag: work::CallerTag {
            organisation,
            class: "report".parse().unwrap(),
            priority: measures::Priority::new(2),
            weight: measures::Weight::new(1),
        },
        fingerprint,
        request: work::WorkRequest::Generation(work::GenerationRequest {
            prefix: work::PrefixHash::of_prompt(&model, prompt),
            model,
            prompt: prompt.into(),
            prompt_tokens: measures::TokenCount::new(prompt.len() as u64 / 4 + 1),
            max_tokens: measures::TokenCount::new(count),
        }),
        start_by,
        key: None,
        stream: true,
        suspect: false,
    }
}
