#ifndef SISKINRACK_REVIEW_STAND_INS_VERSIONED_STORE_H_
#define SISKINRACK_REVIEW_STAND_INS_VERSIONED_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace siskinrack::review {

/// Stand-in of the object API that a node on its own and siskinctl use: objects with a version
/// (ETag), conditional PUT and DELETE, lists and watches.
class versioned_store {
 public:
  /// Serves on a free port of `ip` until the process ends.
  explicit versioned_store(const std::string& ip);
  [[nodiscard]] std::string address() const;

 private:
  struct object {
    std::uint64_t version;
    std::string value;
  };

  void Serve(int socket);
  /// Returns the bytes of the answer to a call.
  std::string Answer(const std::string& method, const std::string& target,
                     const std::string& if_match, const std::string& body);
  /// Requires the lock.
  [[nodiscard]] std::string ToJson(const std::string& prefix, std::uint64_t newer_than,
                                   bool& empty) const;

  std::string ip_;
  int listener_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 0;
  std::map<std::string, object> objects_;
};

}  // namespace siskinrack::review

#endif  // SISKINRACK_REVIEW_STAND_INS_VERSIONED_STORE_H_
