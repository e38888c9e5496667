#pragma once

#include <boost/json.hpp>

#include <iosfwd>
#include <string>

namespace endiveshore::tools {

/// Combines the figures of all organisations into one report.
class MeasureReport
{
public:
    /// Adds the figures of one Measurement.
    void add(const std::string &service, const boost::json::object &figures);

    /// Returns the combined figures, and the figures of each service under "organisations". Counts are added up, lists
    /// are joined and shares are computed from the totals; of all other figures, the worst value of the organisations
    /// is taken. A figure that was not measured for any organisation is null.
    boost::json::object toJson() const;

    /// Prints a table with one line per combined figure and one column each for the proxy and the baseline.
    static void print(std::ostream &stream, const boost::json::object &proxy, const boost::json::object &baseline);

private:
    boost::json::object organisations;
};

}
