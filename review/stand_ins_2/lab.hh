#ifndef SISKINRACK_REVIEW_STAND_INS_2_LAB_H_
#define SISKINRACK_REVIEW_STAND_INS_2_LAB_H_

// Stand-ins of the platform's store, of instances and of consumers for the cases of the second
// review. They follow the users' pages and run in the process of a case, which starts the nodes
// as separate processes. Everything is on loopback addresses and the real clock.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace lab {

namespace json = boost::json;
using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const clock_type::time_point kStart = clock_type::now();

/// Returns the seconds since the start of the case.
inline double Now() { return std::chrono::duration<double>(clock_type::now() - kStart).count(); }
inline void SleepUntil(double seconds) {
  std::this_thread::sleep_until(kStart + std::chrono::duration_cast<clock_type::duration>(
                                             std::chrono::duration<double>(seconds)));
}
inline void SleepFor(double seconds) { SleepUntil(Now() + seconds); }
inline std::int64_t WallMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Writes the lines of record.txt.
class record {
 public:
  explicit record(const std::string& path) : file_(path, std::ios::trunc) {}
  void Line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", Now());
    file_ << time << text << '\n';
    file_.flush();
  }
  /// Writes a line that is not flushed at once.
  void Event(const std::string& text) {
    const std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", Now());
    file_ << time << text << '\n';
  }
  void Flush() {
    const std::lock_guard lock(mutex_);
    file_.flush();
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

inline std::string Loopback(int port) { return "127.0.0.1:" + std::to_string(port); }

/// Returns a free port.
inline int FreePort() {
  static std::mutex mutex;
  static std::set<int> given;
  const std::lock_guard lock(mutex);
  while (true) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0) std::abort();
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    close(fd);
    if (given.insert(ntohs(address.sin_port)).second) return ntohs(address.sin_port);
  }
}

inline int Listen(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd, 512) != 0) {
    std::fprintf(stderr, "can't listen on port %d: %s\n", port, std::strerror(errno));
    std::_Exit(2);
  }
  return fd;
}

/// Connects within a second; returns -1 if that fails.
inline int Connect(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  timeval limit{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline bool WriteAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t size = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (size <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(size));
  }
  return true;
}

/// Closes a connection with a reset.
inline void Reset(int fd) {
  const linger now{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  close(fd);
}

struct message {
  /// Request line or status line.
  std::string line;
  std::multimap<std::string, std::string> fields;  // names in lower case
  std::string body;

  [[nodiscard]] std::string Field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
  }
  [[nodiscard]] std::string Method() const { return line.substr(0, line.find(' ')); }
  [[nodiscard]] std::string Target() const {
    const std::size_t begin = line.find(' ') + 1;
    return line.substr(begin, line.find(' ', begin) - begin);
  }
  [[nodiscard]] int Status() const { return std::atoi(line.c_str() + line.find(' ') + 1); }
};

/// Reads messages with a length (or without a body) from a connection.
class reader {
 public:
  explicit reader(int fd) : fd_(fd) {}

  enum class result { kOk, kClosed, kTimeout };

  result Read(message& out, double end) {
    std::size_t head = 0;
    while ((head = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (const auto r = Fill(end); r != result::kOk) return r;
    }
    out = {};
    std::size_t at = buffer_.find("\r\n");
    out.line = buffer_.substr(0, at);
    at += 2;
    while (at < head + 2) {
      const std::size_t line_end = buffer_.find("\r\n", at);
      const std::string field = buffer_.substr(at, line_end - at);
      const std::size_t colon = field.find(':');
      if (colon != std::string::npos) {
        std::string name = field.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), ::tolower);
        std::size_t value = colon + 1;
        while (value < field.size() && field[value] == ' ') ++value;
        out.fields.emplace(name, field.substr(value));
      }
      at = line_end + 2;
    }
    const std::size_t body = head + 4;
    const std::size_t length = std::strtoul(out.Field("content-length").c_str(), nullptr, 10);
    while (buffer_.size() < body + length) {
      if (const auto r = Fill(end); r != result::kOk) return r;
    }
    out.body = buffer_.substr(body, length);
    buffer_.erase(0, body + length);
    return result::kOk;
  }

 private:
  result Fill(double end) {
    const double left = end - Now();
    if (left <= 0) return result::kTimeout;
    pollfd state{fd_, POLLIN, 0};
    if (poll(&state, 1, static_cast<int>(left * 1000) + 1) == 0) return result::kTimeout;
    char bytes[16384];
    const ssize_t size = recv(fd_, bytes, sizeof bytes, 0);
    if (size <= 0) return result::kClosed;
    buffer_.append(bytes, static_cast<std::size_t>(size));
    return result::kOk;
  }

  int fd_;
  std::string buffer_;
};

inline constexpr double kForever = 1e9;

inline std::string MakeAnswer(int status, const std::string& body,
                              const std::vector<std::pair<std::string, std::string>>& fields = {}) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Answer\r\n";
  for (const auto& [name, value] : fields) text += name + ": " + value + "\r\n";
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return text + body;
}

/// Accepts connections on a port; each is served in a thread of its own.
class server {
 public:
  using handler = std::function<void(int fd)>;

  server(int port, handler serve) : port_(port), serve_(std::move(serve)), fd_(Listen(port)) {
    std::thread([this] {
      while (true) {
        const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) continue;
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([this, fd] { serve_(fd); }).detach();
      }
    }).detach();
  }
  [[nodiscard]] int port() const { return port_; }

 private:
  int port_;
  handler serve_;
  int fd_;
};

/// The platform's store. Each node reaches it at a port of its own, so that it can turn away single
/// machines.
class store {
 public:
  enum class mode { kServes, kReset, kSilent, kBusy };

  explicit store(record& out) : out_(out) {}

  /// Opens a port for one node and returns it.
  int OpenPort() {
    const int port = FreePort();
    {
      const std::lock_guard lock(mutex_);
      modes_[port] = mode::kServes;
    }
    servers_.push_back(std::make_unique<server>(port, [this, port](int fd) { Serve(port, fd); }));
    return port;
  }

  /// Sets how the store treats the node of a port; waiting calls end like new ones.
  void SetMode(int port, mode value) {
    const std::lock_guard lock(mutex_);
    modes_[port] = value;
    changed_.notify_all();
  }

  /// The next `count` writes to a kind are executed `late_s` seconds later and never answered.
  void LoseWrites(const std::string& kind, int count, double late_s) {
    const std::lock_guard lock(mutex_);
    lost_kind_ = kind;
    lost_count_ = count;
    lost_late_s_ = late_s;
  }

  /// Writes an object as the operator does.
  void Put(const std::string& kind, const std::string& name, json::value spec) {
    const std::lock_guard lock(mutex_);
    object& stored = kinds_[kind][name];
    if (stored.created == 0) stored.created = revision_ + 1;
    stored.spec = std::move(spec);
    Commit(kind, name, stored, false);
  }

  [[nodiscard]] json::value Find(const std::string& kind, const std::string& name) {
    const std::lock_guard lock(mutex_);
    const auto found = kinds_[kind].find(name);
    return found == kinds_[kind].end() ? json::value() : found->second.spec;
  }
  [[nodiscard]] std::size_t Count(const std::string& kind) {
    const std::lock_guard lock(mutex_);
    return kinds_[kind].size();
  }

 private:
  struct object {
    std::int64_t revision = 0;
    std::int64_t created = 0;
    json::value spec;
    json::value status;
  };
  struct event {
    std::int64_t revision;
    std::string kind;
    json::object encoded;
  };

  static json::object Encode(const std::string& name, const object& stored) {
    return {{"metadata",
             {{"name", name},
              {"revision", stored.revision},
              {"created", stored.created},
              {"finalizers", json::array()},
              {"deleting", false}}},
            {"spec", stored.spec},
            {"status", stored.status}};
  }

  void Commit(const std::string& kind, const std::string& name, object& stored, bool deleted) {
    stored.revision = ++revision_;
    events_.push_back({revision_, kind, {{"object", Encode(name, stored)}, {"deleted", deleted}}});
    changed_.notify_all();
  }

  static std::map<std::string, std::string> ParseQuery(const std::string& text) {
    std::map<std::string, std::string> query;
    std::size_t at = 0;
    while (at < text.size()) {
      std::size_t end = text.find('&', at);
      if (end == std::string::npos) end = text.size();
      const std::string part = text.substr(at, end - at);
      const std::size_t equals = part.find('=');
      if (equals != std::string::npos) query[part.substr(0, equals)] = part.substr(equals + 1);
      at = end + 1;
    }
    return query;
  }

  void Serve(int port, int fd) {
    reader in(fd);
    message request;
    while (in.Read(request, kForever) == reader::result::kOk) {
      std::string answer;
      if (!Handle(port, request, answer)) {
        // Nothing more comes on this connection.
        Reset(fd);
        return;
      }
      // An answer takes 4 ms.
      std::this_thread::sleep_for(milliseconds(4));
      if (!WriteAll(fd, answer)) break;
    }
    close(fd);
  }

  /// Returns false if the connection must be reset.
  bool Turned(int port, std::unique_lock<std::mutex>& lock, bool& turned, std::string& answer) {
    turned = false;
    while (modes_[port] == mode::kSilent) {
      // Nothing is answered on this connection any more, also after the cut.
      changed_.wait(lock, [&] { return modes_[port] != mode::kSilent; });
      return false;
    }
    if (modes_[port] == mode::kReset) return false;
    if (modes_[port] == mode::kBusy) {
      turned = true;
      answer = MakeAnswer(503, "{}");
    }
    return true;
  }

  bool Handle(int port, const message& request, std::string& answer) {
    std::unique_lock lock(mutex_);
    bool turned = false;
    if (!Turned(port, lock, turned, answer)) return false;
    if (turned) return true;
    constexpr std::string_view kPrefix = "/api/objects/";
    std::string target = request.Target();
    std::map<std::string, std::string> query;
    if (const auto mark = target.find('?'); mark != std::string::npos) {
      query = ParseQuery(target.substr(mark + 1));
      target.resize(mark);
    }
    if (!target.starts_with(kPrefix)) {
      answer = MakeAnswer(404, "{}");
      return true;
    }
    const std::string path = target.substr(kPrefix.size());
    const std::size_t slash = path.find('/');
    const std::string kind = path.substr(0, slash);
    std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
    bool of_status = false;
    if (name.ends_with("/status")) {
      of_status = true;
      name.resize(name.size() - std::strlen("/status"));
    }
    if (request.Method() == "GET" && name.empty() && query.contains("watch")) {
      return Watch(port, kind, query, lock, answer);
    }
    if (request.Method() == "GET") {
      answer = name.empty() ? List(kind, query) : Get(kind, name);
      return true;
    }
    if (lost_count_ > 0 && kind == lost_kind_) {
      --lost_count_;
      const double late = lost_late_s_;
      out_.Line("store: write " + request.line + " gets no answer, done " + std::to_string(late) +
                " s later if its condition holds");
      lock.unlock();
      SleepFor(late);
      lock.lock();
      const std::string ignored = Write(request, kind, name, of_status, query);
      out_.Line("store: late write " + request.line + ": " + ignored.substr(9, 3));
      return false;
    }
    answer = Write(request, kind, name, of_status, query);
    return true;
  }

  std::string List(const std::string& kind, const std::map<std::string, std::string>& query) {
    json::array items;
    const auto after = query.find("after");
    for (const auto& [name, stored] : kinds_[kind]) {
      if (after != query.end() && name <= after->second) continue;
      items.push_back(Encode(name, stored));
    }
    const json::object body{
        {"items", std::move(items)}, {"hasMore", false}, {"currentRev", revision_}};
    return MakeAnswer(200, json::serialize(body), {{"Content-Type", "application/json"}});
  }

  std::string Get(const std::string& kind, const std::string& name) {
    const auto found = kinds_[kind].find(name);
    if (found == kinds_[kind].end()) return MakeAnswer(404, "{}");
    return MakeAnswer(200, json::serialize(Encode(name, found->second)),
                      {{"Content-Type", "application/json"}});
  }

  bool Watch(int port, const std::string& kind, const std::map<std::string, std::string>& query,
             std::unique_lock<std::mutex>& lock, std::string& answer) {
    const std::int64_t since = std::atoll(query.at("watch").c_str());
    const auto wait = query.find("waitMs");
    const auto end = clock_type::now() +
                     milliseconds(wait == query.end() ? 0 : std::atoll(wait->second.c_str()));
    json::array found;
    while (true) {
      bool turned = false;
      if (!Turned(port, lock, turned, answer)) return false;
      if (turned) return true;
      for (const event& entry : events_) {
        if (entry.revision > since && entry.kind == kind) found.push_back(entry.encoded);
      }
      if (!found.empty()) break;
      if (changed_.wait_until(lock, end) == std::cv_status::timeout) break;
    }
    const json::object body{{"events", std::move(found)}, {"currentRev", revision_}};
    answer = MakeAnswer(200, json::serialize(body), {{"Content-Type", "application/json"}});
    return true;
  }

  std::string Write(const message& request, const std::string& kind, std::string name,
                    bool of_status, const std::map<std::string, std::string>& query) {
    std::int64_t condition = -1;
    json::value body;
    if (request.Method() != "DELETE") {
      json::error_code error;
      body = json::parse(request.body, error);
      if (error || !body.is_object()) return MakeAnswer(400, "{}");
      const json::object& metadata = body.as_object().at("metadata").as_object();
      if (name.empty()) name = std::string(metadata.at("name").as_string());
      if (const auto* r = metadata.if_contains("revision"))
        condition = r->to_number<std::int64_t>();
    }
    if (const auto r = query.find("revision"); r != query.end()) {
      condition = std::atoll(r->second.c_str());
    }
    auto& objects = kinds_[kind];
    const auto found = objects.find(name);
    if (request.Method() == "POST") {
      if (found != objects.end()) {
        return MakeAnswer(409, json::serialize(Encode(name, found->second)));
      }
      object& stored = objects[name];
      stored.created = revision_ + 1;
      stored.spec = body.at("spec");
      Commit(kind, name, stored, false);
      return MakeAnswer(200, json::serialize(Encode(name, stored)));
    }
    if (found == objects.end()) return MakeAnswer(404, "{}");
    object& stored = found->second;
    if (condition >= 0 && condition != stored.revision) {
      return MakeAnswer(409, json::serialize(Encode(name, stored)));
    }
    if (request.Method() == "DELETE") {
      Commit(kind, name, stored, true);
      const std::string answer = MakeAnswer(200, json::serialize(Encode(name, stored)));
      objects.erase(found);
      return answer;
    }
    json::value& changed = of_status ? stored.status : stored.spec;
    const json::value& wanted = body.at(of_status ? "status" : "spec");
    if (changed != wanted) {
      changed = wanted;
      Commit(kind, name, stored, false);
    }
    return MakeAnswer(200, json::serialize(Encode(name, stored)));
  }

  record& out_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<int, mode> modes_;
  std::int64_t revision_ = 100;
  std::map<std::string, std::map<std::string, object>> kinds_;
  std::vector<event> events_;
  std::string lost_kind_;
  int lost_count_ = 0;
  double lost_late_s_ = 0;
  std::vector<std::unique_ptr<server>> servers_;
};

/// What an instance has run.
struct run {
  double at = 0;
  std::string instance;
  std::string id;
  std::string method;
  std::string target;
  std::string tenant;
  std::string caller;
  std::string body;
};

struct run_log {
  std::mutex mutex;
  std::vector<run> runs;
  void Add(run entry) {
    const std::lock_guard lock(mutex);
    runs.push_back(std::move(entry));
  }
  std::vector<run> Copy() {
    const std::lock_guard lock(mutex);
    return runs;
  }
};

/// One instance: runs requests, and tells the node on its machine that it lives.
class instance {
 public:
  struct options {
    std::string id;
    std::string service;
    std::string zone;
    int port = 0;
    int control_port = 0;
    int slots = 8;
    double work_s = 0.005;
    double beat_s = 1.5;
    std::string body = "ok";
  };

  instance(options own, run_log& log, record& out)
      : own_(std::move(own)), log_(log), out_(out), born_(WallMs()) {
    server_ = std::make_unique<server>(own_.port, [this](int fd) { Serve(fd); });
  }

  void StartBeats() {
    std::thread([this] {
      while (beating_) {
        Beat();
        SleepFor(own_.beat_s);
      }
    }).detach();
  }
  void StopBeats() { beating_ = false; }
  /// Sends one liveness report; returns true if it was acknowledged.
  bool Beat() { return Call("PUT", MakeReport()) / 100 == 2; }
  /// Returns the next liveness report.
  std::string MakeReport() {
    const json::object body{
        {"address", Loopback(own_.port)},
        {"born", born_},
        {"info",
         {{"service", own_.service},
          {"version", "v1"},
          {"zone", own_.zone},
          {"slots", own_.slots}}},
        {"status",
         {{"state", draining_ ? "draining" : "ready"}, {"seq", ++sequence_}, {"coldLeftS", 0}}}};
    return json::serialize(body);
  }
  bool Leave() { return Call("DELETE", json::serialize(json::object{{"born", born_}})) / 100 == 2; }
  void SetDraining() { draining_ = true; }
  [[nodiscard]] const options& own() const { return own_; }
  [[nodiscard]] std::int64_t born() const { return born_; }
  /// Work of requests that begin from now on.
  std::atomic<double> work_s{-1};

  int Call(const std::string& method, const std::string& body) {
    const int fd = Connect(own_.control_port);
    if (fd < 0) return 0;
    WriteAll(fd, method + " /api/instances/" + own_.id + " HTTP/1.1\r\nHost: " +
                     Loopback(own_.control_port) + "\r\nContent-Type: application/json\r\n" +
                     "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    reader in(fd);
    message answer;
    const auto result = in.Read(answer, Now() + 1);
    close(fd);
    return result == reader::result::kOk ? answer.Status() : 0;
  }

 private:
  void Serve(int fd) {
    reader in(fd);
    message request;
    while (in.Read(request, kForever) == reader::result::kOk) {
      const std::string id = request.Field("request-id");
      std::vector<std::pair<std::string, std::string>> fields;
      if (!id.empty()) fields.push_back({"Request-Id", id});
      if (request.Target().starts_with("/healthz")) {
        if (!WriteAll(fd, MakeAnswer(200, "", {{"Instance-Id", own_.id}}))) break;
        continue;
      }
      const std::string expected = request.Field("expect-instance");
      if (!expected.empty() && expected != own_.id) {
        fields.push_back({"Not-Run", "1"});
        if (!WriteAll(fd, MakeAnswer(421, "", fields))) break;
        continue;
      }
      if (running_.fetch_add(1) >= own_.slots + 24) {
        --running_;
        fields.push_back({"Not-Run", "1"});
        if (!WriteAll(fd, MakeAnswer(503, "", fields))) break;
        continue;
      }
      log_.Add({Now(), own_.id, id, request.Method(), request.Target(), request.Field("tenant"),
                request.Field("caller"), request.body});
      SleepFor(work_s >= 0 ? work_s.load() : own_.work_s);
      --running_;
      fields.push_back({"Server-Stamp", own_.id + "." + id});
      if (!WriteAll(fd, MakeAnswer(200, own_.body, fields))) break;
    }
    close(fd);
  }

  options own_;
  run_log& log_;
  record& out_;
  std::int64_t born_;
  std::atomic<std::int64_t> sequence_ = 0;
  std::atomic<bool> draining_ = false;
  std::atomic<bool> beating_ = true;
  std::atomic<int> running_ = 0;
  std::unique_ptr<server> server_;
};

/// Settings of one machine as the platform writes them, with the figures of a deployment.
struct machine {
  std::string name;
  std::string zone = "z-a";
  std::string service;
  int inbound = FreePort();
  int outbound = FreePort();
  int ready = FreePort();
  int control = FreePort();
  int metrics = FreePort();
  int app = FreePort();
  int store_port = 0;
  int memory_mb = 260;
  int max_fds = 4100;
  double link_mbps = 1000;
  double beat_s = 1.5;
  std::vector<std::string> contracts;
  std::vector<std::string> bounds;
};

inline json::object MakeSettings(const machine& own) {
  json::array contracts(own.contracts.begin(), own.contracts.end());
  json::array bounds(own.bounds.begin(), own.bounds.end());
  return {{"node", own.name},
          {"role", "node"},
          {"machineClass", "sidecar"},
          {"serves", {"sidecar"}},
          {"ip", "127.0.0.1"},
          {"zone", own.zone},
          {"region", "r"},
          {"zones", {{own.zone, "r"}}},
          {"listen",
           {{"inbound", Loopback(own.inbound)},
            {"outbound", Loopback(own.outbound)},
            {"ready", Loopback(own.ready)},
            {"control", Loopback(own.control)}}},
          {"portRange", {own.metrics, own.metrics + 15}},
          {"seeds", json::array()},
          {"bootstrap", true},
          {"countsAsLoss", false},
          {"limits",
           {{"cpuShare", 0.2},
            {"cores", 1},
            {"memoryMb", own.memory_mb},
            {"maxFds", own.max_fds},
            {"linkMbps", own.link_mbps},
            {"diskMb", 0}}},
          {"dataDir", nullptr},
          {"discovery", "static"},
          {"entry", "static"},
          {"heartbeatS", own.beat_s},
          {"contracts", contracts},
          {"tolerate", {{"machines", 2}, {"zones", 0}, {"regions", 0}}},
          {"bounds", bounds},
          {"appAddr", Loopback(own.app)},
          {"service", own.service},
          {"platform",
           {{"address", Loopback(own.store_port)},
            {"form", "objects"},
            {"writesPerS", 400},
            {"readsPerS", 2000},
            {"historyS", 20},
            {"valueBytes", 1048576},
            {"minTtlS", 1}}}};
}

/// One node process, started with the command of the deploy file.
class node {
 public:
  node(const machine& own, const std::string& folder, record& out)
      : own_(own),
        settings_(folder + "/" + own.name + ".json"),
        log_(folder + "/" + own.name + ".log"),
        out_(out) {
    std::ofstream(settings_) << json::serialize(MakeSettings(own_));
  }
  ~node() { Kill(); }

  void Start() {
    const char* program = std::getenv("NODE_PROGRAM");
    const std::string path = program == nullptr ? "target/bin/siskinrack-node" : program;
    out_.Line("start node " + own_.name);
    pid_ = fork();
    if (pid_ == 0) {
      const int fd = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(fd, 1);
      dup2(fd, 2);
      setenv("SISKINRACK_SETTINGS", settings_.c_str(), 1);
      execl(path.c_str(), path.c_str(), static_cast<char*>(nullptr));
      std::_Exit(127);
    }
  }
  void Signal(int number, const std::string& text) {
    out_.Line(text + " node " + own_.name);
    kill(pid_, number);
  }
  void Kill() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
  /// Returns true if the process has ended by itself, and writes how.
  bool HasEnded() {
    if (pid_ <= 0) return false;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_) return false;
    out_.Line("node " + own_.name + " has ended: " +
              (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                   : "exit " + std::to_string(WEXITSTATUS(status))));
    pid_ = -1;
    return true;
  }
  [[nodiscard]] pid_t pid() const { return pid_; }
  [[nodiscard]] const machine& own() const { return own_; }
  [[nodiscard]] const std::string& log_path() const { return log_; }

  /// Returns a size in /proc/PID/status in KiB, for example of VmHWM.
  [[nodiscard]] long ReadStatusKb(const std::string& field) const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    std::string line;
    while (std::getline(file, line)) {
      if (line.starts_with(field + ":")) return std::atol(line.c_str() + field.size() + 1);
    }
    return 0;
  }

  /// Asks like the platform's readiness check.
  [[nodiscard]] bool IsReady() const {
    const int fd = Connect(own_.ready);
    if (fd < 0) return false;
    WriteAll(fd, "GET /api/readyz HTTP/1.1\r\nHost: " + Loopback(own_.ready) + "\r\n\r\n");
    reader in(fd);
    message answer;
    const auto result = in.Read(answer, Now() + 1);
    close(fd);
    return result == reader::result::kOk && answer.Status() == 200;
  }
  bool AwaitReady(double limit_s) const {
    const double end = Now() + limit_s;
    while (Now() < end) {
      if (IsReady()) return true;
      SleepFor(0.05);
    }
    return false;
  }

 private:
  machine own_;
  std::string settings_;
  std::string log_;
  record& out_;
  pid_t pid_ = -1;
};

/// Creates a temporary folder and removes it at the end of the process.
class folder {
 public:
  folder() {
    char name[] = "/tmp/siskinrack-review-XXXXXX";
    path_ = mkdtemp(name);
  }
  ~folder() {
    if (std::getenv("KEEP_LOGS") != nullptr) {
      std::fprintf(stderr, "logs: %s\n", path_.c_str());
      return;
    }
    const std::string command = "rm -rf '" + path_ + "'";
    if (std::system(command.c_str()) != 0) std::fprintf(stderr, "can't remove %s\n", path_.c_str());
  }
  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  std::string path_;
};

inline std::string NewId() {
  static std::atomic<std::uint64_t> next = 1;
  static const std::uint64_t seed = static_cast<std::uint64_t>(WallMs()) * 0x9e3779b97f4a7c15ULL;
  char text[24];
  std::snprintf(text, sizeof text, "%016llx",
                static_cast<unsigned long long>((seed + next++) * 0xbf58476d1ce4e5b9ULL));
  return text;
}

/// One kept connection of a consumer.
class consumer {
 public:
  explicit consumer(int port) : port_(port) {}
  ~consumer() { Close(); }

  /// Sends a request and waits for its answer; status 0 means none.
  message Send(const std::string& method, const std::string& host, const std::string& path,
               const std::string& id, int deadline_ms, const std::string& key = {},
               const std::string& body = {}, const std::string& more = {}) {
    message answer;
    answer.line = "- 0";
    if (fd_ < 0) {
      fd_ = Connect(port_);
      if (fd_ < 0) return answer;
      in_ = std::make_unique<reader>(fd_);
    }
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                       "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: " + std::to_string(deadline_ms) +
                       "\r\n";
    if (!key.empty()) text += "Authorization: Bearer " + key + "\r\n";
    text += more;
    if (!body.empty() || method != "GET") {
      text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    text += "\r\n" + body;
    message got;
    last = WriteAll(fd_, text) ? in_->Read(got, Now() + deadline_ms / 1000.0)
                               : reader::result::kClosed;
    was_kept = answered_ > 0;
    if (last != reader::result::kOk) {
      Close();
      return answer;
    }
    ++answered_;
    if (got.Field("connection") == "close") Close();
    return got;
  }
  /// How the last request ended.
  reader::result last = reader::result::kOk;
  /// True if the last request was not the first on its connection.
  bool was_kept = false;
  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
    answered_ = 0;
  }

 private:
  int port_;
  int fd_ = -1;
  int answered_ = 0;
  std::unique_ptr<reader> in_;
};

}  // namespace lab

#endif  // SISKINRACK_REVIEW_STAND_INS_2_LAB_H_
