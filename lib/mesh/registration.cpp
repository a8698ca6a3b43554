#include "registration.h"

#include "call_answers.h"
#include "endpoint_consumer.h"
#include "instance_codec.h"
#include "siskinrack/routing/endpoint_record.h"
#include "store_recovery.h"

namespace siskinrack::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Longest wait for the store before a call of the upstream is acknowledged. An acknowledgement is
/// valid only if it arrives within a second.
constexpr milliseconds kMaxPublishWait{500};
constexpr milliseconds kRetryDelay{150};
/// Time after the start in which the record of each lifetime is read before its first heartbeat is
/// applied. Later the watch of the records has delivered what earlier processes wrote: stale reads
/// are seconds old.
constexpr std::chrono::seconds kReadRecordsTime{30};
/// Missed heartbeats after which the upstream counts as gone; one heartbeat may be seconds late.
constexpr int kMaxMissedHeartbeats = 4;

}  // namespace

net::http_response registration::Handle(const net::http_request& request) {
  support::findings problems;
  const auto call = platform_adapter::ReadInstanceCall(request, problems);
  if (!problems.empty()) {
    context_.log.Warn("heartbeat_unreadable",
                      {{"target", request.target}, {"findings", problems.ToText()}});
    return {kStatusBadRequest, {}, problems.ToText()};
  }
  const auto now = steady_clock::now();
  if (const auto* report = std::get_if<routing::instance_report>(&call)) {
    if (!CheckRecord(report->life)) {
      context_.log.Info("heartbeat_held", {{"instance", report->life.instance_id},
                                           {"born_ms", report->life.born_ms}});
      return platform_adapter::MakeAcknowledgement();
    }
    const auto before = instance_.current();
    const bool was_leaving = instance_.leaving_since().has_value();
    if (instance_.OnReport(*report, now) == routing::report_result::kOutdated) {
      context_.log.Info("heartbeat_outdated", {{"instance", report->life.instance_id},
                                               {"born_ms", report->life.born_ms},
                                               {"sequence", report->sequence}});
      return platform_adapter::MakeAcknowledgement();
    }
    const bool is_new_lifetime = !before || !(before->life == report->life);
    const bool leaving = instance_.leaving_since().has_value();
    if (is_new_lifetime || leaving != was_leaving) {
      context_.log.Info("instance_state", {{"instance", report->life.instance_id},
                                           {"born_ms", report->life.born_ms},
                                           {"service", report->service},
                                           {"slots", report->slots},
                                           {"draining", leaving}});
    }
    if (!IsUpToDate()) NotifyChanged();
    if (leaving) WaitUntilPublished();
    return platform_adapter::MakeAcknowledgement();
  }
  if (const auto* departure = std::get_if<platform_adapter::instance_departure>(&call)) {
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    const std::int64_t wall_ms = std::chrono::duration_cast<milliseconds>(wall).count();
    const bool is_current =
        instance_.OnDeparture(departure->instance_id, departure->born_ms, now, wall_ms);
    context_.log.Info("instance_left",
                      {{"instance", departure->instance_id}, {"current", is_current}});
    if (is_current) {
      const routing::instance_report& last = *instance_.current();
      departures_[last.life.instance_id] = {last.life,
                                            last.service,
                                            context_.settings.zone,
                                            context_.settings.peer_address,
                                            last.slots,
                                            routing::instance_state::kDeparted};
    } else if (!instance_.current() && departure->born_ms) {
      // The last heartbeat went to an earlier process.
      departures_[departure->instance_id] = {{departure->instance_id, *departure->born_ms},
                                             context_.settings.service,
                                             context_.settings.zone,
                                             context_.settings.peer_address,
                                             /*slots=*/1,
                                             routing::instance_state::kDeparted};
    }
    NotifyChanged();
    WaitUntilPublished();
    return platform_adapter::MakeAcknowledgement();
  }
  return {kStatusNotFound, {}, "no such resource\n"};
}

void registration::OnAnnouncedDeparture(const routing::lifetime& life) {
  if (!instance_.OnAnnouncedDeparture(life, steady_clock::now())) return;
  context_.log.Info("instance_leaving",
                    {{"instance", life.instance_id}, {"born_ms", life.born_ms}});
  NotifyChanged();
}

bool registration::CheckRecord(const routing::lifetime& life) {
  const auto now = steady_clock::now();
  if (read_.contains(life)) return true;
  if (now - started_at_ >= kReadRecordsTime && !reading_.contains(life)) return true;
  if (reading_.insert(life).second) net::Spawn([this, life] { ReadRecord(life); });
  std::unique_lock lock(mutex_);
  while (!read_.contains(life)) {
    if (changed_.wait_until(lock, now + kMaxPublishWait) == boost::fibers::cv_status::timeout)
      break;
  }
  return read_.contains(life);
}

void registration::ReadRecord(const routing::lifetime& life) {
  while (true) {
    const auto found = context_.store.Get(kEndpointKind, life.instance_id);
    if (const auto* error = std::get_if<platform_adapter::store_error>(&found)) {
      if (error->code == platform_adapter::store_errc::kNotFound) break;
      WaitForStore(context_);
      continue;
    }
    support::findings problems;
    const auto recorded =
        routing::FromRecord(std::get<platform_adapter::versioned_object>(found).content, problems);
    if (recorded && recorded->life == life) instance_.OnRecord(life, recorded->state);
    break;
  }
  reading_.erase(life);
  read_.insert(life);
  NotifyChanged();
}

void registration::OnDepartureRecord(const routing::endpoint& departed, std::uint64_t revision) {
  const auto found = revisions_.find(departed.life.instance_id);
  if (found != revisions_.end() && found->second <= revision) {
    revisions_.erase(found);
    published_.reset();
  }
  if (departed.node_address == context_.settings.peer_address) {
    instance_.OnRecord(departed.life, departed.state);
  }
  if (!IsUpToDate()) NotifyChanged();
}

bool registration::IsAlive() const {
  if (!instance_.current() || instance_.has_departed()) return false;
  return steady_clock::now() - instance_.last_report() <
         kMaxMissedHeartbeats * context_.settings.heartbeat_interval;
}

std::optional<routing::endpoint> registration::MakeDesiredRecord() const {
  if (!IsAlive()) return std::nullopt;
  const routing::instance_report& report = *instance_.current();
  const bool leaving = instance_.leaving_since().has_value();
  return routing::endpoint{
      report.life,
      report.service,
      context_.settings.zone,
      context_.settings.peer_address,
      report.slots,
      leaving ? routing::instance_state::kDraining : routing::instance_state::kReady,
      context_.settings.rollouts ? report.software_version : std::string()};
}

bool registration::IsUpToDate() const {
  if (!departures_.empty()) return false;
  // The desired record is unknown until the first heartbeat.
  if (!instance_.current()) return true;
  const auto desired = MakeDesiredRecord();
  if (!desired) return revisions_.empty();
  return published_ == desired && revisions_.size() == 1 &&
         revisions_.contains(desired->life.instance_id);
}

void registration::OnOwnRecord(const std::string& instance_id, std::uint64_t revision) {
  if (revision != 0) {
    revisions_[instance_id] = std::max(revisions_[instance_id], revision);
  } else if (revisions_.erase(instance_id) > 0) {
    published_.reset();
  }
  if (!IsUpToDate()) NotifyChanged();
}

void registration::NotifyChanged() { changed_.notify_all(); }

void registration::WaitUntilPublished() {
  const auto end = steady_clock::now() + kMaxPublishWait;
  std::unique_lock lock(mutex_);
  while (!IsUpToDate()) {
    if (changed_.wait_until(lock, end) == boost::fibers::cv_status::timeout) break;
  }
}

void registration::Run() {
  while (true) {
    {
      std::unique_lock lock(mutex_);
      while (IsUpToDate()) changed_.wait_for(lock, context_.settings.heartbeat_interval);
    }
    if (!ReconcileOnce()) net::SleepFor(kRetryDelay);
    NotifyChanged();
  }
}

bool registration::ReconcileOnce() {
  if (!departures_.empty()) return WriteDeparture(routing::endpoint(departures_.begin()->second));
  const auto desired = MakeDesiredRecord();
  if (const auto outdated = FindOutdated(desired)) return Remove(outdated->first, outdated->second);
  return !desired || Write(*desired);
}

std::optional<std::pair<std::string, std::uint64_t>> registration::FindOutdated(
    const std::optional<routing::endpoint>& desired) const {
  for (const auto& [id, revision] : revisions_) {
    if (!desired || id != desired->life.instance_id) return std::pair(id, revision);
  }
  return std::nullopt;
}

std::uint64_t registration::Store(const routing::endpoint& entry) {
  const std::string& id = entry.life.instance_id;
  const auto revision = revisions_.find(id);
  auto result =
      revision == revisions_.end()
          ? context_.store.Create(kEndpointKind, id, routing::ToRecord(entry))
          : context_.store.Replace(kEndpointKind, id, routing::ToRecord(entry), revision->second);
  if (const auto* object = std::get_if<platform_adapter::versioned_object>(&result)) {
    return object->revision;
  }
  OnWriteError("endpoint_write_failed", id, std::get<platform_adapter::store_error>(result));
  return 0;
}

bool registration::Write(const routing::endpoint& desired) {
  const std::uint64_t revision = Store(desired);
  if (revision == 0) return false;
  std::uint64_t& known = revisions_[desired.life.instance_id];
  known = std::max(known, revision);
  published_ = desired;
  context_.endpoints.Upsert(desired);
  return true;
}

bool registration::WriteDeparture(const routing::endpoint& departed) {
  if (Store(departed) == 0) return false;
  const std::string& id = departed.life.instance_id;
  const auto pending = departures_.find(id);
  if (pending != departures_.end() && pending->second == departed) departures_.erase(pending);
  // The record stays: endpoint_reaper removes it when it is due.
  revisions_.erase(id);
  if (published_ && published_->life.instance_id == id) published_.reset();
  context_.endpoints.Remove(id);
  return true;
}

bool registration::Remove(const std::string& id, std::uint64_t revision) {
  const auto result = context_.store.Remove(kEndpointKind, id, revision);
  const auto* error = std::get_if<platform_adapter::store_error>(&result);
  if (error == nullptr || error->code == platform_adapter::store_errc::kNotFound) {
    revisions_.erase(id);
    published_.reset();
    context_.endpoints.Remove(id);
    return true;
  }
  OnWriteError("endpoint_removal_failed", id, *error);
  return false;
}

void registration::OnWriteError(std::string_view event, const std::string& id,
                                const platform_adapter::store_error& error) {
  context_.log.Warn(
      event,
      {{"instance", id}, {"error", platform::ToText(error.code)}, {"detail", error.message}});
  if (error.code == platform_adapter::store_errc::kUnavailable) return WaitForStore(context_);
  // This write may have succeeded despite the error, or an earlier run of this process may have
  // written the record.
  ReadRevision(id);
}

void registration::ReadRevision(const std::string& instance_id) {
  const auto result = context_.store.Get(kEndpointKind, instance_id);
  if (const auto* object = std::get_if<platform_adapter::versioned_object>(&result)) {
    support::findings problems;
    const auto recorded = routing::FromRecord(object->content, problems);
    const auto desired = MakeDesiredRecord();
    const bool is_wanted =
        departures_.contains(instance_id) || (desired && desired->life.instance_id == instance_id);
    // The record of a departure is replaced by a later lifetime only.
    if (recorded && recorded->state == routing::instance_state::kDeparted && !is_wanted) {
      revisions_.erase(instance_id);
    } else {
      revisions_[instance_id] = object->revision;
    }
    return;
  }
  if (std::get<platform_adapter::store_error>(result).code !=
      platform_adapter::store_errc::kNotFound) {
    return WaitForStore(context_);
  }
  revisions_.erase(instance_id);
  published_.reset();
}

}  // namespace siskinrack::mesh
