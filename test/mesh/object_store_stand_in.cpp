#include "object_store_stand_in.h"

#include <algorithm>

namespace siskinrack::test {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

/// End of the path of a call for the status of an object.
constexpr std::string_view kStatusPath = "/status";
constexpr std::string_view kPath = "/api/objects/";
/// Objects per page; small, so that lists are read in several pages.
constexpr std::size_t kPageSize = 2;
constexpr milliseconds kPollInterval{5};

net::http_response MakeAnswer(unsigned status, const json::value& body) {
  return {status, {{"Content-Type", "application/json"}}, json::serialize(body)};
}

std::uint64_t ParseNumber(const std::string& text) {
  return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
}

std::string DecodePercent(const std::string& text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

void WaitUntilCancelled(net::cancellation& cancel) {
  while (!cancel.cancelled()) net::SleepFor(kPollInterval);
}

}  // namespace

object_store_stand_in::object_store_stand_in(net::fiber_runtime& runtime,
                                             support::socket_address address)
    : server_(runtime, {.address = std::move(address)},
              [this](const net::http_request& request, net::cancellation& cancel) {
                return Handle(request, cancel);
              }) {
  server_.Start();
}

object_store_stand_in::~object_store_stand_in() { server_.Stop(); }

std::uint64_t object_store_stand_in::Write(const std::string& kind, const std::string& name,
                                           json::value spec) {
  const std::lock_guard lock(mutex_);
  return Store(kind, name, std::move(spec));
}

json::value object_store_stand_in::Read(const std::string& kind, const std::string& name) const {
  const std::lock_guard lock(mutex_);
  const auto found = kinds_.find(kind);
  if (found == kinds_.end() || !found->second.contains(name)) return nullptr;
  return found->second.at(name).spec;
}

std::size_t object_store_stand_in::Count(const std::string& kind) const {
  const std::lock_guard lock(mutex_);
  const auto found = kinds_.find(kind);
  return found == kinds_.end() ? 0 : found->second.size();
}

void object_store_stand_in::SetDown(bool down) {
  const std::lock_guard lock(mutex_);
  down_ = down;
}

void object_store_stand_in::SetSilent(bool silent) {
  const std::lock_guard lock(mutex_);
  silent_ = silent;
  if (silent) ++silence_count_;
}

void object_store_stand_in::SilenceWatches(const std::string& kind) {
  const std::lock_guard lock(mutex_);
  ++silenced_watches_[kind];
}

void object_store_stand_in::LoseWriteAnswers(int count) {
  const std::lock_guard lock(mutex_);
  unanswered_writes_ = count;
}

std::size_t object_store_stand_in::CountNonStaleCalls(const std::string& kind) const {
  const std::lock_guard lock(mutex_);
  const auto found = non_stale_calls_.find(kind);
  return found == non_stale_calls_.end() ? 0 : found->second;
}

void object_store_stand_in::FreezeStaleReads(bool frozen) {
  const std::lock_guard lock(mutex_);
  stale_revision_ = frozen ? revision_ : 0;
}

void object_store_stand_in::SetStaleLag(milliseconds lag) {
  const std::lock_guard lock(mutex_);
  stale_lag_ = lag;
}

std::size_t object_store_stand_in::CountLists(const std::string& kind) const {
  const std::lock_guard lock(mutex_);
  const auto found = list_counts_.find(kind);
  return found == list_counts_.end() ? 0 : found->second;
}

void object_store_stand_in::ForgetHistory() {
  const std::lock_guard lock(mutex_);
  history_start_ = revision_;
  history_.clear();
}

object_store_stand_in::call object_store_stand_in::Parse(const std::string& target) {
  call result;
  const std::size_t question = target.find('?');
  std::string path = target.substr(kPath.size(), question - kPath.size());
  const std::size_t slash = path.find('/');
  result.kind = path.substr(0, slash);
  if (slash != std::string::npos) result.name = DecodePercent(path.substr(slash + 1));
  std::size_t begin = question;
  while (begin != std::string::npos) {
    ++begin;
    const std::size_t end = target.find('&', begin);
    const std::string pair = target.substr(begin, end - begin);
    const std::size_t equals = pair.find('=');
    result.query[pair.substr(0, equals)] = DecodePercent(pair.substr(equals + 1));
    begin = end;
  }
  return result;
}

json::object object_store_stand_in::ToJson(const std::string& name, const object& stored) {
  return {{"metadata",
           {{"name", name},
            {"revision", static_cast<std::int64_t>(stored.revision)},
            {"created", 1},
            {"finalizers", json::array()},
            {"deleting", false}}},
          {"spec", stored.spec},
          {"status", stored.status}};
}

net::http_response object_store_stand_in::Handle(const net::http_request& request,
                                                 net::cancellation& cancel) {
  if (!request.target.starts_with(kPath)) return {404, {}, {}};
  const call target = Parse(request.target);
  bool silent = false;
  bool down = false;
  {
    const std::lock_guard lock(mutex_);
    if (!target.query.contains("staleOk")) ++non_stale_calls_[target.kind];
    silent = silent_;
    down = down_;
  }
  if (silent) WaitUntilCancelled(cancel);
  if (down) return {503, {}, {}};
  if (request.method != "GET") {
    net::http_response response = Mutate(request, target);
    bool lost = false;
    {
      const std::lock_guard lock(mutex_);
      lost = unanswered_writes_ > 0;
      if (lost) --unanswered_writes_;
    }
    if (lost) WaitUntilCancelled(cancel);
    return response;
  }
  if (target.query.contains("watch")) return Watch(target, cancel);
  if (target.name.empty()) return List(target);
  const std::lock_guard lock(mutex_);
  const auto kind = kinds_.find(target.kind);
  if (kind == kinds_.end() || !kind->second.contains(target.name)) return {404, {}, "{}"};
  return MakeAnswer(200, ToJson(target.name, kind->second.at(target.name)));
}

net::http_response object_store_stand_in::List(const call& request) const {
  const std::lock_guard lock(mutex_);
  json::array items;
  bool has_more = false;
  if (!request.query.contains("after")) ++list_counts_[request.kind];
  const bool stale = request.query.contains("staleOk") && stale_revision_ != 0;
  const std::uint64_t shown = stale ? stale_revision_ : revision_;
  const auto after = request.query.find("after");
  const auto kind = kinds_.find(request.kind);
  if (kind != kinds_.end()) {
    for (const auto& [name, stored] : kind->second) {
      if (after != request.query.end() && name <= after->second) continue;
      has_more = items.size() == kPageSize;
      if (has_more) break;
      items.push_back(ToJson(name, stored));
    }
  }
  return MakeAnswer(200, json::object{{"items", std::move(items)},
                                      {"hasMore", has_more},
                                      {"currentRev", static_cast<std::int64_t>(shown)}});
}

net::http_response object_store_stand_in::Watch(const call& request, net::cancellation& cancel) {
  const std::uint64_t since = ParseNumber(request.query.at("watch"));
  const auto wait = request.query.find("waitMs");
  const auto end = std::chrono::steady_clock::now() +
                   milliseconds(wait == request.query.end() ? 0 : ParseNumber(wait->second));
  std::uint64_t silence = 0;
  std::uint64_t silenced = 0;
  {
    const std::lock_guard lock(mutex_);
    silence = silence_count_;
    silenced = silenced_watches_[request.kind];
  }
  while (true) {
    {
      const std::lock_guard lock(mutex_);
      if (silence == silence_count_ && silenced == silenced_watches_[request.kind]) {
        if (down_) return {503, {}, {}};
        if (since < history_start_) return {410, {}, "{}"};
        const auto newest = std::chrono::steady_clock::now() -
                            (request.query.contains("staleOk") ? stale_lag_ : milliseconds(0));
        std::uint64_t shown = revision_;
        json::array events;
        for (const change& entry : history_) {
          if (entry.at > newest) {
            shown = std::min(shown, entry.revision - 1);
            break;
          }
          if (entry.revision <= since || entry.kind != request.kind) continue;
          events.push_back(json::object{{"object", ToJson(entry.name, entry.state)},
                                        {"deleted", entry.deleted}});
        }
        if (!events.empty() || std::chrono::steady_clock::now() >= end) {
          return MakeAnswer(200, json::object{{"events", std::move(events)},
                                              {"currentRev", static_cast<std::int64_t>(shown)}});
        }
      }
    }
    if (cancel.cancelled()) return {503, {}, {}};
    net::SleepFor(kPollInterval);
  }
}

net::http_response object_store_stand_in::Mutate(const net::http_request& request, call target) {
  const std::lock_guard lock(mutex_);
  json::error_code error;
  const json::value body = json::parse(request.body, error);
  const bool create = request.method == "POST";
  if (create) target.name = json::value_to<std::string>(body.at("metadata").at("name"));
  const bool is_status = target.name.ends_with(kStatusPath);
  if (is_status) target.name.resize(target.name.size() - kStatusPath.size());
  auto& objects = kinds_[target.kind];
  const auto found = objects.find(target.name);
  if (create && found != objects.end()) return MakeAnswer(409, ToJson(target.name, found->second));
  if (!create && found == objects.end()) return {404, {}, "{}"};
  std::uint64_t expected = ParseNumber(target.query["revision"]);
  if (!create && body.is_object() && body.at("metadata").as_object().contains("revision")) {
    expected = body.at("metadata").at("revision").to_number<std::uint64_t>();
  }
  if (!create && expected != 0 && expected != found->second.revision) {
    return MakeAnswer(409, ToJson(target.name, found->second));
  }
  if (request.method == "DELETE") {
    Erase(target.kind, target.name);
    return {200, {}, "{}"};
  }
  if (is_status) {
    StoreStatus(target.kind, target.name, body.at("status"));
  } else {
    Store(target.kind, target.name, body.at("spec"));
  }
  return MakeAnswer(200, ToJson(target.name, objects.at(target.name)));
}

std::uint64_t object_store_stand_in::Store(const std::string& kind, const std::string& name,
                                           json::value spec) {
  object& stored = kinds_[kind][name];
  if (stored.revision != 0 && stored.spec == spec) return stored.revision;
  stored.revision = ++revision_;
  stored.spec = std::move(spec);
  history_.push_back({revision_, kind, name, false, stored});
  return revision_;
}

void object_store_stand_in::StoreStatus(const std::string& kind, const std::string& name,
                                        json::value status) {
  object& stored = kinds_[kind][name];
  if (stored.status == status) return;
  stored.revision = ++revision_;
  stored.status = std::move(status);
  history_.push_back({revision_, kind, name, false, stored});
}

json::value object_store_stand_in::ReadStatus(const std::string& kind,
                                              const std::string& name) const {
  const std::lock_guard lock(mutex_);
  const auto objects = kinds_.find(kind);
  if (objects == kinds_.end()) return nullptr;
  const auto found = objects->second.find(name);
  return found == objects->second.end() ? nullptr : found->second.status;
}

void object_store_stand_in::Erase(const std::string& kind, const std::string& name) {
  object last = kinds_[kind][name];
  kinds_[kind].erase(name);
  last.revision = ++revision_;
  history_.push_back({revision_, kind, name, true, std::move(last)});
}

}  // namespace siskinrack::test
