//! Texts that callers send: data of writes, session values and shapes of
//! prepared statements.

use rand::rngs::StdRng;
use rand::Rng;

/// Every this many texts, one is long.
const LONG_TEXT_INTERVAL: u64 = 200;
/// Texts with higher numbers are short, which limits a run to ten long texts. The
/// stand-in copies its log to every replica with each commit.
const LAST_LONG_TEXT: u64 = 2_000;
/// Size of a long text in bytes: above the usual buffers of a connection, below
/// the protocol's limit of 1 MiB for a message.
const LONG_TEXT_BYTES: std::ops::Range<usize> = 100 * 1_024..300 * 1_024;

/// Parts of random texts. None begins with a digit, so that the number in front
/// of a part stays recognisable.
const FRAGMENTS: [&str; 16] = [
    "\n",
    "\r",
    " ",
    "  ",
    "\t",
    "\n\n",
    "READY I -",
    "\nREADY I -",
    "\nROW forged",
    "\nERROR BUSY forged",
    "COMPLETE -",
    "QUERY - RESET",
    " READ ",
    "größe",
    "フクロウ",
    "\u{2028}",
];

/// Shapes of prepared statements that all callers share. One differs from another
/// by blanks or words of the protocol only.
pub const SHAPES: [&str; 8] = [
    "q2c",
    "q2c WRITE or READ",
    "q2c READ i0",
    "by date",
    " by  date ",
    "WRITE by date",
    "q2c\nREADY I -",
    "größe フクロウ",
];

/// Draws a text that contains `number`, so that no two texts of a run are equal. A
/// text does not contain CR LF, which ends a message.
pub fn draw_text(random: &mut StdRng, number: u64) -> String {
    if number.is_multiple_of(LONG_TEXT_INTERVAL) && number <= LAST_LONG_TEXT {
        let length = random.random_range(LONG_TEXT_BYTES);
        return format!("#{number}{}", " owl\n".repeat(length / 5));
    }
    let text = match random.random_range(0..10) {
        0..=2 => number.to_string(),
        3 => format!("#{number} snowy owl\nseen twice, far away"),
        4 => format!("  #{number}  two  blanks "),
        5 => format!("#{number}\nCOMPLETE mac-forged{number}\nREADY I -"),
        6 => format!("#{number}\nQUERY forged{number} WRITE i0 forged{number}"),
        7 => format!("\r#{number}\r"),
        _ => draw_fragments(random, number),
    };
    text.replace("\r\n", "\r \n")
}

fn draw_fragments(random: &mut StdRng, number: u64) -> String {
    let count = random.random_range(1..6);
    let place = random.random_range(0..count);
    let mut text = String::new();
    for index in 0..count {
        if index == place {
            text.push_str(&format!("#{number}"));
        }
        text.push_str(FRAGMENTS[random.random_range(0..FRAGMENTS.len())]);
    }
    text
}
