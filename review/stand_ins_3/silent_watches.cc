// All open connections to the store go silent for good; new ones work. Later the operator drops a
// route. Stale reads show the state of three seconds ago.
#include <unistd.h>

#include "lab.hh"

using namespace review;  // NOLINT

int main() {
  constexpr int kMachines = 4;
  constexpr milliseconds kStaleLag{3'000};
  // More than stabilityS after the connections went silent.
  constexpr milliseconds kCalm{8'000};
  constexpr milliseconds kApply{2'500};
  const bool trouble = HasTrouble();
  record log("record.txt");
  if (chdir(getenv("ROOT")) != 0) return 2;
  const std::string directory = MakeDirectory();
  const std::string network = PickNetwork();
  const endpoint store_address{network + "251", PickPort(network + "251")};
  object_store store(store_address);
  store.SetStaleLag(kStaleLag);
  const boost::json::object kept = MakeRule("r-status", "/status/", "portal", true, 0.8, 2, 2);
  const boost::json::object dropped = MakeRule("r-gone", "/gone/", "portal", true, 0.8, 2, 2);
  store.Put("config", "main", MakeConfig(7, {"portal"}, {kept, dropped}, "portal.example"));
  std::vector<std::unique_ptr<node>> nodes;
  std::vector<std::unique_ptr<instance>> instances;
  for (int i = 0; i < kMachines; ++i) {
    const machine where = MakeMachine(network, i, "m" + std::to_string(i));
    nodes.push_back(std::make_unique<node>(where, "z1", "portal", store_address, deployment{},
                                           directory, log));
    nodes.back()->Start();
    instances.push_back(std::make_unique<instance>(
        where,
        instance::options{.id = "i-" + std::to_string(i), .service = "portal", .zone = "z1"}));
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
  std::this_thread::sleep_for(milliseconds(5'000));
  std::atomic<int> last_id = 0;
  const auto send = [&](int target, const std::string& path, const std::string& id) {
    return Exchange(nodes[target]->where().outbound,
                    {"GET " + path + " HTTP/1.1",
                     {{"Host", "portal.example"}, {"Request-Id", id}, {"Deadline-Ms", "2000"}},
                     {}},
                    milliseconds(3'000))
        .Status();
  };
  for (int i = 0; i < kMachines; ++i) {
    const int status = send(i, "/gone/1", "before-" + std::to_string(i));
    log.Line("request on the route at m" + std::to_string(i) + ": " + std::to_string(status));
    if (status != 200) return 2;
  }
  if (trouble) {
    store.MuteOpenConnections();
    log.Line("all open connections to the store go silent");
  }
  std::this_thread::sleep_for(kCalm);
  store.Put("config", "main", MakeConfig(9, {"portal"}, {kept}, "portal.example"));
  const auto acked = clock::now();
  log.Line("version 9, without the route, is acknowledged");
  int sent_late = 0;
  int ran_late = 0;
  std::vector<std::string> late;
  while (clock::now() < acked + milliseconds(7'000)) {
    for (int i = 0; i < kMachines; ++i) {
      const std::string id = "after-" + std::to_string(++last_id);
      const auto age = std::chrono::duration_cast<milliseconds>(clock::now() - acked);
      const int status = send(i, "/gone/1", id);
      log.Line(id + " at m" + std::to_string(i) + ", sent " + std::to_string(age.count()) +
               " ms after the ack: " + std::to_string(status));
      if (age > kApply) late.push_back(id);
    }
    std::this_thread::sleep_for(milliseconds(100));
  }
  for (const auto& each : instances) {
    for (const run& ran : each->Runs()) {
      ++sent_late;
      for (const std::string& id : late) ran_late += ran.id == id ? 1 : 0;
    }
  }
  log.Line(std::to_string(late.size()) + " requests sent later than " +
           std::to_string(kApply.count()) + " ms after the ack, " + std::to_string(ran_late) +
           " of them ran; the instances ran " + std::to_string(sent_late) + " requests in all");
  log.Line(ran_late > 0 ? "rule broken" : "rule held");
  return ran_late > 0 ? 1 : 0;
}
