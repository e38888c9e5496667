#include "session/sessiontoken.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <vector>

namespace endiveshore::session {

namespace {

constexpr auto Covered = Coverage::Covered;
constexpr auto Behind = Coverage::Behind;
constexpr auto Diverged = Coverage::Diverged;

std::optional<SessionToken> parsed(std::string_view text, const std::vector<std::string> &secrets)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<SessionToken>> {
            BOOST_LEAF_AUTO(token, SessionToken::parse(text, secrets));
            return std::optional(token);
        },
        [](const core::Failure &failure) -> std::optional<SessionToken> {
            EXPECT_EQ(failure.code, core::ResultCode::InvalidSession);
            return std::nullopt;
        },
        []() -> std::optional<SessionToken> {
            ADD_FAILURE() << "unclassified failure";
            return std::nullopt;
        });
}

}

// Guards against a read from a server that lacks the session's writes, and against refusing a server that has them.
TEST(Coverage, Table)
{
    struct Case
    {
        LogPosition required;
        std::uint64_t applied;
        std::vector<TermStart> history;
        Coverage expected;
    };
    const std::vector<Case> cases{
        // Nothing required.
        {{0, 0}, 0, {}, Covered},
        {{3, 0}, 0, {}, Covered},
        // Unknown history.
        {{1, 5}, 9, {}, Behind},
        // Same term.
        {{1, 5}, 5, {{1, 0}}, Covered},
        {{1, 6}, 5, {{1, 0}}, Behind},
        {{2, 90}, 95, {{1, 0}, {2, 80}}, Covered},
        // Server with an older term: its entries above the start of the next term will be truncated, so its position
        // proves nothing.
        {{2, 90}, 100, {{1, 0}}, Behind},
        {{2, 70}, 100, {{1, 0}}, Behind},
        // Server with a newer term that kept or truncated the required entry.
        {{1, 80}, 95, {{1, 0}, {2, 80}}, Covered},
        {{1, 81}, 95, {{1, 0}, {2, 80}}, Diverged},
        {{1, 80}, 70, {{1, 0}, {2, 80}}, Behind},
        // Several terms: the term that follows the required term decides, not the last term.
        {{1, 85}, 200, {{1, 0}, {2, 80}, {3, 150}}, Diverged},
        {{2, 150}, 200, {{3, 150}, {1, 0}, {2, 80}}, Covered},
        {{2, 151}, 200, {{1, 0}, {2, 80}, {3, 150}}, Diverged},
        // The required term was never part of this server's history.
        {{2, 90}, 200, {{1, 0}, {3, 100}}, Diverged},
        // Trimmed history.
        {{1, 90}, 200, {{4, 100}, {5, 150}}, Covered},
        {{1, 101}, 200, {{4, 100}, {5, 150}}, Diverged},
    };
    for (std::size_t index = 0; index < cases.size(); ++index) {
        const Case &entry = cases[index];
        EXPECT_EQ(coverage(entry.required, entry.applied, entry.history), entry.expected) << "case " << index;
    }
}

// Guards against a coverage rule that contradicts the logs: in random histories, the whole log of each server is
// compared entry by entry with the log on which the position was observed.
TEST(Coverage, AgreesWithTheLogs)
{
    const bool held = rc::check([] {
        using Log = std::vector<std::uint64_t>; // Term of each entry.
        std::vector<Log> logs(3);
        std::vector<std::vector<TermStart>> histories(3, {{1, 0}});
        std::uint64_t term = 1;
        std::size_t primary = 0;
        const int steps = *rc::gen::inRange(1, 60);
        for (int step = 0; step < steps; ++step) {
            const std::size_t server = *rc::gen::inRange<std::size_t>(0, 3);
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
                primary = server;
                ++term;
                histories[primary].push_back({term, logs[primary].size()});
                break;
            case 1:
                logs[server] = logs[primary];
                histories[server] = histories[primary];
                break;
            default:
                logs[primary].push_back(term);
            }
        }
        for (std::size_t observed = 0; observed < 3; ++observed) {
            for (std::size_t server = 0; server < 3; ++server) {
                const LogPosition required{histories[observed].back().term, logs[observed].size()};
                const Coverage result = coverage(required, logs[server].size(), histories[server]);
                if (result == Coverage::Covered) {
                    RC_ASSERT(logs[server].size() >= logs[observed].size());
                    RC_ASSERT(std::equal(logs[observed].begin(), logs[observed].end(), logs[server].begin()));
                }
                if (server == observed) {
                    RC_ASSERT(result == Coverage::Covered);
                }
            }
        }
    });
    EXPECT_TRUE(held);
}

// Guards against tokens that lose positions when they are written and read, and against accepting an altered token.
TEST(SessionToken, RoundTripAndTampering)
{
    const bool held = rc::check([] {
        SessionToken token;
        const auto entries = *rc::gen::container<std::vector<std::tuple<std::string, std::uint64_t, std::uint64_t>>>(
            rc::gen::arbitrary<std::tuple<std::string, std::uint64_t, std::uint64_t>>());
        for (const auto &[database, term, position] : entries) {
            token.advance(database, {term, position});
        }
        const std::string text = token.serialize("secret");
        RC_PRE(text.size() <= MaximumTokenLength);
        RC_ASSERT(parsed(text, {"secret"}) == token);
        RC_ASSERT(parsed(text, {"new", "secret"}) == token);
        if (token.empty()) {
            return;
        }
        RC_ASSERT(!parsed(text, {"new"}));
        std::string altered = text;
        const std::size_t at = *rc::gen::inRange<std::size_t>(0, text.size());
        altered[at] = altered[at] == 'A' ? 'B' : 'A';
        const std::optional<SessionToken> result = parsed(altered, {"secret"});
        // Unused bits of the last base64 digit may change without changing the content.
        RC_ASSERT(!result || result == token);
    });
    EXPECT_TRUE(held);
}

// Guards against a crash on text that is not a token, and against accepting such text.
TEST(SessionToken, RefusesMalformedText)
{
    for (const std::string &text : {std::string("x"),
                                    std::string("===="),
                                    std::string("AAAA"),
                                    std::string(40, 'A'),
                                    std::string(MaximumTokenLength + 4, 'A')}) {
        EXPECT_FALSE(parsed(text, {"secret"})) << text.substr(0, 50);
    }
    EXPECT_TRUE(parsed("", {"secret"})->empty());
}

// Guards against a session that loses the position of its write after an answer from a lagging replica.
TEST(SessionToken, NeverGoesBack)
{
    SessionToken token;
    EXPECT_EQ(token.position("db"), std::nullopt);
    token.advance("db", {1, 100});
    token.advance("db", {1, 90});
    EXPECT_EQ(token.position("db"), (LogPosition{1, 100}));
    // A replica that knows term 2 but still applies entries of term 1.
    token.advance("db", {2, 90});
    EXPECT_EQ(token.position("db"), (LogPosition{2, 100}));
    token.advance("db", {1, 95});
    EXPECT_EQ(token.position("db"), (LogPosition{2, 100}));
    EXPECT_EQ(token.position("other"), std::nullopt);
}

}
