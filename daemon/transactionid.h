#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace endiveshore::daemon {

/// New transaction id "<daemon>.<hash of the server key>-<random>". It tells every daemon where the transaction's
/// connection is, also after the primary or the server's home has changed.
std::string makeTransactionId(std::string_view memberId, std::string_view serverKey);

/// Daemon that holds the transaction; empty for a malformed id.
std::string_view transactionOwner(std::string_view transactionId);

/// Hash of the key of the server on which the transaction runs; 0 for a malformed id.
std::uint64_t transactionServerHash(std::string_view transactionId);

}
