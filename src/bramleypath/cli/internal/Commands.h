#pragma once

#include "bramleypath/cli/internal/Session.h"

namespace bramleypath::cli::detail {

// Each runs one command of the table (ConfigCommands.cpp).
ExitCode ConfigGet(const Session& aSession);
ExitCode ConfigApply(const Session& aSession);
ExitCode ConfigChange(const Session& aSession);
ExitCode PresetList(const Session& aSession);
ExitCode PresetUse(const Session& aSession);
ExitCode PresetSet(const Session& aSession);
ExitCode PresetRemove(const Session& aSession);
ExitCode ServiceSet(const Session& aSession);
ExitCode ServiceRemove(const Session& aSession);
ExitCode ClassSet(const Session& aSession);
ExitCode ClassRemove(const Session& aSession);
ExitCode ClientAccountSet(const Session& aSession);
ExitCode ClientAccountRemove(const Session& aSession);
ExitCode OwnersSet(const Session& aSession);
ExitCode TargetDrain(const Session& aSession);
ExitCode HostAdd(const Session& aSession);
ExitCode HostRemove(const Session& aSession);
ExitCode HostDrain(const Session& aSession);

// WorkCommands.cpp
ExitCode JobSubmit(const Session& aSession);
ExitCode JobCancel(const Session& aSession);
ExitCode JobList(const Session& aSession);
ExitCode JobExplain(const Session& aSession);
ExitCode TargetList(const Session& aSession);
ExitCode HostList(const Session& aSession);
ExitCode HostStop(const Session& aSession);
ExitCode Status(const Session& aSession);
ExitCode ExplainPairs(const Session& aSession);

// LogCommands.cpp
ExitCode ExplainRequest(const Session& aSession);

// BootstrapCommands.cpp
ExitCode BootstrapCheck(const Session& aSession);
ExitCode Completion(const Session& aSession);

// Puts the values of options into an object. Each row is an option, a JSON
// pointer and a type.
enum class ValueKind { Text, Number, Boolean };
struct OptionField {
  const char* option;
  const char* pointer;
  ValueKind kind;
};
// False after an error message when a value has the wrong type.
bool PutOptions(const Session& aSession,
                const std::vector<OptionField>& aFields, Json& aObject);

}  // namespace bramleypath::cli::detail
