#pragma once

#include <boost/json.hpp>

#include <iosfwd>
#include <string>

namespace endiveshore::tools {

/// Combines the figures of all organisations into one object.
class MeasureReport
{
public:
    /// Adds the result of one Measurement.
    void add(const std::string &service, const boost::json::object &figures);

    /// Combined figures, and those of each service under "organisations". The worst of the organisations counts where a
    /// figure has an aim; figures that no organisation measured are null.
    boost::json::object toJson() const;

    /// Table with one line per combined figure of the proxy and of the baseline.
    static void print(std::ostream &stream, const boost::json::object &proxy, const boost::json::object &baseline);

private:
    boost::json::object organisations;
};

}
