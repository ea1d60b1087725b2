//! Gateway end of a link, driven by the test.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_link::frames;
use kingcupfall_link::transport;

use super::with_timeout;

/// Time in which the agent must start the work of an order.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Text read from the first token of an attempt on.
pub struct TokenReading {
    pub text: String,
    /// Index of the first token that was not read.
    pub next: measures::SequenceNumber,
}

/// Link to an agent on which the test acts as a gateway.
pub struct GatewayLink {
    sender: transport::LinkSender<frames::GatewayFrame>,
    receiver: transport::LinkReceiver<frames::AgentFrame>,
    buffered: std::collections::VecDeque<frames::AgentFrame>,
    /// Time of the agent's clock in its last heartbeat.
    pub agent_now: time::Timestamp,
    /// Hello of the agent, once it has been received.
    pub hello: Option<frames::AgentHello>,
    pub is_agent_leaving: bool,
    /// Fleet frames that were received while reading other frames.
    pub fleet_frames: Vec<Vec<u8>>,
}

impl GatewayLink {
    /// Opens a link and waits until the agent reports that its target is up.
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
            buffered: std::collections::VecDeque::new(),
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

    /// Returns the next frame of any kind; `None` if the link is closed. Cancel safe.
    pub async fn next_frame(&mut self) -> Option<frames::AgentFrame> {
        let frame = self.receive_frame().await?;
        if let frames::AgentFrame::Heartbeat(heartbeat) = &frame {
            self.handle_heartbeat(heartbeat);
        }
        Some(frame)
    }

    /// Returns the next frame that concerns an attempt; `None` if the link is closed. Stores fleet
    /// frames, and acknowledges heartbeats and ends of attempts.
    pub async fn next_attempt_frame(&mut self) -> Option<frames::AgentFrame> {
        loop {
            match self.receive_frame().await? {
                frames::AgentFrame::Heartbeat(heartbeat) => self.handle_heartbeat(&heartbeat),
                frames::AgentFrame::Hello(hello) => self.hello = Some(hello),
                frames::AgentFrame::Fleet(bytes) => self.fleet_frames.push(bytes),
                frame => {
                    self.acknowledge_end(&frame);
                    return Some(frame);
                }
            }
        }
    }

    /// Orders a generation of `count` tokens and returns the id of its attempt.
    pub fn start_generation(&self, prompt: &str, count: u64) -> ids::AttemptId {
        let order = generation_order(prompt, count, self.agent_now + START_TIMEOUT);
        let attempt = order.attempt;
        self.send(frames::GatewayFrame::Start(Box::new(order)));
        attempt
    }

    /// Reads at least `count` tokens of `attempt` from the first one on, acknowledging each batch.
    pub async fn read_tokens(&mut self, attempt: ids::AttemptId, count: u64) -> TokenReading {
        let mut text = String::new();
        let mut next = measures::SequenceNumber::ZERO;
        while next.get() < count {
            match self.next_attempt_frame().await.expect("the link is open") {
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

    /// Handles a heartbeat as a gateway does: acknowledges that the agent is leaving.
    fn handle_heartbeat(&mut self, heartbeat: &frames::AgentHeartbeat) {
        self.agent_now = heartbeat.now;
        self.is_agent_leaving = heartbeat.leaving;
        if heartbeat.leaving {
            self.send(frames::GatewayFrame::LeavingAcknowledged {
                pulse: heartbeat.now,
            });
        }
    }

    /// Acknowledges the end of an attempt; does nothing for other frames.
    fn acknowledge_end(&self, frame: &frames::AgentFrame) {
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
            match self.receive_frame().await.expect("the link is open") {
                frames::AgentFrame::Hello(hello) => self.hello = Some(hello),
                frames::AgentFrame::Fleet(bytes) => self.fleet_frames.push(bytes),
                frames::AgentFrame::Heartbeat(heartbeat) => {
                    self.agent_now = heartbeat.now;
                    if heartbeat.target_up {
                        return;
                    }
                }
                frame => panic!("unexpected frame {frame:?}"),
            }
        }
    }

    /// Returns the next frame of any kind without handling it; `None` if the link is closed.
    async fn receive_frame(&mut self) -> Option<frames::AgentFrame> {
        while self.buffered.is_empty() {
            let frames = with_timeout("a frame", self.receiver.receive()).await?;
            self.buffered.extend(frames.unwrap());
        }
        self.buffered.pop_front()
    }
}

/// Returns an order for a generation of `count` tokens.
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
