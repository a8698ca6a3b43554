#include "invariants.h"

#include "event_lines.h"

namespace siskinrack::test {
namespace {

/// Calls `visit` with the file name and each line of all logs whose name begins with `prefix`.
template <typename Visit>
void ForEachLogLine(const std::filesystem::path& work, std::string_view prefix, Visit visit) {
  for (const auto& entry : std::filesystem::directory_iterator(work)) {
    const std::string name = entry.path().filename().string();
    if (!name.starts_with(prefix) || !name.ends_with(".log")) continue;
    for (const std::string& line : ReadLines(entry.path().string())) visit(name, line);
  }
}

/// Checks the version changes of all nodes, whose logs are named d<domain>-n<index>.log.
void CheckVersions(const std::filesystem::path& work, support::findings& problems) {
  std::set<std::uint64_t> written;
  ForEachLogLine(work, "platform", [&](const std::string&, const std::string& line) {
    if (IsEvent(line, "head_written")) written.insert(std::stoul(GetEventField(line, "version")));
  });
  std::map<std::string, std::uint64_t> newest;
  std::map<std::uint64_t, std::string> digests;
  ForEachLogLine(work, "d", [&](const std::string& name, const std::string& line) {
    if (!IsEvent(line, "config_active")) return;
    const std::uint64_t version = std::stoul(GetEventField(line, "version"));
    if (version < newest[name]) {
      problems.Add(name, "configuration went back from version " + std::to_string(newest[name]) +
                             " to " + std::to_string(version));
    }
    newest[name] = version;
    const std::string digest = GetEventField(line, "digest");
    const auto [known, inserted] = digests.emplace(version, digest);
    if (!inserted && known->second != digest) {
      problems.Add(name, "version " + std::to_string(version) +
                             " has a different digest than on another node");
    }
    if (!written.contains(version)) {
      problems.Add(name,
                   "version " + std::to_string(version) + " was never accepted by the platform");
    }
  });
}

}  // namespace

observed_history ReadHistory(const std::filesystem::path& work) {
  observed_history history;
  ForEachLogLine(work, "upstream-", [&](const std::string&, const std::string& line) {
    if (!IsEvent(line, "executed")) return;
    const std::string key = GetEventField(line, "key");
    ++history.executions[key];
    history.target_of_key[key] = GetEventField(line, "target");
    history.executed_copies.insert(GetEventField(line, "copy"));
  });
  ForEachLogLine(work, "send-", [&](const std::string&, const std::string& line) {
    if (!IsEvent(line, "refused")) return;
    history.refused.insert(GetEventField(line, "copy"));
    if (GetEventField(line, "repeat") == "1")
      history.refused_repeats.insert(GetEventField(line, "id"));
  });
  return history;
}

void CheckInvariants(const std::filesystem::path& work,
                     const std::set<std::string>& non_repeatable_prefixes,
                     support::findings& problems) {
  CheckVersions(work, problems);
  const observed_history history = ReadHistory(work);
  for (const auto& [key, count] : history.executions) {
    const std::string& target = history.target_of_key.at(key);
    for (const std::string& prefix : non_repeatable_prefixes) {
      if (!target.starts_with(prefix)) continue;
      if (count > 1) {
        problems.Add(key, "was executed " + std::to_string(count) + " times on " + target);
      }
      if (history.refused_repeats.contains(key)) {
        problems.Add(key, "was executed, but a repeat was refused as not run");
      }
    }
  }
  for (const std::string& copy : history.refused) {
    if (history.executed_copies.contains(copy)) {
      problems.Add(copy, "was executed, but refused as not run");
    }
  }
}

}  // namespace siskinrack::test
