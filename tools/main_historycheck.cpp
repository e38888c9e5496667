#include "tools/historychecker.h"

#include <fstream>
#include <iostream>

namespace {

struct Section
{
    std::string_view name;
    std::vector<std::string> endiveshore::tools::HistoryReport::*list;
};

constexpr Section Sections[] = {
    {"lost_writes", &endiveshore::tools::HistoryReport::lostWrites},
    {"doubled_writes", &endiveshore::tools::HistoryReport::doubledWrites},
    {"false_not_run", &endiveshore::tools::HistoryReport::falseNotRun},
    {"stale_session_reads", &endiveshore::tools::HistoryReport::staleSessionReads},
    {"crossed_answers", &endiveshore::tools::HistoryReport::crossedAnswers},
    {"split_transactions", &endiveshore::tools::HistoryReport::splitTransactions},
    {"term_violations", &endiveshore::tools::HistoryReport::termViolations},
};

}

/// Checks a history file and prints the violations. Exits with 0 if there are none, 1 if there are violations, and 2 if
/// the command line or the file is invalid.
int main(int argumentCount, char **arguments)
{
    if (argumentCount != 2 || std::string_view(arguments[1]) == "--help") {
        std::cerr << "usage: historycheck FILE\nFILE holds one JSON event per line, as written by loadtool.\n";
        return 2;
    }
    try {
        std::ifstream stream(arguments[1]);
        if (!stream) {
            std::cerr << "historycheck: cannot read " << arguments[1] << '\n';
            return 2;
        }
        const std::vector<endiveshore::tools::HistoryEvent> events = endiveshore::tools::readHistory(stream);
        const endiveshore::tools::HistoryReport report = endiveshore::tools::checkHistory(events);
        for (const Section &section : Sections) {
            std::cout << section.name << ' ' << (report.*section.list).size() << '\n';
            for (const std::string &line : report.*section.list) {
                std::cout << "  " << line << '\n';
            }
        }
        return report.violations() == 0 ? 0 : 1;
    } catch (const std::exception &error) {
        std::cerr << "historycheck: " << error.what() << '\n';
        return 2;
    }
}
