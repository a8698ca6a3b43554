#ifndef SISKINRACK_TENANCY_ACCESS_H_
#define SISKINRACK_TENANCY_ACCESS_H_

namespace siskinrack::tenancy {

enum class access_verdict {
  /// The request may run, as that of its tenant if it has one.
  kGranted,
  /// The key is missing or no tenant holds it.
  kDenied,
  /// The node can't prove that it knows the current keys.
  kUnproved
};

/// Holds what decides about the access of one request.
struct access_request {
  /// The route is open to callers without a key.
  bool open_route = false;
  /// The caller presented a key.
  bool has_key = false;
  /// A tenant holds the key.
  bool has_tenant = false;
  /// The node has proved that its configuration was current within the bound.
  bool proved = true;
};

/// Decides whether a request may run. A key that can't be judged on an open route is ignored there
/// only if no tenant held it: otherwise the request would run under a key that may have been taken
/// away.
constexpr access_verdict DecideAccess(const access_request& request) {
  if (request.has_tenant) {
    return request.proved ? access_verdict::kGranted : access_verdict::kUnproved;
  }
  if (request.open_route) return access_verdict::kGranted;
  if (request.has_key && !request.proved) return access_verdict::kUnproved;
  return access_verdict::kDenied;
}

}  // namespace siskinrack::tenancy

#endif  // SISKINRACK_TENANCY_ACCESS_H_
