#include "daemon/transactionid.h"

#include "core/hashing.h"

#include <charconv>

namespace endiveshore::daemon {

namespace {

constexpr std::size_t RandomBytes = 12;

}

std::string makeTransactionId(std::string_view memberId, std::string_view serverKey)
{
    std::string id(memberId);
    id.append(1, '.')
        .append(std::to_string(core::stableHash(serverKey)))
        .append(1, '-')
        .append(core::randomHex(RandomBytes));
    return id;
}

std::string_view transactionOwner(std::string_view transactionId)
{
    const std::size_t separator = transactionId.rfind('.');
    return separator == std::string_view::npos ? std::string_view() : transactionId.substr(0, separator);
}

std::uint64_t transactionServerHash(std::string_view transactionId)
{
    const std::size_t separator = transactionId.rfind('.');
    if (separator == std::string_view::npos) {
        return 0;
    }
    const std::string_view rest = transactionId.substr(separator + 1);
    std::uint64_t hash = 0;
    std::from_chars(rest.data(), rest.data() + rest.size(), hash);
    return hash;
}

}
