// Consumers send requests whose header sections, inside the configured limit, have very many short
// fields. The platform ends a process that exceeds the memory of its machine.
#include <unistd.h>

#include <iostream>

#include "lab.hh"

using namespace review;  // NOLINT

int main() {
  constexpr int kMachines = 4;
  constexpr int kEnds = 3;
  constexpr int kRounds = 8;
  // Connections of consumers at each of two machines, and requests on each connection.
  constexpr int kConsumers = 24;
  constexpr int kRequests = 16;
  constexpr std::size_t kHeadBytes = 16'000;
  const bool trouble = HasTrouble();
  record log("record.txt");
  if (chdir(getenv("ROOT")) != 0) return 2;
  const std::string directory = MakeDirectory();
  const std::string network = PickNetwork();
  const endpoint store_address{network + "251", PickPort(network + "251")};
  object_store store(store_address);
  store.Put("config", "main",
            MakeConfig(7, {"portal"},
                       {MakeRule("r-status", "/status/", "portal", true, 0.8, 2, 2),
                        MakeRule("r-orders", "/orders/", "portal", false, 0.8, 2, 2)},
                       "portal.example"));
  std::vector<std::unique_ptr<node>> nodes;
  std::vector<std::unique_ptr<instance>> instances;
  for (int i = 0; i < kMachines; ++i) {
    const machine where = MakeMachine(network, i, "m" + std::to_string(i));
    nodes.push_back(std::make_unique<node>(where, "z1", "portal", store_address, deployment{},
                                           directory, log));
    nodes.back()->Start();
    instances.push_back(std::make_unique<instance>(
        where, instance::options{.id = "i-" + std::to_string(i), .service = "portal", .zone = "z1",
                                 .slots = 9, .work = milliseconds(450)}));
  }
  const auto all_ready = [&] {
    for (const auto& each : nodes) {
      if (!each->ready()) return false;
    }
    return store.Count("siskinrack-endpoints") == kMachines;
  };
  if (!Await(milliseconds(15'000), all_ready)) {
    log.Line("the nodes did not become ready");
    return 2;
  }
  std::this_thread::sleep_for(milliseconds(2'000));
  const auto send_ordinary = [&](int target) {
    static std::atomic<int> last = 0;
    return Exchange(nodes[target]->where().outbound,
                    {"GET /status/1 HTTP/1.1",
                     {{"Host", "portal.example"},
                      {"Request-Id", "ordinary-" + std::to_string(++last)},
                      {"Deadline-Ms", "2000"}},
                     {}},
                    milliseconds(4'000))
        .Status();
  };
  for (int i = 0; i < kMachines; ++i) {
    const int status = send_ordinary(i);
    log.Line("ordinary request at m" + std::to_string(i) + ": " + std::to_string(status));
    if (status != 200) return 2;
  }
  std::atomic<int> last_id = 0;
  std::atomic<int> answers = 0;
  const auto make_request = [&](bool first) {
    std::string head = std::string(first ? "GET /status/1" : "POST /orders/1") +
                       " HTTP/1.1\r\nHost: portal.example\r\nRequest-Id: r-" +
                       std::to_string(++last_id) + "\r\nDeadline-Ms: 2000\r\n";
    if (first) return head + "\r\n";
    if (trouble) {
      while (head.size() < kHeadBytes) head += "a:\r\n";
    } else {
      head += "X-Note: " + std::string(kHeadBytes - head.size(), 'a') + "\r\n";
    }
    return head + "\r\n";
  };
  const auto consume = [&](int target) {
    connection conn = connection::Connect(nodes[target]->where().outbound);
    std::string requests;
    for (int i = 0; i < kRequests; ++i) requests += make_request(i == 0);
    if (!conn.open() || !conn.Send(requests)) return;
    message answer;
    const auto end = clock::now() + milliseconds(4'000);
    for (int i = 0; i < kRequests && conn.Read(answer, end); ++i) ++answers;
  };
  for (int round = 0; round < kRounds; ++round) {
    if (nodes[0]->own_ends() >= kEnds && nodes[1]->own_ends() >= kEnds) break;
    if (!Await(milliseconds(15'000), all_ready)) break;
    std::this_thread::sleep_for(milliseconds(1'000));
    std::vector<std::thread> crowd;
    answers = 0;
    for (int i = 0; i < kConsumers; ++i) {
      for (int target : {0, 1}) crowd.emplace_back([&, target] { consume(target); });
    }
    for (std::thread& each : crowd) each.join();
    log.Line("round " + std::to_string(round) + ": " + std::to_string(2 * kConsumers * kRequests) +
             " requests sent, " + std::to_string(answers) + " answered");
  }
  std::this_thread::sleep_for(milliseconds(1'500));
  int broken = 0;
  for (const auto& each : nodes) {
    log.Line(each->where().name + ": largest memory " + std::to_string(each->peak() >> 20) +
             " MB, ended " + std::to_string(each->own_ends()) + " times");
    if (each->own_ends() >= kEnds) ++broken;
  }
  std::size_t runs = 0;
  for (const auto& each : instances) runs += each->Runs().size();
  log.Line("the instances ran " + std::to_string(runs) + " requests");
  // A tenth of the machines, two at least.
  const bool rule_broken = broken >= 2;
  log.Line(rule_broken ? "rule broken" : "rule held");
  return rule_broken ? 1 : 0;
}
