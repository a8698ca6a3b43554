#include "siskinrack/routing/endpoint_record.h"

#include <boost/json.hpp>

namespace siskinrack::routing {
namespace {

namespace json = boost::json;

constexpr std::string_view kReady = "ready";
constexpr std::string_view kDraining = "draining";
constexpr std::string_view kDeparted = "departed";
constexpr std::uint32_t kMaxSlots = 65'535;

std::optional<std::string> ReadString(const json::object& members, std::string_view name,
                                      support::findings& problems) {
  const json::value* value = members.if_contains(name);
  if (value == nullptr || !value->is_string() || value->get_string().empty()) {
    problems.Add(std::string(name), "expected a non-empty string");
    return std::nullopt;
  }
  return std::string(value->get_string());
}

std::optional<std::int64_t> ReadInteger(const json::object& members, std::string_view name,
                                        support::findings& problems) {
  const json::value* value = members.if_contains(name);
  if (value == nullptr || !value->is_int64() || value->get_int64() < 0) {
    problems.Add(std::string(name), "expected a non-negative integer");
    return std::nullopt;
  }
  return value->get_int64();
}

std::string_view ToText(instance_state state) {
  switch (state) {
    case instance_state::kReady:
      return kReady;
    case instance_state::kDraining:
      return kDraining;
    case instance_state::kDeparted:
      break;
  }
  return kDeparted;
}

std::optional<instance_state> ParseState(std::string_view text) {
  for (const instance_state state :
       {instance_state::kReady, instance_state::kDraining, instance_state::kDeparted}) {
    if (ToText(state) == text) return state;
  }
  return std::nullopt;
}

}  // namespace

json::value ToRecord(const endpoint& entry) {
  json::object record{
      {"instance", entry.life.instance_id},
      {"born_ms", entry.life.born_ms},
      {"service", entry.service},
      {"zone", entry.zone},
      {"node", entry.node_address.ToText()},
      {"slots", static_cast<std::int64_t>(entry.slots)},
      {"state", ToText(entry.state)},
  };
  if (!entry.software_version.empty()) record["software_version"] = entry.software_version;
  if (!entry.suspended_by.empty()) record["suspended_by"] = entry.suspended_by;
  return record;
}

std::optional<endpoint> FromRecord(const json::value& record, support::findings& problems) {
  if (!record.is_object()) {
    problems.Add("record", "expected an object");
    return std::nullopt;
  }
  const json::object& members = record.get_object();
  const auto instance = ReadString(members, "instance", problems);
  const auto born = ReadInteger(members, "born_ms", problems);
  const auto service = ReadString(members, "service", problems);
  const auto zone = ReadString(members, "zone", problems);
  const auto node = ReadString(members, "node", problems);
  const auto slots = ReadInteger(members, "slots", problems);
  const auto state_text = ReadString(members, "state", problems);
  const auto state = state_text ? ParseState(*state_text) : std::nullopt;
  // Records of nodes that don't know software versions have none.
  const auto version = members.contains("software_version")
                           ? ReadString(members, "software_version", problems)
                           : std::string();
  const auto suspended_by = members.contains("suspended_by")
                                ? ReadString(members, "suspended_by", problems)
                                : std::string();
  const auto address = node ? support::ParseSocketAddress(*node) : std::nullopt;
  if (node && !address) problems.Add("node", "expected an IPv4 address and port");
  if (state_text && !state)
    problems.Add("state", "expected \"ready\", \"draining\" or \"departed\"");
  if (slots && (*slots == 0 || *slots > kMaxSlots)) problems.Add("slots", "expected 1 to 65535");
  if (!problems.empty()) return std::nullopt;
  return endpoint{
      {*instance, *born}, *service,     *zone, *address, static_cast<std::uint32_t>(*slots), *state,
      *version,           *suspended_by};
}

}  // namespace siskinrack::routing
