#include "standins/vmliststandin.h"

#include "core/error.h"
#include "core/json.h"

namespace endiveshore::standins {

namespace json = boost::json;

VmListStandin::VmListStandin(std::chrono::milliseconds lag)
    : lag(lag)
{
}

void VmListStandin::listen(const net::Executor &executor, const net::TcpEndpoint &endpoint)
{
    const std::shared_ptr<VmListStandin> self = this->shared_from_this();
    this->server = std::make_shared<net::HttpServer>(
        [self](net::HttpRequest request, net::HttpConnection &) { return self->handle(std::move(request)); });
    this->server->listen(executor, endpoint);
}

void VmListStandin::stop()
{
    if (this->server) {
        this->server->stop();
        // The server and this object own each other through the handler; the reset breaks the cycle, which would leak
        // both.
        this->server.reset();
    }
}

void VmListStandin::set(const json::object &body, core::TimePoint now)
{
    const json::array *vms = core::jsonArray(body, "vms");
    if (vms == nullptr) {
        throw core::Error(core::ResultCode::MalformedRequest, "the array vms is missing");
    }
    ++this->revision;
    this->versions.push_back({.setAt = now, .list = {{"revision", this->revision}, {"vms", *vms}}});
    while (this->versions.size() > 1 && this->versions[1].setAt + this->lag <= now) {
        this->versions.pop_front();
    }
}

json::object VmListStandin::visible(core::TimePoint now) const
{
    // The first list is visible without the lag, so that readers do not see an empty list after the start.
    for (auto version = this->versions.rbegin(); version != this->versions.rend(); ++version) {
        if (version->setAt + this->lag <= now || std::next(version) == this->versions.rend()) {
            return version->list;
        }
    }
    return {{"revision", 0}, {"vms", json::array()}};
}

net::awaitable<net::HttpResponse> VmListStandin::handle(net::HttpRequest request)
{
    if (request.target == "/v1/vms" && request.method == "GET") {
        co_return net::jsonResponse(200, this->visible(core::Clock::now()));
    }
    if (request.target == "/standin/set" && request.method == "POST") {
        const boost::leaf::result<json::object> body = core::parseJsonObject(request.body);
        if (!body) {
            throw core::Error(core::ResultCode::MalformedRequest, "a JSON object is required");
        }
        this->set(body.value(), core::Clock::now());
        const json::object answer{{"revision", this->revision}};
        co_return net::jsonResponse(200, answer);
    }
    throw core::Error(core::ResultCode::UnknownPath, "no such path: " + request.target);
}

}
