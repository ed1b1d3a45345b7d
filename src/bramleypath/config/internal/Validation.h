#pragma once

#include "bramleypath/config/Change.h"

namespace bramleypath::config::detail {

// Applies a change to a configuration after checking it. aNextVersion is the
// version that the change makes. Refused: gives the code, field and detail, and
// the configuration may be half changed, so callers apply to a copy.
Outcome ApplyChange(Configuration& aConfiguration, const Change& aChange,
                    Version aNextVersion);

}  // namespace bramleypath::config::detail
