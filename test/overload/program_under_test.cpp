#include "program_under_test.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "fleet.h"
#include "mesh_fleet.h"

namespace siskinrack::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kStartTimeout{20'000};
constexpr milliseconds kPollInterval{50};
constexpr std::size_t kBytesPerKilobyte = 1024;
/// A node accepts bodies of up to a sixteenth of its memory.
constexpr std::size_t kLargestBodyBytes = kMemoryMb * 1'000'000 / 16;
/// Leaves descriptors for the platform, the upstream and peers.
constexpr std::size_t kMaxConnections = 375;
constexpr std::size_t kEscapedBodyBytes = 1'000'000;

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

class mesh_program : public program_under_test {
 public:
  explicit mesh_program(std::size_t memory_mb)
      : fleet_({"dock"}, {.memory_mb = memory_mb, .max_descriptors = kMaxDescriptors}) {
    fleet_.Configure(1);
    fleet_.StartNode(0);
    if (!fleet_.AwaitReady()) throw std::runtime_error("node isn't ready: " + fleet_.ReadLog(0));
  }
  [[nodiscard]] support::socket_address caller() const override { return fleet_.caller(0); }
  [[nodiscard]] support::socket_address peer() const override { return fleet_.peer(0); }
  [[nodiscard]] std::string target() const override { return "/dock/echo"; }
  [[nodiscard]] std::string MakeBodyOfLargeAnswer() const override {
    return std::string(kLargestBodyBytes, 'x');
  }
  support::socket_address ReleaseUpstream() override {
    fleet_.instance(0).Stop();
    return fleet_.upstream(0);
  }
  [[nodiscard]] pid_t pid() const override { return fleet_.node(0).pid(); }
  [[nodiscard]] std::optional<int> Poll() override { return fleet_.node(0).Poll(); }
  [[nodiscard]] std::string ReadLog() const override { return fleet_.ReadLog(0); }

 private:
  mutable mesh_fleet fleet_;
};

class own_program : public program_under_test {
 public:
  own_program() : work_(MakeWorkFolder()), fleet_(SISKINRACK_BINARIES, work_.string(), /*seed=*/1) {
    fleet_.StartPlatform();
    fleet_.StartNodes({.domains = 1,
                       .nodes_per_domain = 1,
                       .services = {"counter"},
                       .node_flags = {"--memory-mb=" + std::to_string(kMemoryMb),
                                      "--max-connections=" + std::to_string(kMaxConnections)}});
    Configure();
  }
  ~own_program() override {
    std::error_code ignored;
    std::filesystem::remove_all(work_, ignored);
  }
  own_program(const own_program&) = delete;
  own_program& operator=(const own_program&) = delete;

  [[nodiscard]] support::socket_address caller() const override { return node().caller; }
  [[nodiscard]] support::socket_address peer() const override {
    return {"127.0.0.1", node().peer_port};
  }
  [[nodiscard]] std::string target() const override { return "/tray"; }
  [[nodiscard]] std::string MakeBodyOfLargeAnswer() const override {
    // The upstream escapes each of these bytes with six.
    return std::string(kEscapedBodyBytes, '\x01');
  }
  support::socket_address ReleaseUpstream() override {
    node().upstream_process.reset();
    return node().upstream;
  }
  [[nodiscard]] pid_t pid() const override { return node().process->pid(); }
  [[nodiscard]] std::optional<int> Poll() override { return node().process->Poll(); }
  [[nodiscard]] std::string ReadLog() const override {
    return ReadFile(work_ / (node().id + ".log"));
  }

 private:
  static std::filesystem::path MakeWorkFolder() {
    std::string path =
        (std::filesystem::temp_directory_path() / "siskinrack-overload-XXXXXX").string();
    if (mkdtemp(path.data()) == nullptr) throw std::runtime_error("cannot create " + path);
    return path;
  }
  [[nodiscard]] fleet_node& node() const { return *fleet_.nodes().front(); }

  /// Runs the operator's tool and returns its output.
  std::string RunOperator(std::vector<std::string> arguments) {
    const std::string log = (work_ / ("operator-" + arguments.front() + ".log")).string();
    std::vector<std::string> command = {
        (std::filesystem::path(SISKINRACK_BINARIES) / "siskinctl").string()};
    command.insert(command.end(), arguments.begin(), arguments.end());
    command.push_back("--platform-address=" + fleet_.platform().ToText());
    command.push_back("--nodes=" + node().admin.ToText());
    child_process process(command, log);
    const int code = process.Wait();
    std::string output = ReadFile(log);
    if (code != 0) throw std::runtime_error("siskinctl failed: " + output);
    return output;
  }

  void Configure() {
    const std::filesystem::path intent = work_ / "intent.yaml";
    std::ofstream(intent) << "services: [{name: counter, slots: 6}]\n"
                             "ranks: [{name: normal, target_ms: 3000, worth: 20}]\n"
                             "routes: [{name: tray, prefix: /tray, service: counter, rank: "
                             "normal}]\n";
    const std::string output = RunOperator({"apply", intent.string()});
    constexpr std::string_view kPlan = "plan ";
    const std::size_t begin = output.find(kPlan) + kPlan.size();
    RunOperator({"confirm", output.substr(begin, output.find(':', begin) - begin)});
    const auto end = steady_clock::now() + kStartTimeout;
    while (steady_clock::now() < end) {
      const auto result = fleet_.Send(node().caller, {"GET", "/tray", {}, {}}, kStartTimeout);
      if (result.response.status == 200 && result.stage == net::exchange_stage::kAnswered) return;
      std::this_thread::sleep_for(kPollInterval);
    }
    throw std::runtime_error("node doesn't serve: " + ReadLog());
  }

  std::filesystem::path work_;
  mutable fleet fleet_;
};

}  // namespace

std::unique_ptr<program_under_test> StartMeshNode(std::size_t memory_mb) {
  return std::make_unique<mesh_program>(memory_mb);
}

std::unique_ptr<program_under_test> StartOwnNode() { return std::make_unique<own_program>(); }

std::string MakeRequestHead(const program_under_test& program, const std::string& fields) {
  return "POST " + program.target() +
         " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: crowd\r\nDeadline-Ms: 3000\r\n" + fields;
}

std::size_t ReadPeakMemory(pid_t pid) {
  constexpr std::string_view kField = "VmHWM:";
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with(kField)) return std::stoul(line.substr(kField.size())) * kBytesPerKilobyte;
  }
  return 0;
}

std::size_t CountSockets(pid_t pid) {
  std::size_t count = 0;
  std::error_code error;
  const std::filesystem::path folder = "/proc/" + std::to_string(pid) + "/fd";
  for (const auto& entry : std::filesystem::directory_iterator(folder, error)) {
    if (std::filesystem::read_symlink(entry.path(), error).string().starts_with("socket:")) ++count;
  }
  return count;
}

}  // namespace siskinrack::test
