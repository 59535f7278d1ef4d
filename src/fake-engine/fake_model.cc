#include "fake_model.h"

namespace corneltray::fake {

std::uint64_t Mix(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9;
  x = (x ^ (x >> 27)) * 0x94d049bb133111eb;
  return x ^ (x >> 31);
}

std::uint64_t HashText(const std::string& text) {
  std::uint64_t hash = 0xcbf29ce484222325;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3;
  return hash;
}

std::uint64_t PromptState(const std::string& prompt) { return HashText(prompt); }

std::uint64_t NextState(std::uint64_t state, std::uint32_t token) { return Mix(state + token); }

std::uint64_t ModelSeed(const std::string& model, const std::string& version,
                        const std::string& adapter) {
  return HashText(model + "\n" + version + "\n" + adapter);
}

std::uint64_t RunLayer(std::uint64_t seed, std::uint32_t layer, std::uint64_t hidden) {
  return Mix(hidden ^ Mix(seed + layer + 1));
}

std::uint32_t TokenOf(std::uint64_t hidden) { return static_cast<std::uint32_t>(hidden % 50000); }

std::string TextOf(std::uint64_t hidden) {
  static const char consonants[] = "bdfgklmnprstvwyz";
  static const char vowels[] = "aeiou";
  std::string text = " ";
  for (int syllable = 0; syllable < 2; ++syllable) {
    const std::uint64_t bits = hidden >> (16 + 16 * syllable);
    text += consonants[bits % 16];
    text += vowels[(bits / 16) % 5];
  }
  return text;
}

bool IsStop(const std::string& prompt, std::uint32_t token) {
  return !prompt.empty() && prompt.back() == '.' && token % 8 == 0;
}

}  // namespace corneltray::fake
