#pragma once

#include "plankledge_core/Logger.h"
#include "plankledge_policy/Effects.h"

namespace plankledge
{

/** @returns the event's name in the log, e.g. "drain-started" */
std::string_view nameOf (Notice notice) noexcept;

Severity severityOf (Notice notice) noexcept;

/** @returns the event's name in the log, e.g. "request-refused" */
std::string_view nameOf (Decision decision) noexcept;

void writeNotice (Logger& logger, const WriteLog& notice);

/** Logs a decision with its inputs. Lines about a sampled request chain are marked as sampled. */
void writeDecision (Logger& logger, const LogDecision& decision);

} // namespace plankledge
