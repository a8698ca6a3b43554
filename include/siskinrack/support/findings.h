#ifndef SISKINRACK_SUPPORT_FINDINGS_H_
#define SISKINRACK_SUPPORT_FINDINGS_H_

#include <cstddef>
#include <iosfwd>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace siskinrack::support {

/// Represents one diagnostic: where the problem is, what is wrong, and how to correct it.
struct finding {
  /// Location of the problem, for example "intent.yaml:12:3 routes[2].service" or "--slots".
  std::string place;
  std::string message;
  /// A suggested correction; may be empty.
  std::string hint;

  bool operator==(const finding&) const = default;
};

/// Collects diagnostics, so that all of them are reported together and not only the first one.
class findings {
 public:
  void Add(std::string place, std::string message, std::string hint = {});
  void Append(const findings& other);

  [[nodiscard]] bool empty() const { return items_.empty(); }
  [[nodiscard]] std::size_t size() const { return items_.size(); }
  [[nodiscard]] std::span<const finding> items() const { return items_; }

  /// Returns one line per finding: "place: message (hint)".
  [[nodiscard]] std::string ToText() const;

 private:
  std::vector<finding> items_;
};

std::ostream& operator<<(std::ostream& out, const findings& list);

/// Exit code of siskinrack-node and siskinctl if settings or input are invalid.
inline constexpr int kExitFindings = 2;

/// Returns the candidate with the smallest edit distance to `name`. Returns an empty view if there
/// is no candidate or this distance exceeds both 2 and a third of the length of `name`.
std::string_view FindNearestName(std::string_view name, std::span<const std::string> candidates);

}  // namespace siskinrack::support

#endif  // SISKINRACK_SUPPORT_FINDINGS_H_
