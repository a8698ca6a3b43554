#ifndef SISKINRACK_LIB_MESH_OBJECT_FEED_H_
#define SISKINRACK_LIB_MESH_OBJECT_FEED_H_

#include <chrono>
#include <string_view>

#include "mesh_context.h"
#include "store_recovery.h"

namespace siskinrack::mesh {

/// Longest wait of one watch call that the store grants. Each call has its price; store_monitor
/// finds out sooner if the store has gone silent.
inline constexpr std::chrono::milliseconds kWatchWait{30'000};

/// Wait of the first watch call after a failure: a longer one would wait on a connection that may
/// be silent.
inline constexpr std::chrono::milliseconds kFirstWatchWait{1};

/// Keeps up with the objects of one kind: lists them, then watches for changes, and lists again
/// when the store has forgotten its history. `Consumer` has OnList(object_listing) and
/// OnChange(object_change).
template <typename Consumer>
class object_feed {
 public:
  /// `pause` is the time between two watch calls; changes in between arrive together.
  object_feed(mesh_context& context, std::string_view kind, fleet::read_freshness freshness,
              Consumer& consumer, std::chrono::milliseconds pause)
      : context_(context), kind_(kind), freshness_(freshness), consumer_(consumer), pause_(pause) {}

  /// Runs for the life of the process, in a fiber of its own.
  void Run() {
    while (true) {
      if (listed_) {
        Watch();
      } else {
        List();
      }
    }
  }

  [[nodiscard]] bool listed() const { return listed_; }
  /// State of the store that the consumer has seen.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }

  /// Ends a watch call that may never be answered; the next one follows once the store answers.
  void Interrupt() {
    if (watch_cancel_ != nullptr) watch_cancel_->Cancel();
  }

 private:
  void List() {
    // A stale list may be older than the history that is left, so that no watch could go on from
    // it.
    auto result =
        context_.store.List(kind_, history_gone_ ? fleet::read_freshness::kCurrent : freshness_);
    if (const auto* error = std::get_if<fleet::store_error>(&result)) return OnError(*error);
    auto& listing = std::get<fleet::object_listing>(result);
    revision_ = listing.revision;
    listed_ = true;
    history_gone_ = false;
    consumer_.OnList(std::move(listing));
  }

  void Watch() {
    net::cancellation cancel;
    watch_cancel_ = &cancel;
    auto result = context_.store.Watch(kind_, freshness_, revision_,
                                       unproven_ ? kFirstWatchWait : kWatchWait, &cancel);
    watch_cancel_ = nullptr;
    if (const auto* error = std::get_if<fleet::store_error>(&result)) {
      if (error->code != fleet::store_errc::kHistoryGone) return OnError(*error);
      context_.log.Info("history_gone", {{"kind", kind_}, {"revision", revision_}});
      listed_ = false;
      history_gone_ = true;
      return;
    }
    unproven_ = false;
    auto& changes = std::get<fleet::object_changes>(result);
    revision_ = std::max(revision_, changes.revision);
    for (std::size_t i = 0; i < changes.events.size(); ++i) {
      if (!IsSuperseded(changes.events, i)) consumer_.OnChange(std::move(changes.events[i]));
    }
    if (!changes.events.empty() && pause_.count() > 0) net::SleepFor(pause_);
  }

  /// Whether a later event of the batch concerns the same object.
  static bool IsSuperseded(const std::vector<fleet::object_change>& events, std::size_t index) {
    for (std::size_t i = index + 1; i < events.size(); ++i) {
      if (events[i].object.name == events[index].object.name) return true;
    }
    return false;
  }

  void OnError(const fleet::store_error& error) {
    const auto lost_since = std::chrono::steady_clock::now();
    context_.log.Warn("store_lost", {{"kind", kind_},
                                     {"error", platform::Name(error.code)},
                                     {"detail", error.message},
                                     {"revision", revision_}});
    AwaitStore(context_);
    unproven_ = true;
    const auto gone = std::chrono::steady_clock::now() - lost_since;
    context_.log.Info(
        "store_regained",
        {{"kind", kind_},
         {"away_ms", std::chrono::duration_cast<std::chrono::milliseconds>(gone).count()}});
  }

  mesh_context& context_;
  std::string_view kind_;
  fleet::read_freshness freshness_;
  Consumer& consumer_;
  std::chrono::milliseconds pause_;
  bool listed_ = false;
  bool history_gone_ = false;
  /// The next watch call has to show that its connection works.
  bool unproven_ = false;
  net::cancellation* watch_cancel_ = nullptr;
  std::uint64_t revision_ = 0;
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_OBJECT_FEED_H_
