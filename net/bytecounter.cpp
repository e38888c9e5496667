#include "net/bytecounter.h"

namespace endiveshore::net {

namespace {

thread_local std::uint64_t count = 0;

}

std::uint64_t threadBytes()
{
    return count;
}

void countThreadBytes(std::uint64_t bytes)
{
    count += bytes;
}

}
