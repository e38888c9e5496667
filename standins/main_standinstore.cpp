#include "core/error.h"
#include "standins/storestandin.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <iostream>

namespace options = boost::program_options;

/// Test program that stands in for the platform's key-value store with etcd's v3 JSON gateway.
int main(int argumentCount, char **arguments)
{
    std::string listen;
    int progressMs = 0;
    options::options_description flags("standin-store");
    flags.add_options()("help", "print the flags")(
        "listen", options::value(&listen)->default_value("127.0.0.1:2379"), "listening address, ip:port")(
        "progress-ms", options::value(&progressMs)->default_value(500), "interval of progress notifications, ms");
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argumentCount, arguments, flags), values);
        options::notify(values);
        if (values.contains("help")) {
            std::cout << flags;
            return 0;
        }
        boost::asio::io_context context(1);
        const auto store = std::make_shared<endiveshore::standins::StoreStandin>(
            context.get_executor(),
            endiveshore::standins::StoreStandinOptions{.progressInterval = std::chrono::milliseconds(progressMs)});
        store->listen(endiveshore::net::parseEndpoint(listen));
        boost::asio::signal_set signals(context, SIGTERM, SIGINT);
        signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
        std::cout << "listening on " << listen << std::endl;
        context.run();
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "standin-store: " << error.what() << std::endl;
        return 2;
    }
}
