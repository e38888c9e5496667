#include "console/commandresult.h"

#include "console/configeditor.h"
#include "console/prettyjson.h"

#include <ostream>

namespace endiveshore::console {

CommandResult failedResult(const core::Error &error)
{
    CommandResult result{.code = error.code, .outcome = error.outcome, .message = error.message};
    if (const auto *change = dynamic_cast<const ChangeError *>(&error)) {
        result.path = change->path;
        if (change->revision != 0) {
            result.fields["revision"] = change->revision;
        }
    }
    return result;
}

void writeResult(const CommandResult &result, bool asJson, std::ostream &output, std::ostream &errors)
{
    const core::ResultCodeInfo &info = core::resultCodeInfo(result.code);
    const int number = static_cast<int>(result.code);
    if (asJson && result.plainJson && result.code == core::ResultCode::Ok) {
        output << *result.plainJson << "\n";
        return;
    }
    if (asJson) {
        boost::json::object object{
            {"code", number}, {"name", info.name}, {"outcome", core::outcomeName(result.outcome)}};
        if (!result.message.empty()) {
            object["message"] = result.message;
        }
        if (!result.path.empty()) {
            object["path"] = result.path;
        }
        for (const auto &member : result.fields) {
            object[member.key()] = member.value();
        }
        output << prettyJson(object) << "\n";
        return;
    }
    for (const std::string &line : result.lines) {
        output << line << "\n";
    }
    if (result.code == core::ResultCode::Ok) {
        output << "result " << number << " " << info.name << "\n";
        return;
    }
    errors << "result " << number << " " << info.name << " (" << core::outcomeName(result.outcome)
           << "): " << (result.path.empty() ? "" : result.path + ": ") << result.message << "\n";
}

int exitCode(core::ResultCode code)
{
    if (code == core::ResultCode::Ok) {
        return 0;
    }
    return code == core::ResultCode::InvalidSetting ? 2 : 10 + static_cast<int>(code) / 100;
}

}
