#include "gateway/trafficcore.h"

#include "platform/lineprotocol.h"
#include "tests/gateway/fakebackend.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

namespace endiveshore::gateway {

using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

const net::TcpEndpoint CallerEndpoint(asio::ip::address_v4::loopback(), 21301);
const net::TcpEndpoint PeerEndpoint(asio::ip::address_v4::loopback(), 21302);

/// A traffic thread with one in-memory server. Callers connect over loopback.
class TrafficCoreTest : public testing::Test
{
protected:
    void SetUp() override
    {
        Deployment deployment;
        deployment.daemonId = "d";
        deployment.callerListen = CallerEndpoint;
        deployment.peerListen = PeerEndpoint;
        const std::shared_ptr<FakeBackend> shared = this->backend;
        this->core = std::make_unique<TrafficCore>(TrafficCoreOptions{
            .deployment = deployment,
            .links = [shared](const net::Executor &executor) { return std::make_unique<FakeLink>(executor, shared); },
            .protocol = &this->protocol});
        this->core->start();
        this->publish();
    }

    void TearDown() override
    {
        this->core->stop();
    }

    void publish()
    {
        Configuration made;
        made.version = 1;
        made.routes["bookings"]
            = {.service = "db", .statementTimeout = 400ms, .latencyObjective = 500ms, .maximumAge = 2'000ms};
        made.services["db"] = {.name = "db", .connectionLimit = 20};
        made.workspaces["north"] = {.name = "north", .limits = {.ratePerSecond = 1'000, .burst = 1'000}};
        made.workspaceByKey["k1"] = "north";
        GatewayView view;
        view.configuration = std::make_shared<const Configuration>(made);
        view.self = "d";
        view.daemons["d"] = {.id = "d"};
        view.servers["p"] = {.id = "p", .service = "db", .slots = 5, .claimsPrimary = true};
        view.homes["p"] = {"d"};
        view.primaries["db"] = "p";
        DaemonShares shares;
        shares.own["north"] = 1;
        this->core->publishShares(std::make_shared<const DaemonShares>(shares));
        this->core->publish(std::make_shared<const GatewayView>(view));
    }

    /// Sends @p line and returns the answer up to and including READY.
    static std::string request(asio::ip::tcp::socket &caller, const std::string &line)
    {
        asio::write(caller, asio::buffer(line + "\r\n"));
        std::string text;
        std::string all;
        while (!all.starts_with("READY") && all.find("\nREADY") == std::string::npos) {
            const std::size_t length = asio::read_until(caller, asio::dynamic_buffer(text), '\n');
            all += text.substr(0, length);
            text.erase(0, length);
        }
        return all;
    }

    asio::io_context context;
    platform::LineCallerProtocol protocol;
    std::shared_ptr<FakeBackend> backend = std::make_shared<FakeBackend>();
    std::unique_ptr<TrafficCore> core;
};

}

// Guards against a request that is accepted shortly before the end of a planned stop and then aborted: a load balancer
// without other daemons keeps sending callers to the stopping daemon.
TEST_F(TrafficCoreTest, StoppingDaemonAcceptsNobodyAndServesWhomItHas)
{
    asio::ip::tcp::socket open(this->context);
    open.connect(CallerEndpoint);
    EXPECT_EQ(request(open, "START bookings k1"), "READY I -\r\n");
    this->core->stopAccepting();
    boost::system::error_code error;
    const core::TimePoint deadline = core::Clock::now() + 3s;
    while (!error && core::Clock::now() < deadline) {
        asio::ip::tcp::socket late(this->context);
        late.connect(CallerEndpoint, error);
    }
    EXPECT_TRUE(error);
    EXPECT_NE(request(open, "QUERY 5c0e READ 1a4").find("COMPLETE signed"), std::string::npos);
}

}
