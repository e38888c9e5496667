#pragma once

#include "pooling/statement.h"

#include <string>
#include <utility>

/// Helper shared by the source files of PooledServer.
namespace endiveshore::gateway {

/// Result of a unit that did not reach the server or had no effect there.
inline pooling::UnitResult notRun(pooling::UnitError error, std::string text = {})
{
    return {.outcome = pooling::UnitOutcome::NotRun, .error = error, .errorText = std::move(text)};
}

}
