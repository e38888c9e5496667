#include "access/keytable.h"

#include <gtest/gtest.h>

#include <set>

namespace endiveshore::access {

namespace {

const KeyGrant Plaza{.workspace = "plaza", .service = "rota-db"};

}

// Guards against a key that is accepted for another workspace, and against accepting the hash of a key, or an altered
// key, as the key.
TEST(KeyTable, FindsTheGrantOfTheKeyOnly)
{
    const std::string key = generateKey();
    const std::string otherKey = generateKey();
    const KeyGrant museo{.workspace = "museo", .service = "rota-db"};
    const KeyTable table({{hashKey(key), Plaza}, {hashKey(otherKey), museo}});
    ASSERT_NE(table.find(key), nullptr);
    EXPECT_EQ(*table.find(key), Plaza);
    ASSERT_NE(table.find(otherKey), nullptr);
    EXPECT_EQ(*table.find(otherKey), museo);

    EXPECT_EQ(table.find(hashKey(key)), nullptr);
    EXPECT_EQ(table.find(key + " "), nullptr);
    EXPECT_EQ(table.find(key.substr(0, key.size() - 1)), nullptr);
    EXPECT_EQ(table.find(generateKey()), nullptr);
    EXPECT_EQ(table.find(""), nullptr);
}

// Guards against an empty or damaged store entry that makes an empty or guessable key valid.
TEST(KeyTable, LeavesOutEntriesWithoutAKeyHash)
{
    const KeyTable table({{"", Plaza}, {"plain-key", Plaza}, {hashKey(""), Plaza}});
    EXPECT_EQ(table.size(), 1U);
    EXPECT_EQ(table.find(""), nullptr);
    EXPECT_EQ(table.find("plain-key"), nullptr);
    EXPECT_EQ(KeyTable().find("any"), nullptr);
}

// Guards against predictable or repeated keys, and against keys that differ from the documented format.
TEST(Key, GeneratedKeysDifferAndHaveTheDocumentedForm)
{
    std::set<std::string> keys;
    for (int count = 0; count < 1000; ++count) {
        const std::string key = generateKey();
        EXPECT_TRUE(key.starts_with("ek_"));
        EXPECT_TRUE(isKeyHash(key.substr(3)));
        keys.insert(key);
    }
    EXPECT_EQ(keys.size(), 1000U);
}

// Guards against a change of the hash, after which no stored key would match.
TEST(Key, HashIsTheHexadecimalSha256OfTheKey)
{
    EXPECT_EQ(hashKey("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against stored hashes in another form, for example in upper case, which no key matches.
TEST(Key, HashHasSixtyFourLowerCaseDigits)
{
    const std::string hash = hashKey("abc");
    EXPECT_TRUE(isKeyHash(hash));
    EXPECT_FALSE(isKeyHash(hash.substr(1)));
    EXPECT_FALSE(isKeyHash(hash + "0"));
    EXPECT_FALSE(isKeyHash("BA" + hash.substr(2)));
    EXPECT_FALSE(isKeyHash("ek_" + hash.substr(3)));
}

// Guards against a damaged store entry that is read as a grant for an empty workspace.
TEST(KeyGrant, ReadsBackWhatIsStoredAndNothingElse)
{
    EXPECT_EQ(parseGrant(serializeGrant(Plaza)), Plaza);
    for (const char *text : {"",
                             "{}",
                             "[]",
                             R"({"workspace":"plaza"})",
                             R"({"workspace":"","service":"rota-db"})",
                             R"({"workspace":1,"service":"rota-db"})"}) {
        EXPECT_EQ(parseGrant(text), std::nullopt) << text;
    }
}

}
