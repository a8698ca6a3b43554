#include "siskinrack/config/intent_reader.h"

#include <yaml-cpp/yaml.h>

#include <array>
#include <map>
#include <span>

#include "siskinrack/config/validation.h"

namespace siskinrack::config {
namespace {

/// Allows about 250 bytes for each of the maximum of 4,096 routes.
constexpr std::size_t kMaxIntentBytes = 1U << 20U;

/// Maps the place under which Validate reports a resource, for example "routes[tray]", to its file,
/// line and column.
using position_index = std::map<std::string, std::string, std::less<>>;

/// Converts the nodes of a YAML document to resources and adds a finding for each problem.
class intent_parser {
 public:
  intent_parser(std::string_view file_name, support::findings& problems)
      : file_name_(file_name), problems_(problems) {}

  mesh_resources Parse(const YAML::Node& root) {
    mesh_resources resources;
    if (!root.IsMap()) {
      Report(root, "intent", "is not a map of services, routes and ranks");
      return resources;
    }
    CheckKeys(root, "intent", std::array<std::string, 3>{"services", "routes", "ranks"});
    ForEach(root["services"], "services", [&](const YAML::Node& node, const std::string& place) {
      resources.services.push_back(ReadService(node, place));
    });
    ForEach(root["routes"], "routes", [&](const YAML::Node& node, const std::string& place) {
      resources.routes.push_back(ReadRoute(node, place));
    });
    ForEach(root["ranks"], "ranks", [&](const YAML::Node& node, const std::string& place) {
      resources.ranks.push_back(ReadRank(node, place));
    });
    resources.SortByName();
    return resources;
  }

  /// Adds the findings of Validate, each with the position of the resource that it refers to, or
  /// with the file name if it refers to none.
  void ReportWithPositions(const support::findings& found) {
    for (const support::finding& problem : found.items()) {
      const std::string resource = problem.place.substr(0, problem.place.find(']') + 1);
      const auto found_position = positions_.find(resource);
      const std::string position =
          found_position == positions_.end() ? std::string(file_name_) : found_position->second;
      problems_.Add(position + ' ' + problem.place, problem.message, problem.hint);
    }
  }

 private:
  /// Returns "file:line:column" of a node.
  std::string Position(const YAML::Node& node) const {
    const YAML::Mark mark = node.Mark();
    return std::string(file_name_) + ':' + std::to_string(mark.line + 1) + ':' +
           std::to_string(mark.column + 1);
  }

  void Report(const YAML::Node& node, const std::string& place, const std::string& message,
              std::string hint = {}) {
    problems_.Add(Position(node) + ' ' + place, message, std::move(hint));
  }

  /// Adds a finding for each unknown or repeated key of `map`.
  void CheckKeys(const YAML::Node& map, const std::string& place,
                 std::span<const std::string> allowed) {
    std::map<std::string, int> seen;
    for (const auto& entry : map) {
      const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : "?";
      if (++seen[key] == 2) Report(entry.first, place + '.' + key, "is given more than once");
      if (std::find(allowed.begin(), allowed.end(), key) != allowed.end()) continue;
      const std::string_view nearest = support::FindNearestName(key, allowed);
      Report(entry.first, place + '.' + key, "unknown field",
             nearest.empty() ? "" : "did you mean '" + std::string(nearest) + "'?");
    }
  }

  /// Calls `visit` for each map in `list` and records the position of each named resource. A
  /// missing list is empty; an entry that isn't a map is a finding.
  template <typename Visit>
  void ForEach(const YAML::Node& list, const std::string& kind, Visit visit) {
    if (!list) return;
    if (!list.IsSequence()) {
      Report(list, kind, "is not a list");
      return;
    }
    for (std::size_t i = 0; i < list.size(); ++i) {
      const std::string place = kind + '[' + std::to_string(i) + ']';
      if (!list[i].IsMap()) {
        Report(list[i], place, "is not a map");
        continue;
      }
      visit(list[i], place);
      if (list[i]["name"] && list[i]["name"].IsScalar()) {
        positions_.emplace(kind + '[' + list[i]["name"].Scalar() + ']', Position(list[i]));
      }
    }
  }

  /// Returns the string under a required key, or an empty one and a finding.
  std::string ReadText(const YAML::Node& map, const std::string& place, const std::string& key) {
    const YAML::Node node = map[key];
    if (!node) {
      Report(map, place + '.' + key, "is missing");
      return {};
    }
    if (!node.IsScalar()) {
      Report(node, place + '.' + key, "is not a string");
      return {};
    }
    return node.Scalar();
  }

  /// Sets `value` from an optional key. A value that isn't of type Value is a finding, which
  /// describes the type by `expected`.
  template <typename Value>
  void ReadOptional(const YAML::Node& map, const std::string& place, const std::string& key,
                    Value& value, const std::string& expected) {
    const YAML::Node node = map[key];
    if (!node) return;
    try {
      value = node.as<Value>();
    } catch (const YAML::Exception&) {
      Report(node, place + '.' + key, "is not " + expected);
    }
  }

  service ReadService(const YAML::Node& node, const std::string& place) {
    CheckKeys(node, place, std::array<std::string, 3>{"name", "slots", "ramp_ms"});
    service item;
    item.name = ReadText(node, place, "name");
    ReadOptional(node, place, "slots", item.slots, "an integer");
    ReadOptional(node, place, "ramp_ms", item.ramp_ms, "an integer number of ms");
    return item;
  }

  route ReadRoute(const YAML::Node& node, const std::string& place) {
    CheckKeys(node, place,
              std::array<std::string, 5>{"name", "prefix", "service", "rank", "non_repeatable"});
    route item;
    item.name = ReadText(node, place, "name");
    item.prefix = ReadText(node, place, "prefix");
    item.service = ReadText(node, place, "service");
    item.rank = ReadText(node, place, "rank");
    ReadOptional(node, place, "non_repeatable", item.non_repeatable, "true or false");
    return item;
  }

  rank_policy ReadRank(const YAML::Node& node, const std::string& place) {
    CheckKeys(node, place,
              std::array<std::string, 4>{"name", "target_ms", "worth", "floor_percent"});
    rank_policy item;
    item.name = ReadText(node, place, "name");
    ReadOptional(node, place, "target_ms", item.target_ms, "an integer number of ms");
    ReadOptional(node, place, "worth", item.worth, "an integer");
    ReadOptional(node, place, "floor_percent", item.floor_percent, "an integer percentage");
    return item;
  }

  std::string_view file_name_;
  support::findings& problems_;
  position_index positions_;
};

}  // namespace

std::optional<mesh_resources> ReadIntent(std::string_view file_name, std::string_view text,
                                         support::findings& problems) {
  if (text.size() > kMaxIntentBytes) {
    problems.Add(std::string(file_name), "is larger than 1 MiB");
    return std::nullopt;
  }
  const std::size_t before = problems.size();
  try {
    const YAML::Node root = YAML::Load(std::string(text));
    intent_parser parser(file_name, problems);
    mesh_resources resources = parser.Parse(root);
    support::findings invalid;
    Validate(resources, invalid);
    parser.ReportWithPositions(invalid);
    if (problems.size() == before) return resources;
  } catch (const YAML::Exception& error) {
    problems.Add(std::string(file_name) + ':' + std::to_string(error.mark.line + 1) + ':' +
                     std::to_string(error.mark.column + 1),
                 error.msg);
  }
  return std::nullopt;
}

}  // namespace siskinrack::config
