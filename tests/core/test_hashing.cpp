#include "core/hashing.h"

#include <gtest/gtest.h>

namespace endiveshore::core {

// Guards against a hash that sends most keys to the same node.
TEST(Hashing, RendezvousSpreadsKeysEvenly)
{
    const std::vector<std::string> nodes{"a", "b", "c", "d"};
    std::vector<int> owned(nodes.size());
    constexpr int Keys = 4000;
    for (int key = 0; key < Keys; ++key) {
        const std::string owner = rendezvousOrder("key-" + std::to_string(key), nodes).front();
        ++owned[static_cast<std::size_t>(owner[0] - 'a')];
    }
    for (const int count : owned) {
        EXPECT_NEAR(count, 1000, 150);
    }
}

// Guards against padding mistakes in the store's key encoding.
TEST(Hashing, Base64RoundTrip)
{
    for (const std::string &text :
         {std::string(), std::string("a"), std::string("ab"), std::string("abc"), std::string("\0x\xff", 3)}) {
        EXPECT_EQ(base64Decode(base64Encode(text)), text);
    }
    EXPECT_EQ(base64Decode("not base64!"), "");
}

TEST(Hashing, KnownDigest)
{
    EXPECT_EQ(sha256Hex("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

}
