#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "bramleypath/base/TimePoint.h"

namespace bramleypath::bench {

// A class of calls with exponentially distributed service times.
struct ClassSpec {
  std::string name;
  double share = 1.0;  // of the calls
  Duration mean;
  Duration deadline;
};

// A client account with its part of the arrivals.
struct ClientAccountSpec {
  std::string name;
  double share = 1.0;
};

struct Deployment {
  std::string name;
  std::uint32_t targets = 50;
  std::uint32_t slots = 8;
  std::uint32_t hosts = 7;
  std::vector<ClassSpec> classes;
};

Deployment HaritAngan(std::uint32_t aHosts);
Deployment Cairnmuir(std::uint32_t aHosts);

// Disturbances of the targets; by default there are none.
struct Disturbance {
  double refusing = 0;     // part of the targets that refuse all requests
  double fastFailing = 0;  // part that answers status 500 after 0.2 ms
  double slow = 0;         // part whose service times are tripled
  // Every 3 s, the service times of a fifth of the targets double for 1 s.
  bool waves = false;
  // After a third of the run, half of the targets lose five of their eight
  // processors; concurrent calls there then slow each other down.
  bool shift = false;
};

// One call. All policies are run with the same calls.
struct CallSpec {
  TimePoint at;
  std::uint32_t host = 0;
  std::uint32_t callClass = 0;
  std::uint32_t clientAccount = 0;
  Duration service;
};

struct Scenario {
  Deployment deployment;
  std::vector<ClientAccountSpec> clientAccounts{{"m", 1.0}};
  double load = 0.85;  // offered load as a part of all slots
  Disturbance disturbance;
  Duration length = Seconds(12);
  Duration warmUp = Seconds(2);
  std::uint64_t seed = 1;
};

// Generates Poisson arrivals, each at a random entry host.
std::vector<CallSpec> MakeCalls(const Scenario& aScenario);

enum class CallStatus : std::uint8_t {
  Open,
  Completed,
  Error,
  Refused,
  Unknown
};

// Result of one call.
struct Result {
  CallStatus status = CallStatus::Open;
  Duration latency;
};

struct Summary {
  // Latency quantiles of the completed calls, in milliseconds.
  double p50 = 0;
  double p99 = 0;
  double p999 = 0;
  double refused = 0;          // part of the calls
  double goodput = 0;          // calls completed in time, per second
  double attemptsPerCall = 0;  // 0 for the shared queue
  std::vector<double> clientAccountP99;
  std::vector<double> clientAccountGoodput;
  std::vector<double> classGoodput;
};

// Summarises the calls after the warm-up. The latencies are those of class
// aClass, or of all classes if aClass < 0.
Summary Summarise(const Scenario& aScenario,
                  const std::vector<CallSpec>& aCalls,
                  const std::vector<Result>& aResults, int aClass);

// The factor on the service time of a call that starts at the target now, while
// aBusy other calls run there.
double SlowDownFactor(const Scenario& aScenario, std::uint32_t aTarget,
                      std::uint32_t aBusy, TimePoint aNow);
bool IsRefusing(const Scenario& aScenario, std::uint32_t aTarget);
bool IsFastFailing(const Scenario& aScenario, std::uint32_t aTarget);

constexpr Duration kNetworkDelay = Micros(250);  // one way in a data centre

}  // namespace bramleypath::bench
