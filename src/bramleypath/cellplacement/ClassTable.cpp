#include "bramleypath/cellplacement/ClassTable.h"

namespace bramleypath::cellplacement {

placement::ClassIndex IndexOf(ClassTable& aTable, const ClassId& aClass) {
  const auto found = aTable.indexes.find(aClass);
  if (found != aTable.indexes.end()) {
    return found->second;
  }
  if (aTable.names.size() >= aTable.maxClasses) {
    return static_cast<placement::ClassIndex>(aTable.maxClasses);
  }
  const auto index = static_cast<placement::ClassIndex>(aTable.names.size());
  aTable.indexes.emplace(aClass, index);
  aTable.names.push_back(aClass);
  return index;
}

std::optional<ClassId> NameOf(const ClassTable& aTable,
                              placement::ClassIndex aIndex) {
  if (aIndex >= aTable.names.size()) {
    return std::nullopt;
  }
  return aTable.names[aIndex];
}

}  // namespace bramleypath::cellplacement
