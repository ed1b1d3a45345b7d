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

// The state that results from the log records replayed so far.
struct ReplayedLog {
  consensus::HardState hardState;
  // The last snapshot marker; its index is 0 when there is none.
  consensus::SnapshotMarker snapshot;
  std::vector<consensus::LogEntry> entries;
  // The index of the last entry before the oldest existing segment, from its
  // header.
  std::optional<consensus::LogIndex> lastIndexBefore;
};

// The extent of the valid part of a segment file.
struct SegmentSummary {
  std::uint64_t bytes = 0;  // total size of the valid frames
  std::size_t frames = 0;
  bool torn = false;  // the valid frames are followed by a torn one
  // The highest entry index in the file, including entries that later ones
  // replaced.
  consensus::LogIndex maxIndex = 0;
};

// Applies all frames of one segment file. Returns false and sets aReason on
// corruption. A torn tail is not corruption and is reported in aSummary.
bool ReplaySegment(const std::string& aPath, std::uint64_t aSequence,
                   gsl::span<const std::uint8_t> aFile, ReplayedLog& aReplay,
                   SegmentSummary& aSummary, StorageReason& aReason);

}  // namespace bramleypath::storage::detail
