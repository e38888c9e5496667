#pragma once

#include <cstdint>

namespace endiveshore::net {

/// Bytes that HTTP clients of this thread have sent and received, headers of HTTP included, those of TCP not. The
/// control thread of a daemon makes only control calls, so its count is the control traffic.
std::uint64_t threadBytes();

/// Adds to the count of this thread.
void countThreadBytes(std::uint64_t bytes);

}
