#include "console/configeditor.h"

#include "memorystore.h"

#include <gtest/gtest.h>

namespace endiveshore::console {

using namespace std::chrono_literals;

namespace {

const std::string ServiceKey = "/endiveshore/services/rota-db";

EditorOptions quickOptions(std::string operatorName = "night")
{
    return {.operatorName = std::move(operatorName), .timeout = 300ms, .attemptTimeout = 50ms, .retryInterval = 1ms};
}

class ConfigEditorTest : public testing::Test
{
protected:
    MemoryStore store;
    ConfigEditor editor{store, quickOptions()};

    /// Error that @p call throws; its code is Ok if @p call does not throw.
    template<typename Call>
    static ChangeError errorOf(Call call)
    {
        try {
            call();
        } catch (const ChangeError &error) {
            return error;
        } catch (const core::Error &error) {
            ChangeError plain(error.code, error.message, {}, 0);
            plain.outcome = error.outcome;
            return plain;
        }
        return {core::ResultCode::Ok, {}, {}, 0};
    }

    /// Accepts a document under another operator's name, based on the current revision.
    void acceptAsOtherOperator(int slots)
    {
        ConfigEditor otherEditor(this->store, quickOptions("day"));
        const std::int64_t base
            = this->store.values.count(ServiceKey) > 0 ? this->store.values[ServiceKey].revision : 0;
        otherEditor.accept(sampleDocument(slots), base);
    }
};

}

// Guards against a stored document that differs from the accepted document, and against `show` without the revision
// that the next edit needs as its base.
TEST_F(ConfigEditorTest, ShowReturnsTheAcceptedDocument)
{
    const std::int64_t revision = this->editor.accept(sampleDocument(5), std::nullopt);
    EXPECT_EQ(revision, 11);
    const StoredDocument stored = this->editor.show("rota-db");
    EXPECT_EQ(stored.document.databases.front().slots, 5);
    EXPECT_EQ(stored.document.revision, 11);
    EXPECT_EQ(stored.operatorName, "night");
    EXPECT_EQ(stored.operationId, this->editor.operationId());
    EXPECT_EQ(this->store.values[ServiceKey].value.find("\"revision\""), std::string::npos);
}

// Guards against a change that overwrites a revision its author has not seen: without a base, or with an old base, the
// change must be refused.
TEST_F(ConfigEditorTest, AcceptNeedsTheRevisionItIsBasedOn)
{
    const std::int64_t first = this->editor.accept(sampleDocument(5), std::nullopt);
    ConfigEditor later(this->store, quickOptions());
    for (const auto &[text, base] : {std::pair(sampleDocument(6), std::optional<std::int64_t>()),
                                     std::pair(sampleDocument(6), std::optional<std::int64_t>(first - 1)),
                                     std::pair(sampleDocument(6, 0), std::optional<std::int64_t>())}) {
        const ChangeError error = errorOf([&, text = text, base = base] { later.accept(text, base); });
        EXPECT_EQ(error.code, core::ResultCode::DocumentConflict);
        EXPECT_EQ(error.outcome, core::Outcome::NotRun);
        EXPECT_EQ(error.revision, first);
    }
    EXPECT_EQ(later.accept(sampleDocument(6, first), std::nullopt), first + 1);
    ConfigEditor last(this->store, quickOptions());
    EXPECT_EQ(last.accept(sampleDocument(7), first + 1), first + 2);
}

// Guards against an arbitrary choice between two different bases, one in the document and one passed by the caller.
TEST_F(ConfigEditorTest, AcceptRefusesTwoDifferentBases)
{
    const ChangeError error = errorOf([&] { this->editor.accept(sampleDocument(5, 3), 4); });
    EXPECT_EQ(error.code, core::ResultCode::InvalidSetting);
    EXPECT_EQ(this->store.calls, 0);
}

// Guards against an invalid document that is sent to the store.
TEST_F(ConfigEditorTest, AcceptRefusesAnInvalidDocumentBeforeAnyCall)
{
    const ChangeError error = errorOf([&] { this->editor.accept(sampleDocument(0), std::nullopt); });
    EXPECT_EQ(error.code, core::ResultCode::InvalidDocument);
    EXPECT_EQ(error.path, "databases[0].slots");
    EXPECT_EQ(this->store.calls, 0);
}

// Guards against success reported to both of two operators whose changes race: the other operator's change reaches the
// store first.
TEST_F(ConfigEditorTest, OfTwoRacingOperatorsOneIsRefusedWithTheWinningRevision)
{
    this->store.beforeChange = [this] { this->acceptAsOtherOperator(9); };
    const ChangeError error = errorOf([&] { this->editor.accept(sampleDocument(5), std::nullopt); });
    EXPECT_EQ(error.code, core::ResultCode::DocumentConflict);
    EXPECT_EQ(error.outcome, core::Outcome::NotRun);
    EXPECT_EQ(error.revision, 11);
    EXPECT_NE(error.message.find("day"), std::string::npos);
    EXPECT_EQ(this->editor.show("rota-db").document.databases.front().slots, 9);
}

// Guards against a conflict or a second change reported by an accept whose first call took effect but lost its answer.
TEST_F(ConfigEditorTest, AcceptRecognisesItsOwnChangeAfterALostAnswer)
{
    this->store.lostAnswers = 1;
    EXPECT_EQ(this->editor.accept(sampleDocument(5), std::nullopt), 11);
    EXPECT_EQ(this->store.revision, 11);
}

// Guards against the outcome "not run" for a change that took effect, lost its answer and was then replaced by another
// operator.
TEST_F(ConfigEditorTest, ConflictAfterALostAnswerIsUnknown)
{
    this->store.lostAnswers = 1;
    this->store.afterLostAnswer = [this] { this->acceptAsOtherOperator(9); };
    const ChangeError error = errorOf([&] { this->editor.accept(sampleDocument(5), std::nullopt); });
    EXPECT_EQ(error.code, core::ResultCode::DocumentConflict);
    EXPECT_EQ(error.outcome, core::Outcome::Unknown);
    EXPECT_EQ(error.revision, 12);
}

// Guards against an operation that fails at the first failed call. Also guards against a wrong outcome at the timeout:
// not run if no call took effect, unknown if one may have. Repeating the command with its operation id settles the
// outcome.
TEST_F(ConfigEditorTest, RetriesUntilTheTimeoutAndReportsTheRightOutcome)
{
    this->store.failingCalls = 3;
    EXPECT_EQ(this->editor.accept(sampleDocument(5), std::nullopt), 11);

    this->store.failingCalls = 1'000'000;
    ChangeError error = errorOf([&] { this->editor.accept(sampleDocument(6, 11), std::nullopt); });
    EXPECT_EQ(error.code, core::ResultCode::StoreUnavailable);
    EXPECT_EQ(error.outcome, core::Outcome::NotRun);

    this->store.failingCalls = 0;
    this->store.lostAnswers = 1;
    this->store.afterLostAnswer = [this] { this->store.failingCalls = 1'000'000; };
    ConfigEditor later(this->store, quickOptions());
    error = errorOf([&] { later.accept(sampleDocument(6, 11), std::nullopt); });
    EXPECT_EQ(error.code, core::ResultCode::StoreUnavailable);
    EXPECT_EQ(error.outcome, core::Outcome::Unknown);

    // The operator repeats the command with the same operation id once the store is available again.
    this->store.failingCalls = 0;
    EditorOptions repeated = quickOptions();
    repeated.operationId = later.operationId();
    EXPECT_EQ(ConfigEditor(this->store, repeated).accept(sampleDocument(6, 11), std::nullopt), 12);
    EXPECT_EQ(errorOf([&] { ConfigEditor(this->store, repeated).accept(sampleDocument(7, 11), std::nullopt); }).code,
              core::ResultCode::DocumentConflict);
}

// Guards against a withdrawal that removes a document changed in the meantime, and against a withdrawal that took
// effect but is reported as failed because its answer was lost.
TEST_F(ConfigEditorTest, WithdrawRemovesTheDocumentItIsBasedOn)
{
    EXPECT_EQ(errorOf([&] { this->editor.withdraw("rota-db", std::nullopt); }).code, core::ResultCode::NotFound);
    this->editor.accept(sampleDocument(5), std::nullopt);
    this->store.beforeChange = [this] { this->acceptAsOtherOperator(9); };
    const ChangeError error = errorOf([&] { this->editor.withdraw("rota-db", std::nullopt); });
    EXPECT_EQ(error.code, core::ResultCode::DocumentConflict);
    EXPECT_EQ(error.revision, 12);

    this->store.lostAnswers = 1;
    this->store.afterLostAnswer = [this] {
        // A change to a key that no daemon reads must not raise the revision that the command waits for.
        this->store.compareAndSwap("/other/key", 0, "x", 1ms);
    };
    EXPECT_EQ(this->editor.withdraw("rota-db", 12), 13);
    EXPECT_EQ(this->store.values.size(), 1U);
}

// Guards against a key in the clear in the store, and against grants for a service or workspace that does not exist.
TEST_F(ConfigEditorTest, GrantStoresOnlyTheHash)
{
    this->editor.accept(sampleDocument(5), std::nullopt);
    this->store.lostAnswers = 1;
    const NewKey created = this->editor.grant("rota-db", "plaza");
    EXPECT_EQ(created.hash, access::hashKey(created.key));
    EXPECT_EQ(created.revision, 12);
    for (const auto &[key, value] : this->store.values) {
        EXPECT_EQ((key + value.value).find(created.key.substr(3)), std::string::npos);
    }
    const std::vector<StoredKey> keys = this->editor.keys("rota-db");
    ASSERT_EQ(keys.size(), 1U);
    EXPECT_EQ(keys[0].hash, created.hash);
    EXPECT_EQ(keys[0].grant, (access::KeyGrant{.workspace = "plaza", .service = "rota-db"}));
    EXPECT_TRUE(this->editor.keys("cover-ledger").empty());

    EXPECT_EQ(errorOf([&] { this->editor.grant("rota-db", "plazza"); }).code, core::ResultCode::NotFound);
    EXPECT_EQ(errorOf([&] { this->editor.grant("cover-ledger", "plaza"); }).code, core::ResultCode::NotFound);
}

// Guards against a stored key that the operator cannot revoke: the answer of the grant is lost and the store stays
// unavailable, so the error must name the key's hash.
TEST_F(ConfigEditorTest, GrantWithUnknownOutcomeNamesTheHash)
{
    this->editor.accept(sampleDocument(5), std::nullopt);
    this->store.lostAnswers = 1;
    this->store.afterLostAnswer = [this] { this->store.failingCalls = 1'000'000; };
    const ChangeError error = errorOf([&] { this->editor.grant("rota-db", "plaza"); });
    this->store.failingCalls = 0;
    EXPECT_EQ(error.outcome, core::Outcome::Unknown);
    ASSERT_EQ(this->editor.keys("").size(), 1U);
    EXPECT_NE(error.message.find(this->editor.keys("").front().hash), std::string::npos) << error.message;
}

// Guards against a key that stays in the store after its revocation was confirmed, also if an answer was lost.
TEST_F(ConfigEditorTest, RevokeRemovesTheKey)
{
    this->editor.accept(sampleDocument(5), std::nullopt);
    const NewKey created = this->editor.grant("rota-db", "plaza");
    this->store.lostAnswers = 1;
    EXPECT_EQ(this->editor.revoke(created.hash), 13);
    EXPECT_TRUE(this->editor.keys("").empty());
    EXPECT_EQ(errorOf([&] { this->editor.revoke(created.hash); }).code, core::ResultCode::NotFound);
}

// Guards against waiting for a revision that no daemon will report, because it belongs to a key outside /endiveshore/.
TEST_F(ConfigEditorTest, HighestRevisionCountsOwnEntriesOnly)
{
    EXPECT_EQ(this->editor.highestRevision(), 0);
    this->editor.accept(sampleDocument(5), std::nullopt);
    this->store.revision = 50;
    this->store.values["/other/key"] = {.key = "/other/key", .value = "x", .revision = 50};
    EXPECT_EQ(this->editor.highestRevision(), 11);
}

}
