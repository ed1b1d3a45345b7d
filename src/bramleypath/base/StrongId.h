#pragma once

#include <functional>
#include <string>
#include <utility>

namespace bramleypath {

// An identifier of one kind of entity. The tag keeps, for example, a worker's
// identifier from being passed where a target's is expected.
template <typename Tag>
struct StrongId {
  std::string value;

  StrongId() = default;
  explicit StrongId(std::string aValue) : value(std::move(aValue)) {}

  bool empty() const { return this->value.empty(); }

  friend bool operator==(const StrongId& aLeft, const StrongId& aRight) {
    return aLeft.value == aRight.value;
  }
  friend bool operator!=(const StrongId& aLeft, const StrongId& aRight) {
    return aLeft.value != aRight.value;
  }
  friend bool operator<(const StrongId& aLeft, const StrongId& aRight) {
    return aLeft.value < aRight.value;
  }
};

}  // namespace bramleypath

namespace std {
template <typename Tag>
struct hash<bramleypath::StrongId<Tag>> {
  size_t operator()(const bramleypath::StrongId<Tag>& aId) const noexcept {
    return hash<string>()(aId.value);
  }
};
}  // namespace std
