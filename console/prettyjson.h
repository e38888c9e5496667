#pragma once

#include <boost/json/fwd.hpp>

#include <string>

namespace endiveshore::console {

/// JSON text for people to edit: indented, with objects and lists that fit on one line kept together.
std::string prettyJson(const boost::json::value &value);

}
