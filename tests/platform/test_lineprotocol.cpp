#include "platform/lineprotocol.h"

#include "core/error.h"
#include "net/linedecoder.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <span>

namespace endiveshore::platform {

using gateway::CallerError;
using gateway::CallerMessageKind;
using gateway::CommandKind;
using pooling::StatementKind;

namespace {

struct StatementCase
{
    std::string_view text;
    StatementKind kind;
};

constexpr std::array StatementCases{
    StatementCase{"BEGIN", StatementKind::Begin},
    StatementCase{"BEGIN READ", StatementKind::BeginReadOnly},
    StatementCase{"BEGIN WRITE", StatementKind::Malformed},
    StatementCase{"COMMIT", StatementKind::Commit},
    StatementCase{"COMMIT now", StatementKind::Malformed},
    StatementCase{"ROLLBACK", StatementKind::Rollback},
    StatementCase{"READ 1a4", StatementKind::Read},
    StatementCase{"READ", StatementKind::Malformed},
    StatementCase{"WRITE 1a4 data with blanks", StatementKind::Write},
    StatementCase{"SET zone north", StatementKind::SetValue},
    StatementCase{"SET", StatementKind::Malformed},
    StatementCase{"PREPARE s1 WRITE q2c", StatementKind::Prepare},
    StatementCase{"PREPARE s1 DROP q2c", StatementKind::Malformed},
    StatementCase{"EXECUTE s1 1a4 xkqp", StatementKind::Execute},
    StatementCase{"EXECUTE s1", StatementKind::Malformed},
    StatementCase{"DEALLOC s1", StatementKind::Deallocate},
    StatementCase{"MINLSN 3.1 READ 1a4", StatementKind::Malformed},
    StatementCase{"STATUS", StatementKind::Malformed},
    StatementCase{"DEMOTE 9", StatementKind::Malformed},
    StatementCase{"", StatementKind::Malformed},
};

}

// Guards against forwarding commands reserved for the proxy, such as STATUS or DEMOTE, from a caller to a server.
TEST(CallerLines, OnlyTheStatementsOfCallersAreKnown)
{
    const LineCallerProtocol lines;
    for (const StatementCase &row : StatementCases) {
        const gateway::CallerMessage message = lines.decode("QUERY 5c0e " + std::string(row.text));
        EXPECT_EQ(message.statement.kind, row.kind) << row.text;
    }
}

// Guards against a caller that uses the proxy's request id, so that servers take its statements for the proxy's own.
TEST(CallerLines, IdOfTheProxyIsRefused)
{
    EXPECT_EQ(LineCallerProtocol().decode("QUERY - READ 1").kind, CallerMessageKind::Malformed);
}

// Guards against an exception or a misread message type for arbitrary input.
TEST(CallerLines, AnyLineIsDecodedOrMalformed)
{
    rc::check("decode never throws", [](const std::string &line) {
        const LineCallerProtocol lines;
        RC_ASSERT_FALSE(lines.decode(line).kind == CallerMessageKind::Start && !line.starts_with("START "));
    });
}

TEST(CallerLines, StartNamesDatabaseAndKey)
{
    const gateway::CallerMessage message = LineCallerProtocol().decode("START lepu270 u3f1");
    EXPECT_EQ(message.kind, CallerMessageKind::Start);
    EXPECT_EQ(message.start.database, "lepu270");
    EXPECT_EQ(message.start.key, "u3f1");
    EXPECT_EQ(LineCallerProtocol().decode("START").kind, CallerMessageKind::Malformed);
}

// Guards against replies that differ from the documented format, which callers could not tell apart.
TEST(CallerLines, ReplyMatchesTheDocumentedFormat)
{
    const LineCallerProtocol lines;
    const gateway::CallerReply done{.rows = {"a b"},
                                    .signature = "7.1f3",
                                    .state = gateway::SessionState::InTransaction,
                                    .position = {.term = 3, .position = 1'209}};
    EXPECT_EQ(lines.encode(done), "DATAROW a b\r\nCOMPLETE 7.1f3\r\nREADY T 3.1209\r\n");
    EXPECT_EQ(lines.encode({}), "COMPLETE -\r\nREADY I -\r\n");
    const gateway::CallerReply failed{.error = CallerError::StatementFailed,
                                      .errorText = "FAILED i-1",
                                      .state = gateway::SessionState::TransactionFailed};
    EXPECT_EQ(lines.encode(failed), "ERROR FAILED i-1\r\nREADY E -\r\n");
    EXPECT_TRUE(lines.encode({.error = CallerError::InDoubt}).starts_with("ERROR INDOUBT "));
    EXPECT_TRUE(lines.encodeRefusedStart(CallerError::UnknownKey).starts_with("ERROR UNAUTH "));
}

// Guards against changing a caller's statement text or request id when the statement is forwarded to a server.
TEST(ServerLines, StatementOfACallerTravelsUnchanged)
{
    EXPECT_EQ(commandLine({.kind = CommandKind::CallerStatement, .id = "5c0e", .text = "WRITE 1a4 x  y"}),
              "QUERY 5c0e WRITE 1a4 x  y\r\n");
    EXPECT_EQ(commandLine({.kind = CommandKind::CallerStatement,
                           .id = "5c0e",
                           .text = "READ 1a4",
                           .minimumPosition = {.term = 3, .position = 1'207}}),
              "QUERY 5c0e MINLSN 3.1207 READ 1a4\r\n");
    EXPECT_EQ(commandLine({.kind = CommandKind::CallerExecute, .id = "5c0e", .text = "1a4 x", .name = "p7"}),
              "QUERY 5c0e EXECUTE p7 1a4 x\r\n");
}

// Guards against sending the proxy's own commands under the request id of a caller.
TEST(ServerLines, CommandsOfTheProxyCarryItsOwnId)
{
    EXPECT_EQ(commandLine({.kind = CommandKind::Begin}), "QUERY - BEGIN\r\n");
    EXPECT_EQ(commandLine({.kind = CommandKind::BeginReadOnly, .minimumPosition = {.term = 1, .position = 2}}),
              "QUERY - MINLSN 1.2 BEGIN READ\r\n");
    EXPECT_EQ(commandLine({.kind = CommandKind::Prepare, .name = "p1", .shape = {.writes = true, .shape = "q2c"}}),
              "QUERY - PREPARE p1 WRITE q2c\r\n");
    EXPECT_EQ(startLine({.service = "huvo11a", .serverId = "i-7f", .workspace = "north"}),
              "START huvo11a north i-7f\r\n");
}

// Guards against confusing errors which guarantee that the statement did not run with errors that leave this open.
TEST(ServerLines, RepliesKeepTheGuaranteeOfTheirError)
{
    gateway::ServerReply reply;
    EXPECT_FALSE(readReplyLine("ERROR READONLY i-7f3a91c2", reply));
    EXPECT_TRUE(readReplyLine("READY E 3.1209", reply));
    EXPECT_EQ(reply.error, pooling::UnitError::NotPrimary);
    EXPECT_EQ(reply.state, gateway::ServerState::TransactionFailed);
    EXPECT_EQ(reply.position, (session::LogPosition{.term = 3, .position = 1'209}));
    gateway::ServerReply unknown;
    readReplyLine("ERROR TIMEOUT late", unknown);
    EXPECT_EQ(unknown.error, pooling::UnitError::Other);
    EXPECT_THROW(readReplyLine("HELLO", unknown), core::Error);
}

TEST(ServerLines, StatusIsReadOrRefused)
{
    EXPECT_EQ(commandLine({.kind = CommandKind::Pause, .term = 4}), "QUERY - PAUSE 4\r\n");
    EXPECT_EQ(commandLine({.kind = CommandKind::Resume}), "QUERY - RESUME\r\n");
    const auto status = readStatus({.rows = {"replica 3 3.1209 0 12 2 17"}});
    ASSERT_TRUE(status);
    EXPECT_FALSE(status->isPrimary);
    EXPECT_EQ(status->received.position, 1'209U);
    EXPECT_EQ(status->lag, core::Milliseconds(12));
    EXPECT_FALSE(readStatus({.rows = {"replica x"}}));
    EXPECT_FALSE(readStatus({.isError = true}));
}

// Guards against rows and errors that change, or add lines, between the encoder for callers and the decoder of answers,
// and against lines of any bytes that end the process.
TEST(CallerLines, AnyTextSurvivesEncodingAndDecoding)
{
    const LineCallerProtocol lines;
    rc::check("rows of any bytes", [&lines](const std::vector<std::string> &rows, const std::string &errorText) {
        for (const bool fails : {false, true}) {
            gateway::CallerReply reply{.errorText = "FAILED " + errorText, .rows = rows, .signature = "7.1f3"};
            if (fails) {
                reply.error = CallerError::StatementFailed;
            }
            const std::string text = lines.encode(reply);
            net::LineDecoder decoder(text.size());
            std::size_t sent = 0;
            while (sent < text.size()) {
                const std::span<char> space = decoder.prepare();
                const std::size_t count = text.copy(space.data(), space.size(), sent);
                decoder.commit(count);
                sent += count;
            }
            gateway::ServerReply decoded;
            std::string line;
            std::size_t complete = 0;
            while (decoder.next(line) == net::LineDecoder::Step::Line) {
                lines.decode(line);
                complete += readReplyLine(line, decoded) ? 1U : 0U;
            }
            RC_ASSERT(complete == 1U);
            RC_ASSERT(decoder.empty());
            RC_ASSERT(decoded.isError == fails);
            const auto isPlain = [](const std::string &row) { return row.find("\r\n") == std::string::npos; };
            if (!fails && std::ranges::all_of(rows, isPlain)) {
                RC_ASSERT(decoded.rows == rows);
            }
            if (fails && isPlain(errorText)) {
                RC_ASSERT(decoded.errorText == reply.errorText);
            }
        }
    });
    rc::check("lines of any bytes", [&lines](const std::string &text) {
        lines.decode(text);
        lines.decode("QUERY 1 " + text);
        lines.decode("START " + text);
    });
}

}
