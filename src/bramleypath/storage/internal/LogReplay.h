#pragma once

#include <cstdint>
#include <gsl/span>
#include <optional>
#include <string>
#include <vector>

#include "bramleypath/consensus/RecordCodec.h"
#include "bramleypath/consensus/Types.h"
#include "bramleypath/storage/Reason.h"

namespace bramleypath::storage::detail {

// What the records of the log say so far, in the order they were written.
struct Replay {
  consensus::HardState hardState;
  // The last mark; index 0 without one.
  consensus::SnapshotMark snapshot;
  std::vector<consensus::LogEntry> entries;
  // Where the log ended before the first file that is there.
  std::optional<consensus::LogIndex> lastBefore;
};

// How far a file could be read.
struct SegmentEnd {
  std::uint64_t bytes = 0;  // of whole frames
  std::size_t frames = 0;
  bool torn = false;
  // The highest entry index in the file, also of replaced entries.
  consensus::LogIndex maxIndex = 0;
};

// Applies all frames of one file. False with a reason on corruption; a torn
// tail is no corruption and is reported in aEnd.
bool ReplaySegment(const std::string& aPath, std::uint64_t aSequence,
                   gsl::span<const std::uint8_t> aFile, Replay& aReplay,
                   SegmentEnd& aEnd, StorageReason& aReason);

}  // namespace bramleypath::storage::detail
