//! Limits the frames that arrive on a link before its peer is known: the WebSocket library reserves
//! memory for the announced length of a frame.

/// Bits of the second byte of a frame: the length, and whether a mask follows the length.
const LENGTH_BITS: u8 = 0x7f;
const MASK_BIT: u8 = 0x80;

/// Lengths that announce a further length of two or eight bytes.
const SHORT_LENGTH: u8 = 126;
const LONG_LENGTH: u8 = 127;

/// Bytes of a mask, and of the longest head of a frame.
const MASK_BYTES: usize = 4;
const MAX_HEAD_BYTES: usize = 10;

/// Reads the lengths of frames (RFC 6455, section 5.2) as their bytes pass by.
#[derive(Debug, Default)]
pub(super) struct FrameMeter {
    head: [u8; MAX_HEAD_BYTES],
    head_bytes: usize,
    /// Bytes of the current frame after its head that have not arrived yet.
    left: u64,
}

impl FrameMeter {
    /// Returns the longest frame that these bytes begin, without its head.
    pub(super) fn longest_frame(&mut self, mut bytes: &[u8]) -> u64 {
        let mut longest = 0;
        while let Some((first, rest)) = bytes.split_first() {
            if self.left > 0 {
                let passed = bytes
                    .len()
                    .min(usize::try_from(self.left).unwrap_or(usize::MAX));
                self.left -= passed as u64;
                bytes = &bytes[passed..];
                continue;
            }
            self.head[self.head_bytes] = *first;
            self.head_bytes += 1;
            bytes = rest;
            if let Some(length) = self.announced_length() {
                longest = longest.max(length);
                self.head_bytes = 0;
                self.left = length;
            }
        }
        longest
    }

    /// Returns the length of the frame once its head is complete, its mask included.
    fn announced_length(&self) -> Option<u64> {
        let [_, lengths, long @ ..] = self.head;
        let (length, head_bytes) = match lengths & LENGTH_BITS {
            SHORT_LENGTH => (u64::from(u16::from_be_bytes([long[0], long[1]])), 4),
            LONG_LENGTH => (u64::from_be_bytes(long), MAX_HEAD_BYTES),
            length => (u64::from(length), 2),
        };
        let mask_bytes = match lengths & MASK_BIT {
            0 => 0,
            _ => MASK_BYTES as u64,
        };
        (self.head_bytes >= head_bytes.max(2)).then(|| length.saturating_add(mask_bytes))
    }
}
