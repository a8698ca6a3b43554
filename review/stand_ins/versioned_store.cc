#include "versioned_store.hh"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>

#include "http_message.hh"

namespace siskinrack::review {
namespace {

constexpr std::string_view kObjects = "/objects/";
constexpr std::uint64_t kMaxWaitMs = 60'000;

std::string Query(const std::string& target, const std::string& name) {
  std::size_t begin = target.find('?');
  while (begin != std::string::npos) {
    const std::size_t end = target.find('&', ++begin);
    const std::string pair = target.substr(begin, end - begin);
    if (pair.starts_with(name + '=')) return pair.substr(name.size() + 1);
    begin = end;
  }
  return {};
}

std::string Quote(const std::string& text) {
  std::string out = "\"";
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (byte < 0x20 || byte >= 0x7f) {
      char escape[8];
      std::snprintf(escape, sizeof escape, "\\u%04x", byte);
      out += escape;
    } else {
      out += c;
    }
  }
  return out + '"';
}

std::uint64_t ToNumber(const std::string& text) { return std::strtoull(text.c_str(), nullptr, 10); }

}  // namespace

versioned_store::versioned_store(const std::string& ip) : ip_(ip), listener_(Listen(ip, 0)) {
  AcceptForever(listener_, [this](int socket) { Serve(socket); });
}

std::string versioned_store::address() const {
  return ip_ + ':' + std::to_string(LocalPort(listener_));
}

void versioned_store::Serve(int socket) {
  std::string buffer;
  http_message message;
  while (ReadMessage(socket, buffer, message)) {
    if (!WriteAll(socket, Answer(message.Word(0), message.Word(1), message.Field("If-Match"),
                                 message.body))) {
      return;
    }
  }
}

std::string versioned_store::Answer(const std::string& method, const std::string& target,
                                    const std::string& if_match, const std::string& body) {
  std::unique_lock lock(mutex_);
  bool empty = true;
  if (target.starts_with("/objects?")) {
    return Encode("HTTP/1.1 200 OK", {}, ToJson(Query(target, "prefix"), 0, empty));
  }
  if (target.starts_with("/watch?")) {
    const std::uint64_t wait_ms = std::min(kMaxWaitMs, ToNumber(Query(target, "wait_ms")));
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(wait_ms);
    while (true) {
      const std::string text =
          ToJson(Query(target, "prefix"), ToNumber(Query(target, "since")), empty);
      if (!empty || std::chrono::steady_clock::now() >= end) {
        return Encode("HTTP/1.1 200 OK", {}, text);
      }
      changed_.wait_until(lock, end);
    }
  }
  if (!target.starts_with(kObjects)) return Encode("HTTP/1.1 404 Not Found", {}, {});
  const std::string name = target.substr(kObjects.size());
  const auto found = objects_.find(name);
  const std::uint64_t current = found == objects_.end() ? 0 : found->second.version;
  const auto tag = [](std::uint64_t version) { return '"' + std::to_string(version) + '"'; };
  if (method == "GET") {
    if (current == 0) return Encode("HTTP/1.1 404 Not Found", {}, {});
    return Encode("HTTP/1.1 200 OK", {{"ETag", tag(current)}}, found->second.value);
  }
  const std::uint64_t expected = if_match.size() < 2 ? 0 : ToNumber(if_match.substr(1));
  if (expected != current) return Encode("HTTP/1.1 412 Precondition Failed", {}, {});
  ++revision_;
  changed_.notify_all();
  if (method == "DELETE") {
    objects_.erase(name);
    return Encode("HTTP/1.1 200 OK", {}, {});
  }
  objects_[name] = {revision_, body};
  return Encode("HTTP/1.1 200 OK", {{"ETag", tag(revision_)}}, {});
}

std::string versioned_store::ToJson(const std::string& prefix, std::uint64_t newer_than,
                                    bool& empty) const {
  std::string list;
  for (const auto& [name, entry] : objects_) {
    if (!name.starts_with(prefix) || entry.version <= newer_than) continue;
    list += (list.empty() ? "" : ",");
    list += "{\"name\":" + Quote(name) + ",\"version\":" + std::to_string(entry.version) +
            ",\"value\":" + Quote(entry.value) + '}';
  }
  empty = list.empty();
  return "{\"revision\":" + std::to_string(revision_) + ",\"objects\":[" + list + "]}";
}

}  // namespace siskinrack::review
