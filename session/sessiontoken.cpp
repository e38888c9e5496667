#include "session/sessiontoken.h"

#include "core/hashing.h"

#include <algorithm>

namespace endiveshore::session {

namespace {

constexpr char FormatVersion = 1;
// Half of the digest, the shortest truncation that RFC 2104 recommends; keeps the header compact.
constexpr std::size_t SignatureBytes = 16;
constexpr unsigned MaximumVarintBits = 64;

std::string signatureOf(std::string_view secret, std::string_view payload)
{
    // The prefix keeps a signature made for another purpose with the same secret from being accepted as a token.
    std::string message = "endiveshore-session:";
    message.append(payload);
    return core::hmacSha256(secret, message).substr(0, SignatureBytes);
}

void appendVarint(std::string &out, std::uint64_t value)
{
    while (value >= 0x80) {
        out.push_back(static_cast<char>((value & 0x7f) | 0x80));
        value >>= 7;
    }
    out.push_back(static_cast<char>(value));
}

std::optional<std::uint64_t> takeVarint(std::string_view &in)
{
    std::uint64_t value = 0;
    for (unsigned shift = 0; shift < MaximumVarintBits && !in.empty(); shift += 7) {
        const auto byte = static_cast<unsigned char>(in.front());
        in.remove_prefix(1);
        value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
        if ((byte & 0x80) == 0) {
            return value;
        }
    }
    return std::nullopt;
}

core::Failure invalid(std::string message)
{
    return core::Failure{.code = core::ResultCode::InvalidSession, .message = std::move(message)};
}

}

boost::leaf::result<SessionToken> SessionToken::parse(std::string_view text, std::span<const std::string> secrets)
{
    SessionToken token;
    if (text.empty()) {
        return token;
    }
    if (text.size() > MaximumTokenLength) {
        return boost::leaf::new_error(invalid("session token is too long"));
    }
    const std::string data = core::base64Decode(text);
    if (data.size() <= SignatureBytes) {
        return boost::leaf::new_error(invalid("malformed session token"));
    }
    std::string_view payload(data);
    const std::string_view signature = payload.substr(payload.size() - SignatureBytes);
    payload.remove_suffix(SignatureBytes);
    const bool verified = std::any_of(secrets.begin(), secrets.end(), [&](const std::string &secret) {
        return core::equalConstantTime(signatureOf(secret, payload), signature);
    });
    if (!verified) {
        return boost::leaf::new_error(invalid("session token has an unknown signature"));
    }
    if (payload.front() != FormatVersion) {
        return boost::leaf::new_error(invalid("session token has an unknown version"));
    }
    payload.remove_prefix(1);
    while (!payload.empty()) {
        const std::optional<std::uint64_t> length = takeVarint(payload);
        if (!length || *length > payload.size()) {
            return boost::leaf::new_error(invalid("malformed session token"));
        }
        const std::string_view database = payload.substr(0, *length);
        payload.remove_prefix(*length);
        const std::optional<std::uint64_t> term = takeVarint(payload);
        const std::optional<std::uint64_t> position = takeVarint(payload);
        if (!term || !position) {
            return boost::leaf::new_error(invalid("malformed session token"));
        }
        token.advance(database, LogPosition{.term = *term, .position = *position});
    }
    return token;
}

boost::leaf::result<SessionToken> SessionToken::parse(std::string_view text, const std::string &secret)
{
    return parse(text, std::span(&secret, 1));
}

std::string SessionToken::serialize(std::string_view secret) const
{
    if (this->positions.empty()) {
        return {};
    }
    std::string payload(1, FormatVersion);
    for (const auto &[database, position] : this->positions) {
        appendVarint(payload, database.size());
        payload.append(database);
        appendVarint(payload, position.term);
        appendVarint(payload, position.position);
    }
    return core::base64Encode(payload + signatureOf(secret, payload));
}

bool SessionToken::empty() const
{
    return this->positions.empty();
}

std::optional<LogPosition> SessionToken::position(std::string_view database) const
{
    const auto found = this->positions.find(database);
    return found != this->positions.end() ? std::optional(found->second) : std::nullopt;
}

void SessionToken::advance(std::string_view database, LogPosition observed)
{
    if (observed == LogPosition{}) {
        return;
    }
    const auto found = this->positions.find(database);
    if (found == this->positions.end()) {
        this->positions.emplace(database, observed);
        return;
    }
    found->second.term = std::max(found->second.term, observed.term);
    found->second.position = std::max(found->second.position, observed.position);
}

}
