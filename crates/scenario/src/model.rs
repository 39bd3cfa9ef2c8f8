//! The model of all scenarios and its expected answers, computed without the fleet.

/// Name of the model.
pub const NAME: &str = "draft";

/// Version of the weights.
pub const VERSION: u32 = 1;

/// Returns the tokens of the answer to `prompt`, and the number of positions that each layer
/// runs for it.
pub fn expected_answer(layers: u32, prompt: &str, max_tokens: u32) -> (Vec<engine::Token>, u32) {
    let tokens = fake::model::expected_answer(NAME, VERSION, layers, prompt, max_tokens as usize);
    let inputs = fake::model::tokenize(prompt).len() as u32;
    let positions = inputs + (tokens.len() as u32).saturating_sub(1);
    (tokens, positions)
}
