#ifndef SISKINRACK_NET_WIRE_FIELDS_H_
#define SISKINRACK_NET_WIRE_FIELDS_H_

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "siskinrack/net/http.h"
#include "siskinrack/wire/siskinrack_generated.h"

namespace siskinrack::net {

/// Converts HTTP fields to wire fields, omitting those for whose name `skip` returns true. The
/// names and values of converted fields are moved out of `fields`.
template <typename Skip>
std::vector<std::unique_ptr<wire::header_field_t>> ToWireFields(std::vector<http_field>& fields,
                                                                Skip skip) {
  std::vector<std::unique_ptr<wire::header_field_t>> result;
  result.reserve(fields.size());
  for (http_field& field : fields) {
    if (skip(std::string_view(field.name))) continue;
    auto wire_field = std::make_unique<wire::header_field_t>();
    wire_field->name = std::move(field.name);
    wire_field->value = std::move(field.value);
    result.push_back(std::move(wire_field));
  }
  return result;
}

/// Converts all of `fields`, moving their names and values out.
inline std::vector<std::unique_ptr<wire::header_field_t>> ToWireFields(
    std::vector<http_field>& fields) {
  return ToWireFields(fields, [](std::string_view) { return false; });
}

/// Returns a view of the body of a wire message.
inline std::string_view ViewBytes(const std::vector<std::uint8_t>& bytes) {
  return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

}  // namespace siskinrack::net

#endif  // SISKINRACK_NET_WIRE_FIELDS_H_
