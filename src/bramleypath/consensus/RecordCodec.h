#pragma once

#include <cstdint>
#include <gsl/span>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "bramleypath/consensus/Types.h"

namespace bramleypath::consensus {

// Records of the log files. A batch is one CBOR array of records and is stored
// as a unit.

struct EntriesRecord {
  // Contiguous, at least one; they replace all from the first one's index on.
  std::vector<LogEntry> entries;
};
// From here on, the snapshot of that index and term stands for all entries up
// to it; with discardLog, for the whole log before the record.
struct SnapshotMark {
  LogIndex index = 0;
  Term term = 0;
  bool discardLog = false;
};
// The first record of each file.
struct SegmentHead {
  std::uint64_t sequence = 0;
  // Where the log ended when the file was begun: tells whether an earlier file
  // that is not there was obsolete or is missing.
  LogIndex lastIndex = 0;
};

using Record =
    std::variant<HardState, EntriesRecord, SnapshotMark, SegmentHead>;

// Collects the records of one batch.
class RecordEncoder {
 public:
  RecordEncoder();
  ~RecordEncoder();
  RecordEncoder(const RecordEncoder&) = delete;
  RecordEncoder& operator=(const RecordEncoder&) = delete;

  void Add(const HardState& aState);
  void Add(const std::vector<LogEntry>& aEntries);
  void Add(const SnapshotMark& aMark);
  void Add(const SegmentHead& aHead);
  Bytes Finish() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

std::optional<std::vector<Record>> DecodeRecords(
    gsl::span<const std::uint8_t> aBytes);

// What precedes the state in a snapshot file.
struct SnapshotHead {
  LogIndex index = 0;
  Term term = 0;
  Membership membership;
  std::uint64_t stateBytes = 0;
  std::uint32_t stateChecksum = 0;  // crc32
};

Bytes EncodeSnapshotHead(const SnapshotHead& aHead);
std::optional<SnapshotHead> DecodeSnapshotHead(
    gsl::span<const std::uint8_t> aBytes);

}  // namespace bramleypath::consensus
