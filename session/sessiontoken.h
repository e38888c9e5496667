#pragma once

#include "core/error.h"
#include "session/logposition.h"

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace endiveshore::session {

/// Longest accepted token text in bytes.
inline constexpr std::size_t MaximumTokenLength = 8192;

/// The positions that a session has observed, one per database. Callers carry the token between requests in the header
/// `Endiveshore-Session`, so that daemons keep no session state.
///
/// Databases are identified by any text; the daemon uses "service/database" where one caller uses several services.
class SessionToken
{
public:
    /// Reads a token and verifies its signature against any of @p secrets, so that a secret can be replaced while
    /// tokens signed with the previous secret are still in use. An empty text is a new session. Fails with
    /// InvalidSession if the text is malformed, longer than MaximumTokenLength or signed with another secret.
    static boost::leaf::result<SessionToken> parse(std::string_view text, std::span<const std::string> secrets);
    static boost::leaf::result<SessionToken> parse(std::string_view text, const std::string &secret);

    /// Text form: base64 of the positions and a 128-bit HMAC-SHA256. Empty for an empty token.
    std::string serialize(std::string_view secret) const;

    bool empty() const;

    /// Position that a server must cover before it may answer this session; std::nullopt if no position was observed.
    std::optional<LogPosition> position(std::string_view database) const;

    /// Records that the session has observed @p observed. Neither term nor position ever decreases. They are raised
    /// independently: a replica can report a newer term while it still applies entries of an older term, and the higher
    /// position must not be lost.
    void advance(std::string_view database, LogPosition observed);

    bool operator==(const SessionToken &) const = default;

private:
    std::map<std::string, LogPosition, std::less<>> positions;
};

}
