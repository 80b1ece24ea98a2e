#include "drivers/http/curl_library.hpp"

#include <dlfcn.h>
#include <stdexcept>
#include <string>

namespace pomelohinge {
namespace {

constexpr char const* library_name = "libcurl.so.4";

/// Throws the dynamic loader's error.
[[noreturn]] void fail()
{
    char const* const error = dlerror();
    throw std::runtime_error(std::string("libcurl cannot be loaded: ") +
        (error != nullptr ? error : library_name));
}

template <class Function>
void find(void* library, char const* name, Function& function)
{
    function = reinterpret_cast<Function>(dlsym(library, name));
    if (function == nullptr)
        fail();
}

curl_library load()
{
    // It stays loaded for as long as the process runs.
    auto* const library = dlopen(library_name, RTLD_NOW | RTLD_LOCAL);
    if (library == nullptr)
        fail();
    curl_library it{};
    find(library, "curl_global_init", it.global_init);
    find(library, "curl_easy_init", it.easy_init);
    find(library, "curl_easy_setopt", it.easy_setopt);
    find(library, "curl_easy_getinfo", it.easy_getinfo);
    find(library, "curl_easy_cleanup", it.easy_cleanup);
    find(library, "curl_multi_init", it.multi_init);
    find(library, "curl_multi_setopt", it.multi_setopt);
    find(library, "curl_multi_add_handle", it.multi_add_handle);
    find(library, "curl_multi_remove_handle", it.multi_remove_handle);
    find(library, "curl_multi_socket_action", it.multi_socket_action);
    find(library, "curl_multi_info_read", it.multi_info_read);
    find(library, "curl_multi_cleanup", it.multi_cleanup);
    find(library, "curl_slist_append", it.slist_append);
    find(library, "curl_slist_free_all", it.slist_free_all);
    return it;
}

} // namespace

curl_library const& curl()
{
    static curl_library const it = load();
    return it;
}

} // namespace pomelohinge
