#pragma once

#include <string>
#include <vector>

#include "bramleypath/cli/Environment.h"
#include "bramleypath/cli/ExitCode.h"

namespace bramleypath::cli {

// Runs one command and returns the exit code of the program. aWords is the
// command line without the program's name.
ExitCode Run(const std::vector<std::string>& aWords,
             const Environment& aEnvironment);

}  // namespace bramleypath::cli
