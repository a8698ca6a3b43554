#include "siskinrack/routing/endpoint_record.h"

#include <boost/json.hpp>

namespace siskinrack::routing {
namespace {

namespace json = boost::json;

constexpr std::string_view kReady = "ready";
constexpr std::string_view kDraining = "draining";
constexpr std::uint32_t kMaxSlots = 65'535;

std::optional<std::string> Text(const json::object& members, std::string_view name,
                                support::findings& problems) {
  const json::value* value = members.if_contains(name);
  if (value == nullptr || !value->is_string() || value->get_string().empty()) {
    problems.Add(std::string(name), "not a text");
    return std::nullopt;
  }
  return std::string(value->get_string());
}

std::optional<std::int64_t> Integer(const json::object& members, std::string_view name,
                                    support::findings& problems) {
  const json::value* value = members.if_contains(name);
  if (value == nullptr || !value->is_int64() || value->get_int64() < 0) {
    problems.Add(std::string(name), "not a whole number");
    return std::nullopt;
  }
  return value->get_int64();
}

}  // namespace

json::value ToRecord(const endpoint& item) {
  return json::object{
      {"instance", item.life.instance_id},
      {"born_ms", item.life.born_ms},
      {"service", item.service},
      {"zone", item.zone},
      {"node", item.node_address.ToText()},
      {"slots", static_cast<std::int64_t>(item.slots)},
      {"state", item.state == instance_state::kReady ? kReady : kDraining},
  };
}

std::optional<endpoint> FromRecord(const json::value& record, support::findings& problems) {
  if (!record.is_object()) {
    problems.Add("record", "not an object");
    return std::nullopt;
  }
  const json::object& members = record.get_object();
  const auto instance = Text(members, "instance", problems);
  const auto born = Integer(members, "born_ms", problems);
  const auto service = Text(members, "service", problems);
  const auto zone = Text(members, "zone", problems);
  const auto node = Text(members, "node", problems);
  const auto slots = Integer(members, "slots", problems);
  const auto state = Text(members, "state", problems);
  const auto address = node ? support::ParseSocketAddress(*node) : std::nullopt;
  if (node && !address) problems.Add("node", "not an address");
  if (state && *state != kReady && *state != kDraining) problems.Add("state", "unknown");
  if (slots && (*slots == 0 || *slots > kMaxSlots)) problems.Add("slots", "out of range");
  if (!problems.empty()) return std::nullopt;
  return endpoint{{*instance, *born},
                  *service,
                  *zone,
                  *address,
                  static_cast<std::uint32_t>(*slots),
                  *state == kReady ? instance_state::kReady : instance_state::kDraining};
}

}  // namespace siskinrack::routing
