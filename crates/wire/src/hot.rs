//! Hand-written serde implementations for the frames that are sent once for each token and range.
//!
//! A hidden state uses all 64 bits, so postcard's variable-length integers would take up to 10
//! bytes for it. Here a list of states is one byte string, 8 bytes each in little-endian order,
//! copied in one go.

use std::fmt;

use serde::de::{Error as _, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::frame::{Output, Sample, Step};
use crate::id;

/// Bytes of one hidden state.
const WIDTH: usize = 8;

/// A list of hidden states, encoded as one byte string.
struct States(Vec<u64>);

impl Serialize for States {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        put(&self.0, serializer)
    }
}

fn put<S: Serializer>(states: &[u64], serializer: S) -> Result<S::Ok, S::Error> {
    let raw: Vec<u8> = states.iter().flat_map(|s| s.to_le_bytes()).collect();
    serializer.serialize_bytes(&raw)
}

/// Borrowed states, encoded without a copy of the list.
struct Run<'a>(&'a [u64]);

impl Serialize for Run<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        put(self.0, serializer)
    }
}

impl<'de> Deserialize<'de> for States {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<States, D::Error> {
        deserializer.deserialize_bytes(StatesVisitor)
    }
}

struct StatesVisitor;

impl Visitor<'_> for StatesVisitor {
    type Value = States;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a byte string of {WIDTH} bytes for each state")
    }

    fn visit_bytes<E: serde::de::Error>(self, raw: &[u8]) -> Result<States, E> {
        let (states, rest) = raw.as_chunks::<WIDTH>();
        match rest.len() {
            0 => Ok(States(states.iter().map(|s| u64::from_le_bytes(*s)).collect())),
            _ => Err(E::invalid_length(raw.len(), &self)),
        }
    }
}

impl Serialize for Step {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(2)?;
        tuple.serialize_element(&self.position)?;
        tuple.serialize_element(&Run(&self.inputs))?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for Step {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Step, D::Error> {
        deserializer.deserialize_tuple(2, StepVisitor)
    }
}

struct StepVisitor;

impl<'de> Visitor<'de> for StepVisitor {
    type Value = Step;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a step: position, inputs")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Step, A::Error> {
        let (position, States(inputs)) = (part(&mut seq, 0)?, part(&mut seq, 1)?);
        Ok(Step { position, inputs })
    }
}

impl Serialize for Output {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(3)?;
        tuple.serialize_element(&self.position)?;
        tuple.serialize_element(&Run(&self.outputs))?;
        tuple.serialize_element(&self.token)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for Output {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Output, D::Error> {
        deserializer.deserialize_tuple(3, OutputVisitor)
    }
}

struct OutputVisitor;

impl<'de> Visitor<'de> for OutputVisitor {
    type Value = Output;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an output: position, outputs, token")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Output, A::Error> {
        let position: id::Position = part(&mut seq, 0)?;
        let States(outputs) = part(&mut seq, 1)?;
        let token: Option<Sample> = part(&mut seq, 2)?;
        Ok(Output { position, outputs, token })
    }
}

fn part<'de, A: SeqAccess<'de>, T: Deserialize<'de>>(
    seq: &mut A,
    number: usize,
) -> Result<T, A::Error> {
    seq.next_element()?.ok_or_else(|| A::Error::invalid_length(number, &"more parts"))
}
