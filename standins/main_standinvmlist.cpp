#include "core/error.h"
#include "core/json.h"
#include "standins/vmliststandin.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <fstream>
#include <iostream>
#include <iterator>

namespace options = boost::program_options;

namespace {

boost::json::object readList(const std::string &path)
{
    std::ifstream file(path);
    const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    boost::leaf::result<boost::json::object> list = endiveshore::core::parseJsonObject(text);
    if (!file || !list) {
        throw endiveshore::core::Error(endiveshore::core::ResultCode::InvalidSetting,
                                       "cannot read a JSON object from " + path);
    }
    return std::move(list.value());
}

}

/// Test program that stands in for the platform's list of live and leaving VMs.
int main(int argumentCount, char **arguments)
{
    std::string listen;
    std::string file;
    int lagMs = 0;
    options::options_description flags("standin-vmlist");
    flags.add_options()("help", "print the flags")(
        "listen", options::value(&listen)->default_value("127.0.0.1:2380"), "listening address, ip:port")(
        "file", options::value(&file), "file with the initial list, a JSON object with the array vms")(
        "lag-ms", options::value(&lagMs)->default_value(0), "delay until GET /v1/vms returns a changed list, ms");
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argumentCount, arguments, flags), values);
        options::notify(values);
        if (values.contains("help")) {
            std::cout << flags;
            return 0;
        }
        const auto list = std::make_shared<endiveshore::standins::VmListStandin>(std::chrono::milliseconds(lagMs));
        if (!file.empty()) {
            list->set(readList(file), endiveshore::core::Clock::now());
        }
        boost::asio::io_context context(1);
        list->listen(context.get_executor(), endiveshore::net::parseEndpoint(listen));
        boost::asio::signal_set signals(context, SIGTERM, SIGINT);
        signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
        std::cout << "listening on " << listen << std::endl;
        context.run();
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "standin-vmlist: " << error.what() << std::endl;
        return 2;
    }
}
