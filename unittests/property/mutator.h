#ifndef SISKINRACK_UNITTESTS_PROPERTY_MUTATOR_H_
#define SISKINRACK_UNITTESTS_PROPERTY_MUTATOR_H_

#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace siskinrack::test {

/// Generates damaged variants of sample inputs, as a fuzzer does. Tests pass a fixed seed, so that
/// every run checks the same inputs. Not thread-safe.
class mutator {
 public:
  /// `tokens` are inserted into the inputs; choose those that have a meaning in their format. At
  /// least one is required.
  mutator(unsigned seed, std::vector<std::string> tokens)
      : random_(seed), tokens_(std::move(tokens)) {}

  /// Returns a random number from 0 to `bound` - 1. `bound` must be positive.
  std::size_t RandomBelow(std::size_t bound) { return random_() % bound; }

  /// Applies 1 to 6 random changes to `text` and returns the result: replaces a byte, removes or
  /// duplicates a part, inserts a token, replaces a part by a token, or truncates the text. A
  /// change may have no effect, so that the result may equal `text`.
  std::string Mutate(std::string text) {
    for (std::size_t i = 1 + RandomBelow(6); i > 0; --i) ApplyRandomChange(text);
    return text;
  }

 private:
  void ApplyRandomChange(std::string& text) {
    const std::size_t at = RandomBelow(text.size() + 1);
    const std::size_t size = RandomBelow(1 + std::min<std::size_t>(text.size() - at, 40));
    switch (RandomBelow(6)) {
      case 0:
        if (at < text.size()) text[at] = static_cast<char>(random_());
        break;
      case 1:
        text.erase(at, size);
        break;
      case 2:
        text.insert(at, text.substr(at, size));
        break;
      case 3:
        text.insert(at, tokens_[RandomBelow(tokens_.size())]);
        break;
      case 4:
        if (RandomBelow(4) == 0) text.resize(at);
        break;
      default:
        text.replace(at, size, tokens_[RandomBelow(tokens_.size())]);
    }
  }

  std::mt19937 random_;
  std::vector<std::string> tokens_;
};

}  // namespace siskinrack::test

#endif  // SISKINRACK_UNITTESTS_PROPERTY_MUTATOR_H_
