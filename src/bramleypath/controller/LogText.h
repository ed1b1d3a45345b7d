#pragma once

#include <cstdint>
#include <string>

// Texts of numbers in the event log.
namespace bramleypath::controller::detail {

inline std::string NumberText(std::uint64_t aNumber) {
  return std::to_string(aNumber);
}

// Without the fraction.
inline std::string WholeText(double aNumber) {
  return std::to_string(static_cast<std::int64_t>(aNumber));
}

}  // namespace bramleypath::controller::detail
