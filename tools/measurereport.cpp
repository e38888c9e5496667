#include "tools/measurereport.h"

#include <algorithm>
#include <iomanip>
#include <ostream>
#include <sstream>

namespace endiveshore::tools {

namespace json = boost::json;

namespace {

enum class Combination {
    Smallest,
    Largest,
    Sum,
    List,
    Ratio,
};

struct Figure
{
    std::string_view name;
    Combination combination;
    /// Figures whose quotient is the combined figure; only used with Combination::Ratio.
    std::string_view numerator = {};
    std::string_view denominator = {};
};

constexpr Figure Figures[] = {
    {"replica_read_share", Combination::Ratio, "replica_reads", "reads"},
    {"failover_gap_ms", Combination::List},
    {"worst_workspace_ratio", Combination::Smallest},
    {"refused_inside_rate", Combination::Ratio, "refusals_inside_rate", "offered_inside_rate"},
    {"over_rate", Combination::Largest},
    {"lost_writes", Combination::Sum},
    {"doubled_writes", Combination::Sum},
    {"stale_session_reads", Combination::Sum},
    {"false_not_run", Combination::Sum},
    {"crossed_answers", Combination::Sum},
    {"split_transactions", Combination::Sum},
    {"term_violations", Combination::Sum},
    {"slot_violations", Combination::Sum},
    {"connection_violations", Combination::Sum},
    {"keys_seen_by_servers", Combination::Sum},
    {"key_withdrawal_ms", Combination::Largest},
    {"document_in_force_ms", Combination::Largest},
    {"store_calls_per_s", Combination::Largest},
    {"control_cpu_share", Combination::Largest},
    {"control_rss_mb", Combination::Largest},
    {"control_bytes_per_s", Combination::Largest},
    {"requests_checked", Combination::Sum},
    {"acknowledged_writes", Combination::Sum},
};

bool isCount(Combination combination)
{
    return combination == Combination::Sum;
}

double sumOf(const json::object &organisations, std::string_view key)
{
    double sum = 0;
    for (const auto &[service, figures] : organisations) {
        const json::value *value = figures.as_object().if_contains(key);
        sum += value != nullptr && value->is_number() ? value->to_number<double>() : 0;
    }
    return sum;
}

json::value combine(const json::object &organisations, const Figure &figure)
{
    if (figure.combination == Combination::Ratio) {
        const double total = sumOf(organisations, figure.denominator);
        return total > 0 ? json::value(sumOf(organisations, figure.numerator) / total) : json::value();
    }
    json::array list;
    json::value result;
    for (const auto &[service, figures] : organisations) {
        const json::value *value = figures.as_object().if_contains(figure.name);
        if (value != nullptr && value->is_array()) {
            list.insert(list.end(), value->as_array().begin(), value->as_array().end());
        }
        if (value == nullptr || !value->is_number()) {
            continue;
        }
        const auto current = value->to_number<double>();
        const double previous = result.is_null() ? current : result.to_number<double>();
        switch (figure.combination) {
        case Combination::Smallest:
            result = std::min(previous, current);
            break;
        case Combination::Largest:
            result = std::max(previous, current);
            break;
        default:
            result = result.is_null() ? current : previous + current;
            break;
        }
    }
    if (figure.combination == Combination::List) {
        return list.empty() ? json::value() : json::value(list);
    }
    if (isCount(figure.combination) && !result.is_null()) {
        return static_cast<std::int64_t>(result.as_double());
    }
    return result;
}

std::string cell(const json::object &figures, std::string_view name)
{
    const json::value *value = figures.if_contains(name);
    if (value == nullptr || value->is_null()) {
        return "not measured";
    }
    std::ostringstream text;
    text << std::setprecision(4);
    if (!value->is_array()) {
        text << value->to_number<double>();
        return text.str();
    }
    for (const json::value &item : value->as_array()) {
        text << (text.str().empty() ? "" : " ");
        if (item.is_number()) {
            text << static_cast<std::int64_t>(item.to_number<double>());
        } else {
            text << "none";
        }
    }
    return text.str();
}

}

void MeasureReport::add(const std::string &service, const json::object &figures)
{
    this->organisations[service] = figures;
}

json::object MeasureReport::toJson() const
{
    json::object result;
    for (const Figure &figure : Figures) {
        result[figure.name] = combine(this->organisations, figure);
    }
    result["pools_unshared"] = nullptr;
    result["organisations"] = this->organisations;
    return result;
}

void MeasureReport::print(std::ostream &stream, const json::object &proxy, const json::object &baseline)
{
    stream << std::left << std::setw(26) << "figure" << std::setw(52) << "endiveshore"
           << "baseline\n";
    for (const Figure &figure : Figures) {
        stream << std::left << std::setw(26) << figure.name << std::setw(52) << cell(proxy, figure.name)
               << cell(baseline, figure.name) << '\n';
    }
}

}
