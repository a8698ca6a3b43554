#include "siskinrack/config/canonical_json.h"

#include <boost/json.hpp>
#include <limits>

namespace siskinrack::config {
namespace {

namespace json = boost::json;

json::object Encode(const service& item) {
  return {{"name", item.name},
          {"state", item.state == service_state::kRetiring ? "retiring" : "active"},
          {"slots", item.slots},
          {"ramp_ms", item.ramp_ms}};
}

json::object Encode(const route& item) {
  return {{"name", item.name},
          {"prefix", item.prefix},
          {"service", item.service},
          {"rank", item.rank},
          {"non_repeatable", item.non_repeatable}};
}

json::object Encode(const rank_policy& item) {
  return {{"name", item.name},
          {"target_ms", item.target_ms},
          {"worth", item.worth},
          {"floor_percent", item.floor_percent}};
}

template <typename Resource>
json::array EncodeList(const std::vector<Resource>& list) {
  json::array array;
  for (const Resource& resource : list) array.push_back(Encode(resource));
  return array;
}

json::object Encode(const mesh_resources& resources) {
  return {{"services", EncodeList(resources.services)},
          {"routes", EncodeList(resources.routes)},
          {"ranks", EncodeList(resources.ranks)}};
}

/// Decodes the members of one JSON object. Adds a finding for each member that is missing or has
/// the wrong type, and returns a default value in its place.
class object_reader {
 public:
  object_reader(const json::value& value, std::string place, support::findings& problems)
      : object_(value.if_object()), place_(std::move(place)), problems_(problems) {
    if (object_ == nullptr) problems_.Add(place_, "is not an object");
  }

  std::string ReadText(std::string_view key) {
    const json::value* value = FindMember(key);
    if (value == nullptr) return {};
    if (const json::string* text = value->if_string()) return {text->data(), text->size()};
    problems_.Add(MemberPath(key), "is not a string");
    return {};
  }

  std::uint64_t ReadNumber(std::string_view key, std::uint64_t max) {
    const json::value* value = FindMember(key);
    if (value == nullptr) return 0;
    json::error_code error;
    const auto number = value->to_number<std::uint64_t>(error);
    if (error || number > max) {
      problems_.Add(MemberPath(key), "is not an integer from 0 to " + std::to_string(max));
      return 0;
    }
    return number;
  }

  std::uint32_t ReadUint32(std::string_view key) {
    return static_cast<std::uint32_t>(ReadNumber(key, std::numeric_limits<std::uint32_t>::max()));
  }

  /// Returns true for the string `true_text`, false for `false_text`. Any other string is a
  /// finding.
  bool ReadChoice(std::string_view key, std::string_view true_text, std::string_view false_text) {
    const std::string text = ReadText(key);
    if (text != true_text && text != false_text) {
      problems_.Add(MemberPath(key), "is neither '" + std::string(true_text) + "' nor '" +
                                         std::string(false_text) + '\'');
    }
    return text == true_text;
  }

  bool ReadFlag(std::string_view key) {
    const json::value* value = FindMember(key);
    if (value == nullptr) return false;
    if (const bool* flag = value->if_bool()) return *flag;
    problems_.Add(MemberPath(key), "is neither true nor false");
    return false;
  }

  template <typename Resource, typename Decode>
  std::vector<Resource> ReadList(std::string_view key, Decode decode) {
    std::vector<Resource> list;
    const json::value* value = FindMember(key);
    if (value == nullptr) return list;
    const json::array* array = value->if_array();
    if (array == nullptr) {
      problems_.Add(MemberPath(key), "is not a list");
      return list;
    }
    for (std::size_t i = 0; i < array->size(); ++i) {
      object_reader reader((*array)[i], MemberPath(key) + '[' + std::to_string(i) + ']', problems_);
      list.push_back(decode(reader));
    }
    return list;
  }

 private:
  /// Returns the path of a member from the root of the document.
  std::string MemberPath(std::string_view key) const {
    return place_.empty() ? std::string(key) : place_ + '.' + std::string(key);
  }

  const json::value* FindMember(std::string_view key) {
    if (object_ == nullptr) return nullptr;
    const json::value* value = object_->if_contains(key);
    if (value == nullptr) problems_.Add(MemberPath(key), "is missing");
    return value;
  }

  const json::object* object_;
  std::string place_;
  support::findings& problems_;
};

service DecodeService(object_reader& reader) {
  service item;
  item.name = reader.ReadText("name");
  item.state = reader.ReadChoice("state", "retiring", "active") ? service_state::kRetiring
                                                                : service_state::kActive;
  item.slots = reader.ReadUint32("slots");
  item.ramp_ms = reader.ReadUint32("ramp_ms");
  return item;
}

route DecodeRoute(object_reader& reader) {
  route item;
  item.name = reader.ReadText("name");
  item.prefix = reader.ReadText("prefix");
  item.service = reader.ReadText("service");
  item.rank = reader.ReadText("rank");
  item.non_repeatable = reader.ReadFlag("non_repeatable");
  return item;
}

rank_policy DecodeRank(object_reader& reader) {
  rank_policy item;
  item.name = reader.ReadText("name");
  item.target_ms = reader.ReadUint32("target_ms");
  item.worth = reader.ReadUint32("worth");
  item.floor_percent = reader.ReadUint32("floor_percent");
  return item;
}

mesh_resources DecodeResources(object_reader& reader) {
  mesh_resources resources;
  resources.services = reader.ReadList<service>("services", DecodeService);
  resources.routes = reader.ReadList<route>("routes", DecodeRoute);
  resources.ranks = reader.ReadList<rank_policy>("ranks", DecodeRank);
  resources.SortByName();
  return resources;
}

std::optional<json::value> ParseText(std::string_view text, support::findings& problems) {
  json::error_code error;
  json::value value = json::parse({text.data(), text.size()}, error);
  if (error) {
    problems.Add("json", error.message());
    return std::nullopt;
  }
  return value;
}

}  // namespace

std::string ToJson(const mesh_config& config) {
  return json::serialize(json::object{{"version", config.version},
                                      {"plan_id", config.plan_id},
                                      {"resources", Encode(config.resources)}});
}

std::string ToJson(const mesh_resources& resources) { return json::serialize(Encode(resources)); }

std::optional<mesh_config> ConfigFromJson(std::string_view text, support::findings& problems) {
  const auto value = ParseText(text, problems);
  if (!value) return std::nullopt;
  const std::size_t before = problems.size();
  object_reader reader(*value, "", problems);
  mesh_config config;
  config.version = reader.ReadNumber("version", std::numeric_limits<std::int64_t>::max());
  config.plan_id = reader.ReadText("plan_id");
  if (value->is_object() && value->get_object().contains("resources")) {
    object_reader resources(value->get_object().at("resources"), "resources", problems);
    config.resources = DecodeResources(resources);
  } else {
    problems.Add("resources", "is missing");
  }
  if (problems.size() != before) return std::nullopt;
  return config;
}

std::optional<mesh_resources> ResourcesFromJson(std::string_view text,
                                                support::findings& problems) {
  const auto value = ParseText(text, problems);
  if (!value) return std::nullopt;
  const std::size_t before = problems.size();
  object_reader reader(*value, "", problems);
  mesh_resources resources = DecodeResources(reader);
  if (problems.size() != before) return std::nullopt;
  return resources;
}

}  // namespace siskinrack::config
