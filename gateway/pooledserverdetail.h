#pragma once

#include "pooling/statement.h"

#include <string>
#include <utility>

/// Parts shared by the sources of PooledServer.
namespace endiveshore::gateway {

/// Result of a unit that reached no server, or of which the server keeps nothing.
inline pooling::UnitResult notRun(pooling::UnitError error, std::string text = {})
{
    return {.outcome = pooling::UnitOutcome::NotRun, .error = error, .errorText = std::move(text)};
}

}
