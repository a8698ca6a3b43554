#ifndef SISKINRACK_UNITTESTS_PROPERTY_MUTATOR_H_
#define SISKINRACK_UNITTESTS_PROPERTY_MUTATOR_H_

#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace siskinrack::test {

/// Derives damaged texts from samples. The seed is fixed, so that every run has the same verdict.
class mutator {
 public:
  mutator(unsigned seed, std::vector<std::string> tokens)
      : random_(seed), tokens_(std::move(tokens)) {}

  std::size_t Below(std::size_t bound) { return random_() % bound; }

  /// Applies 1 to 6 changes: other bytes, removed, repeated and inserted parts, a cut end.
  std::string Mutate(std::string text) {
    for (std::size_t i = 1 + Below(6); i > 0; --i) Change(text);
    return text;
  }

 private:
  void Change(std::string& text) {
    const std::size_t at = Below(text.size() + 1);
    const std::size_t size = Below(1 + std::min<std::size_t>(text.size() - at, 40));
    switch (Below(6)) {
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
        text.insert(at, tokens_[Below(tokens_.size())]);
        break;
      case 4:
        if (Below(4) == 0) text.resize(at);
        break;
      default:
        text.replace(at, size, tokens_[Below(tokens_.size())]);
    }
  }

  std::mt19937 random_;
  std::vector<std::string> tokens_;
};

}  // namespace siskinrack::test

#endif  // SISKINRACK_UNITTESTS_PROPERTY_MUTATOR_H_
