// A crowd of consumers sends requests with costly header sections, inside the configured limit; ordinary
// consumers use the same node meanwhile. The argument says what is costly: "connection", a Connection
// field that lists very many names beside very many short fields, or "path", a path of very many slashes.
#include <unistd.h>

#include "lab.hh"

using namespace review;  // NOLINT

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  const bool costly_path = std::string(argv[1]) == "path";
  constexpr int kMachines = 4;
  // Connections of the crowd, all at machine 0, and requests on each, sent one after the other.
  constexpr int kCrowd = 64;
  constexpr std::size_t kHeadBytes = 16'000;
  constexpr milliseconds kCrowdTime{12'000};
  constexpr milliseconds kTimeout{2'000};
  constexpr milliseconds kGrace{500};
  const bool trouble = HasTrouble();
  record log("record.txt");
  if (chdir(getenv("ROOT")) != 0) return 2;
  const std::string directory = MakeDirectory();
  const std::string network = PickNetwork();
  const endpoint store_address{network + "251", PickPort(network + "251")};
  object_store store(store_address);
  store.Put("config", "main",
            MakeConfig(7, {"portal"},
                       {MakeRule("r-status", "/status/", "portal", true, 0.8, 2, 2)},
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
                                 .slots = 9, .work = milliseconds(230)}));
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
  std::atomic<int> last_id = 0;
  std::atomic<int> sent = 0, in_time = 0, late = 0, never = 0;
  std::atomic<bool> stop = false;
  // Sends one ordinary request to machine 0 each 200 ms on a connection of its own, and waits for
  // its answer until half a second after the timeout of the route.
  const auto send_ordinary = [&] {
    connection conn = connection::Connect(nodes[0]->where().outbound);
    const std::string id = "ordinary-" + std::to_string(++last_id);
    const auto begun = clock::now();
    message answer;
    ++sent;
    const bool answered =
        conn.open() &&
        conn.Send("GET /status/1 HTTP/1.1\r\nHost: portal.example\r\nRequest-Id: " + id +
                  "\r\nDeadline-Ms: 3000\r\n\r\n") &&
        conn.Read(answer, begun + kTimeout + kGrace);
    const auto took = std::chrono::duration_cast<milliseconds>(clock::now() - begun);
    if (!answered) {
      ++never;
    } else if (took > kTimeout) {
      ++late;
    } else {
      ++in_time;
    }
    log.Line(id + (answered ? " answered " + std::to_string(answer.Status()) : " not answered") +
             " after " + std::to_string(took.count()) + " ms");
    return answered && answer.Status() == 200;
  };
  for (int i = 0; i < 3; ++i) {
    if (!send_ordinary()) return 2;
  }
  sent = in_time = late = never = 0;
  std::atomic<int> crowd_sent = 0, crowd_answered = 0;
  const auto make_request = [&] {
    const std::string rest = " HTTP/1.1\r\nHost: portal.example\r\nRequest-Id: c-" +
                             std::to_string(++last_id) + "\r\nDeadline-Ms: 2000\r\n";
    if (costly_path) {
      const std::size_t size = kHeadBytes - rest.size();
      return "GET " + (trouble ? std::string(size, '/') : '/' + std::string(size - 1, 'a')) + rest +
             "\r\n";
    }
    std::string head = "GET /nowhere/1" + rest;
    if (trouble) {
      std::string names = "Connection: a";
      while (names.size() < kHeadBytes / 2) names += ",a";
      head += names + "\r\n";
      while (head.size() < kHeadBytes) head += "b:\r\n";
    } else {
      head += "X-Note: " + std::string(kHeadBytes - head.size(), 'a') + "\r\n";
    }
    return head + "\r\n";
  };
  std::vector<std::thread> threads;
  for (int i = 0; i < kCrowd; ++i) {
    threads.emplace_back([&] {
      while (!stop) {
        connection conn = connection::Connect(nodes[0]->where().outbound);
        message answer;
        while (!stop && conn.open() && conn.Send(make_request())) {
          ++crowd_sent;
          if (!conn.Read(answer, clock::now() + milliseconds(3'000))) break;
          ++crowd_answered;
        }
        std::this_thread::sleep_for(milliseconds(50));
      }
    });
  }
  std::vector<std::thread> ordinary;
  for (const auto end = clock::now() + kCrowdTime; clock::now() < end;) {
    ordinary.emplace_back([&] { send_ordinary(); });
    std::this_thread::sleep_for(milliseconds(200));
  }
  stop = true;
  for (std::thread& each : ordinary) each.join();
  for (std::thread& each : threads) each.join();
  std::size_t runs = 0;
  for (const auto& each : instances) runs += each->Runs().size();
  log.Line("the crowd sent " + std::to_string(crowd_sent) + " requests, " +
           std::to_string(crowd_answered) + " were answered");
  log.Line("ordinary requests: " + std::to_string(sent) + " sent, " + std::to_string(in_time) +
           " answered within the timeout of their route, " + std::to_string(late) +
           " in the half second after it, " + std::to_string(never) + " not by then");
  log.Line("the instances ran " + std::to_string(runs) + " requests");
  const int overdue = late + never;
  const bool rule_broken = never >= 8 && 4 * never > overdue;
  log.Line(rule_broken ? "rule broken" : "rule held");
  return rule_broken ? 1 : 0;
}
