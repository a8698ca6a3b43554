#include "siskinrack/support/findings.h"

#include <algorithm>
#include <numeric>
#include <ostream>
#include <utility>

namespace siskinrack::support {
namespace {

/// Returns the Levenshtein distance between `a` and `b`.
std::size_t ComputeEditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t substitute = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, substitute});
    }
  }
  return row.back();
}

}  // namespace

void findings::Add(std::string place, std::string message, std::string hint) {
  items_.push_back({std::move(place), std::move(message), std::move(hint)});
}

void findings::Append(const findings& other) {
  items_.insert(items_.end(), other.items_.begin(), other.items_.end());
}

std::string findings::ToText() const {
  std::string text;
  for (const finding& problem : items_) {
    text += problem.place + ": " + problem.message;
    if (!problem.hint.empty()) text += " (" + problem.hint + ")";
    text += '\n';
  }
  return text;
}

std::ostream& operator<<(std::ostream& out, const findings& list) { return out << list.ToText(); }

std::string_view FindNearestName(std::string_view name, std::span<const std::string> candidates) {
  std::string_view nearest;
  std::size_t best = std::max<std::size_t>(2, name.size() / 3) + 1;
  for (const std::string& candidate : candidates) {
    const std::size_t distance = ComputeEditDistance(name, candidate);
    if (distance >= best) continue;
    best = distance;
    nearest = candidate;
  }
  return nearest;
}

}  // namespace siskinrack::support
