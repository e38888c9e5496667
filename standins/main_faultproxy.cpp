#include "standins/faultproxy.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace {

using endiveshore::net::parseEndpoint;
using endiveshore::standins::FaultProxy;
using endiveshore::standins::ProxyRoute;
namespace options = boost::program_options;

std::vector<ProxyRoute> parseRoutes(const options::variables_map &values)
{
    std::vector<ProxyRoute> routes;
    if (values.contains("listen") != values.contains("target")) {
        throw std::invalid_argument("--listen and --target must be given together");
    }
    if (values.contains("listen")) {
        routes.push_back({.listen = parseEndpoint(values["listen"].as<std::string>()),
                          .target = parseEndpoint(values["target"].as<std::string>())});
    }
    if (values.contains("route")) {
        for (const std::string &text : values["route"].as<std::vector<std::string>>()) {
            const std::size_t equals = text.find('=');
            if (equals == std::string::npos) {
                throw std::invalid_argument("not a route of the form ip:port=ip:port: " + text);
            }
            routes.push_back(
                {.listen = parseEndpoint(text.substr(0, equals)), .target = parseEndpoint(text.substr(equals + 1))});
        }
    }
    if (routes.empty()) {
        throw std::invalid_argument("at least one route is required");
    }
    return routes;
}

}

int main(int argc, char **argv)
{
    options::options_description description("TCP proxy with switchable faults");
    // clang-format off
    description.add_options()
        ("help", "show this text")
        ("listen", options::value<std::string>(), "ip:port of route 0")
        ("target", options::value<std::string>(), "ip:port of the target of route 0")
        ("route", options::value<std::vector<std::string>>(), "additional route listen=target; may be repeated")
        ("control", options::value<std::string>()->required(), "ip:port of the control API");
    // clang-format on
    std::vector<ProxyRoute> routes;
    endiveshore::net::TcpEndpoint control;
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        if (values.contains("help")) {
            std::cout << description;
            return 0;
        }
        options::notify(values);
        routes = parseRoutes(values);
        control = parseEndpoint(values["control"].as<std::string>());
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
    try {
        boost::asio::io_context context(1);
        FaultProxy proxy(context, std::move(routes), control);
        proxy.start();
        context.run();
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
    return 0;
}
