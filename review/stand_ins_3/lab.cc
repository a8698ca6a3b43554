#include "lab.hh"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <random>
#include <set>
#include <sstream>

namespace review {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxHead = 1U << 20U;
constexpr std::size_t kPageItems = 500;
/// The command of the deploy file; NODE names another build of it.
const char* FindProgram() {
  const char* other = getenv("NODE");
  return other != nullptr ? other : "target/bin/siskinrack-node";
}

sockaddr_in ToAddress(const endpoint& from) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(from.port));
  inet_pton(AF_INET, from.ip.c_str(), &address.sin_addr);
  return address;
}

int MillisecondsUntil(clock::time_point deadline) {
  const auto left = std::chrono::ceil<milliseconds>(deadline - clock::now()).count();
  return static_cast<int>(std::clamp<std::int64_t>(left, 0, 600'000));
}

std::string Decode(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

std::map<std::string, std::string> ParseQuery(std::string_view query) {
  std::map<std::string, std::string> out;
  std::istringstream in{std::string(query)};
  for (std::string part; std::getline(in, part, '&');) {
    const auto equals = part.find('=');
    out[part.substr(0, equals)] =
        equals == std::string::npos ? std::string() : Decode(part.substr(equals + 1));
  }
  return out;
}

std::vector<std::string>& Directories() {
  static std::vector<std::string> directories;
  return directories;
}

}  // namespace

std::string message::Field(std::string_view name) const {
  for (const auto& [key, value] : fields) {
    if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0) {
      return value;
    }
  }
  return {};
}

int message::Status() const {
  const auto space = start_line.find(' ');
  return space == std::string::npos ? 0 : std::atoi(start_line.c_str() + space + 1);
}

std::string message::Method() const { return start_line.substr(0, start_line.find(' ')); }

std::string message::Target() const {
  const auto first = start_line.find(' ');
  const auto second = start_line.find(' ', first + 1);
  return first == std::string::npos ? std::string()
                                    : start_line.substr(first + 1, second - first - 1);
}

connection connection::Connect(const endpoint& to, milliseconds timeout) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  connection conn(fd);
  const sockaddr_in address = ToAddress(to);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    pollfd state{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (errno != EINPROGRESS || poll(&state, 1, static_cast<int>(timeout.count())) <= 0 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
      conn.Close();
      return conn;
    }
  }
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return conn;
}

bool connection::Send(std::string_view bytes) const {
  while (!bytes.empty()) {
    const ssize_t sent = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent > 0) {
      bytes.remove_prefix(static_cast<std::size_t>(sent));
      continue;
    }
    if (sent < 0 && errno != EAGAIN && errno != EINTR) return false;
    pollfd state{fd_, POLLOUT, 0};
    if (poll(&state, 1, 20'000) <= 0) return false;
  }
  return true;
}

bool connection::Fill(clock::time_point deadline) {
  while (true) {
    pollfd state{fd_, POLLIN, 0};
    if (poll(&state, 1, MillisecondsUntil(deadline)) <= 0) return false;
    char bytes[16'384];
    const ssize_t size = recv(fd_, bytes, sizeof bytes, MSG_DONTWAIT);
    if (size > 0) {
      buffer_.append(bytes, static_cast<std::size_t>(size));
      return true;
    }
    if (size == 0 || (errno != EAGAIN && errno != EINTR)) return false;
  }
}

bool connection::ReadLine(std::string& line, clock::time_point deadline) {
  while (true) {
    const auto end = buffer_.find("\r\n");
    if (end != std::string::npos) {
      line = buffer_.substr(0, end);
      buffer_.erase(0, end + 2);
      return true;
    }
    if (buffer_.size() > kMaxHead || !Fill(deadline)) return false;
  }
}

bool connection::ReadBytes(std::string& out, std::size_t size, clock::time_point deadline) {
  while (buffer_.size() < size) {
    if (!Fill(deadline)) return false;
  }
  out.append(buffer_, 0, size);
  buffer_.erase(0, size);
  return true;
}

bool connection::Read(message& out, clock::time_point deadline, bool head_only) {
  out = {};
  if (!open() || !ReadLine(out.start_line, deadline)) return false;
  for (std::string line; ReadLine(line, deadline);) {
    if (line.empty()) {
      if (head_only) return true;
      if (!out.Field("Transfer-Encoding").empty()) {
        for (std::string size; ReadLine(size, deadline);) {
          const std::size_t bytes = std::stoul(size, nullptr, 16);
          if (bytes > 0 && !ReadBytes(out.body, bytes, deadline)) return false;
          if (!ReadLine(line, deadline)) return false;
          if (bytes == 0) return true;
        }
        return false;
      }
      const std::string length = out.Field("Content-Length");
      return length.empty() || ReadBytes(out.body, std::stoul(length), deadline);
    }
    const auto colon = line.find(':');
    if (colon == std::string::npos) return false;
    const auto value = line.find_first_not_of(" \t", colon + 1);
    out.fields.emplace_back(line.substr(0, colon),
                            value == std::string::npos ? std::string() : line.substr(value));
  }
  return false;
}

void connection::Close() {
  if (fd_ >= 0) close(std::exchange(fd_, -1));
}

void connection::Reset() {
  const linger now{1, 0};
  if (fd_ >= 0) setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  Close();
}

std::string Encode(const message& out) {
  std::string text = out.start_line + "\r\n";
  for (const auto& [name, value] : out.fields) text += name + ": " + value + "\r\n";
  if (out.start_line.starts_with("HTTP") || !out.body.empty()) {
    text += "Content-Length: " + std::to_string(out.body.size()) + "\r\n";
  }
  return text + "\r\n" + out.body;
}

message MakeResponse(int status, std::vector<std::pair<std::string, std::string>> fields,
                     std::string body) {
  return {"HTTP/1.1 " + std::to_string(status) + " -", std::move(fields), std::move(body)};
}

message Exchange(const endpoint& to, const message& request, milliseconds timeout) {
  connection conn = connection::Connect(to);
  message answer;
  if (!conn.open() || !conn.Send(Encode(request)) ||
      !conn.Read(answer, clock::now() + timeout)) {
    return {};
  }
  return answer;
}

server::server(endpoint address, handler handle)
    : address_(std::move(address)), handle_(std::move(handle)) {
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  const sockaddr_in address_in = ToAddress(address_);
  if (bind(listener_, reinterpret_cast<const sockaddr*>(&address_in), sizeof address_in) != 0 ||
      listen(listener_, 1'024) != 0) {
    std::cerr << "cannot listen on " << address_.ToText() << '\n';
    std::exit(2);
  }
  accepting_ = std::thread([this] { Accept(); });
}

void server::Accept() {
  while (!stopped_) {
    pollfd state{listener_, POLLIN, 0};
    if (poll(&state, 1, 50) > 0) {
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int one = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      const std::lock_guard lock(mutex_);
      const int number = ++accepted_;
      open_[number] = fd;
      threads_.emplace(number, std::thread([this, fd, number] { Serve(fd, number); }));
    }
    std::vector<std::thread> ended;
    {
      const std::lock_guard lock(mutex_);
      ended.swap(ended_);
    }
    for (std::thread& thread : ended) thread.join();
  }
}

void server::Serve(int fd, int number) {
  connection conn(fd);
  message request;
  while (!stopped_ && conn.Read(request, clock::now() + std::chrono::seconds(60))) {
    message response;
    if (!handle_(request, response, conn) || !conn.open() || !conn.Send(Encode(response))) break;
    if (response.Field("Connection") == "close") break;
  }
  const std::lock_guard lock(mutex_);
  open_.erase(number);
  const auto own = threads_.find(number);
  if (own != threads_.end()) {
    ended_.push_back(std::move(own->second));
    threads_.erase(own);
  }
  conn.Close();
}

void server::Stop() {
  if (stopped_.exchange(true)) return;
  accepting_.join();
  close(listener_);
  std::map<int, std::thread> threads;
  std::vector<std::thread> ended;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [number, fd] : open_) shutdown(fd, SHUT_RDWR);
    threads.swap(threads_);
    ended.swap(ended_);
  }
  for (auto& [number, thread] : threads) thread.join();
  for (std::thread& thread : ended) thread.join();
}

void record::Line(const std::string& text) {
  const std::lock_guard lock(mutex_);
  char time[32];
  std::snprintf(time, sizeof time, "%9.3f ",
                std::chrono::duration<double>(clock::now() - start_).count());
  out_ << time << text << std::endl;
}

object_store::object_store(endpoint address) {
  server_ = std::make_unique<server>(
      std::move(address),
      [this](const message& request, message& response, connection& conn) {
        return Handle(request, response, conn);
      });
}

object_store::~object_store() {
  {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
  }
  changed_.notify_all();
  server_->Stop();
}

boost::json::object object_store::ToJson(const std::string& name, const object& stored) {
  return {{"metadata",
           {{"name", name},
            {"revision", stored.revision},
            {"created", stored.created},
            {"finalizers", json::array()},
            {"deleting", false}}},
          {"spec", stored.spec},
          {"status", stored.status}};
}

void object_store::Note(const std::string& kind, const std::string& name, const object& stored,
                        bool deleted) {
  history_.push_back({revision_, kind, deleted, name, ToJson(name, stored)});
  changed_.notify_all();
}

void object_store::Put(const std::string& kind, const std::string& name, json::value spec) {
  const std::lock_guard lock(mutex_);
  object& stored = kinds_[kind][name];
  stored.revision = ++revision_;
  if (stored.created == 0) stored.created = revision_;
  stored.spec = std::move(spec);
  Note(kind, name, stored, false);
}

json::value object_store::Get(const std::string& kind, const std::string& name) {
  const std::lock_guard lock(mutex_);
  const auto& objects = kinds_[kind];
  const auto found = objects.find(name);
  return found == objects.end() ? json::value() : found->second.spec;
}

std::size_t object_store::Count(const std::string& kind) {
  const std::lock_guard lock(mutex_);
  return kinds_[kind].size();
}

void object_store::SetDown(bool down) {
  const std::lock_guard lock(mutex_);
  down_ = down;
  changed_.notify_all();
}

void object_store::SetSilent(bool silent) {
  const std::lock_guard lock(mutex_);
  if (silent) ++silences_;
  silent_ = silent;
  changed_.notify_all();
}

void object_store::MuteOpenConnections() {
  const std::lock_guard lock(mutex_);
  muted_at_ = clock::now();
  changed_.notify_all();
}

void object_store::MuteNextList(const std::string& kind) {
  const std::lock_guard lock(mutex_);
  muted_list_ = kind;
}

json::value object_store::GetStatus(const std::string& kind, const std::string& name) {
  const std::lock_guard lock(mutex_);
  const auto& objects = kinds_[kind];
  const auto found = objects.find(name);
  return found == objects.end() ? json::value() : found->second.status;
}

void object_store::SetStaleLag(milliseconds lag) {
  const std::lock_guard lock(mutex_);
  stale_lag_ = lag;
}

message object_store::ListAsOf(const std::string& kind, clock::time_point at) const {
  std::map<std::string, json::object> objects;
  std::int64_t revision = 0;
  for (const change& each : history_) {
    if (each.at > at) break;
    revision = each.revision;
    if (each.kind != kind) continue;
    if (each.deleted) {
      objects.erase(each.name);
    } else {
      objects.insert_or_assign(each.name, each.content);
    }
  }
  json::array items;
  for (const auto& [name, content] : objects) items.push_back(content);
  return MakeResponse(200, {{"Content-Type", "application/json"}},
                      json::serialize(json::object{
                          {"items", items}, {"hasMore", false}, {"currentRev", revision}}));
}

bool object_store::Handle(const message& request, message& response, connection& conn) {
  constexpr std::string_view kPrefix = "/api/objects/";
  const std::string target = request.Target();
  if (!target.starts_with(kPrefix)) {
    response = MakeResponse(404);
    return true;
  }
  const auto question = target.find('?');
  const auto query =
      question == std::string::npos ? ParseQuery({}) : ParseQuery(target.substr(question + 1));
  std::string path = target.substr(kPrefix.size(), question == std::string::npos
                                                       ? std::string::npos
                                                       : question - kPrefix.size());
  bool status = false;
  std::string name;
  if (const auto slash = path.find('/'); slash != std::string::npos) {
    name = path.substr(slash + 1);
    path.resize(slash);
    if (name.ends_with("/status")) {
      status = true;
      name.resize(name.size() - std::strlen("/status"));
    }
    name = Decode(name);
  }
  const auto find = [&](const char* key) {
    const auto found = query.find(key);
    return found == query.end() ? std::string() : found->second;
  };
  std::unique_lock lock(mutex_);
  const std::uint64_t silences = silences_;
  const bool stale = find("staleOk") == "1" && stale_lag_.count() > 0;
  const bool is_list = request.Method() == "GET" && name.empty() && find("watch").empty();
  const bool goes_silent = is_list && !muted_list_.empty() && path == muted_list_;
  if (goes_silent) muted_list_.clear();
  if (silent_ || goes_silent || IsMute(conn)) {
    changed_.wait(lock, [&] { return stopped_; });
    return false;
  }
  if (down_) {
    response = MakeResponse(503);
    return true;
  }
  if (request.Method() == "GET" && !find("watch").empty()) {
    lock.unlock();
    const bool answered = Watch(path, std::stoll(find("watch")),
                                milliseconds(find("waitMs").empty() ? 0 : std::stoll(find("waitMs"))),
                                stale, response, conn);
    return answered && silences == silences_;
  }
  if (request.Method() == "GET" && name.empty() && stale) {
    response = ListAsOf(path, clock::now() - stale_lag_);
    return true;
  }
  if (request.Method() == "GET" && name.empty()) {
    const std::string after = find("after");
    json::array items;
    bool more = false;
    for (const auto& [each, stored] : kinds_[path]) {
      if (!after.empty() && each <= after) continue;
      if (items.size() >= kPageItems) {
        more = true;
        break;
      }
      items.push_back(ToJson(each, stored));
    }
    response = MakeResponse(200, {{"Content-Type", "application/json"}},
                            json::serialize(json::object{
                                {"items", items}, {"hasMore", more}, {"currentRev", revision_}}));
    return true;
  }
  if (request.Method() == "GET") {
    const auto& objects = kinds_[path];
    const auto found = objects.find(name);
    response = found == objects.end()
                   ? MakeResponse(404)
                   : MakeResponse(200, {{"Content-Type", "application/json"}},
                                  json::serialize(ToJson(name, found->second)));
    return true;
  }
  std::int64_t condition = find("revision").empty() ? 0 : std::stoll(find("revision"));
  response = Mutate(request.Method(), path, name, status, condition, request.body);
  return true;
}

bool object_store::Watch(const std::string& kind, std::int64_t since, milliseconds wait, bool stale,
                         message& response, const connection& conn) {
  std::unique_lock lock(mutex_);
  const std::uint64_t silences = silences_;
  const auto end = clock::now() + wait;
  json::array events;
  std::int64_t seen = since;
  const auto collect = [&] {
    events.clear();
    seen = stale ? since : revision_;
    for (const change& each : history_) {
      if (stale && each.at > clock::now() - stale_lag_) break;
      seen = std::max(seen, each.revision);
      if (each.kind == kind && each.revision > since) {
        events.push_back({{"object", each.content}, {"deleted", each.deleted}});
      }
    }
    return stopped_ || down_ || silences != silences_ || IsMute(conn) || !events.empty();
  };
  // Changes become visible to stale watches without a notification.
  while (!collect() && clock::now() < end) {
    changed_.wait_until(lock, std::min<clock::time_point>(end, clock::now() + milliseconds(50)));
  }
  if (silences != silences_ || IsMute(conn)) {
    changed_.wait(lock, [&] { return stopped_; });
    return false;
  }
  if (stopped_) return false;
  if (down_) {
    response = MakeResponse(503);
    return true;
  }
  response =
      MakeResponse(200, {{"Content-Type", "application/json"}},
                   json::serialize(json::object{{"events", events}, {"currentRev", seen}}));
  return true;
}

message object_store::Mutate(const std::string& method, const std::string& kind, std::string name,
                             bool status, std::int64_t condition, const std::string& body) {
  const auto answer = [](int code, const json::object& object) {
    return MakeResponse(code, {{"Content-Type", "application/json"}}, json::serialize(object));
  };
  json::value document;
  if (!body.empty()) document = json::parse(body);
  if (document.is_object()) {
    if (const auto* metadata = document.as_object().if_contains("metadata")) {
      if (const auto* own = metadata->as_object().if_contains("name")) {
        if (name.empty()) name = std::string(own->as_string());
      }
      if (const auto* own = metadata->as_object().if_contains("revision")) {
        condition = own->to_number<std::int64_t>();
      }
    }
  }
  auto& objects = kinds_[kind];
  const auto found = objects.find(name);
  if (method == "POST") {
    if (found != objects.end()) return answer(409, ToJson(name, found->second));
    object& stored = objects[name];
    stored.revision = stored.created = ++revision_;
    stored.spec = document.at("spec");
    Note(kind, name, stored, false);
    return answer(200, ToJson(name, stored));
  }
  if (found == objects.end()) return MakeResponse(404);
  if (condition != 0 && condition != found->second.revision) {
    return answer(409, ToJson(name, found->second));
  }
  if (method == "DELETE") {
    object last = found->second;
    objects.erase(found);
    last.revision = ++revision_;
    Note(kind, name, last, true);
    return answer(200, ToJson(name, last));
  }
  json::value& part = status ? found->second.status : found->second.spec;
  const json::value& next = document.at(status ? "status" : "spec");
  if (part != next) {
    part = next;
    found->second.revision = ++revision_;
    Note(kind, name, found->second, false);
  }
  return answer(200, ToJson(name, found->second));
}

instance::instance(machine where, options chosen)
    : where_(std::move(where)), options_(std::move(chosen)), work_(options_.work.count()) {
  born_ms_ = std::chrono::duration_cast<milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count();
  server_ = std::make_unique<server>(
      where_.app, [this](const message& request, message& response, connection& conn) {
        return Handle(request, response, conn);
      });
  beating_ = std::thread([this] {
    while (!stopped_ && !options_.manual) {
      const bool acknowledged = Beat();
      const auto next = clock::now() + (acknowledged ? options_.heartbeat : milliseconds(200));
      while (!stopped_ && clock::now() < next) std::this_thread::sleep_for(milliseconds(20));
    }
  });
}

instance::~instance() { Stop(); }

void instance::Stop() {
  if (stopped_.exchange(true)) return;
  freed_.notify_all();
  beating_.join();
  server_->Stop();
}

bool instance::Report(const std::string& state, std::int64_t sequence) {
  const json::object report{
      {"address", where_.app.ToText()},
      {"born", born_ms_},
      {"info",
       {{"service", options_.service},
        {"version", options_.version},
        {"zone", options_.zone},
        {"slots", options_.slots}}},
      {"status", {{"state", state}, {"seq", sequence}, {"coldLeftS", 0}}}};
  return Exchange(where_.control,
                  {"PUT /api/instances/" + options_.id + " HTTP/1.1",
                   {{"Host", where_.control.ToText()}, {"Content-Type", "application/json"}},
                   json::serialize(report)},
                  milliseconds(1'000))
             .Status() == 200;
}

std::vector<run> instance::Runs() {
  const std::lock_guard lock(mutex_);
  return runs_;
}

bool instance::Handle(const message& request, message& response, connection& conn) {
  const std::string id = request.Field("Request-Id");
  const std::string expected = request.Field("Expect-Instance");
  if (!expected.empty() && expected != options_.id) {
    response = MakeResponse(421, {{"Request-Id", id}, {"Instance-Id", options_.id}});
    return true;
  }
  if (id.empty()) {
    response = MakeResponse(400, {{"Not-Run", "1"}});
    return true;
  }
  std::unique_lock lock(mutex_);
  if (running_ >= options_.slots) {
    if (queued_ >= options_.slots) {
      response = MakeResponse(503, {{"Request-Id", id}, {"Not-Run", "1"}});
      return true;
    }
    ++queued_;
    freed_.wait(lock, [&] { return stopped_ || running_ < options_.slots; });
    --queued_;
    if (stopped_) return false;
  }
  ++running_;
  runs_.push_back({id, options_.id, clock::now()});
  lock.unlock();
  const auto end = clock::now() + milliseconds(work_.load());
  while (!stopped_ && clock::now() < end) {
    std::this_thread::sleep_for(std::min<clock::duration>(end - clock::now(), milliseconds(20)));
  }
  lock.lock();
  --running_;
  freed_.notify_one();
  response = MakeResponse(200, {{"Request-Id", id}, {"Server-Stamp", "3e1b." + options_.id}},
                          std::string(options_.answer_bytes, 'x'));
  if (static_cast<int>(runs_.size() % 100) < options_.failures) {
    response = MakeResponse(500, {{"Request-Id", id}, {"Server-Stamp", "3e1b." + options_.id}});
  }
  lock.unlock();
  return !options_.spoil || options_.spoil(request, response, conn);
}

node::node(machine where, std::string zone, std::string service, endpoint store, deployment limits,
           std::string directory, record& log)
    : where_(std::move(where)),
      zone_(std::move(zone)),
      service_(std::move(service)),
      store_(std::move(store)),
      limits_(std::move(limits)),
      directory_(std::move(directory)),
      log_(log) {
  json::array bounds;
  for (const std::string& bound : limits_.bounds) bounds.push_back(json::value(bound));
  json::array contracts;
  for (const std::string& contract : limits_.contracts) contracts.push_back(json::value(contract));
  const json::object settings{
      {"node", where_.name},
      {"role", "node"},
      {"machineClass", "sidecar"},
      {"serves", json::array{"sidecar"}},
      {"ip", where_.ip},
      {"zone", zone_},
      {"region", "r1"},
      {"zones", {{zone_, "r1"}}},
      {"listen",
       {{"inbound", where_.inbound.ToText()},
        {"outbound", where_.outbound.ToText()},
        {"ready", where_.ready.ToText()},
        {"control", where_.control.ToText()}}},
      {"portRange", json::array{where_.first_port, where_.first_port}},
      {"seeds", json::array()},
      {"bootstrap", true},
      {"countsAsLoss", false},
      {"limits",
       {{"cpuShare", 0.5},
        {"cores", 1},
        {"memoryMb", limits_.memory_mb},
        {"maxFds", limits_.max_fds},
        {"linkMbps", 200.0},
        {"diskMb", 0}}},
      {"dataDir", nullptr},
      {"discovery", "static"},
      {"entry", "static"},
      {"heartbeatS", limits_.heartbeat_s},
      {"contracts", contracts},
      {"tolerate", {{"machines", 2}, {"zones", 0}, {"regions", 0}}},
      {"bounds", bounds},
      {"appAddr", where_.app.ToText()},
      {"service", service_},
      {"platform",
       {{"address", store_.ToText()},
        {"form", "objects"},
        {"writesPerS", 1'200},
        {"readsPerS", 6'000},
        {"historyS", 20},
        {"valueBytes", 1'048'576},
        {"minTtlS", 1}}}};
  std::ofstream(directory_ + "/" + where_.name + ".json") << json::serialize(settings);
}

node::~node() { Stop(); }

void node::Launch() {
  const std::string settings = "SISKINRACK_SETTINGS=" + directory_ + "/" + where_.name + ".json";
  const std::string log = directory_ + "/" + where_.name + ".log";
  const std::string path = std::string("PATH=") + (getenv("PATH") != nullptr ? getenv("PATH") : "");
  const pid_t pid = fork();
  if (pid == 0) {
    // The node doesn't outlive a stand-in that ends early.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    const char* program = FindProgram();
    const char* arguments[] = {program, nullptr};
    const char* environment[] = {settings.c_str(), path.c_str(), nullptr};
    execve(program, const_cast<char* const*>(arguments), const_cast<char* const*>(environment));
    _exit(127);
  }
  signalled_ = false;
  pid_ = pid;
  log_.Line(where_.name + " started");
}

void node::Start() {
  Launch();
  supervisor_ = std::thread([this] { Supervise(); });
  checker_ = std::thread([this] { CheckReady(); });
}

void node::Supervise() {
  constexpr std::int64_t kMegabyte = 1 << 20;
  const long page = sysconf(_SC_PAGESIZE);
  while (!stopped_) {
    std::this_thread::sleep_for(milliseconds(10));
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_) {
      if (!signalled_) {
        ++own_ends_;
        log_.Line(where_.name + " ended by itself, status " + std::to_string(status));
      }
      if (stopped_) return;
      std::this_thread::sleep_for(milliseconds(500));
      Launch();
      continue;
    }
    std::ifstream in("/proc/" + std::to_string(pid_) + "/statm");
    std::int64_t size = 0;
    std::int64_t resident = 0;
    in >> size >> resident;
    resident *= page;
    peak_ = std::max<std::int64_t>(peak_, resident);
    if (resident > limits_.memory_mb * kMegabyte) {
      log_.Line(where_.name + " has " + std::to_string(resident / kMegabyte) +
                " MB of memory, its machine has " + std::to_string(limits_.memory_mb) +
                ": the platform kills it");
      kill(pid_, SIGKILL);
    }
  }
}

void node::CheckReady() {
  int misses = 0;
  auto next = clock::now();
  while (!stopped_) {
    const message answer = Exchange(
        where_.ready, {"GET /api/readyz HTTP/1.1", {{"Host", where_.ready.ToText()}}, {}},
        milliseconds(1'000));
    misses = answer.Status() == 200 ? 0 : misses + 1;
    if (misses == 0) ready_ = true;
    if (misses >= 2) ready_ = false;
    ++checks_;
    next += std::chrono::seconds(1);
    while (clock::now() < next && !stopped_) std::this_thread::sleep_for(milliseconds(10));
  }
}

void node::Signal(int number) const {
  if (number == SIGKILL || number == SIGTERM) signalled_ = true;
  kill(pid_, number);
}

void node::Stop() {
  if (pid_ == 0 || stopped_.exchange(true)) return;
  supervisor_.join();
  checker_.join();
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

std::string PickNetwork() {
  std::random_device random;
  std::uniform_int_distribution<int> octet(1, 250);
  return "127." + std::to_string(octet(random)) + '.' + std::to_string(octet(random)) + '.';
}

int PickPort(const std::string& ip) {
  static std::set<int> used;
  static std::mt19937 random{std::random_device{}()};
  while (true) {
    const int port = std::uniform_int_distribution<int>(10'000, 29'000)(random);
    if (!used.insert(port).second) continue;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = ToAddress({ip, port});
    const bool free = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    close(fd);
    if (free) return port;
  }
}

machine MakeMachine(const std::string& network, int index, const std::string& name) {
  machine made;
  made.name = name;
  made.ip = network + std::to_string(index + 1);
  for (endpoint* each : {&made.inbound, &made.outbound, &made.ready, &made.control, &made.app}) {
    *each = {made.ip, PickPort(made.ip)};
  }
  made.first_port = PickPort(made.ip);
  return made;
}

json::object MakeRule(const std::string& name, const std::string& prefix,
                      const std::string& service, bool idempotent, double target_s,
                      double timeout_s, int attempts) {
  return {{"name", name},
          {"kind", idempotent ? "idempotent" : "non_idempotent"},
          {"targetLatencyS", target_s},
          {"priority", 1},
          {"public", false},
          {"match", {{"pathPrefix", prefix}}},
          {"action", {{"service", service}, {"timeoutS", timeout_s}, {"attempts", attempts}}}};
}

json::value MakeConfig(int version, const std::vector<std::string>& services, json::array rules,
                       const std::string& host) {
  json::array clusters;
  for (const std::string& service : services) {
    clusters.push_back({{"name", service},
                        {"healthPath", "/healthz"},
                        {"maxConns", 610},
                        {"protocol", "h1"},
                        {"tls", false}});
  }
  return {{"version", version},
          {"limits",
           {{"maxHeaderBytes", 16'384},
            {"maxBodyBytes", 67'108'864},
            {"headerTimeoutS", 3},
            {"idleTimeoutS", 15}}},
          {"listeners", json::array{json::object{{"host", host}, {"rules", std::move(rules)}}}},
          {"clusters", clusters}};
}

bool Await(milliseconds limit, const std::function<bool()>& done) {
  const auto end = clock::now() + limit;
  while (!done()) {
    if (clock::now() >= end) return false;
    std::this_thread::sleep_for(milliseconds(20));
  }
  return true;
}

std::string MakeDirectory() {
  std::string path = (std::filesystem::temp_directory_path() / "siskinrack-review-XXXXXX").string();
  if (mkdtemp(path.data()) == nullptr) std::exit(2);
  if (Directories().empty() && getenv("KEEP") == nullptr) {
    std::atexit([] {
      for (const std::string& each : Directories()) std::filesystem::remove_all(each);
    });
  }
  Directories().push_back(path);
  return path;
}

bool HasTrouble() {
  const char* trouble = getenv("TROUBLE");
  return trouble == nullptr || std::string_view(trouble) != "0";
}

}  // namespace review
