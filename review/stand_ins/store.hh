#ifndef SISKINRACK_REVIEW_STAND_INS_STORE_H_
#define SISKINRACK_REVIEW_STAND_INS_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "http_message.hh"

namespace siskinrack::review {

/// Stand-in of the platform's metadata store: objects by kind and name, conditional writes, lists
/// and watches. It answers every call, at once, and keeps its whole history.
class store {
 public:
  /// Serves on a free port of `ip` until the process ends.
  explicit store(const std::string& ip);

  [[nodiscard]] std::string address() const;
  /// Writes an object as the operator does; `spec` is JSON text.
  void Write(const std::string& kind, const std::string& name, const std::string& spec);
  /// Returns the number of objects of a kind.
  [[nodiscard]] std::size_t Count(const std::string& kind) const;
  [[nodiscard]] bool Has(const std::string& kind, const std::string& name) const;

 private:
  struct object {
    std::uint64_t revision = 0;
    std::string spec;
  };
  struct change {
    std::uint64_t revision;
    std::string kind;
    std::string text;
  };
  struct call {
    std::string method;
    std::string kind;
    std::string name;
    std::map<std::string, std::string> query;
    std::string body;
  };

  void Serve(int socket);
  /// Returns the status and body of the answer to a call.
  std::pair<int, std::string> Answer(const call& request);
  std::pair<int, std::string> Watch(const call& request, std::unique_lock<std::mutex>& lock);
  std::pair<int, std::string> List(const call& request);
  std::pair<int, std::string> Mutate(call request);
  void Store(const std::string& kind, const std::string& name, const std::string& spec);

  std::string ip_;
  int listener_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 1;
  std::map<std::string, std::map<std::string, object>> kinds_;
  std::vector<change> history_;
};

}  // namespace siskinrack::review

#endif  // SISKINRACK_REVIEW_STAND_INS_STORE_H_
