// Measures the largest memory of one mesh node while its callers upload the largest accepted body
// at the same time, for several sizes of the node's machine.

#include <atomic>
#include <string>

#include "program_under_test.h"
#include "raw_client.h"
#include "report.h"

namespace siskinrack::bench {
namespace {

constexpr double kBytesPerMb = 1e6;
/// The largest body of a machine with 260 MB; a node accepts a sixteenth of its memory.
constexpr std::size_t kMaxBodyBytes = 16'000'000;
constexpr std::size_t kBodyDivisor = 16;

void MeasureUploads(std::size_t memory_mb, std::size_t uploads) {
  const auto node = test::StartMeshNode(memory_mb);
  const std::size_t bytes = std::min(kMaxBodyBytes, memory_mb * 1'000'000 / kBodyDivisor);
  const std::string body(bytes, 'x');
  std::atomic<std::size_t> served = 0;
  {
    const auto callers =
        test::OpenCrowd(uploads, node->caller(), [&](const test::raw_client& caller) {
          const std::string length = "Content-Length: " + std::to_string(bytes);
          caller.Send(test::MakeRequestHead(*node, length + "\r\n\r\n"));
          caller.Send(body);
          if (caller.ReadStatus() == 200) ++served;
        });
  }
  const std::string name = "uploads_" + std::to_string(memory_mb) + "mb_" + std::to_string(uploads);
  Print(name + "_peak", static_cast<double>(test::ReadPeakMemory(node->pid())) / kBytesPerMb, "MB");
  Print(name + "_served", static_cast<double>(served), "requests");
}

}  // namespace
}  // namespace siskinrack::bench

int main() {
  for (const std::size_t memory_mb : {160U, 260U, 512U}) {
    for (const std::size_t uploads : {1U, 4U, 10U, 40U}) {
      siskinrack::bench::MeasureUploads(memory_mb, uploads);
    }
  }
  return 0;
}
