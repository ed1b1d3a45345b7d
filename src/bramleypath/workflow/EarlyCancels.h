#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "bramleypath/base/Ids.h"
#include "bramleypath/base/TimePoint.h"

// Cancels of jobs that were not known when the cancel was applied. A submission
// may be on its way then: its caller was told that there is no such job, and
// must not see it run later.
namespace bramleypath::workflow {

// How long after its cancel a submission may still arrive: 12 s from the caller
// to a front, as between the leader and a worker, 2 s in the front, 12 s from a
// front that sends no time limit to the leader, 2.5 s until it is committed.
constexpr Duration kEarlyCancelLifetime = Seconds(30);
// Bounds the memory under many cancels of unknown jobs. Further ones are
// refused, since dropping an earlier one would break its answer.
constexpr std::size_t kMaxEarlyCancels = 8192;
// Longer ids aren't accepted, so that no cancel of one has to be remembered.
constexpr std::size_t kMaxJobIdBytes = 256;

struct EarlyCancel {
  JobId job;
  std::int64_t untilUnixMs = 0;
};

// Part of the replicated state. All times are those of the commands, so that
// replicas forget the same ones.
struct EarlyCancels {
  // In the order of the log.
  std::map<std::uint64_t, EarlyCancel> entries;
  std::unordered_map<std::string, std::uint64_t> ordersById;
  std::uint64_t lastOrder = 0;
};

// Remembers the cancel, or for longer than before. Returns false if there are
// too many.
bool Remember(EarlyCancels& aCancels, const JobId& aJob, std::int64_t aUnixMs);
// Whether the job was cancelled before, in time. Forgets the cancel.
bool Take(EarlyCancels& aCancels, const JobId& aJob, std::int64_t aUnixMs);
// Adds an entry of a snapshot.
void Restore(EarlyCancels& aCancels, EarlyCancel aEntry);

}  // namespace bramleypath::workflow
