#include "confsync/deltamessage.h"
#include "confsync/entrystore.h"

#include <boost/json.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace endiveshore::confsync {

namespace {

using State = std::map<std::string, std::string>;

/// Reference model of the store: the state at each revision and the change that produced it.
struct StoreHistory
{
    std::vector<State> states{State{}};
    std::vector<EntryChange> changes{EntryChange{}};
    std::vector<std::map<std::string, std::int64_t>> versions{{}};

    std::int64_t revision() const
    {
        return static_cast<std::int64_t>(this->states.size()) - 1;
    }

    void change(const std::string &key, bool deletion)
    {
        const std::int64_t next = this->revision() + 1;
        State state = this->states.back();
        std::map<std::string, std::int64_t> newVersions = this->versions.back();
        const bool deleted = deletion && state.contains(key);
        const std::string value = "value " + std::to_string(next);
        if (deleted) {
            state.erase(key);
            newVersions.erase(key);
        } else {
            state[key] = value;
            newVersions[key] = next;
        }
        this->changes.push_back({.key = key, .value = deleted ? "" : value, .version = next, .deleted = deleted});
        this->states.push_back(std::move(state));
        this->versions.push_back(std::move(newVersions));
    }

    std::vector<EntryChange> snapshot(std::int64_t at) const
    {
        std::vector<EntryChange> entries;
        for (const auto &[key, value] : this->states[static_cast<std::size_t>(at)]) {
            entries.push_back(
                {.key = key, .value = value, .version = this->versions[static_cast<std::size_t>(at)].at(key)});
        }
        return entries;
    }

    std::vector<EntryChange> events(std::int64_t since, std::int64_t until) const
    {
        return {this->changes.begin() + since + 1, this->changes.begin() + until + 1};
    }
};

State liveState(const EntryStore &store)
{
    State state;
    store.visit("", [&state](std::string_view key, const Entry &entry) { state[std::string(key)] = entry.value; });
    return state;
}

std::string randomKey()
{
    return "k" + std::to_string(*rc::gen::inRange(0, 6));
}

std::int64_t randomRevision(std::int64_t from, std::int64_t to)
{
    return *rc::gen::inRange<std::int64_t>(from, to + 1);
}

/// The delta that @p receiver gets from @p sender through the peer message.
Delta pullFrom(const EntryStore &sender, const EntryStore &receiver)
{
    boost::leaf::result<boost::json::object> message = answerDeltaRequest(sender, deltaRequest(receiver));
    RC_ASSERT(static_cast<bool>(message));
    boost::leaf::result<Delta> parsed = deltaFromJson(message.value());
    RC_ASSERT(static_cast<bool>(parsed));
    return parsed.value();
}

}

// Guards against a lost, reverted or resurrected entry under any order, repetition and delay of snapshots, events and
// deltas, also if few or no tombstones are kept. After each step, a daemon must hold exactly the state of the
// platform's store at the daemon's revision.
TEST(EntryStoreProperty, StateEqualsTheStoreAtItsRevision)
{
    EXPECT_TRUE(rc::check([] {
        StoreHistory history;
        const std::size_t maxTombstones = *rc::gen::element<std::size_t>(0, 2, 100);
        std::vector<EntryStore> daemons(4, EntryStore(maxTombstones));
        std::vector<Delta> delayed;
        const int steps = *rc::gen::inRange(1, 80);
        for (int step = 0; step < steps; ++step) {
            EntryStore &daemon = daemons[*rc::gen::inRange<std::size_t>(0, daemons.size())];
            const EntryStore &peer = daemons[*rc::gen::inRange<std::size_t>(0, daemons.size())];
            const std::int64_t before = daemon.revision();
            switch (*rc::gen::inRange(0, 7)) {
            case 0:
            case 1:
                history.change(randomKey(), *rc::gen::arbitrary<bool>());
                break;
            case 2: {
                const std::int64_t at = randomRevision(0, history.revision());
                daemon.applySnapshot(history.snapshot(at), at);
                break;
            }
            case 3: {
                const std::int64_t since = randomRevision(0, history.revision());
                const std::int64_t until = randomRevision(since, history.revision());
                daemon.applyEvents(history.events(since, until), since, until);
                break;
            }
            case 4:
                delayed.push_back(*rc::gen::arbitrary<bool>() ? peer.delta(randomRevision(0, history.revision()))
                                                              : peer.delta(daemon.revision(), daemon.digest()));
                break;
            case 5:
                daemon.mergeDelta(pullFrom(peer, daemon));
                RC_ASSERT(daemon.revision() >= peer.revision());
                break;
            default:
                if (!delayed.empty()) {
                    daemon.mergeDelta(delayed[*rc::gen::inRange<std::size_t>(0, delayed.size())]);
                }
                break;
            }
            RC_ASSERT(daemon.revision() >= before);
            RC_ASSERT(liveState(daemon) == history.states[static_cast<std::size_t>(daemon.revision())]);
            RC_ASSERT(daemon.tombstoneCount() <= maxTombstones);
            RC_ASSERT(daemon.liveCount() == liveState(daemon).size());
        }
    }));
}

// Guards against daemons that do not converge after every daemon has received the deltas of all daemons, in any order
// and repeatedly.
TEST(EntryStoreProperty, DaemonsConvergeUnderAnyOrderOfDeltas)
{
    EXPECT_TRUE(rc::check([] {
        StoreHistory history;
        std::vector<EntryStore> daemons(3);
        for (EntryStore &daemon : daemons) {
            const int changes = *rc::gen::inRange(0, 12);
            for (int index = 0; index < changes; ++index) {
                history.change(randomKey(), *rc::gen::arbitrary<bool>());
            }
            if (*rc::gen::arbitrary<bool>()) {
                daemon.applySnapshot(history.snapshot(history.revision()), history.revision());
            } else {
                daemon.applyEvents(history.events(0, history.revision()), 0, history.revision());
            }
        }
        std::vector<Delta> deltas;
        for (const EntryStore &sender : daemons) {
            for (const EntryStore &receiver : daemons) {
                deltas.push_back(sender.delta(receiver.revision()));
                deltas.push_back(sender.delta(0));
            }
        }
        const std::size_t count = deltas.size();
        for (std::size_t index = 0; index < count; ++index) {
            std::swap(deltas[index], deltas[*rc::gen::inRange<std::size_t>(0, count)]);
        }
        for (int round = 0; round < 2; ++round) {
            for (EntryStore &daemon : daemons) {
                for (const Delta &delta : deltas) {
                    daemon.mergeDelta(delta);
                }
            }
        }
        for (const EntryStore &daemon : daemons) {
            RC_ASSERT(daemon.revision() == history.revision());
            RC_ASSERT(liveState(daemon) == history.states.back());
        }
    }));
}

// Guards against a stale peer that resurrects a key which was deleted before this daemon started, so that this daemon
// has no tombstone of the key.
TEST(EntryStore, StalePeerDoesNotResurrectADeletedEntry)
{
    EntryStore stale;
    const std::vector<EntryChange> old{{.key = "keys/a", .value = "granted", .version = 50}};
    stale.applySnapshot(old, 55);
    EntryStore fresh;
    fresh.applySnapshot({}, 100);
    EXPECT_EQ(fresh.mergeDelta(stale.delta(0)), MergeResult::Stale);
    EXPECT_EQ(fresh.find("keys/a"), nullptr);
    // Although the fresh daemon has no tombstone of the key, its delta deletes the key at the stale daemon.
    EXPECT_EQ(stale.mergeDelta(fresh.delta(stale.revision())), MergeResult::Applied);
    EXPECT_EQ(stale.find("keys/a"), nullptr);
    EXPECT_EQ(stale.revision(), 100);
}

// Guards against a revision that covers changes which this daemon has never received.
TEST(EntryStore, GapIsRefused)
{
    EntryStore store;
    const std::vector<EntryChange> first{{.key = "a", .value = "1", .version = 2}};
    store.applySnapshot(first, 2);
    const std::vector<EntryChange> later{{.key = "a", .value = "2", .version = 6}};
    EXPECT_EQ(store.applyEvents(later, 4, 6), MergeResult::Gap);
    EXPECT_EQ(store.revision(), 2);
    EXPECT_EQ(store.find("a")->value, "1");
    EXPECT_EQ(store.applyEvents(later, 2, 6), MergeResult::Applied);
    EXPECT_EQ(store.find("a")->value, "2");
}

// Guards against a snapshot that keeps entries which the store no longer has.
TEST(EntryStore, SnapshotTurnsMissingEntriesIntoTombstones)
{
    EntryStore store;
    const std::vector<EntryChange> both{{.key = "a", .value = "1", .version = 2},
                                        {.key = "b", .value = "1", .version = 3}};
    store.applySnapshot(both, 3);
    EXPECT_EQ(store.applySnapshot(std::span(both).first(1), 9), MergeResult::Applied);
    EXPECT_EQ(store.find("b"), nullptr);
    EXPECT_EQ(store.tombstoneCount(), 1U);
    EXPECT_EQ(store.liveCount(), 1U);
}

// Guards against deltas that send the whole configuration although a short list of changes is sufficient.
TEST(EntryStore, DeltaHoldsOnlyNewerChanges)
{
    EntryStore store;
    std::vector<EntryChange> entries;
    for (int index = 1; index <= 50; ++index) {
        entries.push_back({.key = "k" + std::to_string(index), .value = "v", .version = index});
    }
    store.applySnapshot(entries, 50);
    const std::vector<EntryChange> deletion{{.key = "k7", .value = {}, .version = 51, .deleted = true}};
    store.applyEvents(deletion, 50, 51);
    const Delta delta = store.delta(50);
    EXPECT_EQ(delta.kind, DeltaKind::Changes);
    ASSERT_EQ(delta.entries.size(), 1U);
    EXPECT_TRUE(delta.entries.front().deleted);
    EXPECT_EQ(store.delta(51).entries.size(), 0U);
    const Delta full = store.delta(49);
    EXPECT_EQ(full.kind, DeltaKind::Full);
    EXPECT_EQ(full.entries.size(), 1U);
    EXPECT_EQ(full.unchangedKeys.size(), 48U);
}

// Guards against a new daemon that makes all other daemons pull the whole configuration: its snapshot has a higher
// revision, although no configuration key has changed, because other keys of the store were written in between.
TEST(EntryStore, HigherRevisionOfTheSameStateCostsNoEntries)
{
    const std::vector<EntryChange> entries{{.key = "a", .value = "1", .version = 2}};
    EntryStore old;
    old.applySnapshot(entries, 3);
    EntryStore fresh;
    fresh.applySnapshot(entries, 90);
    const Delta delta = fresh.delta(old.revision(), old.digest());
    EXPECT_EQ(delta.kind, DeltaKind::Same);
    EXPECT_TRUE(delta.entries.empty());
    EXPECT_EQ(old.mergeDelta(delta), MergeResult::Applied);
    EXPECT_EQ(old.revision(), 90);
    EntryStore other;
    other.applySnapshot({}, 4);
    EXPECT_EQ(other.mergeDelta(delta), MergeResult::Gap);
}

// Guards against a value that a peer cannot parse, which would stop the distribution of the whole configuration.
TEST(DeltaMessage, ValuesThatAreNotUtf8Survive)
{
    const std::string binary("\xff\x00\x80 not text", 12);
    const Delta delta{.kind = DeltaKind::Full,
                      .since = 0,
                      .revision = 3,
                      .entries = {{.key = "a", .value = binary, .version = 2},
                                  {.key = "b", .value = "{\"m\":\"\xc3\xa9\"}", .version = 3}}};
    const std::string text = boost::json::serialize(deltaToJson(delta));
    const boost::json::value message = boost::json::parse(text);
    boost::leaf::result<Delta> parsed = deltaFromJson(message.as_object());
    ASSERT_TRUE(static_cast<bool>(parsed));
    EXPECT_EQ(parsed.value().entries[0].value, binary);
    EXPECT_EQ(parsed.value().entries[1].value, delta.entries[1].value);
}

// Guards against a malformed peer message that is accepted and changes the state, and against an error that does not
// name the invalid member.
TEST(DeltaMessage, MalformedMessagesAreRefusedWithTheirPath)
{
    const std::pair<const char *, const char *> cases[] = {
        {R"({"since":0,"revision":1,"entries":[]})", "kind"},
        {R"({"kind":"changes","revision":1,"entries":[]})", "since"},
        {R"({"kind":"changes","since":0,"entries":[]})", "revision"},
        {R"({"kind":"changes","since":0,"revision":1})", "entries"},
        {R"({"kind":"same","since":0,"revision":1,"entries":[],"digest":"xyz"})", "digest"},
        {R"({"kind":"full","since":0,"revision":1,"entries":[]})", "unchanged"},
        {R"({"kind":"full","since":0,"revision":1,"entries":[],"unchanged":[1]})", "unchanged"},
        {R"({"kind":"changes","since":0,"revision":5,"entries":[{"version":1,"value":""}]})", "entries[0].key"},
        {R"({"kind":"changes","since":0,"revision":5,"entries":[{"key":"a","version":6,"value":""}]})",
         "entries[0].version"},
        {R"({"kind":"changes","since":0,"revision":5,"entries":[{"key":"a","version":1}]})", "entries[0].value"},
        {R"({"kind":"full","since":0,"revision":5,"unchanged":[],
             "entries":[{"key":"a","version":1,"deleted":true}]})",
         "entries[0].deleted"},
        {R"({"kind":"changes","since":0,"revision":5,"entries":[{"key":"a","version":1,"value_base64":"?"}]})",
         "entries[0].value_base64"},
        {R"({"kind":"changes","since":0,"revision":5,"entries":[7]})", "entries[0]"},
    };
    for (const auto &[text, path] : cases) {
        const boost::json::value message = boost::json::parse(text);
        const std::string failedPath = boost::leaf::try_handle_all(
            [&message]() -> boost::leaf::result<std::string> {
                BOOST_LEAF_CHECK(deltaFromJson(message.as_object()));
                return std::string("accepted");
            },
            [](const core::Failure &failure) { return failure.path; },
            [] { return std::string("no failure object"); });
        EXPECT_EQ(failedPath, path) << text;
    }
}

}
