#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "bramleypath/base/Ids.h"
#include "bramleypath/placement/Composition.h"

namespace bramleypath::cellplacement {

// Numbers the classes as they are first seen, up to a bound.
struct ClassTable {
  std::size_t bound = 0;
  std::map<ClassId, placement::ClassIndex> indexes;
  std::vector<ClassId> names;
};

// The class's number. A class beyond the bound gets the bound itself, for which
// the estimates hold nothing but the prior.
placement::ClassIndex IndexOf(ClassTable& aTable, const ClassId& aClass);

// None for a number that was not given.
std::optional<ClassId> NameOf(const ClassTable& aTable,
                              placement::ClassIndex aIndex);

}  // namespace bramleypath::cellplacement
