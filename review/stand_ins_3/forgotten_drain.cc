// The store is down. A node is killed and starts again; its instance reports that it drains, and the
// node acknowledges that. When the store is back, a report from before the drain arrives late.
#include <signal.h>
#include <unistd.h>

#include "lab.hh"

using namespace review;  // NOLINT

int main() {
  constexpr int kMachines = 3;
  constexpr milliseconds kDrain{2'500};
  constexpr milliseconds kHeartbeat{1'500};
  constexpr milliseconds kDown{8'000};
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
                                 .manual = i == 0}));
  }
  // Liveness reports of the instance on machine 0: the next one is due a heartbeat after the
  // acknowledgement of the last.
  std::int64_t sequence = 0;
  std::atomic<bool> draining = false;
  std::atomic<bool> stop = false;
  std::atomic<bool> hold_next = false;
  std::atomic<std::int64_t> late_sequence = 0;
  std::mutex ack_mutex;
  std::optional<clock::time_point> drain_acked;
  std::thread reporting([&] {
    while (!stop) {
      const bool drains = draining;
      const std::int64_t own = ++sequence;
      if (hold_next && late_sequence == 0 && !drains) {
        // This report is on its way for seconds.
        late_sequence = own;
        log.Line("i-0 sends report " + std::to_string(own) + ", ready; it is delayed");
      } else {
        const bool acked = instances[0]->Report(drains ? "draining" : "ready", own);
        if (drains || !acked) {
          log.Line("i-0 sends report " + std::to_string(own) +
                   (drains ? ", draining" : ", ready") +
                   (acked ? ": acknowledged" : ": not acknowledged"));
        }
        const std::lock_guard lock(ack_mutex);
        if (drains && acked && !drain_acked) drain_acked = clock::now();
        if (!acked) {
          std::this_thread::sleep_for(milliseconds(200));
          continue;
        }
      }
      for (const auto next = clock::now() + kHeartbeat; !stop && clock::now() < next;) {
        std::this_thread::sleep_for(milliseconds(5));
        // The drain begins with a report at once.
        if (draining && !drains) break;
      }
    }
  });
  const auto finish = [&](int code) {
    stop = true;
    reporting.join();
    return code;
  };
  const auto all_ready = [&] {
    for (const auto& each : nodes) {
      if (!each->ready()) return false;
    }
    return store.Count("siskinrack-endpoints") == kMachines;
  };
  if (!Await(milliseconds(15'000), all_ready)) {
    log.Line("the nodes did not become ready");
    return finish(2);
  }
  std::this_thread::sleep_for(milliseconds(2'000));
  // Consumers at all machines.
  std::atomic<int> last_id = 0;
  std::atomic<int> answered = 0;
  std::vector<std::thread> consumers;
  for (int i = 0; i < kMachines; ++i) {
    for (int each = 0; each < 4; ++each) {
      consumers.emplace_back([&, i] {
        while (!stop) {
          // The platform gives consumers no work while their node isn't ready.
          if (!nodes[i]->ready()) {
            std::this_thread::sleep_for(milliseconds(5));
            continue;
          }
          const message answer =
              Exchange(nodes[i]->where().outbound,
                       {"GET /status/1 HTTP/1.1",
                        {{"Host", "portal.example"},
                         {"Request-Id", "r-" + std::to_string(++last_id) + "-m" + std::to_string(i)},
                         {"Deadline-Ms", "2000"}},
                        {}},
                       milliseconds(3'000));
          if (answer.Status() == 200) ++answered;
          std::this_thread::sleep_for(milliseconds(20));
        }
      });
    }
  }
  const auto end_consumers = [&] {
    stop = true;
    for (std::thread& each : consumers) each.join();
  };
  std::this_thread::sleep_for(milliseconds(1'000));
  // The outage ends after a check of machine 0, so that its consumers come back about a second later.
  const int checks = nodes[0]->checks();
  Await(milliseconds(2'000), [&] { return nodes[0]->checks() > checks; });
  std::this_thread::sleep_for(milliseconds(100));
  const auto begin = clock::now();
  const auto until = [&](int ms) { std::this_thread::sleep_until(begin + milliseconds(ms)); };
  if (trouble) {
    store.SetDown(true);
    log.Line("the store is down, it answers 503");
  }
  until(300);
  nodes[0]->Signal(SIGKILL);
  log.Line("m0 is killed");
  until(2'000);
  hold_next = true;
  if (!Await(milliseconds(3'000), [&] { return late_sequence != 0; })) {
    end_consumers();
    return finish(2);
  }
  // The last report before the store is back is acknowledged just before that.
  until(5'380);
  draining = true;
  until(static_cast<int>(kDown.count()));
  if (trouble) {
    store.SetDown(false);
    log.Line("the store is back");
  }
  until(static_cast<int>(kDown.count()) + 870);
  log.Line("report " + std::to_string(late_sequence) + " arrives: " +
           (instances[0]->Report("ready", late_sequence) ? "acknowledged" : "not acknowledged"));
  until(static_cast<int>(kDown.count()) + 4'000);
  end_consumers();
  if (!drain_acked) return finish(2);
  int overdue = 0;
  for (const run& ran : instances[0]->Runs()) {
    const auto after = std::chrono::duration_cast<milliseconds>(ran.at - *drain_acked);
    if (after <= kDrain) continue;
    ++overdue;
    log.Line(ran.id + " reaches i-0 " + std::to_string(after.count()) +
             " ms after m0 acknowledged that it drains");
  }
  log.Line(std::to_string(answered) + " requests answered with 200, " + std::to_string(overdue) +
           " reached i-0 later than " + std::to_string(kDrain.count()) + " ms after the ack");
  log.Line(overdue > 0 ? "rule broken" : "rule held");
  return finish(overdue > 0 ? 1 : 0);
}
