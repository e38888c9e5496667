#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

/// Workspace keys. Only the SHA-256 hash of a key is stored; only the caller has the key in plain text.
namespace endiveshore::access {

/// Prefix of generated keys, by which scanners and people recognise a leaked key.
constexpr std::string_view KeyPrefix = "ek_";

/// Random bytes in a generated key. Guessing is infeasible, so an unsalted fast hash is sufficient.
constexpr std::size_t KeyRandomBytes = 32;

/// Workspace and service to which a key gives access.
struct KeyGrant
{
    std::string workspace;
    std::string service;

    bool operator==(const KeyGrant &) const = default;
};

/// Lower-case hexadecimal SHA-256 of @p key, the form in which keys are stored and logged.
std::string hashKey(std::string_view key);

/// New random key: KeyPrefix followed by lower-case hexadecimal digits. Throws core::Error(Internal) if the random
/// generator of the system is not ready.
std::string generateKey();

/// True for 64 lower-case hexadecimal digits.
bool isKeyHash(std::string_view text);

/// JSON that the store holds for each key: `{"service","workspace"}`.
std::string serializeGrant(const KeyGrant &grant);

/// Inverse of serializeGrant(); std::nullopt if @p text is not a grant. Unknown members are ignored.
std::optional<KeyGrant> parseGrant(std::string_view text);

/// Immutable table of valid keys. Safe to read from any thread.
class KeyTable
{
public:
    using Grants = std::map<std::string, KeyGrant>; ///< By key hash.

    KeyTable() = default;

    /// Skips entries whose hash does not satisfy isKeyHash(); no key can match them.
    explicit KeyTable(const Grants &grants);

    /// Grant of @p key, or nullptr if the key is not valid. The pointer is valid for the lifetime of the table.
    const KeyGrant *find(std::string_view key) const;

    /// Grant of the key with the hash @p hash, or nullptr.
    const KeyGrant *findByHash(std::string_view hash) const;

    std::size_t size() const;

private:
    std::unordered_map<std::string, KeyGrant> grants;
};

}
