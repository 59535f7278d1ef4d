#ifndef CORNELTRAY_FAKE_ENGINE_FAKE_MODEL_H_
#define CORNELTRAY_FAKE_ENGINE_FAKE_MODEL_H_

#include <cstdint>
#include <string>
#include <vector>

// The deterministic model that fake-engine runs. testsuite/harness.py computes the same answers
// directly; both follow this definition, with all arithmetic modulo 2^64:
//   mix(x): the finalizer of SplitMix64; hash(text): FNV-1a, 64 bits
//   input  = hash(prompt); for each token so far, accepted ones included: input = mix(input +
//   token) layer  : hidden = mix(hidden ^ mix(hash(model "\n" version "\n" adapter) + layer + 1))
//   token  = hidden mod 50000; text = " " and two syllables from the bits of hidden
//   stop   : the prompt ends with "." and the token is divisible by 8
namespace corneltray::fake {

std::uint64_t Mix(std::uint64_t x);
std::uint64_t HashText(const std::string& text);

// Returns the hidden state that enters layer 0 for the first token, and for each one after that.
std::uint64_t PromptState(const std::string& prompt);
std::uint64_t NextState(std::uint64_t state, std::uint32_t token);

// Returns the seed of one model, version and adapter.
std::uint64_t ModelSeed(const std::string& model, const std::string& version,
                        const std::string& adapter);
std::uint64_t RunLayer(std::uint64_t seed, std::uint32_t layer, std::uint64_t hidden);

std::uint32_t TokenOf(std::uint64_t hidden);
std::string TextOf(std::uint64_t hidden);
bool IsStop(const std::string& prompt, std::uint32_t token);

}  // namespace corneltray::fake

#endif  // CORNELTRAY_FAKE_ENGINE_FAKE_MODEL_H_
