#pragma once

#include <cstdint>

namespace endiveshore::net {

/// Number of bytes that HTTP clients of this thread have sent and received, including HTTP headers but not TCP headers.
/// The control thread of a daemon makes only control calls, so the count of that thread is the control traffic.
std::uint64_t threadBytes();

/// Adds @p bytes to the count of this thread.
void countThreadBytes(std::uint64_t bytes);

}
