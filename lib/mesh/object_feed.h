#ifndef SISKINRACK_LIB_MESH_OBJECT_FEED_H_
#define SISKINRACK_LIB_MESH_OBJECT_FEED_H_

#include <chrono>
#include <string_view>

#include "mesh_context.h"
#include "store_recovery.h"

namespace siskinrack::mesh {

/// Longest wait that the store allows for one watch call. A long wait keeps the number of calls and
/// so their cost low; store_monitor detects earlier that the store doesn't answer.
inline constexpr std::chrono::milliseconds kMaxWatchWait{30'000};

/// Wait of the first watch call after a failure: a longer one could block on a connection that no
/// longer answers.
inline constexpr std::chrono::milliseconds kRecoveryWatchWait{1};

/// Follows the objects of one kind: lists them, then watches for changes, and lists again when the
/// store has discarded the history since the last revision. `Consumer` has OnList(object_listing)
/// and OnChange(object_change). It gets objects whose content can't be decoded, too: it leaves out
/// what it can't read, records that in mesh_context::unreadable, and keeps what it has of the
/// object.
///
/// A watch call returns every version of an object since the last call. During a series of changes
/// of a large object, its versions would saturate the link of a small VM. A feed with a polled
/// object therefore reads only its current version, once per pause, until the series ends.
template <typename Consumer>
class object_feed {
 public:
  /// `pause` is the time between two calls during a series of changes; changes made in it arrive
  /// together. `polled` is the name of the object that is read during a series; if it is empty, the
  /// feed goes on watching.
  object_feed(mesh_context& context, std::string_view kind,
              platform_adapter::read_freshness freshness, Consumer& consumer,
              std::chrono::milliseconds pause, std::string_view polled = {})
      : context_(context),
        kind_(kind),
        freshness_(freshness),
        consumer_(consumer),
        pause_(pause),
        polled_(polled) {}

  /// Runs until the process ends, in a fiber of its own.
  void Run() {
    while (true) {
      if (listed_) {
        Watch();
      } else {
        List();
      }
    }
  }

  /// Returns true if the consumer has received a list; false again once the store has discarded the
  /// history, until the next list.
  [[nodiscard]] bool listed() const { return listed_; }
  /// Returns the store revision up to which the consumer has received all changes.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }

  /// Cancels a watch call that may never be answered; watching resumes once the store answers.
  void Interrupt() {
    if (watch_cancel_ != nullptr) watch_cancel_->Cancel();
  }

 private:
  /// The pause after a single change is `pause_` divided by this number: short enough that a second
  /// watch call returns few versions if the change began a series.
  static constexpr int kSeriesDetectionDivisor = 4;

  void List() {
    // A stale list may be older than the remaining history, so that no watch could continue from
    // it.
    auto result = context_.store.List(
        kind_, history_gone_ ? platform_adapter::read_freshness::kCurrent : freshness_);
    if (const auto* error = std::get_if<platform_adapter::store_error>(&result))
      return OnError(*error);
    auto& listing = std::get<platform_adapter::object_listing>(result);
    revision_ = listing.revision;
    listed_ = true;
    history_gone_ = false;
    RecordUnnamed(listing.unnamed);
    consumer_.OnList(std::move(listing));
  }

  void Watch() {
    net::cancellation cancel;
    watch_cancel_ = &cancel;
    auto result = context_.store.Watch(kind_, freshness_, revision_,
                                       recovering_ ? kRecoveryWatchWait : kMaxWatchWait, &cancel);
    watch_cancel_ = nullptr;
    if (const auto* error = std::get_if<platform_adapter::store_error>(&result)) {
      if (error->code != platform_adapter::store_errc::kHistoryGone) return OnError(*error);
      context_.log.Info("history_gone", {{"kind", kind_}, {"revision", revision_}});
      listed_ = false;
      history_gone_ = true;
      return;
    }
    recovering_ = false;
    auto& changes = std::get<platform_adapter::object_changes>(result);
    revision_ = std::max(revision_, changes.revision);
    RecordUnnamed(changes.unnamed);
    for (std::size_t i = 0; i < changes.events.size(); ++i) {
      if (!IsSuperseded(changes.events, i)) consumer_.OnChange(std::move(changes.events[i]));
    }
    if (!changes.events.empty()) AwaitMoreChanges();
  }

  /// Waits after a change, so that further ones arrive with fewer calls.
  void AwaitMoreChanges() {
    if (polled_.empty()) return net::SleepFor(pause_);
    const auto now = std::chrono::steady_clock::now();
    const bool is_series = now - last_change_ < 2 * pause_;
    last_change_ = now;
    if (!is_series) return net::SleepFor(pause_ / kSeriesDetectionDivisor);
    while (PollOnce()) {
    }
  }

  /// Reads the polled object after a pause; returns false if it has not changed or can't be read.
  bool PollOnce() {
    net::SleepFor(pause_);
    auto result = context_.store.Get(kind_, polled_);
    if (const auto* error = std::get_if<platform_adapter::store_error>(&result)) {
      OnError(*error);
      return false;
    }
    auto& object = std::get<platform_adapter::versioned_object>(result);
    if (object.revision <= revision_) return false;
    revision_ = object.revision;
    last_change_ = std::chrono::steady_clock::now();
    consumer_.OnChange({std::move(object), /*deleted=*/false});
    return true;
  }

  /// Returns true if a later event of the batch is about the same object.
  static bool IsSuperseded(const std::vector<platform_adapter::object_change>& events,
                           std::size_t index) {
    for (std::size_t i = index + 1; i < events.size(); ++i) {
      if (events[i].object.name == events[index].object.name) return true;
    }
    return false;
  }

  /// Records objects whose names can't be read. The consumer records the others that it can't read.
  void RecordUnnamed(const std::vector<std::string>& problems) {
    for (const std::string& problem : problems) context_.unreadable.Add(kind_, {}, 0, problem);
  }

  void OnError(const platform_adapter::store_error& error) {
    const auto outage_start = std::chrono::steady_clock::now();
    context_.log.Warn("store_lost", {{"kind", kind_},
                                     {"error", platform::ToText(error.code)},
                                     {"detail", error.message},
                                     {"revision", revision_}});
    WaitForStore(context_);
    recovering_ = true;
    const auto outage = std::chrono::steady_clock::now() - outage_start;
    context_.log.Info(
        "store_regained",
        {{"kind", kind_},
         {"away_ms", std::chrono::duration_cast<std::chrono::milliseconds>(outage).count()}});
  }

  mesh_context& context_;
  std::string_view kind_;
  platform_adapter::read_freshness freshness_;
  Consumer& consumer_;
  std::chrono::milliseconds pause_;
  std::string_view polled_;
  /// Time of the last change of a feed with a polled object.
  net::steady_time last_change_{};
  bool listed_ = false;
  bool history_gone_ = false;
  /// True after a failure, until a watch call has shown that its connection works.
  bool recovering_ = false;
  net::cancellation* watch_cancel_ = nullptr;
  std::uint64_t revision_ = 0;
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_OBJECT_FEED_H_
