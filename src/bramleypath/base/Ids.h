#pragma once

#include <cstdint>

#include "bramleypath/base/StrongId.h"

namespace bramleypath {

// An entry host's configured name; not reused after its data folder is lost.
using HostId = StrongId<struct HostIdTag>;
using DataCentreId = StrongId<struct DataCentreIdTag>;
using ClientAccountId = StrongId<struct ClientAccountIdTag>;
using ServiceId = StrongId<struct ServiceIdTag>;
using TargetId = StrongId<struct TargetIdTag>;
using WorkerId = StrongId<struct WorkerIdTag>;
using RackId = StrongId<struct RackIdTag>;
using JobId = StrongId<struct JobIdTag>;
// A class of calls or of batch work, such as "fineness-check".
using ClassId = StrongId<struct ClassIdTag>;
using PresetId = StrongId<struct PresetIdTag>;
// Idempotency key, chosen by the sender of a request; a retry carries the same
// one.
using RequestId = StrongId<struct RequestIdTag>;

// Counts the attempts of one task, from 1.
using AttemptNumber = std::uint32_t;
// The Raft term of the group whose leader sent a command.
using Epoch = std::uint64_t;

// Identifies a task by its job and its index in the job, counted from 0.
struct TaskId {
  JobId job;
  std::uint32_t index = 0;
};

inline bool operator==(const TaskId& aLeft, const TaskId& aRight) {
  return aLeft.index == aRight.index && aLeft.job == aRight.job;
}
inline bool operator!=(const TaskId& aLeft, const TaskId& aRight) {
  return !(aLeft == aRight);
}
inline bool operator<(const TaskId& aLeft, const TaskId& aRight) {
  return aLeft.job == aRight.job ? aLeft.index < aRight.index
                                 : aLeft.job < aRight.job;
}

}  // namespace bramleypath

namespace std {
template <>
struct hash<bramleypath::TaskId> {
  size_t operator()(const bramleypath::TaskId& aId) const noexcept {
    constexpr size_t kMultiplier = 1000003;
    return hash<bramleypath::JobId>()(aId.job) * kMultiplier + aId.index;
  }
};
}  // namespace std
