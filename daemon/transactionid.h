#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace endiveshore::daemon {

/// Returns a new transaction id "<daemon>.<hash of the server key>-<random>". From the id, every daemon knows which
/// daemon holds the transaction's connection, even after the primary or the server's home has changed.
std::string makeTransactionId(std::string_view memberId, std::string_view serverKey);

/// Returns the id of the daemon that holds the transaction's connection; empty for a malformed transaction id.
std::string_view transactionOwner(std::string_view transactionId);

/// Returns the hash of the key of the server on which the transaction runs; 0 for a malformed transaction id.
std::uint64_t transactionServerHash(std::string_view transactionId);

}
