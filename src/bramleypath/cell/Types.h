#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "bramleypath/base/Ids.h"
#include "bramleypath/base/Resources.h"

namespace bramleypath::cell {

using bramleypath::Fits;
using bramleypath::Resources;

enum class JobKind : std::uint8_t { Batch, Service };

// A job as the client account declared it. The declared sizes and run time may
// be far from the actual ones.
struct JobSpec {
  JobId id;
  ClientAccountId clientAccount;
  ClassId classId;
  JobKind kind = JobKind::Batch;
  bool urgent = false;
  bool checkpointable = false;
  // Placement prefers racks that run no task of the job yet.
  bool rackSpread = false;
  std::uint32_t taskCount = 1;
  // Evictions allowed for all tasks of the job together.
  std::uint32_t evictionBudget = 0;
  Resources perTask;
  std::int64_t declaredRunMs = 0;
};

// Identifies one attempt of one task.
struct AttemptId {
  TaskId task;
  AttemptNumber number = 0;
};

bool operator==(const AttemptId& aLeft, const AttemptId& aRight);
bool operator<(const AttemptId& aLeft, const AttemptId& aRight);

// Contribution of one attempt to the digest of a worker's running attempts;
// contributions are combined by exclusive or.
std::uint64_t DigestOf(const AttemptId& aAttempt);

}  // namespace bramleypath::cell
