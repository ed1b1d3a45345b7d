#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "bramleypath/base/TimePoint.h"

namespace bramleypath::bench {

// A class of calls with exponential service times.
struct ClassSpec {
  std::string name;
  double share = 1.0;  // of the calls
  Duration mean;
  Duration deadline;
};

// A member with its part of the arrivals.
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

// What disturbs the targets.
struct Disturbance {
  double refusing = 0;     // part of the targets that refuse all requests
  double fastFailing = 0;  // part that answers 500 after 0.2 ms
  double slow = 0;         // part that takes three times as long
  bool waves = false;      // each 3 s, a fifth takes twice as long for 1 s
  // At a third of the run, half of the targets lose five of eight processors;
  // calls there then slow each other down.
  bool shift = false;
};

// One call, equal for all policies of a run.
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
  double load = 0.85;  // of all slots
  Disturbance disturbance;
  Duration length = Seconds(12);
  Duration warmUp = Seconds(2);
  std::uint64_t seed = 1;
};

// Poisson arrivals, each at a random entry host.
std::vector<CallSpec> MakeCalls(const Scenario& aScenario);

enum class Fate : std::uint8_t { Open, Completed, Error, Refused, Unknown };

// What became of one call.
struct Result {
  Fate fate = Fate::Open;
  Duration latency;
};

struct Summary {
  double p50 = 0;  // milliseconds, completed calls
  double p99 = 0;
  double p999 = 0;
  double refused = 0;          // part of the calls
  double goodput = 0;          // completed in time, per second
  double attemptsPerCall = 0;  // 0 for the shared queue
  std::vector<double> clientAccountP99;
  std::vector<double> clientAccountGoodput;
  std::vector<double> classGoodput;
};

// Of the calls after the warm-up; aClass < 0: latencies of all classes.
Summary Summarise(const Scenario& aScenario,
                  const std::vector<CallSpec>& aCalls,
                  const std::vector<Result>& aResults, int aClass);

// How much longer a call takes that starts at the target now, with this many
// others running there.
double SlowDown(const Scenario& aScenario, std::uint32_t aTarget,
                std::uint32_t aBusy, TimePoint aNow);
bool IsRefusing(const Scenario& aScenario, std::uint32_t aTarget);
bool IsFastFailing(const Scenario& aScenario, std::uint32_t aTarget);

constexpr Duration kNetworkDelay = Micros(250);  // one way in a data centre

}  // namespace bramleypath::bench
