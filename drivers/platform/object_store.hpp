#ifndef POMELOHINGE_DRIVERS_PLATFORM_OBJECT_STORE_HPP
#define POMELOHINGE_DRIVERS_PLATFORM_OBJECT_STORE_HPP

#include "servers/control/store_results.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace pomelohinge {

/// An object of the platform's object service. The versions of a name increase
/// and are not used again after a removal; version 0 stands for an object that
/// does not exist.
struct stored_object
{
    std::string name;
    std::uint64_t version = 0;
    std::string value;
};

/// The result of reading an object.
struct get_reply
{
    store_status status = store_status::unavailable;
    /// Has version 0 if the object does not exist.
    stored_object object;
};

/// The result of writing or removing an object.
struct put_reply
{
    store_status status = store_status::unavailable;
    /// The object's version after a successful write; not meaningful for other
    /// results.
    std::uint64_t version = 0;
};

/// Names and versions of the objects under a prefix that have changed. Their
/// values are not included.
struct watch_reply
{
    store_status status = store_status::unavailable;
    /// The store revision up to which changes are included.
    std::uint64_t revision = 0;
    std::vector<stored_object> changed;
};

/// The platform's object service. Each callback is called once, after the call
/// has returned, on the calling thread. `watch` from revision 0 with no wait
/// lists all objects under a prefix.
template <class Store>
concept ObjectStore = requires(Store& store, std::string const& name,
    std::string value, std::uint64_t version, duration wait)
{
    store.get(name, std::function<void(get_reply)>());
    store.put(name, value, version, std::function<void(put_reply)>());
    store.remove(name, version, std::function<void(put_reply)>());
    store.watch(name, version, wait, std::function<void(watch_reply)>());
};

} // namespace pomelohinge

#endif
