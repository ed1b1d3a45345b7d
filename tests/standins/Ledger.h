#pragma once

#include <string>
#include <vector>

namespace standins {

// A file of one JSON object a line. Each line is written with one call before
// Write returns, so that it survives SIGKILL of the process.
class Ledger {
 public:
  explicit Ledger(const std::string& aPath);
  ~Ledger();
  Ledger(const Ledger&) = delete;
  Ledger& operator=(const Ledger&) = delete;
  // aFields is the inside of the object; the wall-clock time is added in front.
  void Write(const std::string& aFields);

 private:
  int file;
};

// Wall-clock time in microseconds; the processes of a test share one clock.
long long WallMicros();

// The value of "--name value"; ends the program when it is missing and there is
// no default.
std::string Argument(int aCount, char** aValues, const std::string& aName,
                     const char* aDefault = nullptr);

// The parts of a text between commas.
std::vector<std::string> Split(const std::string& aText);

}  // namespace standins
