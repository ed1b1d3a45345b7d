#pragma once

#include <string_view>

namespace bramleypath {

inline bool StartsWith(std::string_view aText, std::string_view aPrefix) {
  return aText.substr(0, aPrefix.size()) == aPrefix;
}

inline bool EndsWith(std::string_view aText, std::string_view aSuffix) {
  return aText.size() >= aSuffix.size() &&
         aText.substr(aText.size() - aSuffix.size()) == aSuffix;
}

}  // namespace bramleypath
