#include <algorithm>
#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <map>
#include <sstream>

#include "command.h"
#include "plan_store.h"
#include "session.h"
#include "siskinrack/control/timeline.h"

namespace siskinrack::control {
namespace {

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusNotFound = 404;
constexpr std::size_t kMaxFingerprintBytes = 64;

std::string Text(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr) return "-";
  if (value->is_string()) return {value->get_string().data(), value->get_string().size()};
  return json::serialize(*value);
}

std::uint64_t Number(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr) return 0;
  json::error_code error;
  const auto number = value->to_number<std::uint64_t>(error);
  return error ? 0 : number;
}

/// Parses a node's page; adds a warning and returns nothing if there is none or it isn't `Kind`.
std::optional<json::value> ParsePage(const node_page& page, json::kind kind,
                                     command_report& report) {
  const std::string name = page.node.node_id.empty() ? page.node.admin.ToText() : page.node.node_id;
  if (!page.body) {
    report.warnings.push_back(name + ": no answer");
  } else {
    json::error_code error;
    json::value value = json::parse(*page.body, error);
    if (!error && value.kind() == kind) return value;
    report.warnings.push_back(name + ": the answer can't be read");
  }
  report.exit_code = kExitFailed;
  return std::nullopt;
}

leaf::result<std::vector<known_node>> RequireNodes(session& platform) {
  auto nodes = platform.DiscoverNodes();
  if (!nodes.empty()) return nodes;
  return BadInput("--nodes", "this command asks nodes and none is given",
                  "set --nodes or SISKINRACK_NODES to admin addresses");
}

/// The version of the head, or nothing with a warning if the platform can't be read.
std::optional<std::uint64_t> HeadVersion(session& platform, command_report& report) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<std::uint64_t>> {
        BOOST_LEAF_AUTO(head, ReadHead(platform));
        return std::optional(head.config.version);
      },
      [&](const command_error& error) -> std::optional<std::uint64_t> {
        report.warnings.push_back(error.message + "; the lag is not known");
        report.exit_code = kExitFailed;
        return std::nullopt;
      },
      []() -> std::optional<std::uint64_t> { return std::nullopt; });
}

std::string Lag(std::optional<std::uint64_t> head, std::uint64_t version) {
  if (!head) return "?";
  return std::to_string(*head > version ? *head - version : 0);
}

std::string OneLine(std::string text) {
  while (!text.empty() && text.back() == '\n') text.pop_back();
  std::replace(text.begin(), text.end(), '\n', ';');
  return text.empty() ? "-" : text;
}

}  // namespace

command_result Status(session& platform, const command_input&) {
  BOOST_LEAF_AUTO(nodes, RequireNodes(platform));
  command_report report;
  const auto head = HeadVersion(platform, report);
  std::vector<std::vector<std::string>> rows = {
      {"NODE", "FAILURE DOMAIN", "VERSION", "LAG", "REJECTED"}};
  json::array list;
  for (const node_page& page : platform.FetchAll(nodes, "/status")) {
    const auto body = ParsePage(page, json::kind::object, report);
    if (!body) continue;
    const json::object& node = body->get_object();
    const std::uint64_t version = Number(node, "version");
    rows.push_back({Text(node, "node_id"), Text(node, "failure_domain"), std::to_string(version),
                    Lag(head, version), OneLine(Text(node, "rejected"))});
    json::object entry{{"node_id", Text(node, "node_id")},
                       {"failure_domain", Text(node, "failure_domain")},
                       {"version", version},
                       {"rejected", Text(node, "rejected")}};
    entry["lag"] = head ? json::value(*head > version ? *head - version : 0) : json::value(nullptr);
    list.push_back(std::move(entry));
  }
  report.text = FormatTable(rows);
  report.data = {{"head_version", head ? json::value(*head) : json::value(nullptr)},
                 {"nodes", std::move(list)}};
  return report;
}

command_result Upstreams(session& platform, const command_input&) {
  BOOST_LEAF_AUTO(nodes, RequireNodes(platform));
  for (const node_page& page : platform.FetchAll(nodes, "/upstreams")) {
    command_report report;
    const auto body = ParsePage(page, json::kind::array, report);
    if (!body) continue;
    std::vector<std::vector<std::string>> rows = {
        {"NODE", "SERVICE", "STATE", "HEALTH", "SLOTS", "VERSION", "FAILURE DOMAIN"}};
    for (const json::value& item : body->get_array()) {
      const json::object* member = item.if_object();
      if (member == nullptr) continue;
      rows.push_back({Text(*member, "node_id"), Text(*member, "service"), Text(*member, "state"),
                      Text(*member, "health"), Text(*member, "slots"), Text(*member, "version"),
                      Text(*member, "failure_domain")});
    }
    report.text = FormatTable(rows);
    report.data = {{"seen_by", page.node.admin.ToText()}, {"upstreams", body->get_array()}};
    return report;
  }
  return leaf::new_error(command_error{kExitFailed, "no node answers", {}, {}});
}

command_result QuarantineList(session& platform, const command_input&) {
  BOOST_LEAF_AUTO(nodes, RequireNodes(platform));
  command_report report;
  std::map<std::string, json::object> entries;
  for (const node_page& page : platform.FetchAll(nodes, "/quarantine")) {
    const auto body = ParsePage(page, json::kind::object, report);
    const json::value* list = body ? body->get_object().if_contains("entries") : nullptr;
    if (list == nullptr || !list->is_array()) continue;
    for (const json::value& item : list->get_array()) {
      const json::object* entry = item.if_object();
      if (entry == nullptr) continue;
      // Nodes hear of a renewal at different times; the longest remaining time is the newest.
      json::object& known = entries[Text(*entry, "fingerprint")];
      if (known.empty() || Number(known, "remaining_ms") < Number(*entry, "remaining_ms")) {
        known = *entry;
      }
    }
  }
  std::vector<std::vector<std::string>> rows = {
      {"FINGERPRINT", "SERVICE", "TARGET", "CRASHES", "REMAINING MS"}};
  json::array list;
  for (auto& [fingerprint, entry] : entries) {
    rows.push_back({fingerprint, Text(entry, "service"), Text(entry, "target"),
                    Text(entry, "crashes"), Text(entry, "remaining_ms")});
    list.push_back(std::move(entry));
  }
  report.text = FormatTable(rows);
  report.data = {{"entries", std::move(list)}};
  return report;
}

command_result QuarantineRelease(session& platform, const command_input& input) {
  const std::string& fingerprint = input.arguments.front();
  const bool valid = !fingerprint.empty() && fingerprint.size() <= kMaxFingerprintBytes &&
                     fingerprint.find_first_not_of("0123456789abcdef") == std::string::npos;
  if (!valid) {
    return BadInput(fingerprint, "is not a fingerprint",
                    "hexadecimal digits, as 'quarantine list' prints them");
  }
  BOOST_LEAF_AUTO(nodes, RequireNodes(platform));
  bool answered = false;
  for (const known_node& node : nodes) {
    const auto result =
        platform.Send(node.admin, {"POST", "/quarantine/release/" + fingerprint, {}, {}});
    if (result.stage != net::exchange_stage::kAnswered) continue;
    if (result.response.status == kStatusOk) {
      return command_report{"released " + fingerprint + ", the nodes spread it\n",
                            {{"released", fingerprint}, {"node", node.admin.ToText()}},
                            {},
                            kExitOk};
    }
    answered = answered || result.response.status == kStatusNotFound;
  }
  if (answered) return BadInput(fingerprint, "is not quarantined");
  return leaf::new_error(command_error{kExitFailed, "no node answers", {}, {}});
}

command_result Timeline(session& platform, const command_input& input) {
  BOOST_LEAF_AUTO(nodes, RequireNodes(platform));
  timeline_filter filter;
  filter.request = input.values.text("request");
  filter.version = input.values.text("version");
  filter.node = input.values.text("node");
  if (!input.values.text("since").empty()) {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    filter.since_us =
        std::chrono::duration_cast<std::chrono::microseconds>(now - input.values.duration("since"))
            .count();
  }
  command_report report;
  std::vector<std::string> lines;
  for (const node_page& page : platform.FetchAll(nodes, "/timeline")) {
    if (!page.body) {
      report.warnings.push_back(page.node.admin.ToText() + ": no answer");
      report.exit_code = kExitFailed;
      continue;
    }
    std::istringstream in(*page.body);
    for (std::string line; std::getline(in, line);) {
      if (Matches(line, filter)) lines.push_back(line);
    }
  }
  json::array events;
  for (const std::string& line : MergeTimeline(lines)) {
    report.text += line + '\n';
    json::object event;
    for (const auto& [key, value] : ParseEvent(line)) event[key] = value;
    events.push_back(std::move(event));
  }
  report.data = {{"events", std::move(events)}};
  return report;
}

}  // namespace siskinrack::control
