#include "event_lines.h"

#include <fstream>

namespace siskinrack::test {

std::vector<std::string> ReadLines(const std::string& file) {
  std::vector<std::string> lines;
  std::ifstream in(file);
  for (std::string line; std::getline(in, line);) lines.push_back(line);
  return lines;
}

std::string GetEventField(std::string_view line, std::string_view key) {
  const std::string marker = std::string(key) + '=';
  std::size_t begin = line.find(marker);
  while (begin != std::string_view::npos && begin != 0 && line[begin - 1] != ' ') {
    begin = line.find(marker, begin + 1);
  }
  if (begin == std::string_view::npos) return {};
  begin += marker.size();
  return std::string(line.substr(begin, line.find(' ', begin) - begin));
}

bool IsEvent(std::string_view line, std::string_view event) {
  return GetEventField(line, "event") == event;
}

}  // namespace siskinrack::test
