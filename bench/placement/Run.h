#pragma once

#include <cstdint>

#include "bench/placement/HostModel.h"
#include "bench/placement/Policies.h"

namespace bramleypath::bench {

struct RunSettings {
  Deployment deployment;
  Policy policy = Policy::BestFit;
  placement::Weights weights;
  double seconds = 7200;
  double reportInterval = 10;  // s
  double reportLag = 30;       // s
  std::uint64_t seed = 1;
  // Runs no batch work, which measures the tail of an undisturbed host.
  bool emptyHosts = false;
};

struct RunResult {
  // Quantiles of service latency, in units of the undisturbed mean.
  double p50 = 0;
  double p99 = 0;
  double p999 = 0;
  double workDone = 0;     // s of useful batch work
  double workOffered = 0;  // s, of the tasks that arrived
  double tasksEnded = 0;
  double evictions = 0;
  double lostWork = 0;  // s repeated after evictions
  double meanWait = 0;  // s from arrival to first start
};

// Simulates one deployment under one policy. For the same seed, every policy
// gets the same tasks, loads and interference.
RunResult Run(const RunSettings& aSettings);

}  // namespace bramleypath::bench
