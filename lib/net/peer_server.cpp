#include <map>
#include <set>

#include "handler_failure.h"
#include "listener.h"
#include "peer_link.h"
#include "siskinrack/net/peer.h"

namespace siskinrack::net {

using detail::peer_link;

namespace {

/// Returns the reply to a request whose handler failed: it may have run. A sender that expects
/// another type of reply treats it as missing.
wire::envelope_t MakeFailureReply() {
  constexpr std::uint16_t kStatusBadGateway = 502;
  wire::call_answer_t answer;
  answer.outcome = wire::outcome_kind::unknown;
  answer.status = kStatusBadGateway;
  answer.cause = wire::answer_cause::broken;
  answer.reason = "request handler failed";
  return wire::MakeEnvelope(std::move(answer));
}

}  // namespace

class peer_server::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(fiber_runtime& runtime, peer_context& context, peer_server_options options,
       peer_handler handler)
      : runtime_(runtime),
        context_(context),
        options_(std::move(options)),
        handler_(std::move(handler)),
        listener_(runtime,
                  [this](boost::asio::ip::tcp::socket socket) { ServeLink(std::move(socket)); }),
        links_(runtime.thread_count()) {
    listener_.LimitAcceptRate(options_.accepts_per_second /
                              static_cast<double>(runtime.thread_count()));
  }

  std::string Start() { return listener_.Start(options_.address); }
  std::uint16_t port() const { return listener_.port(); }

  void Stop() {
    listener_.Close();
    for (std::size_t i = 0; i < links_.size(); ++i) {
      runtime_.Run(i, [this, i] {
        const auto links = links_[i];
        for (const auto& link : links) link->Close();
      });
    }
    listener_.WaitForFibers();
  }

 private:
  /// Running requests of one link by correlation id.
  using running_requests = std::map<std::uint64_t, std::shared_ptr<cancellation>>;

  /// Reads the frames of one link and cancels its running requests when it is closed.
  void ServeLink(boost::asio::ip::tcp::socket socket) {
    auto running = std::make_shared<running_requests>();
    auto link = std::make_shared<peer_link>(
        std::move(socket), context_,
        [this, running](const std::shared_ptr<peer_link>& source,
                        std::unique_ptr<wire::envelope_t> message, memory_charge charge,
                        steady_time received_at) {
          OnRequest(source, running, std::move(message), std::move(charge), received_at);
        });
    auto& links = links_[fiber_runtime::GetCurrentThreadIndex()];
    links.insert(link);
    link->ReadLoop();
    links.erase(link);
    const running_requests interrupted = *running;
    for (const auto& [id, cancel] : interrupted) cancel->Cancel();
  }

  void OnRequest(const std::shared_ptr<peer_link>& link,
                 const std::shared_ptr<running_requests>& running,
                 std::unique_ptr<wire::envelope_t> message, memory_charge charge,
                 steady_time received_at) {
    const std::uint64_t id = message->correlation_id;
    if (message->message.type == wire::message::call_cancel) {
      const auto found = running->find(id);
      if (found != running->end()) found->second->Cancel();
      return;
    }
    auto cancel = std::make_shared<cancellation>();
    if (id != 0) running->emplace(id, cancel);
    std::shared_ptr<wire::envelope_t> request = std::move(message);
    auto held = std::make_shared<memory_charge>(std::move(charge));
    Spawn([self = shared_from_this(), link, running, request, cancel, id, held, received_at] {
      wire::DeductWait(*request, std::chrono::steady_clock::now() - received_at);
      std::optional<wire::envelope_t> reply;
      try {
        reply = self->handler_(*request, *cancel);
      } catch (const std::exception& failure) {
        detail::LogHandlerFailure("peer", failure);
        // Closing the link instead would end every other request on it.
        reply = MakeFailureReply();
      }
      if (id == 0) return;
      running->erase(id);
      if (!reply) return;
      reply->correlation_id = id;
      reply->is_reply = true;
      link->Send(std::move(*reply));
    });
  }

  fiber_runtime& runtime_;
  peer_context& context_;
  peer_server_options options_;
  peer_handler handler_;
  detail::listener listener_;
  /// Open links by thread; each set is used on its thread only.
  std::vector<std::set<std::shared_ptr<peer_link>>> links_;
};

peer_server::peer_server(fiber_runtime& runtime, peer_context& context, peer_server_options options,
                         peer_handler handler)
    : impl_(std::make_shared<impl>(runtime, context, std::move(options), std::move(handler))) {}

peer_server::~peer_server() = default;

std::string peer_server::Start() { return impl_->Start(); }
std::uint16_t peer_server::port() const { return impl_->port(); }
void peer_server::Stop() { impl_->Stop(); }

}  // namespace siskinrack::net
