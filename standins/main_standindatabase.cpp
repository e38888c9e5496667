#include "core/error.h"
#include "standins/databaseserver.h"

#include <boost/program_options.hpp>

#include <iostream>
#include <sstream>

namespace {

using endiveshore::standins::DatabaseServer;
using endiveshore::standins::DatabaseServerOptions;
namespace options = boost::program_options;

std::map<std::string, std::string> parsePeers(const std::string &text)
{
    std::map<std::string, std::string> peers;
    std::istringstream stream(text);
    std::string item;
    while (std::getline(stream, item, ',')) {
        const std::size_t equals = item.find('=');
        if (equals == std::string::npos) {
            throw std::invalid_argument("not a peer of the form id=ip:port: " + item);
        }
        endiveshore::net::parseEndpoint(item.substr(equals + 1));
        peers[item.substr(0, equals)] = item.substr(equals + 1);
    }
    return peers;
}

}

int main(int argc, char **argv)
{
    DatabaseServerOptions server;
    std::string listen;
    std::string peers;
    options::options_description description("Stand-in for one server of a replicated database group");
    // clang-format off
    description.add_options()
        ("help", "show this text")
        ("id", options::value(&server.id)->required(), "server id")
        ("database", options::value(&server.database)->required(), "name of the database")
        ("listen", options::value(&listen)->required(), "ip:port to listen on")
        ("peers", options::value(&peers)->default_value(""), "other servers of the group: id=ip:port,...")
        ("primary", options::value(&server.primary)->required(), "id of the primary of term 1")
        ("slots", options::value(&server.slots)->default_value(server.slots), "maximum number of concurrent statements")
        ("connection-limit", options::value(&server.connectionLimit)->default_value(server.connectionLimit),
         "maximum number of open connections")
        ("connect-ms", options::value(&server.connectMs)->default_value(server.connectMs),
         "delay of the first request on a connection")
        ("statement-ms", options::value(&server.statementMs)->default_value(server.statementMs),
         "duration of a statement")
        ("replication-delay-ms", options::value(&server.replicationDelayMs)->default_value(0),
         "delay before entries of the primary count as received")
        ("apply-delay-ms", options::value(&server.applyDelayMs)->default_value(0),
         "delay before received entries are applied")
        ("journal", options::value(&server.journalFile)->default_value(""),
         "file that preserves log and terms across a restart of the process");
    // clang-format on
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        if (values.contains("help")) {
            std::cout << description;
            return 0;
        }
        options::notify(values);
        server.listen = endiveshore::net::parseEndpoint(listen);
        server.peers = parsePeers(peers);
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
    try {
        boost::asio::io_context context(1);
        DatabaseServer database(context, server);
        database.start();
        context.run();
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
    return 0;
}
