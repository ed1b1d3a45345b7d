#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "bramleypath/base/Ids.h"

namespace bramleypath::controller {

// Bounds the memory of a leader whose proposals end with an unknown outcome.
constexpr std::size_t kMaxOpenSubmissions = 32768;

// The submissions that this leader has proposed and that may still be
// committed although the state doesn't hold them yet. Those with an unknown
// outcome stay open until the term ends; the first entry of the next term
// decides them.
struct OpenSubmissions {
  Epoch epoch = 0;
  // Number of proposals by the job's id.
  std::unordered_map<std::string, std::uint32_t> jobs;
  // There were too many, so that a missing id proves nothing in this term.
  bool isIncomplete = false;
};

// Starts a term; nothing of earlier terms is open any more.
void Begin(OpenSubmissions& aSubmissions, Epoch aEpoch);
void Add(OpenSubmissions& aSubmissions, const JobId& aJob);
// The outcome of a proposal of that term is known: it is in the state, or was
// never appended.
void Close(OpenSubmissions& aSubmissions, Epoch aEpoch, const JobId& aJob);
bool MayBeOpen(const OpenSubmissions& aSubmissions, const JobId& aJob);
// Whether a proposal for the job is known to be open.
bool IsOpen(const OpenSubmissions& aSubmissions, const JobId& aJob);

}  // namespace bramleypath::controller
