#pragma once

#include "telemetry/decisionlog.h"

#include <string>
#include <string_view>

/// Text of structured log lines. Each function appends to an unfinished line.
namespace endiveshore::telemetry {

void beginLine(std::string &line, LogFormat format);
void appendName(std::string &line, LogFormat format, std::string_view name);

/// Appends @p value with workspace keys masked, truncated to 512 bytes and quoted where needed.
void appendText(std::string &line, LogFormat format, std::string_view value);
void appendRaw(std::string &line, std::string_view value);
void endLine(std::string &line, LogFormat format);

/// @p value with every workspace key replaced by a mask.
std::string maskKeys(std::string_view value);

/// UTC time of @p time with milliseconds, for example 2026-01-31T08:15:00.250Z.
std::string formatTime(std::chrono::system_clock::time_point time);

}
