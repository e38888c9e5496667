#include "tools/measurement.h"
#include "tools/measurereport.h"

#include <boost/program_options.hpp>

#include <ctime>
#include <fstream>
#include <iostream>

namespace {

namespace json = boost::json;
namespace programOptions = boost::program_options;

using endiveshore::tools::MeasureReport;

// A deployment uses 500 consecutive ports; deployment.cpp has the layout.
constexpr int PortsPerDeployment = 500;
constexpr int StartAttempts = 3;

std::string dateOfToday()
{
    const std::time_t now = std::time(nullptr);
    std::tm parts{};
    gmtime_r(&now, &parts);
    char text[16];
    const std::size_t length = std::strftime(text, sizeof text, "%Y-%m-%d", &parts);
    return std::string(text, length);
}

/// Measures the proxy or its baseline with the workloads of both organisations.
json::object measureForm(
    const programOptions::variables_map &flags, bool isBaseline, int &basePort, json::array &phases, json::array &notes)
{
    const endiveshore::tools::OrganisationProfile profiles[] = {
        {.service = "rota-db", .connectionLimit = 30, .connectMs = 10},
        {.service = "cover-ledger", .connectionLimit = 55, .connectMs = 30},
    };
    MeasureReport report;
    for (const endiveshore::tools::OrganisationProfile &profile : profiles) {
        const std::string form = isBaseline ? "baseline" : "endiveshore";
        std::cout << "measuring " << profile.service << ", " << form << std::endl;
        endiveshore::tools::MeasurementOptions options;
        options.binaryDirectory = flags["binaries"].as<std::string>();
        options.workDirectory = flags["work"].as<std::string>() + "/" + profile.service + "-" + form;
        options.profile = profile;
        options.seed = flags["seed"].as<std::uint64_t>();
        options.isBaseline = isBaseline;
        json::object figures;
        // Another program may use a port of the range, for example for an outgoing connection. Each attempt takes the
        // next range.
        for (int attempt = 0; attempt < StartAttempts && !figures.contains("phases"); ++attempt) {
            options.basePort = basePort;
            basePort += PortsPerDeployment;
            try {
                endiveshore::tools::Measurement measurement(options);
                figures = measurement.run();
            } catch (const std::exception &error) {
                figures["notes"] = json::array{std::string("measurement failed: ") + error.what()};
            }
        }
        if (const json::value *list = figures.if_contains("phases")) {
            for (json::value phase : list->as_array()) {
                phase.as_object()["service"] = profile.service;
                phase.as_object()["form"] = form;
                phases.push_back(std::move(phase));
            }
        }
        for (const json::value &note : figures["notes"].as_array()) {
            notes.emplace_back(profile.service + ", " + form + ": " + note.as_string().c_str());
        }
        figures.erase("phases");
        figures.erase("notes");
        report.add(profile.service, figures);
    }
    return report.toJson();
}

}

/// Measures the proxy and its baseline under load and faults, with the workloads of both organisations on real
/// processes.
int main(int argumentCount, char **arguments)
{
    programOptions::options_description description("measure");
    description.add_options()("help", "Shows the command line flags.")(
        "seed", programOptions::value<std::uint64_t>()->default_value(1), "Seed of the random choices.")(
        "out", programOptions::value<std::string>()->required(), "Output file for the figures, as JSON.")(
        "binaries", programOptions::value<std::string>()->required(), "Directory of the programs.")(
        "work", programOptions::value<std::string>()->required(), "Directory for logs and service documents.")(
        "base-port",
        programOptions::value<int>()->default_value(24'000),
        "First loopback port; each deployment uses 500.")("no-baseline", "Skips the baseline.");
    programOptions::variables_map flags;
    try {
        programOptions::store(programOptions::parse_command_line(argumentCount, arguments, description), flags);
        if (flags.contains("help")) {
            std::cout << description;
            return 0;
        }
        programOptions::notify(flags);
    } catch (const programOptions::error &error) {
        std::cerr << "measure: " << error.what() << '\n';
        return 2;
    }
    int basePort = flags["base-port"].as<int>();
    json::array phases;
    json::array notes;
    json::object result = measureForm(flags, false, basePort, phases, notes);
    json::object baseline;
    if (!flags.contains("no-baseline")) {
        baseline = measureForm(flags, true, basePort, phases, notes);
    }
    notes.emplace_back("pools_unshared: not measured because the daemon has no flag for unshared pools");
    notes.emplace_back(
        "control_bytes_per_s: from the counters in the status of the daemons; largest value of all daemons");
    notes.emplace_back("failover_gap_ms: the ledger of a killed server is lost; the baseline runs only the fault that "
                       "kills a primary");
    MeasureReport::print(std::cout, result, baseline);
    for (const json::value &note : notes) {
        std::cout << "note: " << note.as_string().c_str() << '\n';
    }
    result["baseline"] = std::move(baseline);
    result["seed"] = flags["seed"].as<std::uint64_t>();
    result["date"] = dateOfToday();
    result["phases"] = std::move(phases);
    result["notes"] = std::move(notes);
    std::ofstream file(flags["out"].as<std::string>());
    file << json::serialize(result) << '\n';
    return file.good() ? 0 : 1;
}
