#ifndef SISKINRACK_NET_WIRE_FIELDS_H_
#define SISKINRACK_NET_WIRE_FIELDS_H_

#include <memory>
#include <string_view>
#include <vector>

#include "siskinrack/net/http.h"
#include "siskinrack/wire/siskinrack_generated.h"

namespace siskinrack::net {

/// Moves HTTP fields into the form that calls between nodes carry; leaves out those that `skip`
/// selects by name.
template <typename Skip>
std::vector<std::unique_ptr<wire::header_field_t>> ToWireFields(std::vector<http_field>& fields,
                                                                Skip skip) {
  std::vector<std::unique_ptr<wire::header_field_t>> result;
  result.reserve(fields.size());
  for (http_field& field : fields) {
    if (skip(std::string_view(field.name))) continue;
    auto copy = std::make_unique<wire::header_field_t>();
    copy->name = std::move(field.name);
    copy->value = std::move(field.value);
    result.push_back(std::move(copy));
  }
  return result;
}

inline std::vector<std::unique_ptr<wire::header_field_t>> ToWireFields(
    std::vector<http_field>& fields) {
  return ToWireFields(fields, [](std::string_view) { return false; });
}

}  // namespace siskinrack::net

#endif  // SISKINRACK_NET_WIRE_FIELDS_H_
