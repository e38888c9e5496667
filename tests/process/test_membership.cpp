#include "tests/process/faulttest.h"

namespace endiveshore::tests {

namespace {

constexpr std::chrono::milliseconds JoinLimit{10'000};

}

class MembershipTest : public FaultTest
{
};

// Guards against daemons that do not join each other when no seeds are set and only the platform's VM list contains
// their addresses.
TEST_F(MembershipTest, DaemonsJoinThroughTheVmList)
{
    tools::DeploymentOptions options;
    options.joinThroughVmList = true;
    this->startDeployment(std::move(options));
    EXPECT_TRUE(tools::Deployment::waitUntil([this] { return this->allMembersKnown(); }, JoinLimit));
}

}
