#include "routing/readrouting.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

namespace endiveshore::routing {

namespace {

using core::Milliseconds;
using Ids = std::vector<std::string>;

const std::vector<session::TermStart> History{{1, 0}};

ReadCandidate server(std::string id, std::string dataCentre, std::string region)
{
    return {.serverId = std::move(id),
            .dataCentre = std::move(dataCentre),
            .region = std::move(region),
            .appliedPosition = 100,
            .term = 1,
            .termStarts = History,
            .lag = Milliseconds(10),
            .statusAge = Milliseconds(100)};
}

/// Primary in Oviedo, replicas in Gijón (same region) and Santander.
std::vector<ReadCandidate> group()
{
    std::vector<ReadCandidate> servers{
        server("s1", "oviedo", "asturias"), server("s2", "gijon", "asturias"), server("s3", "santander", "cantabria")};
    servers[0].isPrimary = true;
    servers[0].lag = Milliseconds(0);
    return servers;
}

ReadRequest from(std::string_view dataCentre, std::string_view region)
{
    return {.dataCentre = dataCentre, .region = region, .maxAge = Milliseconds(10000), .catchUpWait = Milliseconds(50)};
}

PassOverReason reasonFor(const ReadPlan &plan, std::string_view id)
{
    const auto found = std::find_if(
        plan.passedOver.begin(), plan.passedOver.end(), [id](const PassedOver &entry) { return entry.serverId == id; });
    EXPECT_NE(found, plan.passedOver.end()) << id << " is not passed over";
    return found != plan.passedOver.end() ? found->reason : PassOverReason::Unreachable;
}

}

// Guards against reads that cross regions or load the primary without need.
TEST(ReadRouting, NearestReplicaFirstPrimaryLast)
{
    EXPECT_EQ(chooseReadServers(from("oviedo", "asturias"), group()).servers, (Ids{"s2", "s3", "s1"}));
    EXPECT_EQ(chooseReadServers(from("santander", "cantabria"), group()).servers, (Ids{"s3", "s2", "s1"}));
}

// Guards against stale answers of replicas on routes that require the primary.
TEST(ReadRouting, AgeBoundZeroMeansPrimaryOnly)
{
    ReadRequest request = from("gijon", "asturias");
    request.maxAge = {};
    const ReadPlan plan = chooseReadServers(request, group());
    EXPECT_EQ(plan.servers, (Ids{"s1"}));
    EXPECT_EQ(reasonFor(plan, "s2"), PassOverReason::PrimaryOnly);
}

// Guards against answers older than the age bound, and against a replica with an old status that is preferred to a
// replica with a recent status.
TEST(ReadRouting, AgeBound)
{
    std::vector<ReadCandidate> servers = group();
    servers[1].lag = Milliseconds(1500);
    ReadRequest request = from("oviedo", "asturias");
    request.maxAge = Milliseconds(1000);
    const ReadPlan plan = chooseReadServers(request, servers);
    EXPECT_EQ(plan.servers, (Ids{"s3", "s1"}));
    EXPECT_EQ(reasonFor(plan, "s2"), PassOverReason::TooOld);

    servers.push_back(server("s4", "gijon", "asturias"));
    servers[1].lag = Milliseconds(10);
    servers[1].statusAge = Milliseconds(995);
    EXPECT_EQ(chooseReadServers(request, servers).servers, (Ids{"s4", "s2", "s3", "s1"}));
}

// Guards against reads after a write that all go to the primary although a replica catches up in time, and against a
// wait for a replica although the primary is in the same data centre.
TEST(ReadRouting, ReplicaThatCatchesUp)
{
    std::vector<ReadCandidate> servers = group();
    ReadRequest request = from("santander", "cantabria");
    request.required = session::LogPosition{1, 110};
    servers[1].lag = Milliseconds(400);
    const ReadPlan plan = chooseReadServers(request, servers);
    EXPECT_EQ(plan.servers, (Ids{"s3", "s1"}));
    EXPECT_EQ(reasonFor(plan, "s2"), PassOverReason::Behind);

    EXPECT_EQ(chooseReadServers({.dataCentre = "oviedo",
                                 .region = "asturias",
                                 .required = request.required,
                                 .maxAge = request.maxAge,
                                 .catchUpWait = request.catchUpWait},
                                servers)
                  .servers,
              (Ids{"s1"}));
    request.catchUpWait = {};
    EXPECT_EQ(chooseReadServers(request, servers).servers, (Ids{"s1"}));
}

// Guards against reads from a replica that still follows a former primary, or whose history diverged from that of the
// session.
TEST(ReadRouting, OlderTermAndDivergedHistory)
{
    std::vector<ReadCandidate> servers = group();
    servers[2].term = 3;
    servers[2].termStarts = {{1, 0}, {3, 80}};
    servers[2].appliedPosition = 200;
    ReadRequest request = from("santander", "cantabria");
    request.required = session::LogPosition{2, 90};
    const ReadPlan plan = chooseReadServers(request, servers);
    EXPECT_EQ(plan.servers, (Ids{"s1"}));
    EXPECT_EQ(reasonFor(plan, "s2"), PassOverReason::Behind);
    EXPECT_EQ(reasonFor(plan, "s3"), PassOverReason::Diverged);
}

// Guards against reads that are sent to leaving servers while another server can answer them.
TEST(ReadRouting, LeavingServers)
{
    std::vector<ReadCandidate> servers = group();
    servers[0].leaving = true;
    servers[1].leaving = true;
    ReadPlan plan = chooseReadServers(from("oviedo", "asturias"), servers);
    EXPECT_EQ(plan.servers, (Ids{"s3"}));
    EXPECT_EQ(reasonFor(plan, "s1"), PassOverReason::Leaving);
    servers[2].reachable = false;
    EXPECT_EQ(chooseReadServers(from("oviedo", "asturias"), servers).servers, (Ids{"s1"}));
}

// Guards against reads that all go to one of several equal replicas, or to replicas with a higher load than others.
TEST(ReadRouting, SpreadsBetweenEquals)
{
    std::vector<ReadCandidate> servers{
        server("a", "oviedo", "asturias"), server("b", "oviedo", "asturias"), server("c", "oviedo", "asturias")};
    ReadRequest request = from("oviedo", "asturias");
    std::map<std::string, int> first;
    constexpr int Requests = 3000;
    for (int number = 0; number < Requests; ++number) {
        request.tieBreaker = static_cast<std::uint64_t>(number);
        ++first[chooseReadServers(request, servers).servers.front()];
    }
    for (const ReadCandidate &candidate : servers) {
        EXPECT_NEAR(first[candidate.serverId], Requests / 3, Requests / 20);
    }
    servers[0].load = 40;
    servers[1].load = 40;
    EXPECT_EQ(chooseReadServers(request, servers).servers.front(), "c");
}

// Guards against plans that contain servers known to be unfit, and against plans without the primary as the last
// resort.
TEST(ReadRouting, PlanProperties)
{
    const bool held = rc::check([] {
        std::vector<ReadCandidate> servers;
        const int count = *rc::gen::inRange(1, 6);
        for (int index = 0; index < count; ++index) {
            ReadCandidate candidate = server("s" + std::to_string(index),
                                             *rc::gen::element<std::string>("d1", "d2", "d3"),
                                             *rc::gen::element<std::string>("r1", "r2"));
            candidate.isPrimary = index == 0;
            candidate.reachable = *rc::gen::inRange(0, 4) != 0;
            candidate.leaving = *rc::gen::inRange(0, 5) == 0;
            candidate.appliedPosition = *rc::gen::inRange<std::uint64_t>(0, 200);
            candidate.term = *rc::gen::inRange<std::uint64_t>(1, 4);
            candidate.termStarts = {{1, 0}};
            for (std::uint64_t term = 2; term <= candidate.term; ++term) {
                candidate.termStarts.push_back({term, 50 * (term - 1)});
            }
            candidate.lag = Milliseconds(*rc::gen::inRange(0, 3000));
            if (*rc::gen::inRange(0, 6) == 0) {
                candidate.statusAge = std::nullopt;
            } else {
                candidate.statusAge = Milliseconds(*rc::gen::inRange(0, 4000));
            }
            servers.push_back(candidate);
        }
        ReadRequest request{.dataCentre = "d1",
                            .region = "r1",
                            .maxAge = Milliseconds(*rc::gen::element(0, 500, 2000)),
                            .catchUpWait = Milliseconds(*rc::gen::element(0, 50)),
                            .tieBreaker = *rc::gen::arbitrary<std::uint64_t>()};
        if (*rc::gen::inRange(0, 3) != 0) {
            request.required = session::LogPosition{*rc::gen::inRange<std::uint64_t>(1, 4),
                                                    *rc::gen::inRange<std::uint64_t>(1, 200)};
        }
        const ReadPlan plan = chooseReadServers(request, servers);
        RC_ASSERT(plan.servers.size() + plan.passedOver.size() == servers.size());
        for (const ReadCandidate &candidate : servers) {
            const auto at = std::find(plan.servers.begin(), plan.servers.end(), candidate.serverId);
            if (candidate.isPrimary) {
                const bool last = !plan.servers.empty() && plan.servers.back() == candidate.serverId;
                const bool replacedByReplica = candidate.leaving && !plan.servers.empty();
                const bool fits = !candidate.reachable || last || replacedByReplica;
                RC_ASSERT(fits);
                continue;
            }
            if (at == plan.servers.end()) {
                continue;
            }
            RC_ASSERT(candidate.reachable);
            RC_ASSERT(!candidate.leaving);
            RC_ASSERT(request.maxAge > core::Duration::zero());
            if (!candidate.statusAge) {
                continue;
            }
            RC_ASSERT(candidate.lag <= request.maxAge);
            if (!request.required) {
                continue;
            }
            const session::Coverage covered
                = session::coverage(*request.required, candidate.appliedPosition, candidate.termStarts);
            RC_ASSERT(covered != session::Coverage::Diverged);
            const bool catchesUp = candidate.lag <= request.catchUpWait;
            RC_ASSERT((covered == session::Coverage::Covered || catchesUp));
        }
    });
    EXPECT_TRUE(held);
}

}
