#include <iostream>
#include <string>
#include <vector>

#include "ctl/program.h"

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  return comfreyspring::ctl::RunProgram(arguments, std::cout, std::cerr);
}
