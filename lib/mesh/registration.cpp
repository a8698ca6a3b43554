#include "registration.h"

#include "endpoint_consumer.h"
#include "instance_codec.h"
#include "siskinrack/routing/endpoint_record.h"
#include "store_recovery.h"

namespace siskinrack::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr unsigned kStatusBadRequest = 400;
constexpr unsigned kStatusNotFound = 404;
/// An acknowledgement counts if it arrives within a second.
constexpr milliseconds kPublishWait{500};
constexpr milliseconds kRetryPause{150};
/// Heartbeats missed before the upstream is taken as gone: one may be seconds late.
constexpr int kMissedHeartbeats = 4;

}  // namespace

net::http_response registration::Handle(const net::http_request& request) {
  support::findings problems;
  const auto call = fleet::ReadInstanceCall(request, problems);
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
      return fleet::AcknowledgeInstance();
    }
    const bool new_life = !before || !(before->life == report->life);
    const bool leaving = instance_.leaving_since().has_value();
    if (new_life || leaving != was_leaving) {
      context_.log.Info("instance_state", {{"instance", report->life.instance_id},
                                           {"born_ms", report->life.born_ms},
                                           {"service", report->service},
                                           {"slots", report->slots},
                                           {"draining", leaving}});
    }
    if (!UpToDate()) Wake();
    if (leaving) AwaitPublished();
    return fleet::AcknowledgeInstance();
  }
  if (const auto* departure = std::get_if<fleet::instance_departure>(&call)) {
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    const std::int64_t wall_ms = std::chrono::duration_cast<milliseconds>(wall).count();
    const bool known =
        instance_.OnDeparture(departure->instance_id, departure->born_ms, now, wall_ms);
    context_.log.Info("instance_left", {{"instance", departure->instance_id}, {"current", known}});
    Wake();
    AwaitPublished();
    return fleet::AcknowledgeInstance();
  }
  return {kStatusNotFound, {}, "no such resource\n"};
}

bool registration::Alive() const {
  if (!instance_.current() || instance_.has_departed()) return false;
  return steady_clock::now() - instance_.last_report() <
         kMissedHeartbeats * context_.settings.heartbeat_interval;
}

std::optional<routing::endpoint> registration::Wanted() const {
  if (!Alive()) return std::nullopt;
  const routing::instance_report& report = *instance_.current();
  const bool leaving = instance_.leaving_since().has_value();
  return routing::endpoint{
      report.life,
      report.service,
      context_.settings.zone,
      context_.settings.peer_address,
      report.slots,
      leaving ? routing::instance_state::kDraining : routing::instance_state::kReady};
}

bool registration::UpToDate() const {
  // Until the first heartbeat it is not known which record is the right one.
  if (!instance_.current()) return true;
  const auto wanted = Wanted();
  if (!wanted) return known_.empty();
  return published_ == wanted && known_.size() == 1 && known_.contains(wanted->life.instance_id);
}

void registration::OnOwnRecord(const std::string& instance_id, std::uint64_t revision) {
  if (revision != 0) {
    known_[instance_id] = std::max(known_[instance_id], revision);
  } else if (known_.erase(instance_id) > 0) {
    published_.reset();
  }
  if (!UpToDate()) Wake();
}

void registration::Wake() { changed_.notify_all(); }

void registration::AwaitPublished() {
  const auto end = steady_clock::now() + kPublishWait;
  std::unique_lock lock(mutex_);
  while (!UpToDate()) {
    if (changed_.wait_until(lock, end) == boost::fibers::cv_status::timeout) break;
  }
}

void registration::Run() {
  while (true) {
    {
      std::unique_lock lock(mutex_);
      while (UpToDate()) changed_.wait_for(lock, context_.settings.heartbeat_interval);
    }
    if (!Advance()) net::SleepFor(kRetryPause);
    Wake();
  }
}

bool registration::Advance() {
  const auto wanted = Wanted();
  if (const auto outdated = Outdated(wanted)) return Remove(outdated->first, outdated->second);
  return !wanted || Write(*wanted);
}

std::optional<std::pair<std::string, std::uint64_t>> registration::Outdated(
    const std::optional<routing::endpoint>& wanted) const {
  for (const auto& [id, revision] : known_) {
    if (!wanted || id != wanted->life.instance_id) return std::pair(id, revision);
  }
  return std::nullopt;
}

bool registration::Write(const routing::endpoint& wanted) {
  const std::string id = wanted.life.instance_id;
  const auto known = known_.find(id);
  auto result =
      known == known_.end()
          ? context_.store.Create(kEndpointKind, id, routing::ToRecord(wanted))
          : context_.store.Replace(kEndpointKind, id, routing::ToRecord(wanted), known->second);
  if (const auto* object = std::get_if<fleet::kept_object>(&result)) {
    known_[id] = std::max(known_[id], object->revision);
    published_ = wanted;
    context_.endpoints.Upsert(wanted);
    return true;
  }
  OnWriteError("endpoint_write_failed", id, std::get<fleet::store_error>(result));
  return false;
}

bool registration::Remove(const std::string& id, std::uint64_t revision) {
  const auto result = context_.store.Remove(kEndpointKind, id, revision);
  const auto* error = std::get_if<fleet::store_error>(&result);
  if (error == nullptr || error->code == fleet::store_errc::kNotFound) {
    known_.erase(id);
    published_.reset();
    context_.endpoints.Remove(id);
    return true;
  }
  OnWriteError("endpoint_removal_failed", id, *error);
  return false;
}

void registration::OnWriteError(std::string_view event, const std::string& id,
                                const fleet::store_error& error) {
  context_.log.Warn(
      event, {{"instance", id}, {"error", platform::Name(error.code)}, {"detail", error.message}});
  if (error.code == fleet::store_errc::kUnavailable) return AwaitStore(context_);
  // The record may have been written after all, or by an earlier run of this process.
  Learn(id);
}

void registration::Learn(const std::string& instance_id) {
  const auto result = context_.store.Get(kEndpointKind, instance_id);
  if (const auto* object = std::get_if<fleet::kept_object>(&result)) {
    known_[instance_id] = object->revision;
    return;
  }
  if (std::get<fleet::store_error>(result).code != fleet::store_errc::kNotFound) {
    return AwaitStore(context_);
  }
  known_.erase(instance_id);
  published_.reset();
}

}  // namespace siskinrack::mesh
