#pragma once

#include <string>
#include <vector>

namespace standins {

// A log file with one JSON object per line. Each line is written with a single
// write call before Write returns, so that it survives a SIGKILL of the
// process.
class Ledger {
 public:
  explicit Ledger(const std::string& aPath);
  ~Ledger();
  Ledger(const Ledger&) = delete;
  Ledger& operator=(const Ledger&) = delete;
  // Appends one object. aFields is its content without the braces; the
  // wall-clock time in microseconds is added in front as "at". Ends the program
  // when the file can't be written.
  void Write(const std::string& aFields);

 private:
  int file;
};

// Wall-clock time in microseconds, which is comparable between the processes of
// a test.
long long WallMicros();

// Returns the value of "--name value" or the default. Ends the program when
// both are missing.
std::string Argument(int aCount, char** aValues, const std::string& aName,
                     const char* aDefault = nullptr);

// Splits a text at its commas.
std::vector<std::string> Split(const std::string& aText);

}  // namespace standins
