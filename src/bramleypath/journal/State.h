#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "bramleypath/base/StateChart.h"
#include "bramleypath/base/TimePoint.h"
#include "bramleypath/journal/Types.h"

namespace bramleypath::journal {

// Part of the replicated state: all replicas must use equal limits.
struct Limits {
  std::uint64_t records = 20000;
  // Keys, stored answers and a fixed cost per record together. A snapshot holds
  // this three times for a moment, within the 128 MB of a host.
  std::uint64_t bytes = 16 * 1024 * 1024;
  // Larger answers are not kept; see StoredAnswer::omitted.
  std::uint64_t answerBytes = 64 * 1024;
};

constexpr std::size_t kMaxKeyBytes = 256;

// Local to each replica. Deadlines are set when a command is applied and are
// not replicated; after a restart or a restored snapshot they start anew, which
// only lengthens them.
struct Periods {
  // Reserved and not dispatched: the grant is then given to another holder.
  Duration grant = Seconds(10);
  // Dispatched and not answered: the outcome is then unknown.
  Duration dispatched = Seconds(120);
  // Answered or unknown: kept so long for repeats.
  Duration retention = Seconds(600);
};

// After this time an owner that got no new request holds no grant and no
// answer; a change of the key owners waits at least as long.
Duration MoveWait(const Periods& aPeriods);

struct Record {
  Fingerprint fingerprint;
  // A state of the chart "keyed_request".
  StateIndex stage = 0;
  Holder holder;
  std::optional<StoredAnswer> answer;
  // Number of the command that changed the record last.
  std::uint64_t revision = 0;
  // Local to the replica.
  TimePoint deadline;
};

struct JournalState {
  Limits limits;
  Periods periods;
  // Counts the commands that changed a record.
  std::uint64_t revision = 0;
  std::uint64_t bytes = 0;
  std::map<RequestKey, Record> records;
  // Local to the replica, for DueExpiries.
  std::set<std::pair<TimePoint, RequestKey>> deadlines;
};

// Applies one committed command. The outcome and all but the deadlines depend
// only on the state and the command, never on aNow.
Outcome Apply(JournalState& aState, const Command& aCommand, TimePoint aNow);

// Up to aLimit records whose local deadline has passed, as commands for the
// leader to propose. Each comes again until it is applied.
std::vector<Expire> DueExpiries(const JournalState& aState, TimePoint aNow,
                                std::size_t aLimit);

// The name of a record's stage, such as "Dispatched"; "Absent" for none.
std::string_view StageName(const Record& aRecord);
const Record* FindRecord(const JournalState& aState, const RequestKey& aKey);

Bytes TakeSnapshot(const JournalState& aState);
std::optional<JournalState> RestoreSnapshot(const Bytes& aBytes,
                                            const Periods& aPeriods,
                                            TimePoint aNow);

}  // namespace bramleypath::journal
