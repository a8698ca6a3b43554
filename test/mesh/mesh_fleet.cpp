#include "mesh_fleet.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

#include "siskinrack/net/head_responses.h"

namespace siskinrack::test {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::uint16_t kCallerPort = 18141;
constexpr std::uint16_t kPeerPort = 18145;
constexpr std::uint16_t kReadyPort = 18140;
constexpr std::uint16_t kHeartbeatPort = 18146;
constexpr std::uint16_t kMetricsPort = 17660;
constexpr std::uint16_t kUpstreamPort = 18147;
constexpr std::uint16_t kStorePort = 18142;
constexpr std::string_view kConfigKind = "config";
constexpr std::string_view kEndpointKind = "siskinrack-endpoints";
constexpr milliseconds kReadyTimeout{15'000};
constexpr milliseconds kSlowAnswerDelay{500};
constexpr milliseconds kLongAnswerDelay{8'000};
constexpr milliseconds kDownTime{700};
constexpr milliseconds kHeartbeatInterval{200};
constexpr std::size_t kMaxBodyBytes = 32U << 20U;
constexpr std::int64_t kBornMs = 1'700'000'000'000;

/// Returns the prefix "127.x.y." of a random loopback network. Each fleet has its own, so that its
/// fixed ports don't conflict with those of another process.
std::string PickNetwork() {
  std::random_device random;
  std::uniform_int_distribution<int> octet(1, 250);
  return "127." + std::to_string(octet(random)) + '.' + std::to_string(octet(random)) + '.';
}

}  // namespace

instance_stand_in::instance_stand_in(net::fiber_runtime& runtime, std::string ip, std::string id)
    : runtime_(runtime), ip_(std::move(ip)), id_(std::move(id)) {
  StartServer();
}

instance_stand_in::~instance_stand_in() {
  for (std::thread& crash : crash_threads_) crash.join();
  server_->Stop();
}

void instance_stand_in::StartServer() {
  net::http_server_options options;
  options.address = {ip_, kUpstreamPort};
  options.limits.body_bytes = kMaxBodyBytes;
  server_ = std::make_unique<net::http_server>(
      runtime_, std::move(options),
      net::OmitHeadBodies([this](const net::http_request& request, net::cancellation& cancel) {
        return Handle(request, cancel);
      }));
  const std::string error = server_->Start();
  if (!error.empty()) std::cerr << "upstream stand-in " << id_ << ": " << error << '\n';
}

void instance_stand_in::Crash() {
  const std::lock_guard lock(mutex_);
  crash_threads_.emplace_back([this] {
    server_->Stop();
    std::this_thread::sleep_for(kDownTime);
    StartServer();
  });
}

std::vector<observed_run> instance_stand_in::runs() const {
  const std::lock_guard lock(mutex_);
  return runs_;
}

net::http_response instance_stand_in::Handle(const net::http_request& request,
                                             net::cancellation& cancel) {
  net::http_response response = Answer(request, cancel);
  if (const double limit = named_limit_; limit > 0) {
    response.fields.push_back({"Server-Limit", std::to_string(limit)});
  }
  if (leaving_) response.fields.push_back({"Server-Leaving", "1"});
  return response;
}

net::http_response instance_stand_in::Answer(const net::http_request& request,
                                             net::cancellation& cancel) {
  const std::string request_id(net::FindField(request.fields, "Request-Id"));
  if (net::FindField(request.fields, "Expect-Instance") != id_) {
    return {421, {{"Request-Id", request_id}, {"Instance-Id", id_}}, {}};
  }
  if (refusing_ || request.target.ends_with("/refuse")) {
    return {503, {{"Request-Id", request_id}, {"Not-Run", "1"}}, {}};
  }
  if (failing_) return {500, {{"Request-Id", request_id}, {"Server-Stamp", "stamp"}}, {}};
  {
    const std::lock_guard lock(mutex_);
    runs_.push_back({request_id, std::string(net::FindField(request.fields, "Caller")),
                     std::string(net::FindField(request.fields, "Tenant")),
                     std::string(net::FindField(request.fields, "Authorization")), request.method,
                     request.target, request.body, steady_clock::now()});
  }
  if (request.target.ends_with("/crash")) {
    Crash();
    net::SleepFor(kDownTime / 2);
    return {500, {}, {}};
  }
  if (request.target.ends_with("/slow")) net::SleepFor(kSlowAnswerDelay);
  if (request.target.ends_with("/long")) net::SleepFor(kLongAnswerDelay);
  if (request.target.ends_with("/break")) {
    // The node can't use this answer, and the right one is never sent.
    return {200, {{"Request-Id", "another"}, {"Server-Stamp", "stamp"}}, {}};
  }
  if (request.target.ends_with("/malformed")) return {200, {{"Server-Stamp", "\x01"}}, {}};
  if (cancel.cancelled()) return {500, {}, {}};
  net::http_response response{200, {{"Request-Id", request_id}}, "by " + id_};
  if (request.target.ends_with("/echo")) response.body = request.body;
  if (!request.target.ends_with("/unstamped")) {
    response.fields.push_back({"Server-Stamp", "stamp"});
  }
  return response;
}

mesh_fleet::mesh_fleet(const std::vector<std::string>& services, machine_limits limits)
    : mesh_fleet(services, {}, limits) {}

mesh_fleet::mesh_fleet(const std::vector<std::string>& services, std::vector<std::string> versions,
                       machine_limits limits)
    : services_(services),
      limits_(limits),
      versions_(std::move(versions)),
      network_(PickNetwork()),
      sequences_(services.size()),
      states_(services.size(), "ready"),
      lifetimes_(services.size()),
      departed_(services.size()) {
  std::string path = (std::filesystem::temp_directory_path() / "siskinrack-mesh-XXXXXX").string();
  if (mkdtemp(path.data()) == nullptr) throw std::runtime_error("cannot create directory " + path);
  work_dir_ = path;
  store_ = std::make_unique<object_store_stand_in>(
      runtime_, support::socket_address{network_ + "251", kStorePort});
  nodes_.resize(services.size());
  for (std::size_t i = 0; i < services.size(); ++i) {
    instances_.push_back(
        std::make_unique<instance_stand_in>(runtime_, MakeIp(i), "i-" + std::to_string(i)));
    WriteSettings(i);
  }
  heartbeat_thread_ = std::thread([this] {
    while (!stopped_) {
      for (std::size_t i = 0; i < services_.size(); ++i) {
        if (!departed_[i]) SendHeartbeat(i, {});
      }
      std::this_thread::sleep_for(kHeartbeatInterval);
    }
  });
}

mesh_fleet::~mesh_fleet() {
  stopped_ = true;
  heartbeat_thread_.join();
  nodes_.clear();
  instances_.clear();
  store_.reset();
  std::filesystem::remove_all(work_dir_);
}

std::string mesh_fleet::MakeIp(std::size_t machine) const {
  return network_ + std::to_string(machine + 1);
}

support::socket_address mesh_fleet::caller(std::size_t machine) const {
  return {MakeIp(machine), kCallerPort};
}

support::socket_address mesh_fleet::upstream(std::size_t machine) const {
  return {MakeIp(machine), kUpstreamPort};
}

support::socket_address mesh_fleet::peer(std::size_t machine) const {
  return {MakeIp(machine), kPeerPort};
}

std::filesystem::path mesh_fleet::MakePath(std::size_t machine, const std::string& suffix) const {
  return work_dir_ / ("node-" + std::to_string(machine) + suffix);
}

support::socket_address mesh_fleet::StoreAddress(std::size_t machine) const {
  constexpr std::size_t kFirstProxy = 101;
  const std::string host = proxies_.empty() ? "251" : std::to_string(kFirstProxy + machine);
  return {network_ + host, kStorePort};
}

void mesh_fleet::AddStoreProxies() {
  const support::socket_address store = StoreAddress(0);
  proxies_.resize(services_.size());
  for (std::size_t i = 0; i < services_.size(); ++i) {
    proxies_[i] = std::make_unique<silencing_proxy>(StoreAddress(i), store);
    WriteSettings(i);
  }
}

void mesh_fleet::WriteSettings(std::size_t machine) {
  const std::string ip = MakeIp(machine);
  const auto at = [&ip](std::uint16_t port) { return ip + ':' + std::to_string(port); };
  json::object settings{
      {"node", "node-" + std::to_string(machine)},
      {"zone", "zone-a"},
      {"ip", ip},
      {"service", services_[machine]},
      {"appAddr", at(kUpstreamPort)},
      {"listen",
       {{"outbound", at(kCallerPort)},
        {"inbound", at(kPeerPort)},
        {"ready", at(kReadyPort)},
        {"control", at(kHeartbeatPort)}}},
      {"portRange", {kMetricsPort, kMetricsPort + 10}},
      {"heartbeatS", 0.5},
      {"limits", {{"memoryMb", limits_.memory_mb}, {"maxFds", limits_.max_descriptors}}},
      {"bounds", bounds_},
      {"platform", {{"address", StoreAddress(machine).ToText()}}}};
  if (!versions_.empty()) {
    settings["contracts"] = {"base", "rollout"};
    json::array& bounds = settings["bounds"].as_array();
    for (const char* bound : {"canaryShare=0.1", "canarySlack=50", "rollbackS=5"})
      bounds.emplace_back(bound);
  }
  std::ofstream(MakePath(machine, ".json")) << json::serialize(settings);
}

json::object mesh_fleet::MakeRoute(const std::string& prefix, const std::string& service,
                                   bool repeatable) const {
  return {
      {"name", prefix},
      {"kind", repeatable ? "idempotent" : "non_idempotent"},
      {"targetLatencyS", 1},
      {"priority", 1},
      {"public", !repeatable},
      {"match", {{"pathPrefix", prefix}}},
      {"action", {{"service", service}, {"timeoutS", route_timeout_.count()}, {"attempts", 2}}}};
}

void mesh_fleet::Configure(std::uint64_t version, const std::string& extra) {
  json::array rules;
  json::array clusters;
  std::map<std::string, bool> added;
  for (const std::string& service : services_) {
    if (!added.emplace(service, true).second) continue;
    rules.push_back(MakeRoute('/' + service + '/', service, true));
    rules.push_back(MakeRoute("/once/" + service + '/', service, false));
    clusters.push_back(json::object{{"name", service}, {"maxConns", 130}});
  }
  if (!extra.empty()) rules.push_back(MakeRoute("/extra/", extra, true));
  json::object config{{"version", version},
                      {"limits",
                       {{"maxHeaderBytes", 16384},
                        {"maxBodyBytes", 67108864},
                        {"headerTimeoutS", 3},
                        {"idleTimeoutS", 15}}},
                      {"listeners", {{{"host", "shop.example"}, {"rules", rules}}}},
                      {"clusters", clusters}};
  if (!tenants_.empty()) config["tenants"] = tenants_;
  store_->Write(std::string(kConfigKind), "main", std::move(config));
}

void mesh_fleet::AddBounds(const std::vector<std::string>& bounds) {
  for (const std::string& bound : bounds) bounds_.emplace_back(bound);
  for (std::size_t i = 0; i < services_.size(); ++i) WriteSettings(i);
}

std::string mesh_fleet::ReadMetrics(std::size_t machine) {
  return Exchange({MakeIp(machine), kMetricsPort}, {"GET", "/metrics", {}, {}}).response.body;
}

void mesh_fleet::StartNode(std::size_t machine) {
  nodes_[machine].reset();
  // The child process inherits the variable.
  setenv("SISKINRACK_SETTINGS", MakePath(machine, ".json").c_str(), 1);
  nodes_[machine] = std::make_unique<child_process>(
      std::vector<std::string>{SISKINRACK_NODE_BINARY}, MakePath(machine, ".out").string());
  unsetenv("SISKINRACK_SETTINGS");
}

net::http_result mesh_fleet::Exchange(const support::socket_address& address,
                                      net::http_request request) {
  net::http_result result;
  runtime_.Run(0, [&] {
    result = client_.Send(address, std::move(request),
                          steady_clock::now() + route_timeout_ + std::chrono::seconds(2), nullptr,
                          {.max_idle = milliseconds(100)});
  });
  return result;
}

bool mesh_fleet::SendHeartbeat(std::size_t machine, const std::string& state) {
  const std::lock_guard lock(heartbeat_mutex_);
  if (!state.empty()) states_[machine] = state;
  const json::object body{
      {"address", MakeIp(machine) + ':' + std::to_string(kUpstreamPort)},
      {"born", kBornMs + lifetimes_[machine]},
      {"info",
       {{"service", services_[machine]},
        {"version", versions_.empty() ? "v1" : versions_[machine]},
        {"zone", "zone-a"},
        {"slots", slots_.load()}}},
      {"status", {{"state", states_[machine]}, {"seq", ++sequences_[machine]}, {"coldLeftS", 0}}}};
  const auto result =
      Exchange({MakeIp(machine), kHeartbeatPort},
               {"PUT", "/api/instances/" + instances_[machine]->id(), {}, json::serialize(body)});
  return result.stage == net::exchange_stage::kAnswered && result.response.status == 200;
}

void mesh_fleet::SendHeartbeatBody(std::size_t machine, const std::string& id,
                                   const std::string& body) {
  Exchange({MakeIp(machine), kHeartbeatPort}, {"PUT", "/api/instances/" + id, {}, body});
}

bool mesh_fleet::SendDeparture(std::size_t machine) {
  departed_[machine] = true;
  const std::lock_guard lock(heartbeat_mutex_);
  const auto result = Exchange({MakeIp(machine), kHeartbeatPort},
                               {"DELETE", "/api/instances/" + instances_[machine]->id(), {}, {}});
  return result.stage == net::exchange_stage::kAnswered && result.response.status == 200;
}

bool mesh_fleet::AwaitReady() {
  const auto end = steady_clock::now() + kReadyTimeout;
  while (steady_clock::now() < end) {
    bool ready = store_->Count(std::string(kEndpointKind)) == services_.size();
    for (std::size_t i = 0; i < services_.size(); ++i) {
      const auto result = Exchange({MakeIp(i), kReadyPort}, {"GET", "/api/readyz", {}, {}});
      ready =
          ready && result.response.status == 200 && result.stage == net::exchange_stage::kAnswered;
      const auto metrics = Exchange({MakeIp(i), kMetricsPort}, {"GET", "/metrics", {}, {}});
      const std::string all = "siskinrack_endpoints " + std::to_string(services_.size());
      ready = ready && metrics.response.body.find(all) != std::string::npos;
    }
    if (ready) return true;
    std::this_thread::sleep_for(milliseconds(50));
  }
  return false;
}

net::http_result mesh_fleet::Send(std::size_t machine, const std::string& target,
                                  const std::string& method, const std::string& body,
                                  const std::vector<net::http_field>& fields) {
  net::http_request request{method, target, {}, body, "shop.example"};
  request.fields = {{"Request-Id", "r-" + std::to_string(++last_request_)},
                    {"Deadline-Ms", std::to_string(milliseconds(route_timeout_).count())},
                    {"Caller", "forged"}};
  request.fields.insert(request.fields.end(), fields.begin(), fields.end());
  return Exchange({MakeIp(machine), kCallerPort}, std::move(request));
}

std::string mesh_fleet::SendBytes(std::size_t machine, const std::string& bytes) const {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(kCallerPort);
  inet_pton(AF_INET, MakeIp(machine).c_str(), &address.sin_addr);
  const timeval silence{.tv_sec = 1, .tv_usec = 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &silence, sizeof silence);
  std::string received;
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
      send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size())) {
    char chunk[4096];
    for (ssize_t size = 0; (size = recv(fd, chunk, sizeof chunk, 0)) > 0;) {
      received.append(chunk, static_cast<std::size_t>(size));
    }
  }
  close(fd);
  return received;
}

std::string mesh_fleet::ReadLog(std::size_t machine) const {
  std::ifstream in(MakePath(machine, ".out"));
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

}  // namespace siskinrack::test
