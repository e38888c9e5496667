#include "gateway/metadatasource.h"

#include "confsync/deltamessage.h"
#include "core/error.h"
#include "daemon/configservice.h"
#include "tests/gateway/eventloop.h"
#include "tests/gateway/fakemetadatastore.h"

#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

namespace endiveshore::gateway {

using namespace std::chrono_literals;
namespace json = boost::json;

namespace {

/// Daemons that follow one store in memory, some of them only through the others.
class MetadataSourceTest : public testing::Test
{
protected:
    struct Daemon
    {
        bool isRelay = true;
        std::shared_ptr<MetadataSource> source;
        std::shared_ptr<daemon::ConfigurationService> service;
    };

    ~MetadataSourceTest() override
    {
        for (const auto &[id, daemon] : this->daemons) {
            daemon.service->stop();
        }
    }

    Daemon &start(const std::string &id, bool isRelay)
    {
        Daemon &daemon = this->daemons[id];
        daemon.isRelay = isRelay;
        daemon.source = std::make_shared<MetadataSource>(this->context.get_executor(),
                                                         this->store,
                                                         std::vector<std::string>{"entries/", "configuration"},
                                                         this->log);
        daemon::ConfigurationCallbacks callbacks;
        callbacks.isRelay = [&daemon] { return daemon.isRelay; };
        callbacks.peers = [] { return std::vector<std::string>(); };
        callbacks.exchange = [this](std::string peer, json::object request) -> net::awaitable<json::object> {
            ++this->exchanges;
            co_return this->daemons.at(peer).service->answer(request);
        };
        callbacks.revisionRaised = [](const confsync::EntryStore &) {};
        daemon.service = std::make_shared<daemon::ConfigurationService>(
            this->context.get_executor(),
            daemon.source,
            daemon::ConfigurationOptions{.retryInterval = 20ms, .checkInterval = 10ms},
            std::move(callbacks));
        daemon.service->start();
        return daemon;
    }

    std::string value(const Daemon &daemon, std::string_view key) const
    {
        const confsync::Entry *const entry = daemon.service->entries().find(key);
        return entry == nullptr ? std::string("-") : entry->value;
    }

    /// Lets every daemon tell the others its revision, as reports do.
    void exchangeReports()
    {
        for (const auto &[id, reporter] : this->daemons) {
            for (auto &[other, receiver] : this->daemons) {
                if (id != other) {
                    receiver.service->onRevisionAnnounced(id, reporter.service->revision());
                }
            }
        }
    }

    void runUntil(const std::function<bool()> &done)
    {
        gateway::runUntil(this->context, done, [this] { this->exchangeReports(); });
    }

    boost::asio::io_context context;
    telemetry::DecisionLog log{telemetry::LogOptions{.level = telemetry::LogLevel::Error, .output = "stderr"}};
    std::shared_ptr<FakeMetadataStore> store = std::make_shared<FakeMetadataStore>();
    std::map<std::string, Daemon> daemons;
    int exchanges = 0;
};

}

// Guards against a change that is missed because it came between two pages of the first read.
TEST_F(MetadataSourceTest, ChangeBetweenTwoPagesIsSeen)
{
    for (const char *key : {"entries/a", "entries/b", "entries/c", "entries/d"}) {
        this->store->put(key, "old");
    }
    this->store->pageSize = 2;
    this->store->onPage = [this, once = true]() mutable {
        if (std::exchange(once, false)) {
            this->store->put("entries/a", std::nullopt);
            this->store->put("entries/b", "new");
        }
    };
    const Daemon &daemon = this->start("a", true);
    this->runUntil([&] { return this->value(daemon, "entries/b") == "new"; });
    EXPECT_EQ(this->value(daemon, "entries/a"), "-");
    EXPECT_EQ(this->value(daemon, "entries/d"), "old");
}

// Guards against keys of others that raise the revision of what the daemons follow.
TEST_F(MetadataSourceTest, KeysOfOthersAreLeftOut)
{
    this->store->put("entries/a", "x");
    this->store->put("status/a", "x");
    const Daemon &daemon = this->start("a", true);
    this->runUntil([&] { return daemon.service->loaded(); });
    EXPECT_EQ(this->value(daemon, "status/a"), "-");
}

// Guards against a daemon that goes on with what it knew after the store has dropped its history.
TEST_F(MetadataSourceTest, LostHistoryIsReadAnew)
{
    this->store->put("entries/a", "x");
    const Daemon &daemon = this->start("a", true);
    this->runUntil([&] { return this->value(daemon, "entries/a") == "x"; });
    this->store->put("entries/a", std::nullopt);
    this->store->put("entries/b", "y");
    this->store->forgetHistory();
    this->runUntil([&] { return this->value(daemon, "entries/b") == "y"; });
    EXPECT_EQ(this->value(daemon, "entries/a"), "-");
}

// Guards against calls to the store by every daemon, and against changes that reach only those who watch.
TEST_F(MetadataSourceTest, OthersTakeChangesFromTheRelay)
{
    this->store->put("configuration", "1");
    const Daemon &relay = this->start("a", true);
    const Daemon &follower = this->start("b", false);
    this->runUntil(
        [&] { return this->value(relay, "configuration") == "1" && this->value(follower, "configuration") == "1"; });
    const std::optional<core::TimePoint> contact = follower.source->lastContact();
    this->store->put("configuration", "2");
    this->runUntil([&] { return this->value(follower, "configuration") == "2"; });
    EXPECT_GT(this->exchanges, 0);
    EXPECT_EQ(follower.source->lastContact(), contact);
}

// Guards against a daemon that stays without a configuration because it started while the store was away.
TEST_F(MetadataSourceTest, DaemonThatStartsWithoutTheStoreLoadsFromOthers)
{
    this->store->put("configuration", "1");
    const Daemon &first = this->start("a", true);
    this->runUntil([&] { return first.service->loaded(); });
    this->store->down = true;
    const Daemon &second = this->start("b", true);
    this->runUntil([&] { return this->value(second, "configuration") == "1"; });
    EXPECT_FALSE(second.source->lastContact());
    this->store->down = false;
    this->store->put("configuration", "2");
    this->runUntil([&] { return this->value(second, "configuration") == "2"; });
}

}
