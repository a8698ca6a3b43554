#include "store.hh"

#include <chrono>
#include <cstdlib>

namespace siskinrack::review {
namespace {

constexpr std::string_view kPath = "/api/objects/";

/// Returns the text of the JSON value that begins at `begin`.
std::string CopyValue(const std::string& text, std::size_t begin) {
  int depth = 0;
  bool quoted = false;
  for (std::size_t i = begin; i < text.size(); ++i) {
    const char c = text[i];
    if (quoted) {
      if (c == '\\') ++i;
      if (c == '"') quoted = false;
      if (c == '"' && depth == 0) return text.substr(begin, i + 1 - begin);
      continue;
    }
    if (c == '"') quoted = true;
    if (c == '{' || c == '[') ++depth;
    if (c == '}' || c == ']') {
      if (depth == 0) return text.substr(begin, i - begin);
      if (--depth == 0) return text.substr(begin, i + 1 - begin);
    }
    if (c == ',' && depth == 0) return text.substr(begin, i - begin);
  }
  return text.substr(begin);
}

/// Returns the text of the first member `name` in a JSON text without white space, or an empty
/// string. The nodes write their bodies without white space.
std::string FindMember(const std::string& text, const std::string& name) {
  const std::string key = '"' + name + "\":";
  const std::size_t at = text.find(key);
  return at == std::string::npos ? std::string() : CopyValue(text, at + key.size());
}

std::string Unquote(const std::string& text) {
  return text.size() >= 2 && text.front() == '"' ? text.substr(1, text.size() - 2) : text;
}

std::string ToJson(const std::string& name, std::uint64_t revision, const std::string& spec) {
  return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + std::to_string(revision) +
         ",\"created\":1,\"finalizers\":[],\"deleting\":false},\"spec\":" + spec +
         ",\"status\":null}";
}

std::uint64_t ToNumber(const std::string& text) { return std::strtoull(text.c_str(), nullptr, 10); }

}  // namespace

store::store(const std::string& ip) : ip_(ip), listener_(Listen(ip, 0)) {
  AcceptForever(listener_, [this](int socket) { Serve(socket); });
}

std::string store::address() const { return ip_ + ':' + std::to_string(LocalPort(listener_)); }

void store::Write(const std::string& kind, const std::string& name, const std::string& spec) {
  const std::lock_guard lock(mutex_);
  Store(kind, name, spec);
}

std::size_t store::Count(const std::string& kind) const {
  const std::lock_guard lock(mutex_);
  const auto found = kinds_.find(kind);
  return found == kinds_.end() ? 0 : found->second.size();
}

bool store::Has(const std::string& kind, const std::string& name) const {
  const std::lock_guard lock(mutex_);
  const auto found = kinds_.find(kind);
  return found != kinds_.end() && found->second.contains(name);
}

void store::Serve(int socket) {
  std::string buffer;
  http_message message;
  while (ReadMessage(socket, buffer, message)) {
    const std::string target = message.Word(1);
    if (!target.starts_with(kPath)) return;
    call request{message.Word(0), {}, {}, {}, message.body};
    const std::size_t question = target.find('?');
    const std::string path = target.substr(kPath.size(), question - kPath.size());
    const std::size_t slash = path.find('/');
    request.kind = path.substr(0, slash);
    if (slash != std::string::npos) request.name = path.substr(slash + 1);
    for (std::size_t begin = question; begin != std::string::npos;) {
      const std::size_t end = target.find('&', ++begin);
      const std::string pair = target.substr(begin, end - begin);
      const std::size_t equals = pair.find('=');
      if (equals != std::string::npos) {
        request.query[pair.substr(0, equals)] = pair.substr(equals + 1);
      }
      begin = end;
    }
    const auto [status, body] = Answer(request);
    if (!WriteAll(socket, Encode("HTTP/1.1 " + std::to_string(status) + " Answer",
                                 {{"Content-Type", "application/json"}}, body))) {
      return;
    }
  }
}

std::pair<int, std::string> store::Answer(const call& request) {
  std::unique_lock lock(mutex_);
  if (request.method != "GET") return Mutate(request);
  if (request.query.contains("watch")) return Watch(request, lock);
  if (request.name.empty()) return List(request);
  const auto& objects = kinds_[request.kind];
  const auto found = objects.find(request.name);
  if (found == objects.end()) return {404, "{}"};
  return {200, ToJson(request.name, found->second.revision, found->second.spec)};
}

std::pair<int, std::string> store::Watch(const call& request, std::unique_lock<std::mutex>& lock) {
  const std::uint64_t since = ToNumber(request.query.at("watch"));
  const auto wait = request.query.find("waitMs");
  const auto end =
      std::chrono::steady_clock::now() +
      std::chrono::milliseconds(wait == request.query.end() ? 0 : ToNumber(wait->second));
  while (true) {
    std::string events;
    for (const change& entry : history_) {
      if (entry.revision <= since || entry.kind != request.kind) continue;
      events += (events.empty() ? "" : ",") + entry.text;
    }
    if (!events.empty() || std::chrono::steady_clock::now() >= end) {
      return {200,
              "{\"events\":[" + events + "],\"currentRev\":" + std::to_string(revision_) + '}'};
    }
    changed_.wait_until(lock, end);
  }
}

std::pair<int, std::string> store::List(const call& request) {
  const auto after = request.query.find("after");
  std::string items;
  for (const auto& [name, stored] : kinds_[request.kind]) {
    if (after != request.query.end() && name <= after->second) continue;
    items += (items.empty() ? "" : ",") + ToJson(name, stored.revision, stored.spec);
  }
  return {200, "{\"items\":[" + items +
                   "],\"hasMore\":false,\"currentRev\":" + std::to_string(revision_) + '}'};
}

std::pair<int, std::string> store::Mutate(call request) {
  const std::string metadata = FindMember(request.body, "metadata");
  const bool create = request.method == "POST";
  if (create) request.name = Unquote(FindMember(metadata, "name"));
  auto& objects = kinds_[request.kind];
  const auto found = objects.find(request.name);
  if (create && found != objects.end()) {
    return {409, ToJson(request.name, found->second.revision, found->second.spec)};
  }
  if (!create && found == objects.end()) return {404, "{}"};
  std::uint64_t expected = ToNumber(request.query["revision"]);
  if (!create && expected == 0) expected = ToNumber(FindMember(metadata, "revision"));
  if (!create && expected != 0 && expected != found->second.revision) {
    return {409, ToJson(request.name, found->second.revision, found->second.spec)};
  }
  if (request.method == "DELETE") {
    const std::string spec = found->second.spec;
    objects.erase(found);
    ++revision_;
    history_.push_back(
        {revision_, request.kind,
         "{\"object\":" + ToJson(request.name, revision_, spec) + ",\"deleted\":true}"});
    changed_.notify_all();
    return {200, "{}"};
  }
  Store(request.kind, request.name, FindMember(request.body, "spec"));
  const object& stored = objects.at(request.name);
  return {200, ToJson(request.name, stored.revision, stored.spec)};
}

void store::Store(const std::string& kind, const std::string& name, const std::string& spec) {
  object& stored = kinds_[kind][name];
  if (stored.revision != 0 && stored.spec == spec) return;
  stored = {++revision_, spec};
  history_.push_back(
      {revision_, kind, "{\"object\":" + ToJson(name, revision_, spec) + ",\"deleted\":false}"});
  changed_.notify_all();
}

}  // namespace siskinrack::review
