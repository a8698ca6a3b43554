#include "evidence_sender.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace siskinrack::mesh {
namespace {

/// Another node, which confirms the evidence that it receives while it listens.
class fake_node {
 public:
  fake_node() {
    // Reserves a port at which nothing listens afterwards.
    net::peer_server reservation(runtime_, context_, {.address = {"127.0.0.1", 0}},
                                 [](const wire::envelope_t&, net::cancellation&) {
                                   return std::optional<wire::envelope_t>();
                                 });
    EXPECT_EQ(reservation.Start(), "");
    address_ = {"127.0.0.1", reservation.port()};
    reservation.Stop();
  }
  ~fake_node() {
    if (server_) server_->Stop();
  }
  fake_node(const fake_node&) = delete;
  fake_node& operator=(const fake_node&) = delete;

  void Listen() {
    server_ = std::make_unique<net::peer_server>(
        runtime_, context_, net::peer_server_options{.address = address_},
        [this](const wire::envelope_t& message, net::cancellation&) {
          if (message.message.Ascrash_evidence() != nullptr) ++received_;
          return std::optional(wire::MakeEnvelope(wire::crash_evidence_t{}));
        });
    EXPECT_EQ(server_->Start(), "");
  }

  [[nodiscard]] const support::socket_address& address() const { return address_; }
  [[nodiscard]] int received() const { return received_; }

 private:
  support::hybrid_clock clock_;
  net::traffic_counters traffic_;
  net::peer_context context_{"other", &clock_, &traffic_, ""};
  net::fiber_runtime runtime_{1};
  support::socket_address address_;
  std::atomic<int> received_ = 0;
  std::unique_ptr<net::peer_server> server_;
};

// Guards against evidence that a node never gets because it could not be reached when the upstream
// crashed, and against evidence that is sent again after its receipt.
TEST(EvidenceSender, EvidenceIsRepeatedUntilItIsConfirmed) {
  fake_node other;
  mesh_context context{platform_adapter::machine_settings{}};
  evidence_sender sender(context, [](const wire::crash_evidence_t&) {});
  routing::endpoint endpoint;
  endpoint.life.instance_id = "i-1";
  endpoint.node_address = other.address();
  const auto run = [&](const std::function<void()>& body) { context.runtime.Run(0, body); };
  run([&] {
    context.endpoints.Upsert(endpoint);
    wire::crash_evidence_t evidence;
    evidence.crash_id = 1;
    evidence.suspects = {66};
    sender.Send(evidence);
    sender.RepeatUnconfirmed();
  });
  EXPECT_EQ(other.received(), 0);
  other.Listen();
  // The backoff after the failed dial has to end.
  std::this_thread::sleep_for(2 * mesh_context::kPeerBackoffMax);
  run([&] { sender.RepeatUnconfirmed(); });
  EXPECT_EQ(other.received(), 1);
  run([&] { sender.RepeatUnconfirmed(); });
  EXPECT_EQ(other.received(), 1);
  context.peers.Stop();
}

}  // namespace
}  // namespace siskinrack::mesh
