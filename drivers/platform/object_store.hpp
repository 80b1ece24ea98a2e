#ifndef POMELOHINGE_DRIVERS_PLATFORM_OBJECT_STORE_HPP
#define POMELOHINGE_DRIVERS_PLATFORM_OBJECT_STORE_HPP

#include "servers/control/store_results.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace pomelohinge {

/// One object of the platform's service. Versions of an object count from
/// 1; 0 stands for an object that does not exist.
struct stored_object
{
    std::string name;
    std::uint64_t version = 0;
    std::string value;
};

struct get_reply
{
    store_status status = store_status::unavailable;
    /// Version 0 if there is no such object.
    stored_object object;
};

struct put_reply
{
    store_status status = store_status::unavailable;
    std::uint64_t version = 0;
};

/// Names and versions of what changed under a prefix.
struct watch_reply
{
    store_status status = store_status::unavailable;
    std::uint64_t revision = 0;
    std::vector<stored_object> changed;
};

/// The platform's object service. Calls answer once, later, on the thread
/// that made them. A list is a watch from revision 0 that does not wait.
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
