#include <algorithm>
#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <map>
#include <sstream>

#include "command.h"
#include "control_client.h"
#include "plan_store.h"
#include "siskinrack/control/timeline.h"

namespace siskinrack::control {
namespace {

constexpr unsigned kHttpOk = 200;
constexpr unsigned kHttpBadRequest = 400;
constexpr std::size_t kMaxFingerprintBytes = 64;

/// Returns the member `key`, as JSON text if it isn't a string, or "-" if it is missing.
std::string GetText(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr) return "-";
  if (value->is_string()) return {value->get_string().data(), value->get_string().size()};
  return json::serialize(*value);
}

/// Returns the member `key` as a number, or 0 if it is missing or isn't an unsigned integer.
std::uint64_t GetNumber(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr) return 0;
  json::error_code error;
  const auto number = value->to_number<std::uint64_t>(error);
  return error ? 0 : number;
}

/// Parses a node's page. If the page is missing or isn't JSON of type `kind`, adds a warning, sets
/// the exit code and returns std::nullopt.
std::optional<json::value> ParsePage(const node_page& page, json::kind kind,
                                     command_report& report) {
  const std::string name =
      page.node.node_id.empty() ? page.node.admin_address.ToText() : page.node.node_id;
  if (!page.body) {
    report.warnings.push_back(name + ": no response with status 200");
  } else {
    json::error_code error;
    json::value value = json::parse(*page.body, error);
    if (!error && value.kind() == kind) return value;
    report.warnings.push_back(name + ": the response is invalid");
  }
  report.exit_code = kExitFailed;
  return std::nullopt;
}

/// Returns the nodes to query, or an error for invalid input if there are none.
leaf::result<std::vector<node_info>> RequireNodes(control_client& client) {
  auto nodes = client.DiscoverNodes();
  if (!nodes.empty()) return nodes;
  return MakeInputError("--nodes", "this command queries nodes, but no node address is given",
                        "set --nodes or SISKINRACK_NODES to admin addresses");
}

/// Returns the version of the head. If the head can't be read, adds a warning, sets the exit code
/// and returns std::nullopt.
std::optional<std::uint64_t> ReadHeadVersion(control_client& client, command_report& report) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<std::uint64_t>> {
        BOOST_LEAF_AUTO(head, ReadHead(client));
        return std::optional(head.config.version);
      },
      [&](const command_error& error) -> std::optional<std::uint64_t> {
        report.warnings.push_back(error.message + "; the lag is unknown");
        report.exit_code = kExitFailed;
        return std::nullopt;
      },
      []() -> std::optional<std::uint64_t> { return std::nullopt; });
}

/// Returns by how much `version` is behind `head`, or "?" if the head is unknown.
std::string FormatLag(std::optional<std::uint64_t> head, std::uint64_t version) {
  if (!head) return "?";
  return std::to_string(*head > version ? *head - version : 0);
}

/// Joins the lines of `text` with ';'. Returns "-" if there are none.
std::string JoinLines(std::string text) {
  while (!text.empty() && text.back() == '\n') text.pop_back();
  std::replace(text.begin(), text.end(), '\n', ';');
  return text.empty() ? "-" : text;
}

}  // namespace

command_result ShowStatus(control_client& client, const command_input&) {
  BOOST_LEAF_AUTO(nodes, RequireNodes(client));
  command_report report;
  const auto head = ReadHeadVersion(client, report);
  std::vector<std::vector<std::string>> rows = {
      {"NODE", "FAILURE DOMAIN", "VERSION", "LAG", "REJECTED"}};
  json::array list;
  for (const node_page& page : client.FetchPages(nodes, "/status")) {
    const auto body = ParsePage(page, json::kind::object, report);
    if (!body) continue;
    const json::object& node = body->get_object();
    const std::uint64_t version = GetNumber(node, "version");
    rows.push_back({GetText(node, "node_id"), GetText(node, "failure_domain"),
                    std::to_string(version), FormatLag(head, version),
                    JoinLines(GetText(node, "rejected"))});
    json::object entry{{"node_id", GetText(node, "node_id")},
                       {"failure_domain", GetText(node, "failure_domain")},
                       {"version", version},
                       {"rejected", GetText(node, "rejected")}};
    entry["lag"] = head ? json::value(*head > version ? *head - version : 0) : json::value(nullptr);
    list.push_back(std::move(entry));
  }
  report.text = FormatTable(rows);
  report.data = {{"head_version", head ? json::value(*head) : json::value(nullptr)},
                 {"nodes", std::move(list)}};
  return report;
}

command_result ListUpstreams(control_client& client, const command_input&) {
  BOOST_LEAF_AUTO(nodes, RequireNodes(client));
  // Every node lists the upstreams of all nodes, so the first valid page suffices.
  for (const node_page& page : client.FetchPages(nodes, "/upstreams")) {
    command_report report;
    const auto body = ParsePage(page, json::kind::array, report);
    if (!body) continue;
    std::vector<std::vector<std::string>> rows = {
        {"NODE", "SERVICE", "STATE", "HEALTH", "SLOTS", "VERSION", "FAILURE DOMAIN"}};
    for (const json::value& element : body->get_array()) {
      const json::object* member = element.if_object();
      if (member == nullptr) continue;
      rows.push_back({GetText(*member, "node_id"), GetText(*member, "service"),
                      GetText(*member, "state"), GetText(*member, "health"),
                      GetText(*member, "slots"), GetText(*member, "version"),
                      GetText(*member, "failure_domain")});
    }
    report.text = FormatTable(rows);
    report.data = {{"seen_by", page.node.admin_address.ToText()}, {"upstreams", body->get_array()}};
    return report;
  }
  return leaf::new_error(
      command_error{kExitFailed, "no node responded with a valid list of upstreams", {}, {}});
}

command_result ListQuarantine(control_client& client, const command_input&) {
  BOOST_LEAF_AUTO(nodes, RequireNodes(client));
  command_report report;
  std::map<std::string, json::object> entries;
  for (const node_page& page : client.FetchPages(nodes, "/quarantine")) {
    const auto body = ParsePage(page, json::kind::array, report);
    if (!body) continue;
    for (const json::value& element : body->get_array()) {
      const json::object* entry = element.if_object();
      if (entry == nullptr) continue;
      // Nodes receive a renewal at different times; the entry with the longest remaining time is
      // the newest.
      json::object& newest = entries[GetText(*entry, "fingerprint")];
      if (newest.empty() || GetNumber(newest, "remaining_ms") < GetNumber(*entry, "remaining_ms")) {
        newest = *entry;
      }
    }
  }
  std::vector<std::vector<std::string>> rows = {
      {"FINGERPRINT", "SERVICE", "TARGET", "CRASHES", "REMAINING MS"}};
  json::array list;
  for (auto& [fingerprint, entry] : entries) {
    rows.push_back({fingerprint, GetText(entry, "service"), GetText(entry, "target"),
                    GetText(entry, "crashes"), GetText(entry, "remaining_ms")});
    list.push_back(std::move(entry));
  }
  report.text = FormatTable(rows);
  report.data = {{"entries", std::move(list)}};
  return report;
}

command_result ReleaseQuarantine(control_client& client, const command_input& input) {
  const std::string& fingerprint = input.arguments.front();
  const bool valid = !fingerprint.empty() && fingerprint.size() <= kMaxFingerprintBytes &&
                     fingerprint.find_first_not_of("0123456789abcdef") == std::string::npos;
  if (!valid) {
    return MakeInputError(fingerprint, "is not a fingerprint",
                          "hexadecimal digits, as 'quarantine list' prints them");
  }
  BOOST_LEAF_AUTO(nodes, RequireNodes(client));
  for (const node_info& node : nodes) {
    const auto result = client.SendToNode(node.admin_address,
                                          {"POST", "/quarantine/release/" + fingerprint, {}, {}});
    if (result.stage != net::exchange_stage::kAnswered) continue;
    if (result.response.status == kHttpOk) {
      return command_report{
          "released " + fingerprint + "; the node propagates the release to the others\n",
          {{"released", fingerprint}, {"node", node.admin_address.ToText()}},
          {},
          kExitOk};
    }
    if (result.response.status == kHttpBadRequest) {
      return MakeInputError(fingerprint, "is not a fingerprint", "16 hexadecimal digits");
    }
  }
  return leaf::new_error(command_error{kExitFailed, "no node responded with status 200", {}, {}});
}

command_result ShowTimeline(control_client& client, const command_input& input) {
  BOOST_LEAF_AUTO(nodes, RequireNodes(client));
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
  for (const node_page& page : client.FetchPages(nodes, "/timeline")) {
    if (!page.body) {
      report.warnings.push_back(page.node.admin_address.ToText() + ": no response with status 200");
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
