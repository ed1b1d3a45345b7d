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

// Limits of the journal. They are part of the replicated state, because all
// replicas must apply the same limits.
struct Limits {
  std::uint64_t records = 20000;
  // Bounds the sum of keys, stored answers and a fixed overhead per record.
  // Taking a snapshot briefly needs three times this memory, which must fit
  // into the 128 MB that a host may use.
  std::uint64_t bytes = 16 * 1024 * 1024;
  // Larger answer bodies are not stored; see StoredAnswer::omitted.
  std::uint64_t answerBytes = 64 * 1024;
};

constexpr std::size_t kMaxKeyBytes = 256;

// How long a record stays in each stage. Deadlines are local to each replica:
// they are set when a command is applied and are not replicated. After a
// restart or a restored snapshot they start again in full, so they can only get
// later.
struct Periods {
  // Reserved but not dispatched. After this time another holder may get the
  // grant.
  Duration grant = Seconds(10);
  // Dispatched but not answered. After this time the outcome is unknown.
  Duration dispatched = Seconds(120);
  // Answered or unknown. The record is kept this long to answer repeats.
  Duration retention = Seconds(600);
};

// Returns the time after which an owner that got no new request holds neither a
// grant nor an answer. A change of the key owners waits at least this long.
Duration MoveWait(const Periods& aPeriods);

// What the journal holds for one request key.
struct Record {
  Fingerprint fingerprint;
  // A state of the chart "keyed_request".
  StateIndex stage = 0;
  Holder holder;
  std::optional<StoredAnswer> answer;
  // JournalState::revision after the command that last changed the record.
  std::uint64_t revision = 0;
  // When the stage expires; local to the replica.
  TimePoint deadline;
};

struct JournalState {
  Limits limits;
  Periods periods;
  // The number of commands that changed or removed a record.
  std::uint64_t revision = 0;
  // The accounted size of all records; see Limits::bytes.
  std::uint64_t bytes = 0;
  std::map<RequestKey, Record> records;
  // The deadlines of all records in order, for DueExpiries; local to the
  // replica.
  std::set<std::pair<TimePoint, RequestKey>> deadlines;
};

// Applies one committed command. aNow only affects the deadlines; the outcome
// and the rest of the state depend on the earlier state and the command alone.
Outcome Apply(JournalState& aState, const Command& aCommand, TimePoint aNow);

// Returns commands for the leader to propose, for up to aLimit records whose
// local deadline has passed. A command is returned again until it is applied.
std::vector<Expire> DueExpiries(const JournalState& aState, TimePoint aNow,
                                std::size_t aLimit);

// The name of a record's stage, such as "Dispatched".
std::string_view StageName(const Record& aRecord);
const Record* FindRecord(const JournalState& aState, const RequestKey& aKey);

// Encodes the replicated state, without the deadlines, as CBOR.
Bytes TakeSnapshot(const JournalState& aState);
// Decodes a snapshot and starts the deadlines at aNow. Returns nothing for
// malformed bytes.
std::optional<JournalState> RestoreSnapshot(const Bytes& aBytes,
                                            const Periods& aPeriods,
                                            TimePoint aNow);

}  // namespace bramleypath::journal
