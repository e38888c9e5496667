#include "store/vmlistclient.h"

#include "core/error.h"
#include "core/json.h"
#include "net/httpclient.h"

#include <optional>

namespace endiveshore::store {

namespace json = boost::json;

namespace {

std::optional<Vm> readVm(const json::value &item)
{
    const json::object *object = item.if_object();
    if (object == nullptr) {
        return std::nullopt;
    }
    const std::string kind = core::jsonString(*object, "kind");
    Vm vm{.id = core::jsonString(*object, "id"),
          .address = core::jsonString(*object, "address"),
          .dataCentre = core::jsonString(*object, "data_centre"),
          .kind = kind == "backend" ? VmKind::Backend : VmKind::Daemon,
          .leaving = core::jsonString(*object, "state") == "leaving"};
    if (vm.id.empty() || vm.address.empty() || (kind != "backend" && kind != "daemon")) {
        return std::nullopt;
    }
    return vm;
}

}

VmListClient::VmListClient(net::TcpEndpoint endpoint, core::Duration timeout)
    : endpoint(std::move(endpoint))
    , timeout(timeout)
{
}

net::awaitable<VmList> VmListClient::fetch()
{
    net::HttpRequest request{.method = "GET", .target = "/v1/vms", .headers = {}, .body = {}};
    const net::HttpResponse response = co_await net::exchangeOnce(this->endpoint, std::move(request), this->timeout);
    const boost::leaf::result<json::object> body = core::parseJsonObject(response.body);
    const json::array *items = body ? core::jsonArray(body.value(), "vms") : nullptr;
    if (response.status != 200 || items == nullptr) {
        throw core::Error(core::ResultCode::MalformedRequest,
                          "the VM list responded with status " + std::to_string(response.status) + " and no list");
    }
    VmList list{.revision = core::jsonInteger(body.value(), "revision"), .vms = {}};
    for (const json::value &item : *items) {
        if (std::optional<Vm> vm = readVm(item)) {
            list.vms.push_back(std::move(*vm));
        }
    }
    co_return list;
}

}
