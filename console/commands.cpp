#include "console/commands.h"

#include "access/keytable.h"
#include "console/prettyjson.h"
#include "document/documentparser.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <istream>
#include <thread>

namespace endiveshore::console {

namespace json = boost::json;

namespace {

// One byte above the document limit, so that the parser refuses an oversized document with its own error.
constexpr std::size_t MaxReadBytes = document::MaxDocumentBytes + 1;

std::string readAtMost(std::istream &stream, std::size_t maximum)
{
    std::string text(maximum, '\0');
    stream.read(text.data(), static_cast<std::streamsize>(maximum));
    text.resize(static_cast<std::size_t>(stream.gcount()));
    return text;
}

json::object toJson(const DaemonStatus &status)
{
    json::object object{{"address", status.address}, {"reachable", status.reachable}};
    if (!status.reachable) {
        object["error"] = status.error;
        return object;
    }
    object["daemon"] = status.daemon;
    object["data_centre"] = status.dataCentre;
    object["revision"] = status.revision;
    return object;
}

std::string toLine(const DaemonStatus &status)
{
    if (!status.reachable) {
        return status.address + " unreachable: " + status.error;
    }
    return status.address + " " + status.daemon + " " + status.dataCentre + " revision "
        + std::to_string(status.revision);
}

json::array toJson(std::span<const DaemonStatus> statuses)
{
    json::array list;
    for (const DaemonStatus &status : statuses) {
        list.push_back(toJson(status));
    }
    return list;
}

bool hasRevision(const DaemonStatus &status, std::int64_t revision)
{
    return status.reachable && status.revision >= revision;
}

/// Lists the daemons that are unreachable or below @p revision; empty if there are none.
std::string describeOutdatedDaemons(std::span<const DaemonStatus> statuses, std::int64_t revision)
{
    std::string outdated;
    for (const DaemonStatus &status : statuses) {
        if (!hasRevision(status, revision)) {
            outdated += (outdated.empty() ? "" : "; ") + toLine(status);
        }
    }
    return outdated;
}

}

Commands::Commands(ConfigEditor &editor, DaemonPoller *poller, std::istream &input, CommandOptions options)
    : editor(editor)
    , poller(poller)
    , input(input)
    , options(options)
{
}

std::span<const Commands::Command> Commands::table()
{
    static constexpr std::array Table{
        Command{"accept", "FILE", 1, 1, &Commands::accept, "Checks a service document and puts it in force."},
        Command{"withdraw", "SERVICE", 1, 1, &Commands::withdraw, "Removes the document of a service; keys stay."},
        Command{"show", "SERVICE", 1, 1, &Commands::show, "Shows a document; --json prints it for editing."},
        Command{"grant", "SERVICE WORKSPACE", 2, 2, &Commands::grant, "Creates a key and shows it only this once."},
        Command{"revoke", "HASH|KEY|-", 1, 1, &Commands::revoke, "Removes a key; - reads it from standard input."},
        Command{"keys", "[SERVICE]", 0, 1, &Commands::keys, "Lists the hashes of keys."},
        Command{"status", "", 0, 0, &Commands::status, "Shows the revisions of the store and the daemons."},
    };
    return Table;
}

std::string Commands::helpText()
{
    constexpr std::size_t Column = 30;
    std::string text = "Commands:";
    for (const Command &command : Commands::table()) {
        std::string usage = "  " + std::string(command.name) + " " + std::string(command.arguments);
        usage.resize(std::max(usage.size(), Column), ' ');
        text += "\n" + usage + std::string(command.help);
    }
    return text
        + "\n\nExit code: 0 for success, 2 for a wrong flag or argument, otherwise 10 plus the hundreds of the "
          "result code.";
}

CommandResult Commands::run(std::span<const std::string> arguments)
{
    try {
        if (arguments.empty()) {
            throw core::Error(core::ResultCode::InvalidSetting, "a command is required; --help lists the commands");
        }
        for (const Command &command : Commands::table()) {
            if (command.name != arguments.front()) {
                continue;
            }
            const std::size_t count = arguments.size() - 1;
            // The message does not repeat the arguments, because one of them may be a key in the clear.
            if (count < command.minimumArguments || count > command.maximumArguments) {
                throw core::Error(core::ResultCode::InvalidSetting,
                                  "usage: " + std::string(command.name) + " " + std::string(command.arguments));
            }
            return (this->*command.run)(arguments.subspan(1));
        }
        throw core::Error(core::ResultCode::InvalidSetting, "unknown command; --help lists the commands");
    } catch (const core::Error &error) {
        return failedResult(error);
    }
}

std::string Commands::readDocument(const std::string &file)
{
    if (file == "-") {
        return readAtMost(this->input, MaxReadBytes);
    }
    std::ifstream stream(file, std::ios::binary);
    if (!stream) {
        throw core::Error(core::ResultCode::InvalidSetting, "the file cannot be read: " + file);
    }
    return readAtMost(stream, MaxReadBytes);
}

void Commands::waitUntilInForce(std::int64_t revision, CommandResult &result)
{
    result.fields["revision"] = revision;
    if (this->poller == nullptr || this->options.inForceTimeout <= core::Duration::zero()) {
        result.fields["in_force"] = nullptr;
        result.lines.emplace_back("did not check whether the change is in force");
        return;
    }
    const core::TimePoint start = core::Clock::now();
    while (true) {
        const core::Duration left = start + this->options.inForceTimeout - core::Clock::now();
        const std::vector<DaemonStatus> statuses
            = this->poller->poll(std::clamp(left, this->options.pollInterval, this->options.pollTimeout));
        const std::string outdated = describeOutdatedDaemons(statuses, revision);
        const core::Duration elapsed = core::Clock::now() - start;
        if (outdated.empty()) {
            result.fields["in_force"] = true;
            result.fields["in_force_ms"] = core::toMilliseconds(elapsed);
            result.lines.push_back("in force on " + std::to_string(statuses.size()) + " daemons after "
                                   + std::to_string(core::toMilliseconds(elapsed)) + " ms");
            return;
        }
        if (elapsed + this->options.pollInterval >= this->options.inForceTimeout) {
            result.code = core::ResultCode::NotInForce;
            result.outcome = core::resultCodeInfo(result.code).outcome;
            result.message = "the change is stored at revision " + std::to_string(revision)
                + " but not confirmed in force on all daemons: " + outdated;
            result.fields["in_force"] = false;
            result.fields["daemons"] = toJson(statuses);
            return;
        }
        std::this_thread::sleep_for(this->options.pollInterval);
    }
}

CommandResult Commands::accept(Arguments arguments)
{
    const std::string text = this->readDocument(arguments[0]);
    std::int64_t revision = 0;
    try {
        revision = this->editor.accept(text, this->options.base);
    } catch (core::Error &error) {
        if (error.code == core::ResultCode::StoreUnavailable && error.outcome == core::Outcome::Unknown) {
            error.message += "; repeat the command with --operation-id " + this->editor.operationId();
        }
        throw;
    }
    CommandResult result;
    result.lines.push_back("accepted at revision " + std::to_string(revision));
    result.fields["operation_id"] = this->editor.operationId();
    this->waitUntilInForce(revision, result);
    return result;
}

CommandResult Commands::withdraw(Arguments arguments)
{
    const std::int64_t revision = this->editor.withdraw(arguments[0], this->options.base);
    CommandResult result;
    result.lines.push_back("withdrawn at revision " + std::to_string(revision));
    this->waitUntilInForce(revision, result);
    return result;
}

CommandResult Commands::show(Arguments arguments)
{
    const StoredDocument stored = this->editor.show(arguments[0]);
    const std::string text = prettyJson(json::parse(document::serializeServiceDocument(stored.document)));
    CommandResult result;
    result.lines.push_back("revision " + std::to_string(stored.document.revision.value_or(0)) + ", accepted by "
                           + stored.operatorName + " as operation " + stored.operationId);
    result.lines.push_back(text);
    result.plainJson = text;
    return result;
}

CommandResult Commands::grant(Arguments arguments)
{
    const NewKey created = this->editor.grant(arguments[0], arguments[1]);
    CommandResult result;
    result.lines.push_back("key " + created.key);
    result.lines.push_back("hash " + created.hash);
    result.fields["key"] = created.key;
    result.fields["hash"] = created.hash;
    this->waitUntilInForce(created.revision, result);
    return result;
}

CommandResult Commands::revoke(Arguments arguments)
{
    std::string given = arguments[0];
    if (given == "-") {
        std::getline(this->input, given);
        given.erase(given.find_last_not_of(" \t\r\n") + 1);
    }
    if (given.empty()) {
        throw core::Error(core::ResultCode::InvalidSetting, "a key or its hash is required");
    }
    const std::string hash = access::isKeyHash(given) ? given : access::hashKey(given);
    const std::int64_t revision = this->editor.revoke(hash);
    CommandResult result;
    result.lines.push_back("revoked " + hash + " at revision " + std::to_string(revision));
    result.fields["hash"] = hash;
    this->waitUntilInForce(revision, result);
    return result;
}

CommandResult Commands::keys(Arguments arguments)
{
    const std::vector<StoredKey> keys = this->editor.keys(arguments.empty() ? std::string_view() : arguments[0]);
    CommandResult result;
    json::array list;
    for (const StoredKey &key : keys) {
        result.lines.push_back(key.hash + " " + key.grant.service + " " + key.grant.workspace + " revision "
                               + std::to_string(key.revision));
        list.push_back(json::object{{"hash", key.hash},
                                    {"service", key.grant.service},
                                    {"workspace", key.grant.workspace},
                                    {"revision", key.revision}});
    }
    result.fields["keys"] = std::move(list);
    return result;
}

CommandResult Commands::status(Arguments)
{
    CommandResult result;
    std::int64_t revision = 0;
    try {
        revision = this->editor.highestRevision();
        result.lines.push_back("newest entry of the store at revision " + std::to_string(revision));
        result.fields["stored_revision"] = revision;
    } catch (const core::Error &error) {
        // The daemons keep serving without the store, so their status is shown even if the store is unavailable.
        result = failedResult(error);
        result.lines.push_back("store unavailable");
        result.fields["stored_revision"] = nullptr;
    }
    if (this->poller == nullptr) {
        return result;
    }
    const std::vector<DaemonStatus> statuses = this->poller->poll(this->options.pollTimeout);
    for (const DaemonStatus &status : statuses) {
        result.lines.push_back(toLine(status));
    }
    result.fields["daemons"] = toJson(statuses);
    // The store keeps no entry for a removal, so only daemons that have applied the removal report its revision.
    for (const DaemonStatus &status : statuses) {
        revision = std::max(revision, status.revision);
    }
    const std::string outdated = describeOutdatedDaemons(statuses, revision);
    if (!outdated.empty() && result.code == core::ResultCode::Ok) {
        result.code = core::ResultCode::NotInForce;
        result.outcome = core::resultCodeInfo(result.code).outcome;
        result.message = "not at revision " + std::to_string(revision) + ": " + outdated;
    }
    return result;
}

}
