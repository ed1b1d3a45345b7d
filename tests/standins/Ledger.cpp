#include "tests/standins/Ledger.h"

#include <sstream>

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>

namespace standins {

Ledger::Ledger(const std::string& aPath)
    : file(open(aPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                0644)) {
  if (this->file < 0) {
    std::fprintf(stderr, "can't open the ledger %s\n", aPath.c_str());
    std::exit(2);
  }
}

Ledger::~Ledger() { close(this->file); }

void Ledger::Write(const std::string& aFields) {
  const std::string line =
      "{\"at\":" + std::to_string(WallMicros()) + "," + aFields + "}\n";
  if (write(this->file, line.data(), line.size()) !=
      static_cast<ssize_t>(line.size())) {
    std::fprintf(stderr, "can't write to the ledger\n");
    std::exit(2);
  }
}

long long WallMicros() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

std::string Argument(int aCount, char** aValues, const std::string& aName,
                     const char* aDefault) {
  for (int i = 1; i + 1 < aCount; ++i) {
    if ("--" + aName == aValues[i]) {
      return aValues[i + 1];
    }
  }
  if (!aDefault) {
    std::fprintf(stderr, "--%s is missing\n", aName.c_str());
    std::exit(2);
  }
  return aDefault;
}

std::vector<std::string> Split(const std::string& aText) {
  std::vector<std::string> parts;
  std::istringstream stream(aText);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

}  // namespace standins
