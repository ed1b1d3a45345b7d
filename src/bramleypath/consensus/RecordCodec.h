#pragma once

#include <cstdint>
#include <gsl/span>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "bramleypath/consensus/Types.h"

namespace bramleypath::consensus {

// Records of the log files. A batch is encoded as one CBOR array of records and
// is stored as a whole or not at all.

struct EntriesRecord {
  // At least one, with contiguous indexes. They replace all earlier entries
  // from the index of the first one on.
  std::vector<LogEntry> entries;
};
// Records that the snapshot with this index and term replaces all entries up to
// the index or, if discardLog is set, the whole log before this record.
struct SnapshotMarker {
  LogIndex index = 0;
  Term term = 0;
  bool discardLog = false;
};
// The first record of each file.
struct SegmentHeader {
  std::uint64_t sequence = 0;
  // Last index of the log when the file was created. It shows whether an
  // earlier file that is absent was obsolete and deleted, or is missing.
  LogIndex lastIndex = 0;
};

using Record =
    std::variant<HardState, EntriesRecord, SnapshotMarker, SegmentHeader>;

// Collects the records of one batch.
class RecordEncoder {
 public:
  RecordEncoder();
  ~RecordEncoder();
  RecordEncoder(const RecordEncoder&) = delete;
  RecordEncoder& operator=(const RecordEncoder&) = delete;

  void Add(const HardState& aState);
  void Add(const std::vector<LogEntry>& aEntries);
  void Add(const SnapshotMarker& aMarker);
  void Add(const SegmentHeader& aHeader);
  Bytes Finish() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

// Returns nullopt when the bytes are not a valid batch.
std::optional<std::vector<Record>> DecodeRecords(
    gsl::span<const std::uint8_t> aBytes);

// Header of a snapshot file; the state follows it.
struct SnapshotHeader {
  LogIndex index = 0;
  Term term = 0;
  Membership membership;
  std::uint64_t stateBytes = 0;
  std::uint32_t stateChecksum = 0;  // CRC-32
};

Bytes EncodeSnapshotHeader(const SnapshotHeader& aHeader);
// Returns nullopt when the bytes are not a valid header.
std::optional<SnapshotHeader> DecodeSnapshotHeader(
    gsl::span<const std::uint8_t> aBytes);

}  // namespace bramleypath::consensus
