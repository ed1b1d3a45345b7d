#include <curl/curl.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <thread>

#include "bramleypath/cli/CurlTransport.h"
#include "bramleypath/cli/Run.h"

namespace {

std::optional<std::string> ReadFile(const std::string& aPath) {
  std::ifstream stream(aPath);
  std::string text{std::istreambuf_iterator<char>(stream),
                   std::istreambuf_iterator<char>()};
  if (!stream) {
    return std::nullopt;
  }
  return text;
}

// Uses 128 random bits, so that a collision of ids is practically impossible.
std::string NewRequestId() {
  std::random_device device;
  std::string id = "op-";
  for (int word = 0; word < 4; ++word) {
    char digits[9];
    std::snprintf(digits, sizeof(digits), "%08x",
                  static_cast<unsigned int>(device()));
    id += digits;
  }
  return id;
}

bramleypath::TimePoint Now() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return bramleypath::TimePoint{
      std::chrono::duration_cast<std::chrono::microseconds>(now).count()};
}

void Sleep(bramleypath::Duration aLength) {
  std::this_thread::sleep_for(std::chrono::microseconds(aLength.micros));
}

}  // namespace

int main(int aCount, char** aValues) {
  const std::vector<std::string> words(aValues + 1, aValues + aCount);
  const char* const hosts = std::getenv("BRAMLEYPATH_HOSTS");
  const bramleypath::cli::Environment environment{
      std::cout,
      std::cerr,
      bramleypath::cli::SendWithCurl,
      ReadFile,
      NewRequestId,
      Now,
      Sleep,
      hosts == nullptr ? "" : hosts};
  curl_global_init(CURL_GLOBAL_DEFAULT);
  const auto code = bramleypath::cli::Run(words, environment);
  curl_global_cleanup();
  return static_cast<int>(code);
}
