#pragma once

#include <boost/json/fwd.hpp>

#include <string>

namespace endiveshore::console {

/// Indented JSON text for editing by hand. Objects and arrays that fit on one line are written on one line.
std::string prettyJson(const boost::json::value &value);

}
