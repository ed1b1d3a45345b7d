#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "bramleypath/cell/CellState.h"
#include "bramleypath/cell/Command.h"
#include "bramleypath/wire/WireReason.h"

namespace bramleypath::wire {

// Parse the JSON bodies of POST /v1/ops/jobs and /v1/ops/jobs/cancel; see
// docs/operator-api.md. They return none and set aReason when the body is
// invalid.
std::optional<cell::SubmitJob> ParseJobSubmission(std::string_view aText,
                                                  WireReason& aReason);
std::optional<cell::CancelJobs> ParseJobCancellation(std::string_view aText,
                                                     WireReason& aReason);

// The name of a refusal in JSON, such as "never_fits". Codes without a
// name of their own give "not_allowed".
const char* NameOf(cell::RefusalCode aCode);

}  // namespace bramleypath::wire
