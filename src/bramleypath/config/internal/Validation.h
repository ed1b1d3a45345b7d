#pragma once

#include "bramleypath/config/Change.h"

namespace bramleypath::config::detail {

// Checks a change and applies it to a configuration. aNextVersion is the
// version that the change creates. A refusal has its code, field and detail
// set, and may leave the configuration partly changed, so callers pass a copy.
Outcome ApplyChange(Configuration& aConfiguration, const Change& aChange,
                    Version aNextVersion);

}  // namespace bramleypath::config::detail
