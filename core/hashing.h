#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endiveshore::core {

/// 64-bit FNV-1a hash with a final avalanche step; stable across builds and daemons.
std::uint64_t stableHash(std::string_view text);

/// Rendezvous weight from the stable hashes of a key and a node, for callers that compare many nodes.
std::uint64_t rendezvousWeight(std::uint64_t keyHash, std::uint64_t nodeHash);

/// Rendezvous weight of @p node for @p key. The node with the highest weight owns the key.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view node);

/// Nodes in descending order of their rendezvous weight for @p key.
std::vector<std::string> rendezvousOrder(std::string_view key, std::span<const std::string> nodes);

/// Lower-case hexadecimal SHA-256 of @p data.
std::string sha256Hex(std::string_view data);

/// Raw 32-byte HMAC-SHA256 of @p data.
std::string hmacSha256(std::string_view secret, std::string_view data);

/// True if both texts are equal. For texts of equal length, the time does not depend on where they differ.
bool equalConstantTime(std::string_view left, std::string_view right);

/// Standard base64 with padding.
std::string base64Encode(std::string_view data);

/// Decodes standard base64; returns an empty string for invalid input.
std::string base64Decode(std::string_view text);

/// @p bytes random bytes from the system's generator as lower-case hexadecimal.
std::string randomHex(std::size_t bytes);

}
