#pragma once

#include <cstddef>
#include <deque>
#include <set>

#include "bramleypath/base/Ids.h"

// The data centres that operators have taken out of service for maintenance.
// No task is started there; those that run continue until they end.
namespace bramleypath::workflow {

// Bounds the snapshot. Cells have far fewer data centres.
constexpr std::size_t kMaxDrainedDataCentres = 64;

// Part of the replicated state.
struct Drains {
  std::set<DataCentreId> dataCentres;
  // Data centres whose drain was ended last, oldest first and each once. Not
  // part of a snapshot and not read by commands: an order to end a drain that
  // was carried out is sent again if its answer is lost, and must not be
  // refused as one for an unknown data centre.
  std::deque<DataCentreId> recentlyEnded;
};

enum class DrainChange { Changed, Unchanged, Full };

// Full: there are kMaxDrainedDataCentres already, and nothing has changed.
DrainChange Set(Drains& aDrains, const DataCentreId& aDataCentre,
                bool aDrained);
bool IsDrained(const Drains& aDrains, const DataCentreId& aDataCentre);
// Whether the data centre is drained, or its drain has ended recently.
bool IsNamed(const Drains& aDrains, const DataCentreId& aDataCentre);

}  // namespace bramleypath::workflow
