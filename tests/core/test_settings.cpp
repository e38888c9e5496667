#include "core/settings.h"

#include "core/error.h"

#include <gtest/gtest.h>

#include <sstream>

namespace endiveshore::core {

namespace {

constexpr std::string_view Secret = "not-for-any-message";

const ProgramInfo Program{.name = "sample", .version = "1.2.3", .summary = "Sample program."};
const ProgramInfo ProgramWithArguments{
    .name = "sample", .version = "1.2.3", .summary = "Sample program.", .arguments = "COMMAND"};

constexpr Setting SettingsTable[] = {
    {.flag = "listen", .type = SettingType::Address, .help = "Address of callers.", .required = true},
    {.flag = "drain-lag-ms",
     .type = SettingType::Integer,
     .unit = "milliseconds",
     .minimum = 0,
     .maximum = 60'000,
     .defaultValue = "2000",
     .help = "Time to keep accepting."},
    {.flag = "log-format",
     .type = SettingType::Choice,
     .choices = "text,json",
     .defaultValue = "text",
     .help = "Format of log lines."},
    {.flag = "seeds", .type = SettingType::AddressList, .help = "Addresses of daemons."},
    {.flag = "labels", .type = SettingType::List, .help = "Labels."},
    {.flag = "json", .type = SettingType::Boolean, .defaultValue = "false", .help = "Writes JSON."},
    {.flag = "session-secret",
     .type = SettingType::Text,
     .minimum = 32,
     .maximum = 128,
     .help = "Secret of session tokens.",
     .secret = true},
};

Settings
parse(std::vector<const char *> arguments, const Environment &environment = {}, const ProgramInfo &program = Program)
{
    arguments.insert(arguments.begin(), "sample");
    return Settings(program, SettingsTable, arguments, environment);
}

/// Message of the refusal; empty if the settings are accepted.
std::string refusal(std::vector<const char *> arguments, const Environment &environment = {})
{
    try {
        parse(std::move(arguments), environment);
    } catch (const Error &error) {
        EXPECT_EQ(error.code, ResultCode::InvalidSetting);
        return error.message;
    }
    return {};
}

}

// Guards against a wrong precedence of flag, environment variable and default.
TEST(Settings, FlagGoesBeforeEnvironmentBeforeDefault)
{
    const Environment environment{{"ENDIVESHORE_LISTEN", "127.0.0.1:25001"},
                                  {"ENDIVESHORE_DRAIN_LAG_MS", "500"},
                                  {"ENDIVESHORE_LOG_FORMAT", ""},
                                  {"ENDIVESHORE_OTHER_PROGRAM", "1"}};
    const Settings settings = parse({"--listen", "127.0.0.1:25002"}, environment);
    EXPECT_EQ(settings.action(), SettingsAction::Run);
    EXPECT_EQ(settings.address("listen"), (IpAddress{.ip = "127.0.0.1", .port = 25002}));
    EXPECT_EQ(settings.milliseconds("drain-lag-ms"), std::chrono::milliseconds(500));
    EXPECT_EQ(settings.text("log-format"), "text");
    EXPECT_FALSE(settings.has("seeds"));
    EXPECT_TRUE(settings.list("seeds").empty());
    EXPECT_FALSE(settings.boolean("json"));
}

// Guards against a boolean flag that takes the next argument as its value, and against flag values that are left as
// positional arguments.
TEST(Settings, ReadsEveryFormOfAFlag)
{
    const Settings settings = parse({"--json",
                                     "revoke",
                                     "-",
                                     "--listen=127.0.0.1:25002",
                                     "--seeds",
                                     "127.0.0.1:25003,127.0.0.2:25003",
                                     "--labels=a,b",
                                     "--drain-lag-ms=0"},
                                    {},
                                    ProgramWithArguments);
    EXPECT_TRUE(settings.boolean("json"));
    EXPECT_EQ(settings.arguments(), (std::vector<std::string>{"revoke", "-"}));
    EXPECT_EQ(settings.list("seeds"), (std::vector<std::string>{"127.0.0.1:25003", "127.0.0.2:25003"}));
    EXPECT_EQ(settings.list("labels"), (std::vector<std::string>{"a", "b"}));
    EXPECT_EQ(settings.integer("drain-lag-ms"), 0);
    EXPECT_FALSE(parse({"--json=false", "--listen=127.0.0.1:1"}).boolean("json"));
}

// Guards against accepting an invalid value, and against an error message that does not name the setting, the value and
// the accepted values.
TEST(Settings, RefusalsNameTheSettingTheValueAndWhatIsAccepted)
{
    const struct
    {
        std::vector<const char *> arguments;
        std::vector<const char *> expected;
    } cases[] = {
        {{}, {"--listen", "ENDIVESHORE_LISTEN", "ip:port"}},
        {{"--listen=localhost:80"}, {"--listen", "localhost:80", "ip:port"}},
        {{"--listen=127.0.0.1:0"}, {"--listen", "127.0.0.1:0"}},
        {{"--listen="}, {"--listen", "needs a value"}},
        {{"--listen=127.0.0.1:1", "--drain-lag-ms=2s"},
         {"--drain-lag-ms", "2s", "whole number of milliseconds from 0 to 60000"}},
        {{"--listen=127.0.0.1:1", "--drain-lag-ms=60001"}, {"--drain-lag-ms", "60001"}},
        {{"--listen=127.0.0.1:1", "--drain-lag-ms=-1"}, {"--drain-lag-ms", "-1"}},
        {{"--listen=127.0.0.1:1", "--drain-lag-ms=1.5"}, {"--drain-lag-ms", "1.5"}},
        {{"--listen=127.0.0.1:1", "--drain-lag-ms=99999999999999999999"}, {"--drain-lag-ms", "9999"}},
        {{"--listen=127.0.0.1:1", "--drain-lag-ms"}, {"--drain-lag-ms", "needs a value"}},
        {{"--listen=127.0.0.1:1", "--log-format=xml"}, {"--log-format", "xml", "one of text, json"}},
        {{"--listen=127.0.0.1:1", "--seeds=127.0.0.1:1,"}, {"--seeds", "127.0.0.1:1,"}},
        {{"--listen=127.0.0.1:1", "--seeds=127.0.0.1"}, {"--seeds", "127.0.0.1"}},
        {{"--listen=127.0.0.1:1", "--labels=a,,b"}, {"--labels", "a,,b"}},
        {{"--listen=127.0.0.1:1", "--labels=a b"}, {"--labels", "a b"}},
        {{"--listen=127.0.0.1:1", "--json=yes"}, {"--json", "yes", "true or false"}},
        {{"--listen=127.0.0.1:1", "--listen=127.0.0.1:2"}, {"--listen", "more than once"}},
        {{"--listen=127.0.0.1:1", "--drain-lag=5"}, {"unknown flag --drain-lag;"}},
        {{"--listen=127.0.0.1:1", "extra"}, {"unexpected argument \"extra\""}},
    };
    for (const auto &entry : cases) {
        const std::string message = refusal(entry.arguments);
        EXPECT_FALSE(message.empty()) << testing::PrintToString(entry.arguments);
        for (const char *expected : entry.expected) {
            EXPECT_NE(message.find(expected), std::string::npos) << message << " lacks " << expected;
        }
    }
    EXPECT_NE(refusal({}, {{"ENDIVESHORE_LISTEN", "x"}}).find("ENDIVESHORE_LISTEN: \"x\""), std::string::npos);
}

// Guards against a secret in an error message, which ends up in logs.
TEST(Settings, SecretsAppearInNoMessage)
{
    const std::string flag = "--session-secret=" + std::string(Secret);
    const std::string misspelt = "--session-secrets=" + std::string(Secret);
    for (const std::string &message :
         {refusal({"--listen=127.0.0.1:1", flag.c_str()}),
          refusal({"--listen=127.0.0.1:1", misspelt.c_str()}),
          refusal({"--listen=127.0.0.1:1", flag.c_str(), flag.c_str()}),
          refusal({"--listen=127.0.0.1:1"}, {{"ENDIVESHORE_SESSION_SECRET", std::string(Secret)}})}) {
        EXPECT_FALSE(message.empty());
        EXPECT_EQ(message.find(Secret), std::string::npos) << message;
    }
}

// Guards against help that lacks a setting, its unit, its range or its default.
TEST(Settings, HelpShowsUnitRangeAndDefault)
{
    const Settings settings = parse({"--help"});
    std::ostringstream output;
    EXPECT_EQ(handleSettingsAction(settings, Program, SettingsTable, output), 0);
    for (const Setting &setting : SettingsTable) {
        EXPECT_NE(output.str().find("--" + std::string(setting.flag)), std::string::npos) << setting.flag;
        EXPECT_NE(output.str().find(environmentName(setting.flag)), std::string::npos) << setting.flag;
    }
    EXPECT_NE(output.str().find("a whole number of milliseconds from 0 to 60000. Default 2000."), std::string::npos);
    EXPECT_NE(output.str().find("Required."), std::string::npos);
}

// Guards against a check that passes with bad settings, and against a check that lets the program run.
TEST(Settings, CheckValidatesAndEnds)
{
    std::ostringstream output;
    EXPECT_EQ(handleSettingsAction(parse({"--check", "--listen=127.0.0.1:1"}), Program, SettingsTable, output), 0);
    EXPECT_FALSE(refusal({"--check", "--listen=localhost:1"}).empty());
    EXPECT_EQ(handleSettingsAction(parse({"--version"}), Program, SettingsTable, output), 0);
    EXPECT_NE(output.str().find("sample 1.2.3\n"), std::string::npos);
    EXPECT_EQ(handleSettingsAction(parse({"--listen=127.0.0.1:1"}), Program, SettingsTable, output), std::nullopt);
}

// Guards against reading a setting under a wrong name or type, which would otherwise yield an empty value.
TEST(Settings, AccessorsRefuseUnknownNamesAndTypes)
{
    const Settings settings = parse({"--listen=127.0.0.1:1"});
    EXPECT_THROW(settings.text("drain-lag-ms"), Error);
    EXPECT_THROW(settings.integer("listen"), Error);
    EXPECT_THROW(settings.boolean("jsn"), Error);
}

// Guards against accepting several texts for one address, which would hide a duplicate server.
TEST(IpAddress, AcceptsTheCanonicalFormOnly)
{
    const std::optional<IpAddress> address = parseIpAddress("10.0.0.1:65535");
    ASSERT_TRUE(address);
    EXPECT_EQ(address->text(), "10.0.0.1:65535");
    for (const char *text : {"",
                             ":",
                             "10.0.0.1",
                             "10.0.0.1:",
                             "10.0.0.1:0",
                             "10.0.0.1:080",
                             "10.0.0.1:65536",
                             "10.0.0.01:80",
                             "10.0.1:80",
                             " 10.0.0.1:80",
                             "10.0.0.1:80 ",
                             "10.0.0.1:+80",
                             "::1:80",
                             "localhost:80",
                             "10.0.0.1:80:80"}) {
        EXPECT_FALSE(parseIpAddress(text)) << text;
    }
}

}
