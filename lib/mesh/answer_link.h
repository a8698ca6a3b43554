#ifndef SISKINRACK_LIB_MESH_ANSWER_LINK_H_
#define SISKINRACK_LIB_MESH_ANSWER_LINK_H_

#include <cstdint>
#include <map>
#include <optional>

#include "mesh_context.h"

namespace siskinrack::mesh {

/// Decides at the serving node whether the answer to a call of another node can be sent in time
/// over the network link of this VM. Answers the load pattern of many large answers: a call whose
/// answer would wait for the link until its caller has left is refused before it runs.
class answer_link {
 public:
  explicit answer_link(mesh_context& context) : context_(context) {}

  /// Returns the refusal of a call whose answer is expected to be late because of the link, or
  /// std::nullopt if the call may run.
  [[nodiscard]] std::optional<wire::call_answer_t> FindRefusal(
      const wire::call_request_t& call) const;
  /// Records the size of the answer and adds to it the time for which large answers wait.
  void OnAnswer(const wire::call_request_t& call, wire::call_answer_t& answer);

 private:
  mesh_context& context_;
  /// Smoothed sizes of answers in bytes, by work class.
  std::map<std::uint64_t, double> sizes_;
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_ANSWER_LINK_H_
