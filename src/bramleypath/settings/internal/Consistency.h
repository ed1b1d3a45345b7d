#pragma once

#include <string>

#include "bramleypath/settings/Settings.h"

namespace bramleypath::settings::detail {

// Checks settings that conform to the schema, and adds a fault for each invalid
// address, duplicate or unknown name, unsafe layout of voters and pair of
// contradictory limits.
void CheckConsistency(const Settings& aSettings, const std::string& aFile,
                      Report& aReport);

}  // namespace bramleypath::settings::detail
