#pragma once

#include <string>

#include "bramleypath/settings/Settings.h"

namespace bramleypath::settings::detail {

// Adds a fault for each part of settings that fit the schema and yet can't
// work: addresses, names, quorum layout, contradictory limits.
void CheckMeaning(const Settings& aSettings, const std::string& aFile,
                  Report& aReport);

}  // namespace bramleypath::settings::detail
