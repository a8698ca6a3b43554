// The operator orders that a service moves to a new version, which is bad. The nodes beside its first
// instances start, and the connection on which each of them lists the endpoints goes silent once. At
// `done` the platform stops the old instances.
#include <unistd.h>

#include <set>

#include "lab.hh"

using namespace review;  // NOLINT

int main() {
  constexpr int kOld = 10;
  constexpr int kNew = 2;
  constexpr milliseconds kDuration{16'000};
  constexpr milliseconds kStability{3'000};
  constexpr double kShare = 0.1;
  constexpr int kSlack = 50;
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
  deployment settings;
  for (const char* bound : {"canaryShare=0.1", "canarySlack=50", "rollbackS=5"}) {
    settings.bounds.push_back(bound);
  }
  settings.contracts.push_back("rollout");
  std::vector<std::unique_ptr<node>> nodes;
  std::vector<std::unique_ptr<instance>> instances;
  const auto add = [&](bool is_new) {
    const int i = static_cast<int>(nodes.size());
    const machine where = MakeMachine(network, i, "m" + std::to_string(i));
    nodes.push_back(std::make_unique<node>(where, "z1", "portal", store_address, settings, directory,
                                           log));
    nodes.back()->Start();
    instances.push_back(std::make_unique<instance>(
        where, instance::options{.id = "i-" + std::to_string(i), .service = "portal", .zone = "z1",
                                 .version = is_new ? "v2" : "v1", .failures = is_new ? 50 : 0}));
  };
  for (int i = 0; i < kOld; ++i) add(false);
  const auto all_ready = [&] {
    for (const auto& each : nodes) {
      if (!each->ready()) return false;
    }
    return store.Count("siskinrack-endpoints") == nodes.size();
  };
  if (!Await(milliseconds(15'000), all_ready)) {
    log.Line("the nodes did not become ready");
    return 2;
  }
  std::this_thread::sleep_for(milliseconds(2'000));
  // Consumers at the old machines.
  std::atomic<bool> stop = false;
  std::atomic<int> last_id = 0;
  std::atomic<int> sent = 0;
  std::mutex mutex;
  std::map<std::string, clock::time_point> sent_at;
  std::map<int, int> answers;
  std::vector<std::thread> consumers;
  for (int i = 0; i < kOld; ++i) {
    for (int each = 0; each < 3; ++each) {
      consumers.emplace_back([&, i] {
        while (!stop) {
          const std::string id = "r-" + std::to_string(++last_id);
          {
            const std::lock_guard lock(mutex);
            sent_at[id] = clock::now();
          }
          ++sent;
          const int status = Exchange(nodes[i]->where().outbound,
                                      {"GET /status/1 HTTP/1.1",
                                       {{"Host", "portal.example"},
                                        {"Request-Id", id},
                                        {"Deadline-Ms", "2000"}},
                                       {}},
                                      milliseconds(3'000))
                                 .Status();
          {
            const std::lock_guard lock(mutex);
            ++answers[status];
          }
          std::this_thread::sleep_for(milliseconds(100));
        }
      });
    }
  }
  store.Put("rollouts", "portal", {{"service", "portal"}, {"targetVersion", "v2"}, {"durationS", 16}});
  const auto ordered = clock::now();
  log.Line("the operator orders v2, which fails half of its requests, within 16 s");
  const auto find_state = [&] {
    const boost::json::value status = store.GetStatus("rollouts", "portal");
    return status.is_object() ? std::string(status.at("state").as_string()) : std::string();
  };
  // The new instances start alongside the old ones, each with its machine.
  auto last_silence = ordered;
  for (int i = 0; i < kNew; ++i) {
    if (trouble && find_state().empty()) {
      last_silence = clock::now();
      store.MuteNextList("siskinrack-endpoints");
      log.Line("the connection of the next list of endpoints goes silent");
    }
    add(true);
    for (int wait = 0; wait < 75 && find_state() != "done"; ++wait) {
      std::this_thread::sleep_for(milliseconds(20));
    }
  }
  std::string state;
  while (clock::now() < ordered + kDuration) {
    const std::string now = find_state();
    if (now != state) {
      state = now;
      const auto after = std::chrono::duration_cast<milliseconds>(clock::now() - ordered);
      log.Line("state " + state + ", " + std::to_string(after.count()) + " ms after the order");
      if (state == "done") {
        for (int i = 0; i < kOld; ++i) instances[i]->Stop();
        log.Line("the platform stops the old instances");
      }
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
  stop = true;
  for (std::thread& each : consumers) each.join();
  // From machines in touch: the silent connection counts as a reset of the connections of all.
  const auto in_touch = last_silence + kStability;
  int all = 0;
  int bad = 0;
  int bad_answers = 0;
  for (std::size_t i = 0; i < instances.size(); ++i) {
    int own = 0;
    for (const run& ran : instances[i]->Runs()) {
      const auto found = sent_at.find(ran.id);
      if (found == sent_at.end() || ran.at < ordered) continue;
      ++all;
      ++own;
      if (i >= kOld && found->second >= in_touch) ++bad;
    }
    log.Line("i-" + std::to_string(i) + (i >= kOld ? " (v2)" : " (v1)") + " ran " +
             std::to_string(own) + " requests since the order");
  }
  for (const auto& [status, count] : answers) {
    log.Line(std::to_string(count) + " answers " + std::to_string(status));
    if (status >= 500) bad_answers += count;
  }
  const double limit = kShare * all + kSlack;
  log.Line(std::to_string(sent) + " requests sent, " + std::to_string(all) +
           " reached the service since the order, " + std::to_string(bad) +
           " of them v2 from machines in touch; the bound is " + std::to_string(limit) + "; " +
           std::to_string(bad_answers) + " answers of 500 and more");
  const bool rule_broken = bad > limit;
  log.Line(rule_broken ? "rule broken" : "rule held");
  return rule_broken ? 1 : 0;
}
