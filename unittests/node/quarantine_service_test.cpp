#include "quarantine_service.h"

#include <gtest/gtest.h>

#include <atomic>

#include "request_path_fixture.h"
#include "siskinrack/quarantine/fingerprint.h"

namespace siskinrack::node {
namespace {

class quarantine_service_test : public testing::Test {
 protected:
  quarantine_service_test() { subject_.context().members.Merge(subject_.MakeRecord()); }

  /// Delivers evidence from the node `node_id` that the test request crashed its upstream.
  void ReceiveCrashEvidence(const std::string& node_id, std::uint32_t age_ms = 0) {
    wire::crash_evidence_t evidence;
    evidence.node_id = node_id;
    evidence.crash_id = 1;
    evidence.suspects = {fingerprint_};
    evidence.age_ms = age_ms;
    const wire::envelope_t message = wire::MakeEnvelope(std::move(evidence));
    subject_.context().runtime.Run(0, [&] { subject_.quarantine().Handle(message); });
  }

  /// Returns the body of the response to an admin request, empty if it was not handled.
  std::string SendAdminRequest(const std::string& method, const std::string& target) {
    std::string body;
    subject_.context().runtime.Run(0, [&] {
      const auto response = subject_.quarantine().HandleAdminRequest({method, target, {}, {}});
      if (response) body = response->body;
    });
    return body;
  }

  /// Sends the test request and returns its outcome.
  std::string Send() { return GetOutcome(subject_.Send({"GET", "/tray/bad", {}, {}})); }

  std::atomic<unsigned> status_ = 200;
  test_node subject_{"a", [this](const net::http_request&, net::cancellation&) {
                       return net::http_response{status_, {}, "done"};
                     }};
  std::uint64_t fingerprint_ = quarantine::ComputeFingerprint({}, "GET", "/tray/bad", {});
};

// Guards against a quarantined request that reaches the upstream, and against one that stays in
// quarantine after an operator has released it.
TEST_F(quarantine_service_test, EvidenceOfPeersQuarantinesUntilTheRelease) {
  ReceiveCrashEvidence("x");
  ReceiveCrashEvidence("y");
  EXPECT_EQ(Send(), "not-run");
  const std::string text = quarantine::FormatFingerprint(fingerprint_);
  EXPECT_NE(SendAdminRequest("GET", "/quarantine").find(text), std::string::npos);
  EXPECT_EQ(SendAdminRequest("POST", "/quarantine/release/12"), "not a fingerprint\n");
  EXPECT_EQ(SendAdminRequest("POST", "/quarantine/release/" + text), "released\n");
  EXPECT_EQ(Send(), "answered");
  // Evidence of crashes before the release must not quarantine the request again.
  ReceiveCrashEvidence("z", 1'000);
  ReceiveCrashEvidence("w", 1'000);
  EXPECT_EQ(Send(), "answered");
}

// Guards against the quarantine of a request that completed between two crashes.
TEST_F(quarantine_service_test, CompletedRunClearsEarlierEvidence) {
  ReceiveCrashEvidence("x");
  EXPECT_EQ(Send(), "answered");
  ReceiveCrashEvidence("y");
  EXPECT_EQ(Send(), "answered");
  EXPECT_EQ(SendAdminRequest("GET", "/quarantine"), "[]\n");
}

// Guards against a failure of the upstream that counts as proof that a suspect is harmless.
TEST_F(quarantine_service_test, FailedRunDoesNotClearEvidence) {
  ReceiveCrashEvidence("x");
  status_ = 500;
  EXPECT_EQ(Send(), "answered");
  ReceiveCrashEvidence("y");
  EXPECT_EQ(Send(), "not-run");
}

}  // namespace
}  // namespace siskinrack::node
