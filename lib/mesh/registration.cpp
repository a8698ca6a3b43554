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

constexpr unsigned kStatusBadRequest = 400;
/// Longest wait for the store before a call of the upstream is acknowledged. An acknowledgement is
/// valid only if it arrives within a second.
constexpr milliseconds kMaxPublishWait{500};
constexpr milliseconds kRetryDelay{150};
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

bool registration::Write(const routing::endpoint& desired) {
  const std::string id = desired.life.instance_id;
  const auto revision = revisions_.find(id);
  auto result =
      revision == revisions_.end()
          ? context_.store.Create(kEndpointKind, id, routing::ToRecord(desired))
          : context_.store.Replace(kEndpointKind, id, routing::ToRecord(desired), revision->second);
  if (const auto* object = std::get_if<platform_adapter::versioned_object>(&result)) {
    revisions_[id] = std::max(revisions_[id], object->revision);
    published_ = desired;
    context_.endpoints.Upsert(desired);
    return true;
  }
  OnWriteError("endpoint_write_failed", id, std::get<platform_adapter::store_error>(result));
  return false;
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
    revisions_[instance_id] = object->revision;
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
