#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "bramleypath/base/Ids.h"
#include "bramleypath/placement/Composition.h"

namespace bramleypath::cellplacement {

// Numbers the classes as they are first seen, up to maxClasses.
struct ClassTable {
  std::size_t maxClasses = 0;
  std::map<ClassId, placement::ClassIndex> indexes;
  std::vector<ClassId> names;
};

// Returns the class's index; a new class gets the next one. A class beyond the
// bound gets maxClasses itself, for which the estimates hold only the prior.
placement::ClassIndex IndexOf(ClassTable& aTable, const ClassId& aClass);

// Returns nullopt for an index that was not assigned.
std::optional<ClassId> NameOf(const ClassTable& aTable,
                              placement::ClassIndex aIndex);

}  // namespace bramleypath::cellplacement
