#include "linecaller.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace endiveshore::tests {

namespace asio = boost::asio;

LineCaller::LineCaller(const net::TcpEndpoint &endpoint)
    : socket(this->context)
{
    boost::system::error_code error;
    this->socket.connect(endpoint, error);
    this->open = !error;
}

LineAnswer LineCaller::start(std::string_view database, std::string_view key)
{
    return this->exchange("START " + std::string(database) + ' ' + std::string(key) + "\r\n");
}

LineAnswer LineCaller::query(std::string_view request, std::string_view text)
{
    return this->exchange("QUERY " + std::string(request) + ' ' + std::string(text) + "\r\n");
}

bool LineCaller::isOpen() const
{
    return this->open;
}

bool LineCaller::closesWithin(std::chrono::milliseconds limit)
{
    std::string line;
    const auto end = std::chrono::steady_clock::now() + limit;
    while (this->open && std::chrono::steady_clock::now() < end) {
        this->readLine(line,
                       std::chrono::duration_cast<std::chrono::milliseconds>(end - std::chrono::steady_clock::now()));
    }
    return !this->open;
}

LineAnswer LineCaller::exchange(const std::string &line)
{
    LineAnswer answer;
    boost::system::error_code error;
    if (this->open) {
        asio::write(this->socket, asio::buffer(line), error);
    }
    std::string received;
    while (this->open && !error && this->readLine(received, AnswerLimit)) {
        const std::string word = received.substr(0, received.find(' '));
        const std::string rest = received.size() == word.size() ? std::string() : received.substr(word.size() + 1);
        if (word == "DATAROW") {
            answer.rows.push_back(rest);
        } else if (word == "COMPLETE") {
            answer.signature = rest;
        } else if (word == "ERROR") {
            answer.code = rest.substr(0, rest.find(' '));
        } else if (word == "READY") {
            answer.state = rest.substr(0, 1);
            return answer;
        }
    }
    if (answer.code.empty()) {
        answer.code = "CLOSED";
    }
    return answer;
}

bool LineCaller::readLine(std::string &line, std::chrono::milliseconds limit)
{
    boost::system::error_code error = asio::error::timed_out;
    std::size_t length = 0;
    this->context.restart();
    asio::async_read_until(this->socket,
                           asio::dynamic_buffer(this->input),
                           "\r\n",
                           [&](const boost::system::error_code &result, std::size_t bytes) {
                               error = result;
                               length = bytes;
                           });
    this->context.run_for(limit);
    if (!this->context.stopped()) {
        this->socket.cancel();
        this->context.run();
    }
    if (error) {
        this->open = this->open && error == asio::error::operation_aborted;
        return false;
    }
    line = this->input.substr(0, length - 2);
    this->input.erase(0, length);
    return true;
}

}
