#include "document/servicedocument.h"

#include <algorithm>

namespace endiveshore::document {

namespace {

template<typename Item, typename Key>
const Item *findBy(const std::vector<Item> &items, Key Item::*key, std::string_view wanted)
{
    const auto found = std::find_if(items.begin(), items.end(), [&](const Item &item) { return item.*key == wanted; });
    return found == items.end() ? nullptr : &*found;
}

}

const BackendServer *Database::findServer(std::string_view id) const
{
    return findBy(this->servers, &BackendServer::id, id);
}

const Database *ServiceDocument::findDatabase(std::string_view name) const
{
    return findBy(this->databases, &Database::name, name);
}

const Route *ServiceDocument::findRoute(std::string_view name) const
{
    return findBy(this->routes, &Route::name, name);
}

const Workspace *ServiceDocument::findWorkspace(std::string_view name) const
{
    return findBy(this->workspaces, &Workspace::name, name);
}

const Region *ServiceDocument::regionOf(std::string_view dataCentre) const
{
    for (const Region &region : this->regions) {
        if (std::find(region.dataCentres.begin(), region.dataCentres.end(), dataCentre) != region.dataCentres.end()) {
            return &region;
        }
    }
    return nullptr;
}

}
