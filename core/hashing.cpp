#include "core/hashing.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <utility>

namespace endiveshore::core {

namespace {

std::string toHex(std::span<const unsigned char> bytes)
{
    static constexpr std::string_view Digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(bytes.size() * 2);
    for (const unsigned char byte : bytes) {
        hex.push_back(Digits[byte >> 4]);
        hex.push_back(Digits[byte & 0x0f]);
    }
    return hex;
}

const unsigned char *toBytes(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

}

namespace {

/// Final mixing step of MurmurHash3: every input bit affects every output bit.
std::uint64_t avalanche(std::uint64_t hash)
{
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    hash *= 0xc4ceb9fe1a85ec53ULL;
    return hash ^ (hash >> 33);
}

}

std::uint64_t stableHash(std::string_view text)
{
    // FNV-1a with the standard 64-bit offset basis and prime.
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char character : text) {
        hash = (hash ^ static_cast<unsigned char>(character)) * 1099511628211ULL;
    }
    // FNV-1a alone leaves the high bits of short texts correlated, which skews rendezvous hashing.
    return avalanche(hash);
}

std::uint64_t rendezvousWeight(std::uint64_t keyHash, std::uint64_t nodeHash)
{
    return avalanche(keyHash ^ (nodeHash * 0x9e3779b97f4a7c15ULL));
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view node)
{
    return rendezvousWeight(stableHash(key), stableHash(node));
}

std::vector<std::string> rendezvousOrder(std::string_view key, std::span<const std::string> nodes)
{
    // Hashed once per node rather than in every comparison.
    const std::uint64_t keyHash = stableHash(key);
    std::vector<std::pair<std::uint64_t, const std::string *>> weighted;
    weighted.reserve(nodes.size());
    for (const std::string &node : nodes) {
        weighted.emplace_back(rendezvousWeight(keyHash, stableHash(node)), &node);
    }
    std::sort(weighted.begin(), weighted.end(), [](const auto &left, const auto &right) {
        return left.first != right.first ? left.first > right.first : *left.second < *right.second;
    });
    std::vector<std::string> ordered;
    ordered.reserve(nodes.size());
    for (const auto &[weight, node] : weighted) {
        ordered.push_back(*node);
    }
    return ordered;
}

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(toBytes(data), data.size(), digest.data());
    return toHex(digest);
}

std::string hmacSha256(std::string_view secret, std::string_view data)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(),
         secret.data(),
         static_cast<int>(secret.size()),
         toBytes(data),
         data.size(),
         digest.data(),
         &length);
    return std::string(reinterpret_cast<const char *>(digest.data()), length);
}

bool equalConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string base64Encode(std::string_view data)
{
    std::string text(4 * ((data.size() + 2) / 3) + 1, '\0');
    const int length
        = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()), toBytes(data), static_cast<int>(data.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::string base64Decode(std::string_view text)
{
    if (text.empty() || text.size() % 4 != 0) {
        return {};
    }
    std::string data(text.size() / 4 * 3, '\0');
    const int length
        = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(data.data()), toBytes(text), static_cast<int>(text.size()));
    if (length < 0) {
        return {};
    }
    // EVP_DecodeBlock counts padding as zero bytes.
    std::size_t padding = 0;
    while (padding < 2 && text[text.size() - 1 - padding] == '=') {
        ++padding;
    }
    data.resize(static_cast<std::size_t>(length) - padding);
    return data;
}

std::string randomHex(std::size_t bytes)
{
    std::vector<unsigned char> buffer(bytes);
    RAND_bytes(buffer.data(), static_cast<int>(bytes));
    return toHex(buffer);
}

}
