//! The answer a draft must get, computed straight through without the fleet.

/// Name of the model in every scenario.
pub const NAME: &str = "draft";

/// Version of its weights.
pub const VERSION: u32 = 1;

/// The tokens of the answer to `prompt`, and the positions each layer runs for it.
pub fn expected_answer(layers: u32, prompt: &str, max_tokens: u32) -> (Vec<engine::Token>, u32) {
    let tokens = fake::model::expected_answer(NAME, VERSION, layers, prompt, max_tokens as usize);
    let inputs = fake::model::tokenize(prompt).len() as u32;
    let positions = inputs + (tokens.len() as u32).saturating_sub(1);
    (tokens, positions)
}
