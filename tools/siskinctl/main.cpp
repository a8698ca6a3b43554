#include <cstdlib>
#include <iostream>

#include "siskinrack/control/program.h"

int main(int argc, char** argv) {
  namespace support = siskinrack::support;
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const int code =
      siskinrack::control::RunProgram(arguments, support::GetEnvironmentVariable,
                                      support::ListEnvironmentVariables(), std::cout, std::cerr);
  std::cout.flush();
  std::_Exit(code);
}
