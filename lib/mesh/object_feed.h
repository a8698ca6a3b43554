#ifndef SISKINRACK_LIB_MESH_OBJECT_FEED_H_
#define SISKINRACK_LIB_MESH_OBJECT_FEED_H_

#include <algorithm>
#include <chrono>
#include <optional>
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
/// object. It may have OnProved(time), which is called after an answer that is not stale, and after
/// the changes in it, with the time at which the answer was requested.
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

  /// Returns true while a watch call waits. Any other call of the feed ends by its own time limit.
  [[nodiscard]] bool watching() const { return watch_cancel_ != nullptr; }
  /// Returns when the store last answered a call of this feed; the epoch before the first answer.
  [[nodiscard]] net::steady_time last_answer() const { return last_answer_; }
  [[nodiscard]] std::string_view kind() const { return kind_; }

  /// Makes each answer prove the age of what the consumer knows, at least once per `wait`, or no
  /// longer. A waiting call that was started with a longer wait is interrupted.
  void SetProving(bool proving, std::chrono::milliseconds wait) {
    const bool begins = proving && !proving_;
    proving_ = proving;
    max_wait_ = proving ? wait : kMaxWatchWait;
    if (begins) Interrupt();
  }

  /// Makes each list a proof, also while this node doesn't prove the changes after it.
  void SetProvingLists() { proves_lists_ = true; }

  /// Reads the changes that the feed has not received, with a watch call of its own that doesn't
  /// wait. If there are any, applies them and interrupts the waiting watch call, whose connection
  /// may be silent. Returns the revision of the store, or std::nullopt if it doesn't answer. The
  /// answer may be stale if `freshness` allows it. May be called from another fiber than Run.
  std::optional<std::uint64_t> Verify(platform_adapter::read_freshness freshness) {
    if (!listed_) return std::nullopt;
    const auto requested_at = support::boot_clock::now();
    const std::uint64_t since = std::max(revision_, verified_revision_);
    auto result = context_.store.Watch(kind_, freshness, since, kRecoveryWatchWait);
    if (const auto* error = std::get_if<platform_adapter::store_error>(&result)) {
      context_.log.Info(
          "store_probe_failed",
          {{"kind", kind_}, {"error", platform::ToText(error->code)}, {"detail", error->message}});
      // The watch call may be receiving changes over a busy link, so only a definite answer ends
      // it.
      if (error->code == platform_adapter::store_errc::kHistoryGone) Interrupt();
      return std::nullopt;
    }
    auto& changes = std::get<platform_adapter::object_changes>(result);
    const std::uint64_t newest = changes.revision;
    const bool changed = !changes.events.empty();
    verified_revision_ = std::max(since, newest);
    // Otherwise the feed has received changes meanwhile, which may be newer than these.
    if (changed && revision_ <= since) {
      context_.log.Warn("watch_silent",
                        {{"kind", kind_}, {"seen", revision_}, {"newest", changes.revision}});
      Interrupt();
      Apply(std::move(changes), "check");
    }
    const bool complete = !changed || revision_ >= newest;
    if (complete && freshness == platform_adapter::read_freshness::kCurrent) {
      ReportProof(requested_at);
    }
    return verified_revision_;
  }

  /// Reads the current version of the polled object, of which there is a newer one according to
  /// other nodes. Returns false if the store doesn't answer. May be called from another fiber than
  /// Run.
  bool ReadPolled() {
    // Closes idle connections that are silent.
    if (!listed_ || !std::holds_alternative<std::uint64_t>(context_.store.ReadRecentRevision())) {
      return false;
    }
    auto result = context_.store.Get(kind_, polled_);
    auto* object = std::get_if<platform_adapter::versioned_object>(&result);
    if (object == nullptr) return false;
    if (object->revision > revision_) {
      context_.log.Warn("watch_silent",
                        {{"kind", kind_}, {"seen", revision_}, {"newest", object->revision}});
      Interrupt();
      ApplyPolled(std::move(*object), "peers");
    }
    return true;
  }

  /// Cancels a watch call that may never be answered; watching resumes once the store answers.
  void Interrupt() {
    if (watch_cancel_ != nullptr) watch_cancel_->Cancel();
  }

 private:
  /// The pause after a single change is `pause_` divided by this number: short enough that a second
  /// watch call returns few versions if the change began a series.
  static constexpr int kSeriesDetectionDivisor = 4;

  void List() {
    const auto requested_at = support::boot_clock::now();
    // A stale list may be older than the remaining history, so that no watch could continue from
    // it.
    const auto freshness = history_gone_ || proving_ || proves_lists_
                               ? platform_adapter::read_freshness::kCurrent
                               : freshness_;
    auto result = context_.store.List(kind_, freshness);
    if (const auto* error = std::get_if<platform_adapter::store_error>(&result))
      return OnError(*error);
    auto& listing = std::get<platform_adapter::object_listing>(result);
    LogReceived("list", listing.objects.size(), listing.revision);
    revision_ = listing.revision;
    listed_ = true;
    history_gone_ = false;
    last_answer_ = std::chrono::steady_clock::now();
    // A list is complete, unlike the changes that a watch call brings after a failure.
    if (polled_.empty()) failed_ = false;
    RecordUnnamed(listing.unnamed);
    consumer_.OnList(std::move(listing));
    if (freshness == platform_adapter::read_freshness::kCurrent) ReportProof(requested_at);
  }

  void Watch() {
    // While calls failed, versions of the polled object may have accumulated; a watch call would
    // return all of them.
    if (failed_ && !polled_.empty() && !Poll()) return;
    failed_ = false;
    net::cancellation cancel;
    watch_cancel_ = &cancel;
    const auto requested_at = support::boot_clock::now();
    const auto freshness = proving_ ? platform_adapter::read_freshness::kCurrent : freshness_;
    auto result = context_.store.Watch(kind_, freshness, revision_,
                                       recovering_ ? kRecoveryWatchWait : max_wait_, &cancel);
    watch_cancel_ = nullptr;
    if (const auto* error = std::get_if<platform_adapter::store_error>(&result)) {
      if (cancel.cancelled()) {
        recovering_ = true;
        return;
      }
      if (error->code != platform_adapter::store_errc::kHistoryGone) return OnError(*error);
      context_.log.Info("history_gone", {{"kind", kind_}, {"revision", revision_}});
      listed_ = false;
      history_gone_ = true;
      return;
    }
    recovering_ = false;
    auto& changes = std::get<platform_adapter::object_changes>(result);
    const bool changed = !changes.events.empty();
    Apply(std::move(changes), "watch");
    last_answer_ = std::chrono::steady_clock::now();
    if (freshness == platform_adapter::read_freshness::kCurrent) ReportProof(requested_at);
    if (changed) AwaitMoreChanges();
  }

  /// Applies changes that a call of the kind `source` has brought.
  void Apply(platform_adapter::object_changes changes, std::string_view source) {
    if (!changes.events.empty()) LogReceived(source, changes.events.size(), changes.revision);
    revision_ = std::max(revision_, changes.revision);
    RecordUnnamed(changes.unnamed);
    for (std::size_t i = 0; i < changes.events.size(); ++i) {
      if (!IsSuperseded(changes.events, i)) consumer_.OnChange(std::move(changes.events[i]));
    }
  }

  /// Waits after a change, so that further ones arrive with fewer calls.
  void AwaitMoreChanges() {
    if (polled_.empty()) return net::SleepFor(pause_);
    const auto now = std::chrono::steady_clock::now();
    const bool is_series = now - last_change_ < 2 * pause_;
    last_change_ = now;
    if (!is_series) return net::SleepFor(pause_ / kSeriesDetectionDivisor);
    std::uint64_t last = 0;
    do {
      last = revision_;
      net::SleepFor(pause_);
    } while (Poll() && revision_ > last);
  }

  /// Reads the polled object; returns false if it can't be read. One that was deleted has no state
  /// to read; watching tells of the next one.
  bool Poll() {
    const auto requested_at = support::boot_clock::now();
    auto result = context_.store.Get(kind_, polled_);
    if (const auto* error = std::get_if<platform_adapter::store_error>(&result)) {
      if (error->code == platform_adapter::store_errc::kNotFound) return true;
      OnError(*error);
      return false;
    }
    auto& object = std::get<platform_adapter::versioned_object>(result);
    if (object.revision > revision_) ApplyPolled(std::move(object), "poll");
    last_answer_ = std::chrono::steady_clock::now();
    ReportProof(requested_at);
    return true;
  }

  /// Applies a version of the polled object that is newer than `revision_`.
  void ApplyPolled(platform_adapter::versioned_object object, std::string_view source) {
    LogReceived(source, 1, object.revision);
    revision_ = object.revision;
    last_change_ = std::chrono::steady_clock::now();
    consumer_.OnChange({std::move(object), /*deleted=*/false});
  }

  /// Logs which call has brought objects, and for how long the feed had no answer before it.
  /// Changes of a kind without a polled object are logged only if the watch call did not bring
  /// them: the consumer logs each of them.
  void LogReceived(std::string_view source, std::size_t objects, std::uint64_t revision) {
    if (polled_.empty() && source == "watch") return;
    const auto silence = std::chrono::steady_clock::now() - last_answer_;
    const bool first = last_answer_ == net::steady_time{};
    const auto silent_ms = std::chrono::duration_cast<std::chrono::milliseconds>(silence).count();
    context_.log.Info("objects_received", {{"kind", kind_},
                                           {"source", source},
                                           {"objects", objects},
                                           {"revision", revision},
                                           {"previous", revision_},
                                           {"silent_ms", first ? 0 : silent_ms}});
  }

  void ReportProof(support::boot_clock::time_point requested_at) {
    if (failed_) return;
    if constexpr (requires { consumer_.OnProved(requested_at); }) consumer_.OnProved(requested_at);
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
    // One of them may be the polled object.
    if (!problems.empty()) failed_ = true;
  }

  void OnError(const platform_adapter::store_error& error) {
    const auto outage_start = std::chrono::steady_clock::now();
    context_.log.Warn("store_lost", {{"kind", kind_},
                                     {"error", platform::ToText(error.code)},
                                     {"detail", error.message},
                                     {"revision", revision_}});
    WaitForStore(context_);
    recovering_ = true;
    failed_ = true;
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
  /// True after a failure or an interruption, until a watch call has shown that its connection
  /// works.
  bool recovering_ = false;
  /// True after a failure of the store or an answer that could not be read in full, until the
  /// polled object has been read.
  bool failed_ = false;
  /// True while each answer must be a proof, whatever `freshness_` is.
  bool proving_ = false;
  bool proves_lists_ = false;
  std::chrono::milliseconds max_wait_ = kMaxWatchWait;
  net::cancellation* watch_cancel_ = nullptr;
  std::uint64_t revision_ = 0;
  /// Revision up to which the store has shown that there are no changes after `revision_`.
  std::uint64_t verified_revision_ = 0;
  net::steady_time last_answer_{};
};

}  // namespace siskinrack::mesh

#endif  // SISKINRACK_LIB_MESH_OBJECT_FEED_H_
